package caller

import (
	"context"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// TeamLimiter enforces the limits of the teams of a keyed configuration over all daemons.
// The zero value has no limits. It is safe for concurrent use.
type TeamLimiter struct {
	// Take takes one call from the limit of a team, and returns nil if it is granted. It may
	// wait a short time, at most until ctx ends. The error is of a call that was not
	// executed, with the reason call.ReasonLimit or, if it is not known whether the limit
	// is reached, call.ReasonLimitUnknown, and with RetryAfter.
	Take func(ctx context.Context, t *expand.Team) *call.Error
	// GiveBack returns a call that was taken and was not executed. It must be called at most
	// once for each call.
	GiveBack func(t *expand.Team)
}

// take takes one call from the limit of a team. See TeamLimiter.Take.
func (l TeamLimiter) take(ctx context.Context, t *expand.Team) *call.Error {
	if l.Take == nil {
		return nil
	}
	return l.Take(ctx, t)
}

// giveBack returns a call that was taken. See TeamLimiter.GiveBack.
func (l TeamLimiter) giveBack(t *expand.Team) {
	if l.GiveBack != nil {
		l.GiveBack(t)
	}
}

// serveLimited takes a call from the limit of its team, if it has one, and serves it with
// serveCall. A call that has reached no upstream is returned to the limit. The error is a
// *call.Error.
func (p *Proxy) serveLimited(c *routedCall) (*upstream.Response, error) {
	team, ok := c.state.Table().Team(c.grant.Team())
	if !ok {
		return p.serveCall(c)
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), c.deadline.Sub(p.config.Clock()))
	callErr := p.config.Limiter.take(ctx, team)
	cancel()
	if callErr != nil {
		return nil, callErr
	}
	response, err := p.serveCall(c)
	if err != nil && call.AsError(err).Execution == call.NotExecuted && !c.reached {
		p.config.Limiter.giveBack(team)
	}
	return response, err
}

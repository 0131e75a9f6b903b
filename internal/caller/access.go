package caller

import (
	"net/http"

	"github.com/endivewalk/endivewalk/internal/access"
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/expand"
)

// decideAccess decides whether a call may be made in the configuration t, by the API key that
// it shows, and counts the decision. In a keyed configuration it removes the key from the
// request, which from then on may be sent and logged anywhere.
// confirmed is as for access.Decide.
func (p *Proxy) decideAccess(t *expand.Table, r *http.Request, confirmed bool) (access.Grant, *call.Error) {
	grant, err := access.Decide(t, access.RequestOf(r), confirmed)
	if err != nil {
		return access.Grant{}, call.NotExecutedError(access.ReasonOf(err))
	}
	switch {
	case !grant.IsKeyed():
		return grant, nil
	case grant.Team() != "":
		p.config.Counters.Add("calls_of_teams", 1)
	default:
		p.config.Counters.Add("calls_anonymous", 1)
	}
	delete(r.Header, call.HeaderCredential)
	return grant, nil
}

// renewGrant decides anew on a call before it is sent once more or after it waited: its key
// may have been withdrawn, and a process that was suspended may not know that.
func (p *Proxy) renewGrant(c *routedCall) *call.Error {
	// In this order: a newer configuration may come into force between the two.
	confirmed := p.config.KeysValid()
	table := p.config.Hub.State().Table()
	grant, err := c.grant.Renew(table, access.RequestOf(c.request), confirmed)
	if err != nil {
		return call.NotExecutedError(access.ReasonOf(err))
	}
	if grant.IsKeyed() {
		delete(c.request.Header, call.HeaderCredential)
	}
	if grant.Team() != c.grant.Team() {
		c.urgency.Priority = priorityOf(table, c.route, grant)
	}
	c.grant = grant
	return nil
}

// priorityOf returns the priority of a call: that of its team if it has one, and else that of
// its route.
func priorityOf(t *expand.Table, route *expand.Route, g access.Grant) int {
	if team, ok := t.Team(g.Team()); ok {
		return team.Priority(route.Priority())
	}
	return route.Priority()
}

// setAccess sets the headers of a call to another daemon that tell what was decided on it.
func (p *Proxy) setAccess(h http.Header, c *routedCall) {
	if c.grant.IsDecided() {
		h.Set(call.HeaderAccess, c.grant.String())
	}
	if p.config.TeamHeader == "" {
		return
	}
	h.Del(p.config.TeamHeader)
	if team := c.grant.Team(); team != "" {
		h.Set(p.config.TeamHeader, team)
	}
}

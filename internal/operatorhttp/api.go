// Package operatorhttp answers operators over HTTP on a source replica.
package operatorhttp

import (
	"errors"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/internal/httpapi"
	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/source"
	"github.com/endivewalk/endivewalk/pkg/config"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// Config describes the interface.
type Config struct {
	Node     *source.Node
	Tokens   httpapi.Tokens
	Sources  []operator.Process // All replicas, with their operator addresses.
	Clock    func() time.Time
	Events   *event.Ring
	Counters *count.Set
}

type api struct{ Config }

// New returns the handler. All requests but those for counters need a token.
func New(c Config) (http.Handler, error) {
	a := &api{c}
	app := httpapi.New()
	app.Get("/debug/vars", iris.FromStd(c.Counters))
	v1 := app.Party("/", a.authorize)
	v1.Post("/v1/changes", a.change)
	v1.Get("/v1/configuration", a.configuration)
	v1.Get("/v1/status", a.status)
	v1.Get("/v1/moves", a.moves)
	v1.Post("/v1/moves", a.begin)
	v1.Post("/v1/moves/back", a.takeBack)
	v1.Get("/v1/processes", a.processes)
	httpapi.AddProcessRoutes(v1, c.Events, c.Counters)
	return httpapi.Handler(app)
}

const operatorKey = "operator"

func (a *api) authorize(ctx iris.Context) {
	name, ok := a.Tokens.Operator(ctx.Request())
	if !ok {
		a.Counters.Add("operators_unauthorized", 1)
		httpapi.WriteError(ctx, http.StatusUnauthorized, errs.New("the token is missing or wrong"))
		return
	}
	ctx.Values().Set(operatorKey, name)
	ctx.Next()
}

// proposeTimeout bounds how long a replica tries to have a change decided.
const proposeTimeout = 4 * time.Second

func (a *api) change(ctx iris.Context) {
	var body operator.Change
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.bad(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Change:  &ledger.Change{Replaces: body.Replaces, Put: body.Put, Remove: body.Remove},
	})
}

func (a *api) begin(ctx iris.Context) {
	var body operator.BeginMove
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.bad(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Begin:   &ledger.Begin{Service: body.Service, To: body.To, By: body.By},
	})
}

func (a *api) takeBack(ctx iris.Context) {
	var body operator.RollBackMove
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.bad(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Step: &ledger.Step{
			Service: body.Service, State: config.MoveRolledBack,
			Reason: "by operator " + ctx.Values().GetString(operatorKey),
		},
	})
}

func (a *api) bad(ctx iris.Context, err error) {
	a.Counters.Add("operators_bad_requests", 1)
	httpapi.WriteBodyError(ctx, err)
}

func (a *api) propose(ctx iris.Context, c ledger.Command) {
	c.Operator = ctx.Values().GetString(operatorKey)
	if c.Request == "" {
		a.bad(ctx, errs.New("request: an id is missing"))
		return
	}
	out, err := a.Node.Propose(c, a.Clock().Add(proposeTimeout))
	if err != nil {
		httpapi.WriteError(ctx, statusOf(err), err)
		return
	}
	answer := convert(out)
	switch out.Status {
	case ledger.StatusAccepted:
		httpapi.WriteJSON(ctx, http.StatusOK, answer)
	case ledger.StatusConflict:
		httpapi.WriteJSON(ctx, http.StatusConflict, answer)
	default:
		httpapi.WriteJSON(ctx, http.StatusUnprocessableEntity, answer)
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, source.ErrDiskFull):
		return http.StatusInsufficientStorage
	case errors.Is(err, source.ErrNoLeader), errors.Is(err, source.ErrBusy):
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func convert(o ledger.Outcome) operator.Outcome {
	out := operator.Outcome{
		Request: o.Request, Status: string(o.Status), Revision: o.Revision, At: o.At,
		Reason: o.Reason, Resent: o.Resent,
	}
	for _, f := range o.Faults {
		out.Faults = append(out.Faults, convertFault(f))
	}
	if o.Winner != nil {
		w := operator.Writer(*o.Winner)
		out.Winner = &w
	}
	return out
}

func convertFault(f expand.Fault) operator.Fault { return operator.Fault(f) }

func (a *api) configuration(ctx iris.Context) {
	c, err := a.Node.Configuration()
	if err != nil {
		httpapi.WriteError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	httpapi.WriteJSON(ctx, http.StatusOK, c)
}

func (a *api) status(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Node.Status(a.Clock()))
}

func (a *api) moves(ctx iris.Context) {
	if err := a.Node.Confirm(); err != nil {
		httpapi.WriteError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	all := []operator.Move{}
	for _, m := range a.Node.Moves() {
		all = append(all, operator.Move{Move: m.Move, Revision: m.Revision})
	}
	httpapi.WriteJSON(ctx, http.StatusOK, all)
}

func (a *api) processes(ctx iris.Context) {
	all := append([]operator.Process{}, a.Sources...)
	for _, r := range a.Node.Hub().View().Live() {
		all = append(all, operator.Process{Name: r.Host, Role: "daemon", Zone: r.Zone, Address: r.Local})
	}
	httpapi.WriteJSON(ctx, http.StatusOK, all)
}

// Package operatorhttp implements the HTTP interface for operators on a source
// replica: changes, moves, status and processes.
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

// Config holds the dependencies of the interface. Node, Clock, Events and Counters
// must be set; without Tokens every request that needs one is rejected.
type Config struct {
	Node     *source.Node
	Tokens   httpapi.Tokens
	Sources  []operator.Process // All source replicas, with the addresses of their operator interfaces.
	Clock    func() time.Time
	Events   *event.Ring
	Counters *count.Set
}

// api implements the request handlers.
type api struct{ Config }

// New returns the handler of the interface. All requests need a token. This
// includes those for counters (/debug/vars), since the route that
// AddProcessRoutes adds replaces the one without authorization.
func New(c Config) (http.Handler, error) {
	a := &api{c}
	app := httpapi.New()
	app.Get("/debug/vars", iris.FromStd(c.Counters))
	authorized := app.Party("/", a.authorize)
	authorized.Post("/v1/changes", a.proposeChange)
	authorized.Get("/v1/configuration", a.configuration)
	authorized.Get("/v1/status", a.status)
	authorized.Get("/v1/moves", a.moves)
	authorized.Post("/v1/moves", a.beginMove)
	authorized.Post("/v1/moves/back", a.rollBackMove)
	authorized.Get("/v1/processes", a.processes)
	httpapi.AddProcessRoutes(authorized, c.Events, c.Counters)
	return httpapi.Handler(app)
}

// operatorKey is the key of the operator's name in the values of a request's
// context.
const operatorKey = "operator"

// authorize rejects requests without a valid token and stores the name of the
// operator under operatorKey.
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

// proposeTimeout limits how long a replica tries to get a change accepted.
const proposeTimeout = 4 * time.Second

func (a *api) proposeChange(ctx iris.Context) {
	var body operator.Change
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.rejectRequest(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Change:  &ledger.Change{Replaces: body.Replaces, Put: body.Put, Remove: body.Remove},
	})
}

func (a *api) beginMove(ctx iris.Context) {
	var body operator.BeginMove
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.rejectRequest(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Begin:   &ledger.BeginMove{Service: body.Service, To: body.To, By: body.By},
	})
}

func (a *api) rollBackMove(ctx iris.Context) {
	var body operator.RollBackMove
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.rejectRequest(ctx, err)
		return
	}
	a.propose(ctx, ledger.Command{
		Request: body.Request,
		Step: &ledger.MoveStep{
			Service: body.Service, State: config.MoveRolledBack,
			Reason: "by operator " + ctx.Values().GetString(operatorKey),
		},
	})
}

// rejectRequest counts a request with an invalid body and writes the error
// response.
func (a *api) rejectRequest(ctx iris.Context, err error) {
	a.Counters.Add("operators_bad_requests", 1)
	httpapi.WriteBodyError(ctx, err)
}

// propose proposes c in the name of the authorized operator and writes its
// outcome: status 200 if it was accepted, 409 on a conflict, 422 if it was
// rejected.
func (a *api) propose(ctx iris.Context, c ledger.Command) {
	c.Operator = ctx.Values().GetString(operatorKey)
	if c.Request == "" {
		a.rejectRequest(ctx, errs.New("request: an id is missing"))
		return
	}
	decided, err := a.Node.Propose(c, a.Clock().Add(proposeTimeout))
	if err != nil {
		httpapi.WriteError(ctx, httpStatus(err), err)
		return
	}
	outcome := convertOutcome(decided)
	switch decided.Status {
	case ledger.StatusAccepted:
		httpapi.WriteJSON(ctx, http.StatusOK, outcome)
	case ledger.StatusConflict:
		httpapi.WriteJSON(ctx, http.StatusConflict, outcome)
	default:
		httpapi.WriteJSON(ctx, http.StatusUnprocessableEntity, outcome)
	}
}

// httpStatus returns the HTTP status for an error of Node.Propose. Errors whose
// outcome is unknown map to 504.
func httpStatus(err error) int {
	switch {
	case errors.Is(err, source.ErrDiskFull):
		return http.StatusInsufficientStorage
	case errors.Is(err, source.ErrNoLeader), errors.Is(err, source.ErrBusy):
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func convertOutcome(o ledger.Outcome) operator.Outcome {
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

// status responds with the state as this replica knows it, also while no leader
// can be reached.
func (a *api) status(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Node.Status(a.Clock()))
}

// moves responds with the newest move of each service. It first waits until this
// replica has applied all changes accepted before the request.
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

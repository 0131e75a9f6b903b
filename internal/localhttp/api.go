// Package localhttp is the HTTP interface on a daemon's local address: local
// upstreams announce, drain and withdraw themselves, and operators read the
// daemon's status, events and counters.
package localhttp

import (
	"errors"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/httpapi"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

// Config describes the interface. All fields are required.
type Config struct {
	Inbound  *upstream.Proxy                    // Takes the announcements.
	Retire   func(id string, start int64) error // See daemon.Daemon.Retire.
	Clock    func() time.Time
	Status   func(now time.Time) Status
	Events   *event.Ring
	Counters *count.Set
}

// Status is the state of a daemon as GET /v1/status returns it.
type Status = daemon.Status

// ForDaemon returns the handler for the local address of d. It has the type of
// daemon.Config.NewLocalHandler.
func ForDaemon(d *daemon.Daemon) (http.Handler, error) {
	return New(Config{
		Inbound: d.Inbound(), Retire: d.Retire, Clock: d.Clock(), Status: d.Status, Events: d.Events(), Counters: d.CounterSet(),
	})
}

type api struct{ Config }

// New returns the handler of the interface, which may be called concurrently.
func New(c Config) (http.Handler, error) {
	a := &api{c}
	app := httpapi.New()
	app.Post("/v1/upstreams", a.announce)
	app.Get("/v1/upstreams", a.list)
	app.Post("/v1/upstreams/{id}/drain", a.drain)
	app.Delete("/v1/upstreams/{id}", a.withdraw)
	app.Get("/v1/status", a.status)
	httpapi.AddProcessRoutes(app, c.Events, c.Counters)
	return httpapi.Handler(app)
}

// announce registers an upstream or renews its lease, and responds with the
// announcement.
func (a *api) announce(ctx iris.Context) {
	var body upstream.Announcement
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.Counters.Add("announcements_refused", 1)
		httpapi.WriteBodyError(ctx, err)
		return
	}
	err := a.Inbound.Announce(a.Clock(), body)
	if errors.Is(err, upstream.ErrStale) {
		httpapi.WriteError(ctx, http.StatusConflict, err)
		return
	}
	if err != nil {
		httpapi.WriteError(ctx, http.StatusUnprocessableEntity, err)
		return
	}
	httpapi.WriteJSON(ctx, http.StatusOK, body)
}

func (a *api) list(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Inbound.Upstreams())
}

func (a *api) drain(ctx iris.Context) {
	a.writeResult(ctx, a.retire(ctx.Params().Get("id")))
}

func (a *api) withdraw(ctx iris.Context) {
	id := ctx.Params().Get("id")
	err := a.retire(id)
	if err == nil || errors.Is(err, daemon.ErrNotRecorded) {
		if removeErr := a.Inbound.Remove(a.Clock(), id); removeErr != nil {
			err = removeErr
		}
	}
	a.writeResult(ctx, err)
}

// retire stops new calls to a registered upstream and has the source record that.
func (a *api) retire(id string) error {
	if err := a.Inbound.Drain(a.Clock(), id); err != nil {
		return err
	}
	return a.Retire(id, 0)
}

// writeResult writes the result of an operation on one upstream: 404 if it is
// unknown, 503 if the operation is in force but not recorded by the source, 500 for other errors, and an empty object otherwise.
func (a *api) writeResult(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, upstream.ErrUnknownUpstream):
		httpapi.WriteError(ctx, http.StatusNotFound, err)
	case errors.Is(err, daemon.ErrNotRecorded):
		httpapi.WriteError(ctx, http.StatusServiceUnavailable, err)
	case err != nil:
		httpapi.WriteError(ctx, http.StatusInternalServerError, err)
	default:
		httpapi.WriteJSON(ctx, http.StatusOK, struct{}{})
	}
}

func (a *api) status(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Status(a.Clock()))
}

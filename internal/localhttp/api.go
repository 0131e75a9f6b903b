// Package localhttp answers, on a daemon's local address, the upstreams that
// announce themselves and whoever looks at the daemon.
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

// Config describes the interface.
type Config struct {
	Inbound  *upstream.Proxy
	Clock    func() time.Time
	Status   func(now time.Time) Status
	Events   *event.Ring
	Counters *count.Set
}

// Status tells how a daemon is.
type Status = daemon.Status

// ForDaemon returns the handler for a daemon.
func ForDaemon(d *daemon.Daemon) (http.Handler, error) {
	return New(Config{
		Inbound: d.Inbound(), Clock: d.Clock(), Status: d.Status, Events: d.Events(), Counters: d.CounterSet(),
	})
}

type api struct{ Config }

// New returns the handler.
func New(c Config) (http.Handler, error) {
	a := &api{c}
	app := httpapi.New()
	app.Post("/v1/upstreams", a.announce)
	app.Get("/v1/upstreams", a.list)
	app.Post("/v1/upstreams/{id}/drain", a.drain)
	app.Delete("/v1/upstreams/{id}", a.leave)
	app.Get("/v1/status", a.status)
	httpapi.AddProcessRoutes(app, c.Events, c.Counters)
	return httpapi.Handler(app)
}

// announce takes in an announcement, which is also how a lease is renewed.
func (a *api) announce(ctx iris.Context) {
	var body upstream.Announcement
	if err := httpapi.ReadBody(ctx, &body); err != nil {
		a.Counters.Add("announcements_refused", 1)
		httpapi.WriteBodyError(ctx, err)
		return
	}
	if err := a.Inbound.Announce(a.Clock(), body); err != nil {
		httpapi.WriteError(ctx, http.StatusUnprocessableEntity, err)
		return
	}
	httpapi.WriteJSON(ctx, http.StatusOK, body)
}

func (a *api) list(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Inbound.Upstreams())
}

func (a *api) drain(ctx iris.Context) {
	a.answer(ctx, a.Inbound.Drain(a.Clock(), ctx.Params().Get("id")))
}

func (a *api) leave(ctx iris.Context) {
	a.answer(ctx, a.Inbound.Leave(a.Clock(), ctx.Params().Get("id")))
}

func (a *api) answer(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, upstream.ErrUnknownUpstream):
		httpapi.WriteError(ctx, http.StatusNotFound, err)
	case err != nil:
		httpapi.WriteError(ctx, http.StatusInternalServerError, err)
	default:
		httpapi.WriteJSON(ctx, http.StatusOK, struct{}{})
	}
}

func (a *api) status(ctx iris.Context) {
	httpapi.WriteJSON(ctx, http.StatusOK, a.Status(a.Clock()))
}

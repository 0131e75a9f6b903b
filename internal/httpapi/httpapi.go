// Package httpapi holds what the HTTP interfaces of both roles share: strict
// reading of bodies, JSON answers, tokens, events and counters.
package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/jsonc"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// MaxBody bounds a request's body in bytes.
const MaxBody = 8 << 20

// ErrTooLarge is returned for a body over MaxBody.
var ErrTooLarge = errs.New("the body is larger than %d bytes", MaxBody)

// New returns an iris application that logs nothing: counters come first.
func New() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutServerError(iris.ErrServerClosed))
	return app
}

// Handler builds an application into a handler for net/http.
func Handler(app *iris.Application) (http.Handler, error) {
	if err := app.Build(); err != nil {
		return nil, errs.New("httpapi: %v", err)
	}
	return app, nil
}

// ReadBody reads a body strictly into the struct that into points to.
func ReadBody(ctx iris.Context, into any) error {
	data, err := io.ReadAll(io.LimitReader(ctx.Request().Body, MaxBody+1))
	if err != nil {
		return errs.New("the body broke off: %v", err)
	}
	if len(data) > MaxBody {
		return ErrTooLarge
	}
	return jsonc.Decode("body", data, into).Err()
}

// WriteJSON writes v as JSON.
func WriteJSON(ctx iris.Context, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":"the answer can't be encoded"}`)
	}
	ctx.StatusCode(status)
	ctx.ContentType("application/json")
	ctx.Write(append(data, '\n'))
}

// WriteError answers with an error.
func WriteError(ctx iris.Context, status int, err error) {
	WriteJSON(ctx, status, operator.Failure{Error: err.Error()})
}

// WriteBodyError answers a request whose body could not be read.
func WriteBodyError(ctx iris.Context, err error) {
	status := http.StatusBadRequest
	if errors.Is(err, ErrTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	WriteError(ctx, status, err)
}

// HashToken returns the form in which settings keep a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Tokens maps the hash of each token to the operator who holds it.
type Tokens map[string]string

const bearer = "Bearer "

// Operator returns the holder of a request's token.
func (t Tokens) Operator(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	if !strings.HasPrefix(header, bearer) {
		return "", false
	}
	given := []byte(HashToken(header[len(bearer):]))
	found, ok := "", false
	for hash, name := range t {
		if subtle.ConstantTimeCompare(given, []byte(hash)) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}

// AddProcessRoutes adds the routes by which a process shows its events and
// counters.
func AddProcessRoutes(app iris.Party, events *event.Ring, counters *count.Set) {
	app.Get("/v1/events", func(ctx iris.Context) { answerEvents(ctx, events) })
	app.Get("/debug/vars", iris.FromStd(counters))
}

func answerEvents(ctx iris.Context, events *event.Ring) {
	var since time.Time
	if text := ctx.URLParam("since"); text != "" {
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			WriteError(ctx, http.StatusBadRequest, errs.New("since: want a time as in RFC 3339, got %q", text))
			return
		}
		since = t
	}
	found := events.Since(since)
	if found == nil {
		found = []event.Event{}
	}
	WriteJSON(ctx, http.StatusOK, found)
}

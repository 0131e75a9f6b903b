// Package httpapi holds what the HTTP interfaces of source replicas and daemons
// share: strict decoding of request bodies, JSON responses, tokens, and the routes
// for events and counters.
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

	"github.com/endivewalk/endivewalk/internal/clip"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/jsonc"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// MaxBodyBytes is the maximum size of a request body in bytes.
const MaxBodyBytes = 8 << 20

// ErrTooLarge means that a request body is larger than MaxBodyBytes.
var ErrTooLarge = errs.New("the body is larger than %d bytes", MaxBodyBytes)

// New returns an iris application without log output. Processes report what
// happens through their own logs, events and counters instead.
func New() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutServerError(iris.ErrServerClosed))
	return app
}

// Handler builds app and returns it as a handler for net/http. All routes must
// have been added before.
func Handler(app *iris.Application) (http.Handler, error) {
	if err := app.Build(); err != nil {
		return nil, errs.New("httpapi: build the routes: %v", err)
	}
	return app, nil
}

// ReadBody decodes the request body strictly into the struct that into points to.
// The error is ErrTooLarge for a body larger than MaxBodyBytes. Its text is meant for
// the sender of the request.
func ReadBody(ctx iris.Context, into any) error {
	data, err := io.ReadAll(io.LimitReader(ctx.Request().Body, MaxBodyBytes+1))
	if err != nil {
		return errs.New("the body broke off: %v", err)
	}
	if len(data) > MaxBodyBytes {
		return ErrTooLarge
	}
	return jsonc.Decode("body", data, into).Err()
}

// WriteJSON writes a response with v as JSON and a newline as its body. If v
// cannot be encoded, the status is 500.
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

// maxErrorBytes is the longest text of an error in a response. It holds dozens of
// faults of a configuration, but not a value of megabytes that a fault quotes.
const maxErrorBytes = 16 << 10

// WriteError writes a response whose body is an operator.Failure with the text of
// err, shortened if it is very long.
func WriteError(ctx iris.Context, status int, err error) {
	WriteJSON(ctx, status, operator.Failure{Error: clip.Text(err.Error(), maxErrorBytes)})
}

// WriteBodyError writes the response for an error of ReadBody: status 413 for
// ErrTooLarge, 400 otherwise.
func WriteBodyError(ctx iris.Context, err error) {
	status := http.StatusBadRequest
	if errors.Is(err, ErrTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	WriteError(ctx, status, err)
}

// HashToken returns the SHA-256 hash of a token in hexadecimal digits, the form
// in which settings store tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Tokens maps the hash of each token, as returned by HashToken, to the name of
// the operator who holds it.
type Tokens map[string]string

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// Operator returns the name of the operator whose token r carries. It returns
// false if the token is missing or unknown. The token is compared with all hashes
// in constant time, so that the response time reveals nothing about them.
func (t Tokens) Operator(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	if !strings.HasPrefix(header, bearerPrefix) {
		return "", false
	}
	givenHash := []byte(HashToken(header[len(bearerPrefix):]))
	found, ok := "", false
	for hash, name := range t {
		if subtle.ConstantTimeCompare(givenHash, []byte(hash)) == 1 {
			found, ok = name, true
		}
	}
	return found, ok
}

// AddProcessRoutes adds the routes for the events (/v1/events) and counters
// (/debug/vars) of a process. They need a token only if the handlers of app demand
// one.
func AddProcessRoutes(app iris.Party, events *event.Ring, counters *count.Set) {
	app.Get("/v1/events", func(ctx iris.Context) { serveEvents(ctx, events) })
	app.Get("/debug/vars", iris.FromStd(counters))
}

// serveEvents responds with the events since the time in the query parameter
// "since" (RFC 3339), or all that the ring holds.
func serveEvents(ctx iris.Context, events *event.Ring) {
	var since time.Time
	if value := ctx.URLParam("since"); value != "" {
		t, err := time.Parse(time.RFC3339Nano, value)
		if err != nil {
			WriteError(ctx, http.StatusBadRequest, errs.New("since: want a time as in RFC 3339, got %q", value))
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

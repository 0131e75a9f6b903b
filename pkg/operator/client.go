package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"
)

// Errors that callers test with errors.Is.
var (
	// ErrUnreachable means that no replica accepted the request, so nothing has
	// changed.
	ErrUnreachable = errs.New("operator: no replica of the source took the request")
	// ErrUnknown means that the request may or may not have been carried out.
	// It is safe to resend the same request: the response shows whether it was
	// carried out.
	ErrUnknown = errs.New("operator: the outcome is unknown; send the same request again")
	// ErrUnauthorized means that the token is missing or wrong.
	ErrUnauthorized = errs.New("operator: the token is missing or wrong")
	// ErrInvalid means that the source rejected the request as malformed.
	ErrInvalid = errs.New("operator: the request is malformed")
	// ErrDiskFull means that the source accepts no changes until its disk has
	// room again.
	ErrDiskFull = errs.New("operator: the source's disk has no room for changes")
)

// Client sends requests to the replicas of a source. Set Sources and Token;
// with the zero value all requests fail with ErrUnreachable. A Client is safe
// for concurrent use as long as its fields are not changed.
//
// Methods try the replicas in order until one responds. Their errors match one
// of ErrUnreachable, ErrUnknown, ErrUnauthorized, ErrInvalid and ErrDiskFull.
// ErrUnreachable and ErrUnknown are returned without the cause.
// Requests are idempotent, so a method goes on to the next replica even if the
// outcome at the previous one is unknown.
type Client struct {
	// Sources are the operator addresses of the replicas, each as "host:port"
	// with an IP address. They are tried in order.
	Sources []string
	// Token is the operator's bearer token.
	Token string
	// Timeout is the timeout of one request to one replica; 0 means 5 seconds.
	// A call that tries several replicas may take that long for each of them.
	Timeout time.Duration
}

const (
	defaultTimeout   = 5 * time.Second
	maxResponseBytes = 64 << 20
)

// Apply sends a change. A conflict and a rejected change are not errors; see
// Outcome.Status.
func (c *Client) Apply(ctx context.Context, change Change) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodPost, "/v1/changes", change, &outcome)
	return outcome, err
}

// Begin asks the source to start a move. A conflict and a rejected move are not
// errors; see Outcome.Status.
func (c *Client) Begin(ctx context.Context, m BeginMove) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodPost, "/v1/moves", m, &outcome)
	return outcome, err
}

// RollBack asks the source to roll back a running move. A conflict and a
// rejected request are not errors; see Outcome.Status.
func (c *Client) RollBack(ctx context.Context, m RollBackMove) (Outcome, error) {
	var outcome Outcome
	err := c.do(ctx, http.MethodPost, "/v1/moves/back", m, &outcome)
	return outcome, err
}

// Configuration returns all objects in force, including all changes accepted
// before the call.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var configuration Configuration
	err := c.do(ctx, http.MethodGet, "/v1/configuration", nil, &configuration)
	return configuration, err
}

// Status returns the state of the source and the fleet as the replica that
// responds knows it. It may be out of date; see Status.AgeMillis.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Moves returns the newest move of each service, including all changes accepted
// before the call.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	var moves []Move
	err := c.do(ctx, http.MethodGet, "/v1/moves", nil, &moves)
	return moves, err
}

// Processes returns the replicas of the source, and the daemons that are not
// gone.
func (c *Client) Processes(ctx context.Context) ([]Process, error) {
	var processes []Process
	err := c.do(ctx, http.MethodGet, "/v1/processes", nil, &processes)
	return processes, err
}

// Events asks the process p for its events at or after since. It uses the token
// and timeout of c, but not its Sources.
func (c *Client) Events(ctx context.Context, p Process, since time.Time) ([]Event, error) {
	processClient := Client{Sources: []string{p.Address}, Token: c.Token, Timeout: c.Timeout}
	query := url.Values{"since": {since.UTC().Format(time.RFC3339Nano)}}
	var events []Event
	err := processClient.do(ctx, http.MethodGet, "/v1/events?"+query.Encode(), nil, &events)
	return events, err
}

// do sends a request to one replica after the other until one responds, and
// decodes the response into out. in is the body, or nil. A request whose
// outcome is unknown also goes on to the next replica, because requests are
// idempotent.
func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errs.Combine(ErrInvalid, err)
		}
	}
	result := ErrUnreachable
	for _, address := range c.Sources {
		err := c.doOnce(ctx, method, "http://"+address+path, body, out)
		switch {
		case err == nil, isFinal(err):
			return err
		case !isUnreachable(err):
			result = ErrUnknown
		}
	}
	return result
}

// doOnce sends a request to one address and decodes the response into out.
func (c *Client) doOnce(ctx context.Context, method, address string, body []byte, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errs.Combine(ErrInvalid, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return classifyDoError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return ErrUnknown
	}
	return decodeResponse(response.StatusCode, data, out)
}

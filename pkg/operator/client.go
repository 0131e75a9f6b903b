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
	// ErrUnreachable means that no replica took the request: nothing happened.
	ErrUnreachable = errs.New("operator: no replica of the source took the request")
	// ErrUnknown means that the request may or may not have been carried out.
	// Sending the same request again is safe and tells which.
	ErrUnknown = errs.New("operator: the outcome is unknown; send the same request again")
	// ErrUnauthorized means that the token is missing or wrong.
	ErrUnauthorized = errs.New("operator: the token is missing or wrong")
	// ErrInvalid means that the source did not understand the request.
	ErrInvalid = errs.New("operator: the request is malformed")
	// ErrDiskFull means that the source takes no changes until it has room.
	ErrDiskFull = errs.New("operator: the source's disk has no room for changes")
)

// Client talks to the replicas of a source. It is safe for concurrent use. The
// zero value reaches nothing; set Sources and Token.
type Client struct {
	// Sources are the operator addresses of the replicas, each an IP number and
	// a port. They are tried in order.
	Sources []string
	// Token proves who the operator is.
	Token string
	// Timeout bounds one request to one replica; 0 means 5 s.
	Timeout time.Duration
}

const (
	defaultTimeout = 5 * time.Second
	maxResponse    = 64 << 20 // Bytes.
)

// Apply sends a change.
func (c *Client) Apply(ctx context.Context, change Change) (Outcome, error) {
	var out Outcome
	err := c.do(ctx, http.MethodPost, "/v1/changes", change, &out)
	return out, err
}

// Begin starts a move.
func (c *Client) Begin(ctx context.Context, m BeginMove) (Outcome, error) {
	var out Outcome
	err := c.do(ctx, http.MethodPost, "/v1/moves", m, &out)
	return out, err
}

// RollBack takes a running move back.
func (c *Client) RollBack(ctx context.Context, m RollBackMove) (Outcome, error) {
	var out Outcome
	err := c.do(ctx, http.MethodPost, "/v1/moves/back", m, &out)
	return out, err
}

// Configuration returns every object in force. It sees all changes accepted
// before the call.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var out Configuration
	err := c.do(ctx, http.MethodGet, "/v1/configuration", nil, &out)
	return out, err
}

// Status returns how the source and the fleet are.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Moves returns the newest move of each service.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	var out []Move
	err := c.do(ctx, http.MethodGet, "/v1/moves", nil, &out)
	return out, err
}

// Processes returns every process of the system that is known.
func (c *Client) Processes(ctx context.Context) ([]Process, error) {
	var out []Process
	err := c.do(ctx, http.MethodGet, "/v1/processes", nil, &out)
	return out, err
}

// Events returns the events of one process at or after since.
func (c *Client) Events(ctx context.Context, p Process, since time.Time) ([]Event, error) {
	one := Client{Sources: []string{p.Address}, Token: c.Token, Timeout: c.Timeout}
	query := url.Values{"since": {since.UTC().Format(time.RFC3339Nano)}}
	var out []Event
	err := one.do(ctx, http.MethodGet, "/v1/events?"+query.Encode(), nil, &out)
	return out, err
}

// do sends a request to one replica after the other until one answers. A
// request whose outcome is unknown goes on to the next one too: requests are
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
		err := c.once(ctx, method, "http://"+address+path, body, out)
		switch {
		case err == nil, isFinal(err):
			return err
		case !isUnreachable(err):
			result = ErrUnknown
		}
	}
	return result
}

func (c *Client) once(ctx context.Context, method, address string, body []byte, out any) error {
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
		return classify(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return ErrUnknown
	}
	return decodeResponse(response.StatusCode, data, out)
}

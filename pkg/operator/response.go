package operator

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/zeebo/errs"
)

// Failure is the body of an answer that carries no outcome.
type Failure struct {
	Error string `json:"error"`
}

// decodeResponse reads an answer. Conflicts and refusals are outcomes, not
// errors.
func decodeResponse(status int, data []byte, out any) error {
	switch status {
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		if err := json.Unmarshal(data, out); err != nil {
			return ErrUnknown
		}
		return nil
	}
	if status == http.StatusUnauthorized {
		return ErrUnauthorized
	}
	var f Failure
	if json.Unmarshal(data, &f) != nil || f.Error == "" {
		f.Error = http.StatusText(status)
	}
	return errs.Combine(errorOf(status), errs.New("%s", f.Error))
}

func errorOf(status int) error {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return ErrInvalid
	case http.StatusInsufficientStorage:
		return ErrDiskFull
	case http.StatusServiceUnavailable:
		return ErrUnreachable
	default:
		return ErrUnknown
	}
}

// classify tells a connection that never came about from one that broke.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnreachable
	}
	return ErrUnknown
}

func isUnreachable(err error) bool { return errors.Is(err, ErrUnreachable) }

func isFinal(err error) bool {
	return errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrDiskFull)
}

package operator

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/zeebo/errs"
)

// Failure is the JSON body of a response without an outcome. Error is a message
// for people.
type Failure struct {
	Error string `json:"error"`
}

// decodeResponse decodes a response into out, or returns the error for its
// status. Conflicts and rejected changes are outcomes, not errors.
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
	return errs.Combine(errorOfStatus(status), errs.New("%s", f.Error))
}

// errorOfStatus returns the error for an HTTP status other than 200, 401, 409
// and 422.
func errorOfStatus(status int) error {
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

// classifyDoError returns ErrUnreachable if no connection was established, and
// ErrUnknown if it failed later.
func classifyDoError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnreachable
	}
	return ErrUnknown
}

func isUnreachable(err error) bool { return errors.Is(err, ErrUnreachable) }

// isFinal reports whether trying another replica is of no use.
func isFinal(err error) bool {
	return errors.Is(err, ErrUnauthorized) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrDiskFull)
}

package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Urgency tells a gate how urgent a call is.
type Urgency struct {
	Nested         bool          // Made by an upstream while it works on another call.
	ParentPriority int           // The priority of that other call.
	Priority       int           // 0 is the most urgent.
	Objective      time.Duration // Until when an answer is worth most; 0 if not known.
	Retry          bool          // Another gate was asked before, or the caller comes back.
}

// ErrBadUrgency is returned for a rank header that no entry would send.
var ErrBadUrgency = errs.New("call: malformed rank header")

const urgencyFields = 5

// String returns the rank in the form that ParseUrgency reads.
func (r Urgency) String() string {
	b := make([]byte, 0, 24)
	for i, n := range [urgencyFields]int64{flag(r.Nested), int64(r.ParentPriority), int64(r.Priority), r.Objective.Microseconds(), flag(r.Retry)} {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

func flag(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// ParseUrgency reads a rank header. Without one it returns the zero rank.
func ParseUrgency(s string) (Urgency, error) {
	if s == "" {
		return Urgency{}, nil
	}
	fields := strings.Fields(s)
	if len(fields) != urgencyFields {
		return Urgency{}, ErrBadUrgency
	}
	var n [urgencyFields]int64
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return Urgency{}, ErrBadUrgency
		}
		n[i] = v
	}
	return Urgency{
		Nested: n[0] == 1, ParentPriority: int(n[1]), Priority: int(n[2]),
		Objective: time.Duration(n[3]) * time.Microsecond, Retry: n[4] == 1,
	}, nil
}

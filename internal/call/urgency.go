package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Urgency states how urgent a call is, for the inbound proxy that queues it.
// The zero value is that of a top-level call of the highest priority.
type Urgency struct {
	Nested         bool          // An upstream makes the call while it executes another one, the parent.
	ParentPriority int           // The priority of the parent.
	Priority       int           // 0 is the most urgent.
	Objective      time.Duration // The remaining time of the latency objective; 0 if it has none.
	Retry          bool          // An inbound proxy was asked before, or the caller retries.
}

// ErrBadUrgency is returned for an urgency header that is not a list of five
// integers.
var ErrBadUrgency = errs.New("call: malformed urgency header, want five integers")

// numUrgencyFields is the number of fields in an urgency header.
const numUrgencyFields = 5

// String returns the urgency as the value of HeaderRank, which ParseUrgency
// reads. The objective has a resolution of one microsecond.
func (u Urgency) String() string {
	buf := make([]byte, 0, 24)
	for i, field := range [numUrgencyFields]int64{boolField(u.Nested), int64(u.ParentPriority), int64(u.Priority), u.Objective.Microseconds(), boolField(u.Retry)} {
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = strconv.AppendInt(buf, field, 10)
	}
	return string(buf)
}

func boolField(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// ParseUrgency parses the value of HeaderRank. An empty value returns the zero
// Urgency, and a malformed one ErrBadUrgency.
func ParseUrgency(s string) (Urgency, error) {
	if s == "" {
		return Urgency{}, nil
	}
	fields := strings.Fields(s)
	if len(fields) != numUrgencyFields {
		return Urgency{}, ErrBadUrgency
	}
	var values [numUrgencyFields]int64
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return Urgency{}, ErrBadUrgency
		}
		values[i] = v
	}
	return Urgency{
		Nested: values[0] == 1, ParentPriority: int(values[1]), Priority: int(values[2]),
		Objective: time.Duration(values[3]) * time.Microsecond, Retry: values[4] == 1,
	}, nil
}

package call

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Rank tells a gate how urgent a call is.
type Rank struct {
	Nested    bool          // Made by an upstream while it works on another call.
	Priority  int           // 0 is the most urgent.
	Objective time.Duration // Until when an answer is worth most; 0 if not known.
}

// ErrBadRank is returned for a rank header that no entry would send.
var ErrBadRank = errs.New("call: malformed rank header")

// String returns the rank in the form that ParseRank reads.
func (r Rank) String() string {
	nested := 0
	if r.Nested {
		nested = 1
	}
	return fmt.Sprintf("%d %d %d", nested, r.Priority, r.Objective.Microseconds())
}

// ParseRank reads a rank header. Without one it returns the zero rank.
func ParseRank(s string) (Rank, error) {
	if s == "" {
		return Rank{}, nil
	}
	fields := strings.Fields(s)
	if len(fields) != 3 {
		return Rank{}, ErrBadRank
	}
	var n [3]int64
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return Rank{}, ErrBadRank
		}
		n[i] = v
	}
	return Rank{Nested: n[0] == 1, Priority: int(n[1]), Objective: time.Duration(n[2]) * time.Microsecond}, nil
}

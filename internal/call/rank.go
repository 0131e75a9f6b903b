package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Rank tells a gate how urgent a call is.
type Rank struct {
	Nested    bool          // Made by an upstream while it works on another call.
	Parent    int           // The priority of that other call.
	Priority  int           // 0 is the most urgent.
	Objective time.Duration // Until when an answer is worth most; 0 if not known.
	Again     bool          // Another gate was asked before, or the caller comes back.
}

// ErrBadRank is returned for a rank header that no entry would send.
var ErrBadRank = errs.New("call: malformed rank header")

const rankFields = 5

// String returns the rank in the form that ParseRank reads.
func (r Rank) String() string {
	b := make([]byte, 0, 24)
	for i, n := range [rankFields]int64{flag(r.Nested), int64(r.Parent), int64(r.Priority), r.Objective.Microseconds(), flag(r.Again)} {
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

// ParseRank reads a rank header. Without one it returns the zero rank.
func ParseRank(s string) (Rank, error) {
	if s == "" {
		return Rank{}, nil
	}
	fields := strings.Fields(s)
	if len(fields) != rankFields {
		return Rank{}, ErrBadRank
	}
	var n [rankFields]int64
	for i, f := range fields {
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return Rank{}, ErrBadRank
		}
		n[i] = v
	}
	return Rank{
		Nested: n[0] == 1, Parent: int(n[1]), Priority: int(n[2]),
		Objective: time.Duration(n[3]) * time.Microsecond, Again: n[4] == 1,
	}, nil
}

package ledger

import (
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Retire records that an upstream beside the daemon on Host has drained or left.
type Retire struct {
	Host       string
	Retirement directory.Retirement
}

func (r *Retire) check() error {
	if !config.ValidName(r.Host) {
		return errs.Combine(ErrInvalid, errs.New("%.80q is no valid host name", r.Host))
	}
	if err := r.Retirement.Check(); err != nil {
		return errs.Combine(ErrInvalid, err)
	}
	return nil
}

// maxRetirements is the number of retirements kept. It is far more than the upstreams
// of the planned size that leave within the time in which one of their announcements
// may still arrive.
const maxRetirements = 1 << 14

// retirementKey identifies a retired upstream.
type retirementKey struct{ host, id string }

// retirements holds the newest retirements of upstreams. The zero value is empty.
type retirements struct {
	byHost map[string]map[string]directory.Retirement // By host and ID.
	order  []retirementKey                            // Oldest first, each key once.
}

// add keeps r unless a retirement of a later start of the upstream is known.
func (t *retirements) add(r Retire) {
	known, ok := t.byHost[r.Host][r.Retirement.ID]
	if ok && known.Start > r.Retirement.Start {
		return
	}
	if !ok {
		if t.byHost == nil {
			t.byHost = map[string]map[string]directory.Retirement{}
		}
		if t.byHost[r.Host] == nil {
			t.byHost[r.Host] = map[string]directory.Retirement{}
		}
		t.order = append(t.order, retirementKey{r.Host, r.Retirement.ID})
	}
	t.byHost[r.Host][r.Retirement.ID] = r.Retirement
	for len(t.order) > maxRetirements {
		oldest := t.order[0]
		t.order = t.order[1:]
		delete(t.byHost[oldest.host], oldest.id)
		if len(t.byHost[oldest.host]) == 0 {
			delete(t.byHost, oldest.host)
		}
	}
}

// all returns all retirements, oldest first.
func (t *retirements) all() []Retire {
	all := make([]Retire, 0, len(t.order))
	for _, k := range t.order {
		all = append(all, Retire{Host: k.host, Retirement: t.byHost[k.host][k.id]})
	}
	return all
}

// RetirementsByHost returns the newest retirements of the upstreams beside each daemon,
// oldest first. The map is a copy.
func (s *State) RetirementsByHost() map[string][]directory.Retirement {
	byHost := make(map[string][]directory.Retirement, len(s.retirements.byHost))
	for _, r := range s.retirements.all() {
		byHost[r.Host] = append(byHost[r.Host], r.Retirement)
	}
	return byHost
}

// applyRetire keeps a retirement. It makes no revision, and the outcome is not stored:
// applying the command again changes nothing.
func (s *State) applyRetire(c Command) Outcome {
	if err := c.Check(); err != nil {
		return s.reject(c, "%v", err)
	}
	s.retirements.add(*c.Retire)
	return Outcome{Request: c.Request, Status: StatusAccepted, Revision: s.Revision(), At: c.At}
}

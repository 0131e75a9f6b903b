package feed

import "github.com/endivewalk/endivewalk/internal/callstats"

// MergeCallStats merges reports of call statistics from another process, or this
// process's own if from is "". It drops and counts invalid ones.
func (h *Hub) MergeCallStats(from string, reports ...callstats.Report) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	changed := false
	for _, r := range reports {
		if r.Check() != nil {
			h.config.Counters.Add("feed_bad_reports", 1)
			continue
		}
		changed = h.callStats.Merge(from, r) || changed
	}
	if changed {
		h.reported.raise()
	}
}

// CallStats returns the call statistics of a service, summed over all daemons.
func (h *Hub) CallStats(service string) []callstats.Row {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.callStats.RowsOf(service)
}

// RetainCallStats deletes the call statistics of moves that have ended, as far as the
// configuration in force tells. It does nothing until another one is in force.
func (h *Hub) RetainCallStats() {
	state := h.State()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.retainedFor == state {
		return
	}
	h.retainedFor = state
	h.callStats.Retain(func(k callstats.Key) bool {
		m, known := state.Table().Move(k.Service)
		return callstats.Needed(k, m, known)
	})
}

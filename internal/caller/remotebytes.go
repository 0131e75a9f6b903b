package caller

import (
	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// countRemote counts a call that was sent to a target in another data centre, and the
// request bodies that crossed for nothing, since the call was not executed there.
func (p *Proxy) countRemote(c *routedCall, t feed.Target, callErr *call.Error) {
	if t.Zone == p.config.Zone {
		return
	}
	p.config.Counters.Add("remote_calls", 1)
	if c.urgency.Nested {
		p.config.Counters.Add("remote_calls_nested", 1)
	}
	if callErr != nil && callErr.Execution == call.NotExecuted {
		p.config.Counters.Add("remote_calls_refused", 1)
		p.config.Counters.Add("remote_body_bytes_refused", max(0, c.body.length()))
	}
}

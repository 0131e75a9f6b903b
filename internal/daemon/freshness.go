package daemon

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/feed"
)

// keysValidAt reports whether API keys may be accepted at the boot time now by a
// configuration that was the newest accepted one at freshAt, if that is known. A validity of
// 0 means no bound.
func keysValidAt(now, freshAt time.Duration, known bool, validity time.Duration) bool {
	return validity == 0 || known && now-freshAt < validity
}

// keysValid reports whether API keys may be accepted at present by the configuration in
// force. A caller that goes on to decide by a configuration must read that afterwards: an
// older one may have a key that was withdrawn. keysValid must be called again after each
// wait.
func (d *Daemon) keysValid() bool {
	state := d.hub.State()
	freshAt, known := state.FreshAt()
	now := d.config.BootClock()
	valid := keysValidAt(now, freshAt, known, d.config.KeyValidity)
	if state.Table().Keyed() {
		d.recordKeyValidity(state, valid)
	}
	return valid
}

// recordKeyValidity logs and adds an event when a configuration with API keys becomes too
// old to accept keys by, or is recent enough again. Repeated calls with the same outcome do
// nothing.
func (d *Daemon) recordKeyValidity(state *feed.State, valid bool) {
	if d.keysExpired.Load() == !valid || d.keysExpired.Swap(!valid) == !valid {
		return
	}
	kind, text := "keys-confirmed", "accepts API keys again"
	if !valid {
		kind, text = "keys-unconfirmed", "accepts no API keys: the configuration was not confirmed in time"
	}
	d.config.Logger.Log("msg", text, "revision", state.Revision(), "ageMillis", d.freshnessAgeMillis(),
		"validity", d.config.KeyValidity, "parent", d.feedClient.Parent())
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: d.config.Host, Revision: state.Revision(), Text: text})
}

// freshnessAgeMillis returns the time since the configuration in force was certainly the
// newest accepted one, in milliseconds, or -1 if no such time is known.
func (d *Daemon) freshnessAgeMillis() int64 {
	freshAt, known := d.hub.FreshAt()
	if !known {
		return -1
	}
	return (d.config.BootClock() - freshAt).Milliseconds()
}

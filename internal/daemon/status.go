package daemon

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Status is a summary of a daemon's state, shown to operators as JSON.
type Status struct {
	Host     string          `json:"host"`
	Zone     string          `json:"zone"` // The daemon's data centre.
	Revision config.Revision `json:"revision"`
	Digest   uint64          `json:"digest"` // Of the expanded routes.
	Ready    bool            `json:"ready"`  // Calls are served.
	// AgeMillis is the time since the last contact with the source's leader, in
	// milliseconds; -1 if there was none.
	AgeMillis int64                `json:"ageMillis"`
	Parent    string               `json:"parent"`
	Known     int                  `json:"known"`     // Daemons in the directory.
	Upstreams int                  `json:"upstreams"` // Upstreams in the directory.
	Loads     map[string]call.Load `json:"loads"`
}

// Status returns the daemon's state at now.
func (d *Daemon) Status(now time.Time) Status {
	state := d.hub.State()
	s := Status{
		Host: d.config.Host, Zone: d.config.Zone, Revision: state.Revision(), Digest: state.Table().Digest(),
		Ready: d.hub.Serves(state), Parent: d.feedClient.Parent(), Known: len(d.hub.View().Live()), Loads: d.inbound.Loads(),
		AgeMillis: -1,
	}
	for _, r := range d.hub.View().Staying() {
		s.Upstreams += len(r.Upstreams)
	}
	if lastContact := d.hub.LastContact(); !lastContact.IsZero() {
		s.AgeMillis = now.Sub(lastContact).Milliseconds()
	}
	return s
}

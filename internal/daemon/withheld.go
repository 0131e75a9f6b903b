package daemon

import (
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// recordWithheld logs and adds an event when the configuration in force begins to be
// withheld from a child, and when that ends. missing lists the features that the child
// lacks; none means the end.
func (d *Daemon) recordWithheld(child string, missing []config.Feature) {
	kind, text := "feed-withheld", "gets no configuration: its build lacks "+config.FeatureNames(missing)
	if len(missing) == 0 {
		kind, text = "feed-resumed", "gets the configuration again"
	}
	r := d.hub.State().Revision()
	d.config.Logger.Log("msg", "child "+text, "child", child, "revision", r)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: child, Revision: r, Text: text})
}

// recordOwnWithheld is recordWithheld for this daemon, from which its parent withholds the
// configuration.
func (d *Daemon) recordOwnWithheld(missing []config.Feature) {
	kind, text := "feed-withheld", "its parent withholds the configuration: this build lacks "+config.FeatureNames(missing)
	if len(missing) == 0 {
		kind, text = "feed-resumed", "its parent no longer withholds the configuration"
	}
	r := d.hub.State().Revision()
	d.config.Logger.Log("msg", text, "revision", r)
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: kind, Subject: d.config.Host, Revision: r, Text: text})
}

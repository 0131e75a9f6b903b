package source

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// ErrNotEnforced means that a change requires a feature which a live daemon does not
// declare. The change was not accepted. It may be sent again once the daemon runs a newer
// build.
var ErrNotEnforced = errs.New("source: the configuration requires what not all daemons carry out")

// maxNamedHosts is how many hosts an ErrNotEnforced names.
const maxNamedHosts = 8

// checkFeatures returns an error that matches ErrNotEnforced if a daemon in live does not
// declare one of the required features. Those that the configuration in force requires
// are left out: daemons without them get no configuration already, and must not prevent
// the withdrawal of an API key.
//
// Relays of older builds drop the features from the records of the daemons below them, and
// no later exchange restores them. Therefore a record without a feature does not count if
// the acknowledgements, which each daemon sends itself, cover as many daemons as are live
// and all of these declare the feature. A daemon that is not in live yet, as at the start
// of a fleet, is not waited for: the feed withholds the configuration from it.
func checkFeatures(required, inForce []config.Feature, live []directory.Record, ack feed.Ack) error {
	var running []directory.Record
	for _, r := range live {
		if !r.Stopped {
			running = append(running, r)
		}
	}
	for _, f := range config.MissingFeatures(required, inForce) {
		wanted := []config.Feature{f}
		if ack.Daemons >= len(running) && len(config.MissingFeatures(wanted, ack.Features)) == 0 {
			continue
		}
		var hosts []string
		for _, r := range running {
			if len(config.MissingFeatures(wanted, r.Features)) > 0 {
				hosts = append(hosts, r.Host)
			}
		}
		if len(hosts) > 0 {
			return errs.Combine(ErrNotEnforced, errs.New("feature %q is missing on %d of %d daemons (%s): update these first",
				f, len(hosts), len(running), nameHosts(hosts)))
		}
	}
	return nil
}

// nameHosts returns the first maxNamedHosts of hosts as a text.
func nameHosts(hosts []string) string {
	if len(hosts) <= maxNamedHosts {
		return strings.Join(hosts, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(hosts[:maxNamedHosts], ", "), len(hosts)-maxNamedHosts)
}

// checkEnforced returns an error if the replacement p, which need not wait, must not be
// proposed: nothing carries out a part of it, or checkFeatures rejects it. One that is not
// based on the version in force is a conflict when it is applied, and needs no features.
func (c *consensus) checkEnforced(p *proposal) error {
	if p.unsupported != nil {
		return p.unsupported
	}
	if len(p.requires) == 0 || p.command.Replace.Base != c.state.Version() {
		return nil
	}
	hub := c.node.hub
	return checkFeatures(p.requires, c.state.Table().Requires(), hub.View().Live(), hub.FleetAck())
}

// countRefusal counts a replacement that checkEnforced rejected.
func (c *consensus) countRefusal(err error) {
	name := "changes_refused_invalid"
	if errors.Is(err, ErrNotEnforced) {
		name = "changes_refused_features"
	}
	c.node.config.Counters.Add(name, 1)
}

// recordWithheld logs and adds an event when the configuration in force begins to be
// withheld from a daemon that pulls from this replica, and when that ends. missing lists
// the features that the daemon lacks; none means the end.
func (n *Node) recordWithheld(child string, missing []config.Feature) {
	kind, text := "feed-withheld", "gets no configuration: its build lacks "+config.FeatureNames(missing)
	if len(missing) == 0 {
		kind, text = "feed-resumed", "gets the configuration again"
	}
	r := n.hub.State().Revision()
	n.config.Logger.Log("msg", "daemon "+text, "daemon", child, "revision", r)
	n.config.Events.Add(n.config.Clock(), event.Event{Kind: kind, Subject: child, Revision: r, Text: text})
}

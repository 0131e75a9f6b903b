package feed

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/pkg/config"
)

const (
	// withheldAge is the age of the last contact with the source's leader in replies to a child
	// from which the configuration is withheld. It is above staleAge of all builds.
	withheldAge = time.Hour
	// withheldDelay is how long such a child waits before it asks again.
	withheldDelay = time.Second
)

// withhold changes the reply to a child that does not carry out the configuration in
// force: the child gets no configuration, and its parent looks as if it had lost the
// contact with the source. It reports whether the configuration is withheld. The caller
// must hold h.mutex.
//
// A child of an older build would put the configuration in force and ignore a part of it.
// Without it, a child that starts does not reach its minimum revision and rejects calls.
// The age, unlike the delay, also reaches the daemons below the child, which then look
// for another parent.
func (h *Hub) withhold(now time.Time, args PullArgs, reply *PullReply) bool {
	missing := config.MissingFeatures(h.state.Load().requires, args.Features)
	_, before := h.withheld[args.Host]
	if len(missing) == 0 {
		if before {
			delete(h.withheld, args.Host)
			h.notifyWithheld(args.Host, nil)
		}
		return false
	}
	h.config.Counters.Add("feed_withheld", 1)
	h.withheld[args.Host] = now
	if !before {
		h.notifyWithheld(args.Host, missing)
	}
	reply.Withheld, reply.Busy, reply.Age = missing, withheldDelay, max(reply.Age, withheldAge)
	return true
}

// notifyWithheld calls HubConfig.OnWithheld if it is set.
func (h *Hub) notifyWithheld(child string, missing []config.Feature) {
	if h.config.OnWithheld != nil {
		h.config.OnWithheld(child, missing)
	}
}

// expireWithheld forgets the children that have not pulled for childTTL. The caller must
// hold h.mutex.
func (h *Hub) expireWithheld(now time.Time) {
	for name, last := range h.withheld {
		if now.Sub(last) > childTTL {
			delete(h.withheld, name)
		}
	}
}

// ErrWithheld is matched by the error that ClientConfig.OnRejected gets if the daemon does
// not carry out a configuration.
var ErrWithheld = errs.New("feed: the daemon does not carry out the configuration")

// noteWithheld records whether the parent withholds its configuration, and calls
// ClientConfig.OnWithheld when that changes.
func (c *Client) noteWithheld(missing []config.Feature) {
	if len(missing) > 0 {
		c.hub.config.Counters.Add("revisions_withheld", 1)
	}
	if c.isWithheld == (len(missing) > 0) {
		return
	}
	c.isWithheld = !c.isWithheld
	if c.config.OnWithheld != nil {
		c.config.OnWithheld(missing)
	}
}

// withheldError returns an ErrWithheld that names the features.
func withheldError(missing []config.Feature) error {
	return errs.Combine(ErrWithheld, errs.New("missing features: %s", config.FeatureNames(missing)))
}

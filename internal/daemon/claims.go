package daemon

import (
	"slices"

	"github.com/endivewalk/endivewalk/internal/claim"
)

// newClaimClient returns what the entry asks for claims, or nil if none are kept.
func (d *Daemon) newClaimClient(incarnation uint64) *claim.Client {
	if len(d.config.Claims.Replicas) == 0 {
		return nil
	}
	return claim.NewClient(claim.ClientConfig{
		Host: d.config.Host, Incarnation: incarnation, Replicas: d.config.Claims.Replicas,
		Lifetime: d.config.Claims.Lifetime, Clock: d.config.Clock, Call: d.feedClient.Call,
	})
}

// newClaimService makes this daemon a keeper of claims if the settings name it.
func (d *Daemon) newClaimService() {
	if slices.Contains(d.config.Claims.Replicas, d.config.Listen.Peer) {
		d.claims = claim.NewService(d.config.Claims.Replicas, d.config.Claims.Lifetime, d.config.Clock, d.config.Claims.FirstStart)
	}
}

// runClaims makes a keeper that has started complete.
func (d *Daemon) runClaims() {
	if d.claims != nil {
		d.claims.Sync(d.config.Claims.Replicas, d.config.Listen.Peer, d.feedClient.Call, d.stop)
	}
}

// publishClaims shows how the keeper does.
func (d *Daemon) publishClaims() {
	if d.claims == nil {
		return
	}
	c := d.config.Counters
	c.Gauge("claims_kept", func() any { return d.claims.Len() })
	c.Gauge("claims_complete", func() any { return d.claims.Complete() })
	c.Gauge("claims_granted", func() any { return d.claims.Votes(claim.VoteGranted) })
	c.Gauge("claims_taken", func() any { return d.claims.Votes(claim.VoteTaken) })
	c.Gauge("claims_abstained", func() any { return d.claims.Votes(claim.VoteAbstain) })
}

// ServesClaims reports whether this daemon grants claims of keyed calls.
func (d *Daemon) ServesClaims() bool { return d.claims != nil && d.claims.Complete() }

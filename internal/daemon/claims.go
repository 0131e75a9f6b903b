package daemon

import (
	"slices"

	"github.com/endivewalk/endivewalk/internal/claim"
)

// newClaimClient returns the claim client of the outbound proxy, or nil if there
// are no claim replicas.
func (d *Daemon) newClaimClient(incarnation uint64) *claim.Client {
	if len(d.config.Claims.Replicas) == 0 {
		return nil
	}
	return claim.NewClient(claim.ClientConfig{
		Host: d.config.Host, Incarnation: incarnation, Replicas: d.config.Claims.Replicas,
		Lifetime: d.config.Claims.Lifetime, Clock: d.config.Clock, Call: d.feedClient.Call,
	})
}

// newClaimService makes this daemon a claim replica if the settings list its
// peer address.
func (d *Daemon) newClaimService() {
	if slices.Contains(d.config.Claims.Replicas, d.config.Listen.Peer) {
		d.claims = claim.NewService(d.config.Claims.Replicas, d.config.Claims.Lifetime, d.config.Clock, d.config.Claims.FirstStart)
	}
}

// syncClaims copies the claims that other replicas hold, until this replica is
// complete or the daemon stops.
func (d *Daemon) syncClaims() {
	if d.claims != nil {
		d.claims.Sync(d.config.Claims.Replicas, d.config.Listen.Peer, d.feedClient.Call, d.stop)
	}
}

// publishClaimGauges registers the gauges of the claim replica, if this daemon is
// one.
func (d *Daemon) publishClaimGauges() {
	if d.claims == nil {
		return
	}
	c := d.config.Counters
	c.Gauge("claims_kept", func() any { return d.claims.Len() })
	c.Gauge("claims_complete", func() any { return d.claims.Complete() })
	c.Gauge("claims_copied", func() any {
		claims, _ := d.claims.Synced()
		return claims
	})
	c.Gauge("claims_copy_failures", func() any {
		_, failures := d.claims.Synced()
		return failures
	})
	c.Gauge("claims_granted", func() any { return d.claims.Votes(claim.VoteGranted) })
	c.Gauge("claims_taken", func() any { return d.claims.Votes(claim.VoteTaken) })
	c.Gauge("claims_abstained", func() any { return d.claims.Votes(claim.VoteAbstain) })
}

// ServesClaims reports whether this daemon is a claim replica and complete, so
// that it votes on claims.
func (d *Daemon) ServesClaims() bool { return d.claims != nil && d.claims.Complete() }

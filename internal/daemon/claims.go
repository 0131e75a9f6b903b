package daemon

import (
	"slices"

	"github.com/endivewalk/endivewalk/internal/claim"
)

// newTaker returns what the entry asks for claims, or nil if none are kept.
func (d *Daemon) newTaker(incarnation uint64) *claim.Taker {
	if len(d.config.Claims.Keepers) == 0 {
		return nil
	}
	return claim.NewTaker(claim.TakerConfig{
		Host: d.config.Host, Incarnation: incarnation, Keepers: d.config.Claims.Keepers,
		Lifetime: d.config.Claims.Lifetime, Clock: d.config.Clock, Call: d.child.Call,
	})
}

// newKeeper makes this daemon a keeper of claims if the settings name it.
func (d *Daemon) newKeeper() {
	if slices.Contains(d.config.Claims.Keepers, d.config.Listen.Peer) {
		d.claims = claim.NewKeeper(d.config.Claims.Keepers, d.config.Claims.Lifetime, d.config.Clock, d.config.Claims.First)
	}
}

// runClaims makes a keeper that has started complete.
func (d *Daemon) runClaims() {
	if d.claims != nil {
		d.claims.Learn(d.config.Claims.Keepers, d.config.Listen.Peer, d.child.Call, d.stop)
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
	c.Gauge("claims_granted", func() any { return d.claims.Verdicts(claim.VerdictGranted) })
	c.Gauge("claims_taken", func() any { return d.claims.Verdicts(claim.VerdictTaken) })
	c.Gauge("claims_abstained", func() any { return d.claims.Verdicts(claim.VerdictAbstain) })
}

// KeepsClaims reports whether this daemon grants claims of keyed calls.
func (d *Daemon) KeepsClaims() bool { return d.claims != nil && d.claims.Complete() }

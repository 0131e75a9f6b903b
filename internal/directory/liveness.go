package directory

// ProbeResult is what another daemon says about one that did not answer a
// probe.
type ProbeResult uint8

// The answers of a helper.
const (
	ProbeNoReply ProbeResult = iota // The helper itself did not answer.
	ProbeReached                    // It reached the daemon.
	ProbeFailed                     // It did not reach it either.
)

// Liveness is what a watcher concludes.
type Liveness uint8

// The verdicts.
const (
	Alive   Liveness = iota
	Gone             // The daemon is gone.
	Suspect          // The watcher may itself be cut off, so it says nothing.
)

// AssessLiveness concludes from a watcher's own probe and its helpers' answers. One
// watcher's word is not enough: a daemon is gone only if another one that can
// be reached could not reach it either. A watcher that reaches nobody doubts
// itself.
func AssessLiveness(reached bool, helpers []ProbeResult) Liveness {
	if reached {
		return Alive
	}
	missed := false
	for _, h := range helpers {
		switch h {
		case ProbeReached:
			return Alive
		case ProbeFailed:
			missed = true
		}
	}
	if !missed {
		return Suspect
	}
	return Gone
}

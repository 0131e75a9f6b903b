package directory

// HelperAnswer is what another daemon says about one that did not answer a
// probe.
type HelperAnswer uint8

// The answers of a helper.
const (
	HelperSilent  HelperAnswer = iota // The helper itself did not answer.
	HelperReached                     // It reached the daemon.
	HelperMissed                      // It did not reach it either.
)

// Verdict is what a watcher concludes.
type Verdict uint8

// The verdicts.
const (
	VerdictAlive Verdict = iota
	VerdictGone          // The daemon is gone.
	VerdictDoubt         // The watcher may itself be cut off, so it says nothing.
)

// Judge concludes from a watcher's own probe and its helpers' answers. One
// watcher's word is not enough: a daemon is gone only if another one that can
// be reached could not reach it either. A watcher that reaches nobody doubts
// itself.
func Judge(reached bool, helpers []HelperAnswer) Verdict {
	if reached {
		return VerdictAlive
	}
	missed := false
	for _, h := range helpers {
		switch h {
		case HelperReached:
			return VerdictAlive
		case HelperMissed:
			missed = true
		}
	}
	if !missed {
		return VerdictDoubt
	}
	return VerdictGone
}

package directory

// ProbeResult is the result of an indirect probe: another daemon, the indirect
// prober, probes a daemon that did not reply to the process itself.
type ProbeResult uint8

// The results of an indirect probe.
const (
	ProbeNoReply ProbeResult = iota // The indirect prober did not reply.
	ProbeReached                    // The indirect prober reached the daemon.
	ProbeFailed                     // The indirect prober did not reach the daemon.
)

// Liveness is the conclusion of a failure detector about a daemon.
type Liveness uint8

// The conclusions.
const (
	Alive   Liveness = iota
	Gone             // The failure is confirmed.
	Suspect          // The failure is unconfirmed: the detector may itself be cut off, so nothing is reported.
)

// AssessLiveness combines the result of a direct probe with those of the
// indirect probes. A failed direct probe is not enough: a daemon is gone only if
// at least one indirect prober replies that it could not reach it, and none that
// it did. If no indirect prober replies, the process itself may be cut off.
func AssessLiveness(reached bool, indirect []ProbeResult) Liveness {
	if reached {
		return Alive
	}
	failed := false
	for _, r := range indirect {
		switch r {
		case ProbeReached:
			return Alive
		case ProbeFailed:
			failed = true
		}
	}
	if !failed {
		return Suspect
	}
	return Gone
}

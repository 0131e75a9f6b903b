package source

import (
	"errors"
	"fmt"
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/ledger"
)

// retireTimeout limits how long a replica tries to record a retirement. The upstream
// that waits for it asks again after a second.
const retireTimeout = 800 * time.Millisecond

// retire records the retirement of an upstream in the log. A nil error means that it
// is committed.
func (n *Node) retire(args feed.RetireArgs) error {
	out, err := n.Propose(ledger.Command{
		Request:  fmt.Sprintf("retire-%s-%s-%d", args.Host, args.Retirement.ID, args.Retirement.Start),
		Operator: controllerOperator,
		Retire:   &ledger.Retire{Host: args.Host, Retirement: args.Retirement},
	}, n.config.Clock().Add(retireTimeout))
	switch {
	case err != nil:
		return err
	case out.Status == ledger.StatusAccepted:
		return nil
	case out.Reason == ledger.ReasonNothing:
		n.config.Counters.Add("retirements_unsupported", 1)
		return nil // The leader is of an older build, which knows no retirements.
	default:
		return errors.New(out.Reason)
	}
}

// maxLeaderWait limits how long a daemon's question waits for a leader.
const maxLeaderWait = 2 * time.Second

// latestFor returns the newest accepted revision and the retirements of the upstreams
// beside the daemon on args.Host, all of those that were committed before the call.
// Concurrent calls share the confirmation and one look at the state. Without a leader that
// can confirm them it waits for one as long as args.Wait.
func (n *Node) latestFor(args feed.LatestArgs) (feed.LatestReply, error) {
	confirmed, err := n.confirmWithin(min(args.Wait, maxLeaderWait), func() (confirmedRead, error) {
		return n.startConfirmations.do(n.confirmRetirements)
	})
	if err != nil {
		return feed.LatestReply{}, err
	}
	return feed.LatestReply{Revision: confirmed.revision, Retired: confirmed.retired[args.Host]}, nil
}

// confirmWithin returns the first result of read that is not an error. Without a leader that
// can confirm a read it waits for one, at most for d, and then returns the last error.
func (n *Node) confirmWithin(d time.Duration, read func() (confirmedRead, error)) (confirmedRead, error) {
	deadline := n.config.Clock().Add(d)
	for {
		n.awaitLeader(deadline.Sub(n.config.Clock()))
		confirmed, err := read()
		if err == nil {
			return confirmed, nil
		}
		if n.config.Clock().Add(proposeRetryPause).After(deadline) || !n.pause(proposeRetryPause) {
			return confirmedRead{}, err
		}
	}
}

// awaitLeader waits until this replica knows a leader, at most for d.
func (n *Node) awaitLeader(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		leader, changed := n.currentLeader()
		if leader != "" {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-n.stop:
			return
		}
	}
}

// confirmRetirements returns the newest accepted revision, confirmed by a quorum, and the
// retirements that this replica has applied by that point of the log.
func (n *Node) confirmRetirements() (confirmedRead, error) {
	confirmed, err := n.confirmLatest()
	if err != nil {
		return confirmedRead{}, err
	}
	for start := n.config.Clock(); ; {
		retired, _ := inspect(n, func(c *consensus) map[string][]directory.Retirement {
			if c.core.Applied() < confirmed.applied {
				return nil
			}
			return c.state.RetirementsByHost()
		})
		if retired != nil {
			confirmed.retired = retired
			return confirmed, nil
		}
		if n.config.Clock().Sub(start) > configCatchUpTimeout || !n.pause(configPollInterval) {
			return confirmedRead{}, feed.ErrUnconfirmed
		}
	}
}

// Retirements returns the newest retirements of the upstreams beside the daemon on
// host, all of those that were committed before the call.
func (n *Node) Retirements(host string) ([]directory.Retirement, error) {
	reply, err := n.latestFor(feed.LatestArgs{Host: host})
	return reply.Retired, err
}

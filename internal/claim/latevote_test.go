package claim

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A vote that arrives after its timeout was written to the reply while that was read, and
// could count.
func TestLateVoteIsNotRead(t *testing.T) {
	written := make(chan struct{})
	c := &Client{config: ClientConfig{Replicas: []string{"a"}, Call: func(_, _ string, _, reply any, _ time.Duration) error {
		go func() {
			*reply.(*TakeReply) = TakeReply{Verdict: VoteGranted, Claim: Claim{State: StatePending}}
			close(written)
		}()
		return errors.New("timeout")
	}}}
	granted, existing := c.requestVotes(&Grant{}, 1, time.Second)
	<-written
	require.Zero(t, granted)
	require.Nil(t, existing)
}

package feed

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/peer"
)

// silentParent never answers a Notice. It reports on asked that it got one.
type silentParent struct{ asked, release chan struct{} }

func (p *silentParent) Notice(NoticeArgs, *NoticeReply) error {
	select {
	case p.asked <- struct{}{}:
	default:
	}
	<-p.release
	return nil
}

func (p *silentParent) Report(ReportArgs, *ReportReply) error { return nil }

// TestSecondParentIsReplacedWhenItBecomesParent makes a daemon's second parent its
// parent while it waits for a notice from there. The daemon must wait for notices from
// another one from then on, and not only when the call ends: if the new parent hangs,
// nothing else delivers a change.
func TestSecondParentIsReplacedWhenItBecomesParent(t *testing.T) {
	release := make(chan struct{})
	var parents []*silentParent
	var addresses []string
	for range 2 {
		p := &silentParent{asked: make(chan struct{}, 1), release: release}
		server, err := peer.Listen("127.0.0.1:0", &peer.Traffic{})
		require.NoError(t, err)
		require.NoError(t, server.Register("Feed", p))
		go server.Serve()
		t.Cleanup(server.Close)
		parents, addresses = append(parents, p), append(addresses, server.Address())
	}
	t.Cleanup(func() { close(release) })
	hub := NewHub(HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
	child := NewClient(ClientConfig{
		Host: "d", Zone: "z", Sources: addresses, Clock: time.Now, Random: rand.Float64, Traffic: &peer.Traffic{},
	}, hub)
	first, second := child.candidates()[0], child.candidates()[1]
	byAddress := map[string]*silentParent{addresses[0]: parents[0], addresses[1]: parents[1]}
	var group sync.WaitGroup
	group.Go(child.RunSecondParent)
	defer group.Wait()
	defer child.Stop()
	receive := func(p *silentParent, what string) {
		select {
		case <-p.asked:
		case <-time.After(noticeWait / 2):
			t.Fatal(what)
		}
	}
	receive(byAddress[first], "no notice was asked for without a parent")
	child.switchParent(first)
	receive(byAddress[second], "no notice was asked for at another process than the parent")
}

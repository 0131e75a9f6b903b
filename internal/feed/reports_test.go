package feed_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/callstats"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/feed"
	"github.com/endivewalk/endivewalk/internal/peer"
)

// reportedParent is a parent that keeps the call statistics that it gets. Its instance
// and whether it merges partial reports can be changed.
type reportedParent struct {
	fakeParent
	mutex    sync.Mutex
	instance uint64
	partial  bool
	reports  []callstats.Report
	store    callstats.Store
	address  string
	received atomic.Int64 // Reports.
	records  atomic.Int64 // Directory records in the reports.
}

func (p *reportedParent) Report(args feed.ReportArgs, reply *feed.ReportReply) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.received.Add(1)
	p.records.Add(int64(len(args.Records)))
	for _, r := range args.Reports {
		p.reports = append(p.reports, r)
		p.store.Merge(args.Host, r)
	}
	reply.Instance, reply.Partial = p.instance, p.partial
	return nil
}

// restart makes the parent another instance, which knows nothing.
func (p *reportedParent) restart(instance uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.instance, p.store, p.reports = instance, callstats.Store{}, nil
}

// calls returns the sum of the calls that the parent knows, and the newest report.
func (p *reportedParent) calls() (sum int64, newest callstats.Report) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, row := range p.store.RowsOf("s") {
		sum += row.Calls
	}
	if len(p.reports) > 0 {
		newest = p.reports[len(p.reports)-1]
	}
	return sum, newest
}

// runReporter runs a child that reports to p, and returns its hub and counter.
func runReporter(t *testing.T, p *reportedParent) (*feed.Hub, *callstats.Counter) {
	p.address = serve(t, p)
	hub := feed.NewHub(feed.HubConfig{Host: "d", Instance: 1, Counters: &count.Set{}})
	child := feed.NewClient(feed.ClientConfig{
		Host: "d", Zone: "z", Sources: []string{p.address}, Clock: time.Now, Random: rand.Float64, Traffic: &peer.Traffic{},
	}, hub)
	var group sync.WaitGroup
	group.Go(child.RunPull)
	group.Go(child.RunReport)
	t.Cleanup(group.Wait)
	t.Cleanup(child.Stop)
	return hub, callstats.NewCounter("d", 1)
}

// countCalls counts a call to each of the hosts and merges the statistics into the hub.
func countCalls(hub *feed.Hub, c *callstats.Counter, hosts ...string) {
	for _, host := range hosts {
		c.Add(callstats.Key{Service: "s", Move: 1, Version: "v2", Route: "r", Host: host}, time.Millisecond, false)
	}
	hub.MergeCallStats("", c.Report())
}

// A daemon reports the rows that changed, and all of them to a parent that has restarted
// at its address.
func TestRestartedParentGetsAllCallStatistics(t *testing.T) {
	p := &reportedParent{instance: 7, partial: true}
	hub, counter := runReporter(t, p)
	countCalls(hub, counter, "a", "b", "c")
	require.Eventually(t, func() bool { sum, _ := p.calls(); return sum == 3 }, waitTimeout, time.Millisecond)
	countCalls(hub, counter, "b")
	require.Eventually(t, func() bool { sum, _ := p.calls(); return sum == 4 }, waitTimeout, time.Millisecond)
	_, newest := p.calls()
	require.True(t, newest.Partial)
	require.Len(t, newest.Rows, 1)
	p.restart(8)
	countCalls(hub, counter, "b")
	require.Eventually(t, func() bool { sum, _ := p.calls(); return sum == 5 }, waitTimeout, time.Millisecond)
}

// A parent of an older build takes each report for all that the daemon has counted.
func TestOlderParentGetsWholeReports(t *testing.T) {
	p := &reportedParent{}
	hub, counter := runReporter(t, p)
	for i := range int64(3) {
		countCalls(hub, counter, "a", "b")
		require.Eventually(t, func() bool { sum, _ := p.calls(); return sum == 2*(i+1) }, waitTimeout, time.Millisecond)
		_, newest := p.calls()
		require.False(t, newest.Partial)
		require.Len(t, newest.Rows, 2)
	}
}

// Call statistics change with each report of each daemon. They must not wake the pulls of
// all children: a source replica was busy with that alone.
func TestCallStatisticsWakeNoPull(t *testing.T) {
	hub := feed.NewHub(feed.HubConfig{Host: "source", Instance: 1, Source: true, Counters: &count.Set{}})
	changed, reported := hub.Changed(), hub.Reported()
	countCalls(hub, callstats.NewCounter("d", 1), "a")
	select {
	case <-reported:
	default:
		t.Fatal("those who pass the statistics on are not woken")
	}
	select {
	case <-changed:
		t.Fatal("pulls are woken")
	default:
	}
}

package daemon

import (
	"context"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
)

const (
	leavePoll = 20 * time.Millisecond
	// maxHandshake is how long a connection that was being set up when new
	// ones began to be refused may take to be accepted.
	maxHandshake = 200 * time.Millisecond
)

// Leave ends the daemon without cutting off a call. At first it goes on taking
// calls from the other daemons while its callers look elsewhere: where many
// daemons are restarted at once, upstreams that get no calls meanwhile would be
// missed. Then it says that it leaves and goes on taking calls until others
// know. After that it refuses new connections,
// waits until those that are open have been closed by the other side or with
// an answer, and stops. It returns ctx's error if that took too long.
func (d *Daemon) Leave(ctx context.Context) error {
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "daemon-leaving", Subject: d.config.Host, Text: "takes no new work soon"})
	d.pause(d.config.DrainTime - d.config.Withdraw)
	d.leaving.Store(true)
	fronts := []*httpServer{d.inboundServer}
	if d.outboundServer != nil {
		fronts = append(fronts, d.outboundServer)
	}
	for _, f := range fronts {
		f.closing.Store(true)
	}
	d.renewRecord()
	d.pause(d.config.Withdraw)
	for _, f := range fronts {
		if f.refuse() != nil {
			d.config.Counters.Add("listeners_not_refusing", 1)
		}
	}
	d.pause(maxHandshake)
	d.awaitClosed(ctx, fronts)
	var err error
	for _, f := range fronts {
		if failed := f.shutdown(ctx); err == nil {
			err = failed
		}
	}
	for err == nil && !d.inbound.Idle() {
		err = ctx.Err()
		d.pause(leavePoll)
	}
	d.inbound.StopAnnouncements()
	d.stopped.Store(true)
	d.renewRecord()
	d.feedClient.ReportNow()
	d.Stop()
	return err
}

// awaitClosed waits for open connections to be closed, at most as long as the
// daemon lingers. A connection on which nobody calls can stay open for longer;
// it is closed then.
func (d *Daemon) awaitClosed(ctx context.Context, fronts []*httpServer) {
	for waited := time.Duration(0); waited < d.config.DrainTime && ctx.Err() == nil; waited += leavePoll {
		open := int64(0)
		for _, f := range fronts {
			open += f.open.Load()
		}
		if open == 0 {
			return
		}
		d.pause(leavePoll)
	}
}

// Stop ends the daemon at once.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() {
		close(d.stop)
		d.feedClient.Stop()
		d.closeServers()
		d.closeProbes()
		d.outbound.Close()
		d.background.Wait()
	})
}

func (d *Daemon) closeServers() {
	for _, f := range []*httpServer{d.outboundServer, d.inboundServer, d.localServer} {
		if f != nil {
			f.server.Close()
		}
	}
	if d.server != nil {
		d.server.Close()
	}
}

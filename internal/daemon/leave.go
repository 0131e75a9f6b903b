package daemon

import (
	"context"
	"time"

	"github.com/endivewalk/endivewalk/internal/event"
)

const (
	// leavePollInterval is the time between two checks whether connections and
	// calls have ended.
	leavePollInterval = 20 * time.Millisecond
	// handshakeDelay is the time allowed for accepting the connections that were
	// being set up when the system began to refuse new ones.
	handshakeDelay = 200 * time.Millisecond
)

// Leave shuts the daemon down without cutting off a call. It takes these steps:
//  1. For DrainTime - WithdrawTime, it still accepts calls from other daemons, while
//     its own callers turn to other daemons. If many daemons restart at once, the
//     fleet needs the capacity of their upstreams for that time.
//  2. It marks its directory record as leaving and still accepts calls for
//     WithdrawTime, until other daemons have that record.
//  3. It refuses new connections, and the calls that still come on open ones: they could
//     be cut off at the end. It waits until these are closed, by the other side or with a
//     response.
//  4. It publishes its final record and stops.
//
// Leave returns ctx's error if the calls did not end in time. The daemon is
// stopped then, too.
func (d *Daemon) Leave(ctx context.Context) error {
	d.config.Events.Add(d.config.Clock(), event.Event{Kind: "daemon-leaving", Subject: d.config.Host, Text: "takes no new work soon"})
	d.pause(d.config.DrainTime - d.config.WithdrawTime)
	d.leaving.Store(true)
	servers := []*httpServer{d.inboundServer}
	if d.outboundServer != nil {
		servers = append(servers, d.outboundServer)
	}
	for _, s := range servers {
		s.server.DisableKeepAlives()
	}
	d.renewRecord()
	d.pause(d.config.WithdrawTime)
	for _, s := range servers {
		if s.refuseConnections() != nil {
			d.config.Counters.Add("listeners_not_refusing", 1)
		}
	}
	d.pause(handshakeDelay)
	d.inbound.RefuseCalls()
	d.awaitConnectionsClosed(ctx, servers)
	var err error
	for _, s := range servers {
		if shutdownErr := s.shutdown(ctx); err == nil {
			err = shutdownErr
		}
	}
	for err == nil && !d.inbound.Idle() {
		err = ctx.Err()
		d.pause(leavePollInterval)
	}
	d.inbound.StopAnnouncements()
	d.stopped.Store(true)
	d.renewRecord()
	d.feedClient.ReportFinal()
	d.Stop()
	return err
}

// awaitConnectionsClosed waits until all connections of servers are closed, but no
// longer than DrainTime. An idle connection can stay open for longer; shutdown closes
// it.
func (d *Daemon) awaitConnectionsClosed(ctx context.Context, servers []*httpServer) {
	for waited := time.Duration(0); waited < d.config.DrainTime && ctx.Err() == nil; waited += leavePollInterval {
		open := 0
		for _, s := range servers {
			open += s.server.OpenConns()
		}
		if open == 0 {
			return
		}
		d.pause(leavePollInterval)
	}
}

// Stop ends the daemon at once, cutting off running calls, and waits for its
// background goroutines. Further calls have no effect.
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

// closeServers closes the servers that have been started, with their connections.
func (d *Daemon) closeServers() {
	for _, s := range []*httpServer{d.outboundServer, d.inboundServer, d.localServer} {
		if s != nil {
			s.close()
		}
	}
	if d.server != nil {
		d.server.Close()
	}
}

package feed

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/directory"
)

// RunReport reports changes at and below this daemon to the parent until Stop, and without
// changes every maxReportInterval.
func (c *Client) RunReport() {
	var r reporter
	for c.sleep(minReportInterval) {
		changed, acknowledged, reported := c.hub.Changed(), c.hub.Acknowledged(), c.hub.Reported()
		parent, since := c.currentParent()
		if parent != r.parent {
			// Records that the new parent lacks are found by reconciling. All call
			// statistics are reported again.
			r = reporter{parent: parent, cursor: since}
		}
		if parent != "" {
			c.reportOnce(c.config.Clock(), &r)
		}
		t := time.NewTimer(maxReportInterval)
		select {
		case <-c.stop:
		case <-changed:
		case <-acknowledged:
		case <-reported:
		case <-t.C:
		}
		t.Stop()
	}
}

// reporter is the state of the reports to one parent.
type reporter struct {
	parent   string
	cursor   Cursor    // Changes up to here have been reported.
	instance uint64    // The parent's instance that has got the call statistics; 0 if none has.
	partial  bool      // The parent merges partial reports of call statistics.
	ack      Ack       // In the last report.
	sentAt   time.Time // Of the last report that succeeded; zero if none has.
}

// isDue reports whether a report is to be sent at now: one that tells something, or the
// first one in maxReportInterval.
func (r *reporter) isDue(now time.Time, args ReportArgs) bool {
	return len(args.Records)+len(args.Reports) > 0 || !r.ack.Covers(args.Ack) || now.Sub(r.sentAt) >= maxReportInterval
}

// ReportFinal reports this daemon's own record to the parent at once, without the
// interval of RunReport. It is the final report of a daemon that stops, and takes
// at most finalReportTimeout.
func (c *Client) ReportFinal() {
	parent, _ := c.currentParent()
	own, ok := c.hub.Record(c.config.Host)
	if parent == "" || !ok {
		return
	}
	args := ReportArgs{Host: c.config.Host, Ack: c.hub.Ack(), Records: []directory.Record{own}}
	if err := c.client(parent).Call("Feed.Report", args, &ReportReply{}, finalReportTimeout); err != nil {
		c.hub.config.Counters.Add("feed_last_reports_failed", 1)
	}
}

// reportOnce reports what changed since the last report that succeeded. Most changes are
// those that the parent has sent, which it does not get back.
func (c *Client) reportOnce(now time.Time, r *reporter) {
	records, reports, next := c.hub.ChangesFor(r.parent, r.cursor, r.partial)
	args := ReportArgs{Host: c.config.Host, Ack: c.hub.Ack(), Records: records, Reports: reports}
	if !r.isDue(now, args) {
		r.cursor = next
		return
	}
	var reply ReportReply
	if c.client(r.parent).Call("Feed.Report", args, &reply, reportTimeout) != nil {
		return
	}
	r.ack, r.sentAt = args.Ack, now
	r.cursor, r.partial = next, reply.Partial
	if reply.Instance != r.instance {
		// The parent has restarted, or this is the first report to it.
		if r.instance != 0 {
			r.cursor.ForgetReports()
		}
		r.instance = reply.Instance
	}
}

package feed

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/catalog"
	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/expand"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// manyRoutes returns a catalog at revision 1 with count routes.
func manyRoutes(t testing.TB, count int) *catalog.Catalog {
	var all []config.Object
	for i := range count {
		o, err := config.MakeObject(config.HostRoute{
			Name: fmt.Sprintf("r-%x", i*7919), Host: "a.example", Prefix: fmt.Sprintf("/p%x/", i*104729), Repeat: config.RepeatSafe,
			Timeout: config.Duration(1e9), Attempts: 2, Split: []config.Destination{{Service: "s", Weight: 1}},
		})
		require.NoError(t, err)
		all = append(all, o)
	}
	var c catalog.Catalog
	c.Change(all, nil)
	return &c
}

// A change of more than a thousand routes must reach a daemon in well under a
// second over a link of 2 Mbit/s that it shares with calls: the compressed delta
// may take a quarter of a second. Children at the same revision must get the same
// bytes, without another compression.
func TestLargeDeltasAreCompressedOnce(t *testing.T) {
	const bytesPerSecond = 2_000_000 / 8
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	d := manyRoutes(t, 1360).Delta(0, catalog.Digest{})
	first := PullReply{Delta: &d}
	h.compress(&first)
	require.Nil(t, first.Delta)
	require.Less(t, len(first.Packed), bytesPerSecond/4)
	second := PullReply{Delta: &d}
	h.compress(&second)
	require.Same(t, &first.Packed[0], &second.Packed[0], "want the cached bytes for the next child")
	got, err := second.delta()
	require.NoError(t, err)
	require.True(t, slices.EqualFunc(d.Entries, got.Entries, func(a, b catalog.Entry) bool { return reflect.DeepEqual(a, b) }))
	require.Equal(t, []any{d.From, d.To, d.Whole, d.Before, d.After}, []any{got.From, got.To, got.Whole, got.Before, got.After})
}

// A small delta must be sent uncompressed, since it fits into one or two packets.
func TestSmallDeltasAreNotCompressed(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	d := manyRoutes(t, 3).Delta(0, catalog.Digest{})
	reply := PullReply{Delta: &d}
	h.compress(&reply)
	require.Nil(t, reply.Packed)
	require.NotNil(t, reply.Delta)
}

// Truncated compressed data must be rejected with ErrBadMessage, and not be applied
// in part.
func TestTruncatedDeltaIsRejected(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Instance: 1, Source: true, Counters: &count.Set{}})
	d := manyRoutes(t, 100).Delta(0, catalog.Digest{})
	reply := PullReply{Delta: &d}
	h.compress(&reply)
	reply.Packed = reply.Packed[:len(reply.Packed)/2]
	_, err := reply.delta()
	require.ErrorIs(t, err, ErrBadMessage)
}

// A child that knows no source replica in its own data centre must be redirected
// to one and get nothing else, so that no full state is sent between data centres
// first. A child that knows that replica and pulls from another one must be
// served.
func TestChildIsRedirectedToSourceInOwnZone(t *testing.T) {
	h := NewHub(HubConfig{Host: "s", Zone: "a", Instance: 1, Source: true, Counters: &count.Set{}})
	sources := []directory.Source{{Address: "10.0.0.1:1", Zone: "a"}, {Address: "10.1.0.1:1", Zone: "b"}}
	h.SetSources(sources)
	require.True(t, h.Publish(manyRoutes(t, 5), &expand.Table{}))
	now := time.Now()
	got := h.replyTo(now, 0, PullArgs{Host: "d", Zone: "b"})
	require.True(t, got.Elsewhere)
	require.Nil(t, got.Delta)
	require.Equal(t, sources, got.Sources)
	got = h.replyTo(now, 0, PullArgs{Host: "d", Sources: directory.DigestSources(sources)})
	require.False(t, got.Elsewhere)
	require.NotNil(t, got.Delta)
	require.Nil(t, got.Sources, "want no sources: the child has the same list")
	for _, zone := range []string{"a", "c"} {
		require.False(t, h.replyTo(now, 0, PullArgs{Host: "d", Zone: zone}).Elsewhere, zone)
	}
}

// BenchmarkPack measures the compression of a large delta, which the source does
// once, and its decompression, which each child does.
func BenchmarkPack(b *testing.B) {
	for _, routes := range []int{300, 1360} {
		d := manyRoutes(b, routes).Delta(0, catalog.Digest{})
		var data []byte
		b.Run(fmt.Sprintf("pack/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				var err error
				data, err = packDelta(&d)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(bodySize(&d)), "B-bodies")
			b.ReportMetric(float64(len(data)), "B-packed")
		})
		b.Run(fmt.Sprintf("unpack/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				_, err := unpackDelta(data)
				require.NoError(b, err)
			}
		})
	}
}

package localhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/count"
	"github.com/endivewalk/endivewalk/internal/daemon"
	"github.com/endivewalk/endivewalk/internal/directory"
	"github.com/endivewalk/endivewalk/internal/event"
	"github.com/endivewalk/endivewalk/internal/localhttp"
	"github.com/endivewalk/endivewalk/internal/upstream"
)

var now = time.Unix(5000, 0)

const validAnnouncement = `{"id": "w1", "service": "stock", "version": "v1", "address": "127.0.0.1:9000", "slots": 4, "connections": 8, "lease": "3s"}`

// testDaemon has those parts of a daemon that handle announcements.
type testDaemon struct {
	inbound  *upstream.Proxy
	retired  []string // IDs, in the order of the calls of Retire.
	err      error    // Of Retire.
	counters *count.Set
	handler  http.Handler
}

func newTestDaemon(t testing.TB) *testDaemon {
	d := &testDaemon{counters: &count.Set{}}
	events := event.New("d", "z")
	clock := func() time.Time { return now }
	d.inbound = upstream.New(upstream.Config{Clock: clock, Counters: d.counters, Events: events})
	handler, err := localhttp.New(localhttp.Config{
		Inbound: d.inbound, Clock: clock, Events: events, Counters: d.counters,
		Retire: func(id string, _ int64) error {
			d.retired = append(d.retired, id)
			return d.err
		},
		Status: func(time.Time) localhttp.Status { return localhttp.Status{Host: "d"} },
	})
	require.NoError(t, err)
	d.handler = handler
	return d
}

func (d *testDaemon) send(method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// An invalid announcement is rejected with a reason and counted, and the
// upstream announced before stays as it is.
func TestAnnounceRejectsInvalidAnnouncement(t *testing.T) {
	for name, test := range map[string]struct {
		old, new, want string
		status         int
	}{
		"host name":                    {`"127.0.0.1:9000"`, `"localhost:9000"`, "want an IP number and a port", http.StatusUnprocessableEntity},
		"no slots":                     {`"slots": 4`, `"slots": 0`, "slots: want 1 to", http.StatusUnprocessableEntity},
		"fewer connections than slots": {`"connections": 8`, `"connections": 2`, "at least the 4 slots", http.StatusUnprocessableEntity},
		"invalid name":                 {`"w1"`, `"W 1"`, "no valid name", http.StatusUnprocessableEntity},
		"port 0":                       {`:9000`, `:0`, "want an IP number and a port", http.StatusUnprocessableEntity},
		"port out of range":            {`:9000`, `:70000`, "want an IP number and a port", http.StatusUnprocessableEntity},
		"number too large":             {`"slots": 4`, `"slots": 1e400`, "slots", http.StatusBadRequest},
		"number beyond 64 bits":        {`"slots": 4`, `"slots": 18446744073709551616`, "slots", http.StatusBadRequest},
		"negative start":               {`"slots": 4`, `"slots": 4, "start": -1`, "start: want", http.StatusUnprocessableEntity},
		"deeply nested":                {`"slots": 4`, `"slots": 4, "x": ` + strings.Repeat("[", 100_000), "", http.StatusBadRequest},
		"duplicate field":              {`"slots": 4`, `"slots": 4, "slots": 5`, "slots", http.StatusBadRequest},
		"long name":                    {`"w1"`, `"` + strings.Repeat("X", 900_000) + `"`, "id: ", http.StatusUnprocessableEntity},
		"short lease":                  {`"3s"`, `"1ms"`, "lease: want", http.StatusUnprocessableEntity},
		"unknown field":                {`"slots"`, `"slotz": 1, "slots"`, "slotz: unknown field", http.StatusBadRequest},
		"wrong type":                   {`4,`, `"four",`, "slots: want a whole number", http.StatusBadRequest},
		"missing field":                {`"service": "stock", `, ``, `"service" is missing`, http.StatusBadRequest},
		"not an object":                {validAnnouncement, `[1]`, "want an object", http.StatusBadRequest},
		"empty body":                   {validAnnouncement, ``, "", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t)
			require.Equal(t, http.StatusOK, d.send("POST", "/v1/upstreams", validAnnouncement).Code)
			before := d.inbound.Upstreams()
			w := d.send("POST", "/v1/upstreams", strings.Replace(validAnnouncement, test.old, test.new, 1))
			require.Equal(t, test.status, w.Code, w.Body)
			require.Contains(t, w.Body.String(), jsonText(test.want))
			require.Less(t, w.Body.Len(), 32<<10, "the response repeats what was sent")
			require.EqualValues(t, 1, d.counters.Get("announcements_refused"))
			require.Equal(t, before, d.inbound.Upstreams())
		})
	}
}

// jsonText escapes the quotes of a text as in a JSON string.
func jsonText(s string) string { return strings.ReplaceAll(s, `"`, `\"`) }

// Draining or withdrawing an upstream that never announced itself is a 404.
func TestUnknownUpstreamReturnsNotFound(t *testing.T) {
	d := newTestDaemon(t)
	require.Equal(t, http.StatusNotFound, d.send("POST", "/v1/upstreams/w9/drain", "").Code)
	require.Equal(t, http.StatusNotFound, d.send("DELETE", "/v1/upstreams/w9", "").Code)
}

// A drain or a withdrawal is acknowledged only once the source has recorded it. It is in
// force before.
func TestUnrecordedRetirementIsNotAcknowledged(t *testing.T) {
	for _, remove := range []bool{false, true} {
		d := newTestDaemon(t)
		require.Equal(t, http.StatusOK, d.send("POST", "/v1/upstreams", validAnnouncement).Code)
		send := func() int { return d.send("POST", "/v1/upstreams/w1/drain", "").Code }
		if remove {
			send = func() int { return d.send("DELETE", "/v1/upstreams/w1", "").Code }
		}
		d.err = daemon.ErrNotRecorded
		require.Equal(t, http.StatusServiceUnavailable, send())
		for _, u := range d.inbound.Upstreams() {
			require.Equal(t, directory.StateDraining, u.State)
		}
		require.Equal(t, []string{"w1"}, d.retired)
		d.err = nil
		require.Equal(t, http.StatusOK, d.send("POST", "/v1/upstreams", validAnnouncement).Code)
		require.Equal(t, http.StatusOK, send())
		require.Equal(t, []string{"w1", "w1"}, d.retired)
	}
}

// FuzzAnnouncement checks that any body is either accepted as one valid
// upstream, or rejected with one of three 4xx statuses and counted.
func FuzzAnnouncement(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{}`)
	f.Add(`{"id": "w1", "slots": -1e999}`)
	f.Add(strings.Replace(validAnnouncement, "4", "9223372036854775807", 1))
	f.Fuzz(func(t *testing.T, body string) {
		d := newTestDaemon(t)
		w := d.send("POST", "/v1/upstreams", body)
		switch w.Code {
		case http.StatusOK:
			require.Len(t, d.inbound.Upstreams(), 1)
			require.NoError(t, d.inbound.Upstreams()[0].Check())
		case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
			require.Empty(t, d.inbound.Upstreams())
			require.EqualValues(t, 1, d.counters.Get("announcements_refused"))
		default:
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}

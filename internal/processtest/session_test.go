package processtest_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/call"
	"github.com/endivewalk/endivewalk/internal/processtest"
)

// session runs operators' commands and records their output and exit codes.
type session struct {
	t          *testing.T
	g          *processtest.Group
	folder     string // The working directory of the commands.
	transcript bytes.Buffer
}

// Patterns of the output that differ from run to run.
var (
	timestamps    = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z|\d\d:\d\d:\d\d\.\d{3}`)
	waitLines     = regexp.MustCompile(`(?m)^ *\d+\.\d\d s  .*\n`)
	lastContact   = regexp.MustCompile(`heard of \d+ ms ago \(asked source-\d, a \w+\)`)
	leaders       = regexp.MustCompile(`leader source-\d, term \d+`)
	synced        = regexp.MustCompile(`true +\d+`)
	zoneAndLeader = regexp.MustCompile(`TIME  zone-\d  source-\d`)
)

// run runs one command, adds its output without what differs from run to run to the
// transcript, and returns its exit code.
func (s *session) run(args ...string) int {
	command := exec.Command(program, args...)
	command.Dir = s.folder
	command.Env = append(os.Environ(),
		"ENDIVEWALK_SOURCES="+strings.Join(s.g.Client().Sources, ","), "ENDIVEWALK_TOKEN="+processtest.Token)
	var out bytes.Buffer
	command.Stdout, command.Stderr = &out, &out
	err := command.Run()
	if _, failed := err.(*exec.ExitError); err != nil && !failed {
		require.NoError(s.t, err)
	}
	text := out.String()
	for _, r := range []struct {
		pattern *regexp.Regexp
		with    string
	}{{waitLines, ""}, {timestamps, "TIME"}, {lastContact, "heard of lately"}, {leaders, "leader ONE OF THEM"}, {synced, "true   ALL"}, {zoneAndLeader, "TIME  LEADER"}} {
		text = r.pattern.ReplaceAllString(text, r.with)
	}
	code := command.ProcessState.ExitCode()
	fmt.Fprintf(&s.transcript, "$ endivewalk %s\n%sexit %d\n\n", strings.Join(args, " "), text, code)
	return code
}

// TestOperatorSessionMatchesGoldenFile runs a session of operators' commands against
// real processes and compares the transcript with a golden file.
func TestOperatorSessionMatchesGoldenFile(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	for i, name := range []string{"d1", "d2", "d3", "d4"} {
		g.StartDaemon(name, fmt.Sprintf("zone-%d", i%3+1))
	}
	g.Leader()
	g.Eventually(20*time.Second, "reports of all daemons", func() bool {
		s, err := g.Client().Status(t.Context())
		return err == nil && s.Fleet.Known == 4 && s.Fleet.Reporting == 4
	})
	folder := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644))
	}
	mesh, err := os.ReadFile(filepath.Join(repository, "examples", "kilele", "mesh.jsonc"))
	require.NoError(t, err)
	write("mesh.jsonc", string(mesh))
	write("more.jsonc", `{"contracts": [{"team": "clubs", "limit": "7000 bench-credits"}]}`)
	write("other.jsonc", `{"contracts": [{"team": "clubs", "limit": "8000 bench-credits"}]}`)
	write("ponies.jsonc", "{\n  \"contracts\": [\n    {\"team\": \"clubs\", \"limit\": \"5 ponies\"},\n  ],\n}")
	write("typo.jsonc", "{\n  \"contract\": []\n}")
	s := &session{t: t, g: g, folder: folder}
	s.run("check", "mesh.jsonc")
	s.run("apply", "mesh.jsonc", "--request", "day-1", "--wait")
	s.run("status")
	s.run("apply", "more.jsonc", "--version", "1", "--request", "day-2")
	s.run("apply", "other.jsonc", "--version", "1", "--request", "day-3")
	s.run("apply", "more.jsonc", "--version", "1", "--request", "day-2")
	s.run("apply", "other.jsonc", "--request", "day-2")
	s.run("apply", "ponies.jsonc", "--request", "day-4")
	s.run("apply", "typo.jsonc")
	s.run("get", "contract/")
	s.run("get", "contract/", "--json")
	s.run("get", "pony/")
	s.run("move", "stock", "--to", "v2")
	s.run("move", "ponies", "--to", "v2", "--by", "10m", "--request", "day-5")
	s.run("move", "stock", "--to", "v1", "--by", "10m", "--request", "day-6")
	s.run("move", "stock", "--to", "v2", "--by", "10m", "--request", "day-7")
	s.run("move", "stock", "--to", "v3", "--by", "10m", "--request", "day-8")
	s.run("move", "stock", "--back", "--request", "day-9")
	s.run("moves")
	s.run("timeline", "--of", "day-2")
	s.run("status", "--token", "wrong")
	s.run("status", "--sources", "127.0.0.1:1")
	s.run("apply")
	goldie.New(t).Assert(t, "operators-day", s.transcript.Bytes())
}

// repository is the path of the root of this module.
var repository = func() string {
	here, err := os.Getwd()
	if err != nil {
		panic(err)
	}
	return filepath.Join(here, "..", "..")
}()

// TestLeavingDaemonFailsNoCall sends SIGTERM to a daemon that is serving calls. The
// daemon must exit with code 0 and without a failed call; callers on kept-alive
// connections get "Connection: close". After a restart it must not serve an older
// revision.
func TestLeavingDaemonFailsNoCall(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	first := applyToLatest(t, g, "base", kileleObjects(t)...)
	d := g.StartDaemon("d1", "zone-1")
	g.StartDaemon("d2", "zone-2")
	g.StartStandin("d1", "stock-1", "stock", "v1", "--work", "20ms")
	g.StartStandin("d2", "stock-2", "stock", "v1", "--work", "20ms")
	get := func(daemon string) (status int, execution string, closeSeen bool, err error) {
		r, err := http.NewRequest(http.MethodGet, "http://"+g.OutboundAddress(daemon)+"/counters/wax", nil)
		require.NoError(t, err)
		r.Header.Set(call.HeaderTeam, "counters")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, "", false, err
		}
		defer response.Body.Close()
		execution = response.Header.Get(call.HeaderRun) + " " + response.Header.Get(call.HeaderReason)
		return response.StatusCode, strings.TrimSpace(execution), response.Close, nil
	}
	g.Eventually(20*time.Second, "successful call", func() bool {
		status, execution, _, err := get("d1")
		return err == nil && status == http.StatusOK && execution == string(call.Executed)
	})
	g.Eventually(20*time.Second, "registration of both upstreams", func() bool {
		s, err := g.Status("d1")
		return err == nil && s.Upstreams == 2
	})
	before, err := g.Status("d1")
	require.NoError(t, err)
	require.GreaterOrEqual(t, before.Revision, first.Revision)
	stop := make(chan struct{})
	failed := make(chan error, 8)
	for range 8 {
		go func() {
			for {
				select {
				case <-stop:
					failed <- nil
					return
				default:
				}
				status, execution, closeSeen, err := get("d1")
				if err != nil || status != http.StatusOK {
					failed <- fmt.Errorf("status %d, %s, %v", status, execution, err)
					return
				}
				if closeSeen {
					failed <- nil // The caller would use another daemon.
					return
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	d.Signal(syscall.SIGTERM)
	require.Equal(t, 0, d.Wait(20*time.Second))
	close(stop)
	for range 8 {
		require.NoError(t, <-failed)
	}
	// It restarts on the same addresses, and must not serve an older revision.
	g.StartDaemon("d1", "zone-1")
	g.Eventually(20*time.Second, "readiness", func() bool {
		s, err := g.Status("d1")
		return err == nil && s.Ready && s.Revision >= before.Revision
	})
}

// TestKilledDaemonServesNoOlderRevision repeatedly kills and restarts a daemon while
// changes are applied. Whenever the daemon is ready, it must have the revision that
// it had before or a newer one.
func TestKilledDaemonServesNoOlderRevision(t *testing.T) {
	t.Parallel()
	g := processtest.New(t, program)
	applyToLatest(t, g, "base", kileleObjects(t)...)
	g.StartDaemon("d2", "zone-1")
	highest := uint64(0)
	for round := range 6 {
		d := g.StartDaemon("d1", "zone-1")
		out := applyToLatest(t, g, fmt.Sprintf("c%d", round), contract(t, "clubs", 100+round))
		g.Eventually(20*time.Second, "readiness", func() bool {
			s, err := g.Status("d1")
			if err != nil || !s.Ready {
				return false
			}
			require.GreaterOrEqual(t, uint64(s.Revision), highest)
			highest = uint64(s.Revision)
			return s.Revision >= out.Revision
		})
		d.Kill()
	}
}

// TestInvalidSettingsAreRejected starts processes with invalid settings. They must
// exit with code 2 and print the faults with their positions.
func TestInvalidSettingsAreRejected(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(path, []byte("{\n  \"name\": \"a b\",\n  \"zone\": 5,\n  \"extra\": 1,\n}"), 0o644))
	for _, role := range []string{"source", "daemon"} {
		out, err := exec.Command(program, role, "--settings", path).CombinedOutput()
		require.Error(t, err)
		require.Equal(t, 2, err.(*exec.ExitError).ExitCode())
		require.Contains(t, string(out), "bad.jsonc:3:11: zone: want a string, got a number")
		require.Contains(t, string(out), "bad.jsonc:4:3: extra: unknown field")
	}
}

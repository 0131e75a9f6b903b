package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/internal/logs"
)

// blockingOutput is an output whose writes block until release is closed.
type blockingOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	bytes.Buffer
}

func (b *blockingOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

// While its output blocks, a Writer must drop and count lines beyond MaxLines instead
// of blocking the goroutine that logs.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	w := logs.NewWriter(logs.Config{Out: out, MaxLines: 10, FlushInterval: time.Millisecond})
	line := []byte("line\n")
	require.Eventually(t, func() bool {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
		return w.Dropped() > 0
	}, 5*time.Second, time.Millisecond)
	close(out.release)
	w.Close()
	require.GreaterOrEqual(t, strings.Count(out.String(), "line\n"), 10)
}

// Close must write lines whose flush interval has not ended, so that the last lines
// of a process are not lost.
func TestCloseWritesPendingLines(t *testing.T) {
	out := &blockingOutput{release: make(chan struct{})}
	close(out.release)
	w := logs.NewWriter(logs.Config{Out: out, FlushInterval: time.Hour})
	logs.New(w, "p", func() time.Time { return time.Unix(0, 0).UTC() }).Log("msg", "hello", "n", 1)
	w.Close()
	require.Equal(t, "at=00:00:00.000 process=p msg=hello n=1\n", out.String())
}

// Each class must have its own limit, so that frequent lines do not displace lines
// about errors, and the number of dropped lines must be logged. A nil *Calls logs
// nothing.
func TestCallsLimitLinesPerClass(t *testing.T) {
	now := time.Unix(1000, 0)
	var lines []string
	c := logs.NewCalls(logFunc(func(keyvals ...any) { lines = append(lines, keyvals[1].(string)) }), func() time.Time { return now })
	for range 1000 {
		c.Log(logs.ClassAnswer, "msg", "answered")
	}
	c.Log(logs.ClassRefusal, "msg", "refused")
	require.Less(t, len(lines), 100)
	require.Equal(t, "refused", lines[len(lines)-1])
	now = now.Add(time.Second)
	c.Log(logs.ClassAnswer, "msg", "answered")
	require.Equal(t, []string{"lines dropped", "answered"}, lines[len(lines)-2:])
	var none *logs.Calls
	none.Log(logs.ClassAnswer, "msg", "nothing")
}

type logFunc func(keyvals ...any)

func (f logFunc) Log(keyvals ...any) error {
	f(keyvals...)
	return nil
}

// A line with a value of megabytes is cut, and the next line is written in full.
func TestLongLineIsCut(t *testing.T) {
	out := &bytes.Buffer{}
	w := logs.NewWriter(logs.Config{Out: out})
	w.Write([]byte("id=" + strings.Repeat("x", 5<<20) + "\n"))
	w.Write([]byte("next\n"))
	w.Close()
	lines := strings.Split(out.String(), "\n")
	require.Len(t, lines, 3)
	require.Less(t, len(lines[0]), 10<<10)
	require.Equal(t, "next", lines[1])
}

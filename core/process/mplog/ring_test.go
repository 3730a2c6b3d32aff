package mplog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a sink that takes nothing until it is freed.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.got.Write(p)
}

func TestRing(t *testing.T) {
	t.Run("a stuck sink neither blocks nor grows memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			sink := &stuck{free: make(chan struct{})}
			r := NewAsyncWriter(sink)
			line := []byte(strings.Repeat("x", 99) + "\n")
			begun := time.Now()
			for range 20_000 {
				_, _ = r.Write(line)
			}
			if took := time.Since(begun); took > 0 {
				t.Errorf("writing took %v", took)
			}
			r.mu.Lock()
			waiting := len(r.buf)
			r.mu.Unlock()
			if waiting > ringBytes {
				t.Errorf("%d bytes wait, want %d at most", waiting, ringBytes)
			}
			<-time.After(time.Second)
			close(sink.free)
			r.Close(time.Minute)
			if r.DroppedLines() == 0 || !strings.Contains(sink.got.String(), "log lines dropped") {
				t.Errorf("%d lines dropped, and the log does not tell", r.DroppedLines())
			}
		})
	})
	t.Run("all lines arrive in order, at the end too", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var sink bytes.Buffer
			r := NewAsyncWriter(&sink)
			_, _ = r.Write([]byte("a\n"))
			<-time.After(time.Second)
			_, _ = r.Write([]byte("b\n"))
			r.Close(time.Minute)
			if got := sink.String(); got != "a\nb\n" {
				t.Errorf("got %q", got)
			}
		})
	})
}

package mplog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.written.Write(p)
}

func TestAsyncWriter(t *testing.T) {
	t.Run("a blocked writer neither delays callers nor grows the buffer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			out := &blockedWriter{unblock: make(chan struct{})}
			w := NewAsyncWriter(out)
			line := []byte(strings.Repeat("x", 99) + "\n")
			start := time.Now()
			for range 20_000 {
				_, _ = w.Write(line)
			}
			if took := time.Since(start); took > 0 {
				t.Errorf("writing took %v, want no delay", took)
			}
			w.mu.Lock()
			buffered := len(w.buf)
			w.mu.Unlock()
			if buffered > maxBufferBytes {
				t.Errorf("%d bytes buffered, want at most %d", buffered, maxBufferBytes)
			}
			<-time.After(time.Second)
			close(out.unblock)
			w.Close(time.Minute)
			if w.DroppedLines() == 0 || !strings.Contains(out.written.String(), "log lines dropped") {
				t.Errorf("%d lines dropped, want some and a log line with their number", w.DroppedLines())
			}
		})
	})
	t.Run("lines are written in order, including those left at Close", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var out bytes.Buffer
			w := NewAsyncWriter(&out)
			_, _ = w.Write([]byte("a\n"))
			<-time.After(time.Second)
			_, _ = w.Write([]byte("b\n"))
			w.Close(time.Minute)
			if got := out.String(); got != "a\nb\n" {
				t.Errorf("got %q", got)
			}
		})
	})
}

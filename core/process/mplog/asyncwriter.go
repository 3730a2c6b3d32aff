package mplog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferBytes limits the lines that are buffered for a slow writer.
	maxBufferBytes = 512 << 10
	// flushDelay is how long lines are collected for one write.
	flushDelay = 20 * time.Millisecond
)

// AsyncWriter buffers lines and writes them from its own goroutine, so that a slow or
// blocked writer never delays a caller. Lines that do not fit into the buffer are dropped
// and counted.
type AsyncWriter struct {
	w      io.Writer
	wakeup chan struct{}
	done   chan struct{}

	mu         sync.Mutex
	buf        []byte
	dropped    int64
	unreported int64
	closed     bool
}

// NewAsyncWriter returns an AsyncWriter that writes to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers one line. It never blocks on the writer and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.buf)+len(line) > maxBufferBytes {
		a.dropped++
		a.unreported++
	} else {
		a.buf = append(a.buf, line...)
	}
	a.mu.Unlock()
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped.
func (a *AsyncWriter) DroppedLines() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for range a.wakeup {
		time.Sleep(flushDelay)
		if !a.flush() {
			return
		}
	}
}

// flush writes the buffered lines, and a line with the number of lines dropped since the
// last flush. It returns false when the writer is closed.
func (a *AsyncWriter) flush() bool {
	a.mu.Lock()
	out, unreported, closed := a.buf, a.unreported, a.closed
	a.buf, a.unreported = nil, 0
	a.mu.Unlock()
	if unreported > 0 {
		out = fmt.Appendf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", unreported)
	}
	if len(out) > 0 {
		// A write error is ignored, since this is the writer that it would be logged to.
		_, _ = a.w.Write(out)
	}
	return !closed
}

// Close writes the buffered lines and waits at most timeout for that.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-a.done:
	case <-t.C:
	}
}

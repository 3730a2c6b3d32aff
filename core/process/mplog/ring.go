package mplog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// ringBytes bounds the lines that wait for a slow reader.
	ringBytes = 512 << 10
	// flushEvery gathers lines into one write.
	flushEvery = 20 * time.Millisecond
)

// AsyncWriter passes lines on to a writer in its own time. A writer that is slow or
// stuck never delays a caller: lines that find no place are dropped and counted.
type AsyncWriter struct {
	w    io.Writer
	kick chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buf     []byte
	dropped int64
	lost    int64
	closed  bool
}

// NewAsyncWriter returns a ring that writes to w until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{w: w, kick: make(chan struct{}, 1), done: make(chan struct{})}
	go r.run()
	return r
}

// Write takes one line. It never blocks and never fails.
func (r *AsyncWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	if r.closed || len(r.buf)+len(line) > ringBytes {
		r.dropped++
		r.lost++
	} else {
		r.buf = append(r.buf, line...)
	}
	r.mu.Unlock()
	select {
	case r.kick <- struct{}{}:
	default:
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were lost.
func (r *AsyncWriter) DroppedLines() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	for range r.kick {
		time.Sleep(flushEvery)
		if !r.flush() {
			return
		}
	}
}

// flush writes what waits, and how many lines were lost before it. It returns
// false when the ring is closed.
func (r *AsyncWriter) flush() bool {
	r.mu.Lock()
	out, lost, closed := r.buf, r.lost, r.closed
	r.buf, r.lost = nil, 0
	r.mu.Unlock()
	if lost > 0 {
		out = fmt.Appendf(out, "level=warn msg=\"log lines dropped\" lines=%d\n", lost)
	}
	if len(out) > 0 {
		// An error is not logged: there is nowhere to log it.
		_, _ = r.w.Write(out)
	}
	return !closed
}

// Close writes what waits, and gives up when that takes longer than within.
func (r *AsyncWriter) Close(within time.Duration) {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	select {
	case r.kick <- struct{}{}:
	default:
	}
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case <-r.done:
	case <-t.C:
	}
}

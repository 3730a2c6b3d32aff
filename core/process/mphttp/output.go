package mphttp

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"mustardpost.org/core/process/mpmemory"
)

const (
	// maxPendingBytes is what the engine may keep for a client beside the kernel. Then handlers wait.
	maxPendingBytes = 64 << 10
	// drainPollInterval is how often a handler that waits looks whether the connection was closed.
	drainPollInterval = 100 * time.Millisecond
)

// output is the writing side of a client's connection. The engine never blocks and keeps what the client
// does not read, without a bound; output makes handlers wait instead.
type output struct {
	*nbio.Conn
	// queued is the number of bytes given to the engine, and flushed that of those given to the kernel.
	queued, flushed atomic.Int64
	// flushedAt is when bytes were last given to the kernel, or to the engine while it kept none, in ns.
	flushedAt atomic.Int64
	drained   chan struct{}
}

func newOutput(c *nbio.Conn) *output { return &output{Conn: c, drained: make(chan struct{}, 1)} }

func (o *output) pending() int64 { return o.queued.Load() - o.flushed.Load() }

// onFlushed is called by the engine, with its lock of the connection held, when it gave bytes to the kernel.
func (o *output) onFlushed(now time.Time, n int) {
	o.flushedAt.Store(now.UnixNano())
	o.flushed.Add(int64(n))
	select {
	case o.drained <- struct{}{}:
	default:
	}
}

// isStalled reports whether the client has read nothing for the stall timeout although bytes are pending.
func (o *output) isStalled(now time.Time) bool {
	return o.pending() > 0 && now.Sub(time.Unix(0, o.flushedAt.Load())) >= mpmemory.StallTimeout
}

// Write writes b. It waits while more than maxPendingBytes are pending, until the connection is closed.
func (o *output) Write(b []byte) (int, error) {
	for written := 0; written < len(b); {
		if err := o.awaitDrain(); err != nil {
			return written, err
		}
		n, err := o.write(b[written:min(len(b), written+maxPendingBytes)])
		if err != nil {
			return written, err
		}
		written += n
	}
	return len(b), nil
}

// write writes b without waiting.
func (o *output) write(b []byte) (int, error) {
	if o.pending() == 0 {
		o.flushedAt.Store(time.Now().UnixNano())
	}
	o.queued.Add(int64(len(b)))
	return o.Conn.Write(b)
}

func (o *output) awaitDrain() error {
	for o.pending() > maxPendingBytes {
		if closed, _ := o.IsClosed(); closed {
			return net.ErrClosed
		}
		select {
		case <-o.drained:
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}

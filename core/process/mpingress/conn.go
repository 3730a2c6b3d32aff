package mpingress

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mustardpost.org/core/process/mpmemory"
)

const (
	// lingerTimeout is how long a connection is read after a refusal, at most lingerBytes, since a
	// reset for unread data would destroy the refusal before the client has read it.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// renewShare is the share of the stall timeout for which a write deadline is not renewed.
	renewShare = 8
)

// rawRefusal answers a request whose head is not kept, for lack of memory.
const rawRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: " + retryAfter +
	"\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\nout of memory\n"

// past is a deadline that interrupts reads at once.
var past = time.Unix(1, 0)

// phase is how far the present request of a connection is.
type phase uint8

const (
	noRequest phase = iota
	inHead
	// inBody means that a handler has the request, whose body has not been read whole.
	inBody
	// allRead means that the request has been read whole. No read deadline may be set then, since net/http
	// reads on to notice when the client disconnects.
	allRead
)

// conn is a client's connection. net/http reads and writes it from one goroutine at a time.
type conn struct {
	net.Conn
	s       *Server
	address string
	held    *mpmemory.Connection

	// isCharged is set once the cost of the connection was asked for. Only reads use it, and
	// refused, which is set once a refusal was written in place of a response.
	isCharged, refused bool
	// headBytes is the number of bytes that arrived of the present head.
	headBytes int64
	// writeRenewedAt is when the write deadline was last set. Only writes use it.
	writeRenewedAt time.Time
	// isUnread is set once the client has read nothing for the stall timeout.
	isUnread atomic.Bool

	mu    sync.Mutex
	phase phase
	// deadline is the read deadline for the body, and applied the one that was set last.
	deadline, applied time.Time
	// timedOut is set once the deadline for the body has passed.
	timedOut bool
	// isInterrupted is set once the connection was ended to make room for others.
	isInterrupted bool
	// lingers is set if the client may still send when the connection closes.
	lingers, isClosed bool
}

var _ mpmemory.Ender = (*conn)(nil)

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite is that of net.TCPConn.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// End interrupts reads, so that the goroutine of the connection refuses the request and closes it.
func (c *conn) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInterrupted = true
	_ = c.Conn.SetReadDeadline(past)
}

func (c *conn) wasInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isInterrupted
}

// SetReadDeadline is called by net/http, which clears the deadline when the body has been read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inBody && t.IsZero() {
		c.phase = allRead
	}
	if c.isInterrupted {
		return nil
	}
	c.applied = t
	return c.Conn.SetReadDeadline(t)
}

// Read reads what has arrived, if there is room for it.
func (c *conn) Read(p []byte) (int, error) {
	if !c.isCharged {
		c.isCharged = true
		if err := await(c.held.Grow(time.Now(), ConnectionBytes)); err != nil {
			return 0, c.refuseRaw()
		}
	}
	if err := c.prepareRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if err := c.accept(n); err != nil {
			return 0, c.refuseRaw()
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.expire() {
		return n, c.refuseRaw()
	}
	return n, err
}

// prepareRead sets the deadline for the body, if it has changed.
func (c *conn) prepareRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted || c.phase != inBody || c.deadline.Equal(c.applied) {
		return nil // Reads of an interrupted connection fail by themselves.
	}
	c.applied = c.deadline
	return c.Conn.SetReadDeadline(c.deadline)
}

// accept reserves what n bytes of a head take.
func (c *conn) accept(n int) error {
	c.mu.Lock()
	before := c.phase
	if before == noRequest {
		c.phase = inHead
	}
	c.mu.Unlock()
	switch before {
	case noRequest:
		c.headBytes = int64(n)
		return await(c.held.Begin(time.Now(), headCost*int64(n)))
	case inHead:
		c.headBytes += int64(n)
		now := time.Now()
		c.held.Progress(now, c.headBytes)
		return await(c.held.Grow(now, headCost*int64(n)))
	case inBody:
	case allRead:
		// The client sends more than one request at a time. What arrives of the others stays in the
		// receive buffer until this one has ended.
		c.held.GrowIfFree(receiveBufferBytes)
	}
	return nil
}

// expire records that a read deadline has passed. It returns true if the request must be refused here,
// since its head has not arrived and the connection was ended.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inBody && !c.isInterrupted {
		c.timedOut = true
	}
	return c.isInterrupted && c.phase == inHead
}

// await waits for a reservation, if that must be awaited.
func await(w *mpmemory.Wait, err error) error {
	if err != nil || w == nil {
		return err
	}
	return w.Await(context.Background(), mpmemory.ReleaseTimeout)
}

// refuseRaw answers a request that has no handler yet. It returns the error of the read, for which
// net/http closes the connection without an answer of its own.
func (c *conn) refuseRaw() error {
	if !c.refused {
		c.refused = true
		c.held.Release(math.MaxInt64) // Others may wait for it, and the client may not read.
		c.linger()
		_, _ = c.Write([]byte(rawRefusal))
	}
	return os.ErrDeadlineExceeded
}

// beginRequest records that the head of a request has arrived. It returns an error if the request must
// not run.
func (c *conn) beginRequest(hasBody bool) error {
	now := time.Now()
	if hasBody {
		c.mu.Lock()
		// Applied here too, for handlers that do not read the body: net/http does it for them.
		c.phase, c.timedOut, c.deadline = inBody, false, now.Add(c.s.stallTimeout())
		c.mu.Unlock()
		// The head may have come with an earlier request.
		return await(c.held.Begin(now, 0))
	}
	c.mu.Lock()
	c.phase = allRead
	c.mu.Unlock()
	return c.held.Run()
}

// endRequest releases what the request held. net/http may still write the end of the response, and read
// the rest of the body.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingers {
		c.held.Release(math.MaxInt64) // Closing may take a while.
	} else {
		c.held.Shrink()
	}
	if c.phase == inBody {
		c.deadline = time.Now().Add(lingerTimeout)
	}
}

// becomeIdle records that the connection waits for the next request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	c.phase = noRequest
	c.mu.Unlock()
	c.held.Finish(time.Now())
}

// setBodyDeadline sets the deadline for the next reads of the body.
func (c *conn) setBodyDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
}

func (c *conn) bodyTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
}

// SetWriteDeadline is called by net/http, which clears the deadline when a response has ended.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeRenewedAt = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Write writes p. It fails once the client has read nothing for the stall timeout, for which net/http
// cancels the context of the request.
func (c *conn) Write(p []byte) (int, error) {
	if c.isUnread.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	stall, start := c.s.stallTimeout(), time.Now()
	if start.Sub(c.writeRenewedAt) > stall/renewShare {
		c.writeRenewedAt = start
		_ = c.Conn.SetWriteDeadline(start.Add(stall))
	}
	written := 0
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		if n > 0 {
			start = now
		}
		left := stall - now.Sub(start)
		if left <= 0 {
			c.isUnread.Store(true)
			_ = c.SetLinger(0) // Nobody reads what the kernel keeps.
			c.report(mpmemory.Unread, 0)
			return written, err
		}
		c.writeRenewedAt = now
		_ = c.Conn.SetWriteDeadline(now.Add(left))
	}
}

func (c *conn) report(kind mpmemory.Kind, received int64) {
	c.s.cfg.Memory.Report(mpmemory.Event{Kind: kind, Address: c.address, Received: received})
}

// linger lets the connection be read for a while when it closes.
func (c *conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// Close closes the connection. What it holds is released first, since it may linger.
func (c *conn) Close() error {
	c.mu.Lock()
	lingers := c.lingers && !c.isClosed && !c.isUnread.Load()
	c.isClosed = true
	c.mu.Unlock()
	c.held.Release(math.MaxInt64)
	if lingers && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	err := c.Conn.Close()
	c.held.Close()
	return err
}

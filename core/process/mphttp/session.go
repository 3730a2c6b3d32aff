package mphttp

import (
	"errors"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"mustardpost.org/core/process/mpmemory"
)

const (
	// ConnectionBytes is the cost of an open connection.
	ConnectionBytes = 4 << 10
	// maxQueuedRequests limits the requests that a client sends ahead of their responses, since a short one
	// takes more memory than it has bytes.
	maxQueuedRequests = 64
	// pieceBytes is how much is parsed before their number is checked.
	pieceBytes = 4 << 10
)

// wholeRequest is a request that has arrived whole and whose handler has not returned.
type wholeRequest struct {
	// cost is what is reserved for it.
	cost int64
	// isRefused is set if the connection was ended before, so that it must not run.
	isRefused bool
}

// session is a client's connection. It stands before the parser of the engine, through which all data
// passes.
type session struct {
	nbhttp.ParserCloser
	s       *Server
	conn    *nbio.Conn
	held    *mpmemory.Connection
	address string
	output  *output

	mu sync.Mutex
	// arriving is what is reserved for a request that arrives, and received its number of bytes so far.
	arriving, received int64
	// isReserving is set while bytes have arrived for which room is asked.
	isReserving           bool
	startedAt, progressAt time.Time
	// isOversized is set if the request that arrives announces a body over the limit.
	isOversized bool
	// requests holds the requests that run or wait for their turn, in order.
	requests []wholeRequest
	// isRejected is set once nothing more is parsed, because of err.
	isRejected bool
	err        error
}

var _ mpmemory.Ender = (*session)(nil)

// open draws the connection and its cost on the budget, and reports whether there is place and room.
func (c *session) open(now time.Time) bool {
	c.mu.Lock() // The connection may be ended for another one at once.
	held, err := c.s.cfg.Memory.Open(now, c.address, c)
	c.held = held
	c.mu.Unlock()
	if err != nil {
		return false
	}
	w, err := held.Grow(now, ConnectionBytes)
	if settle(now, w, err) != nil {
		held.Close()
		return false
	}
	return true
}

// receive parses data if there is room for it.
func (c *session) receive(now time.Time, data []byte) {
	cost := mpmemory.HeldCopies * int64(len(data))
	if err := c.reserve(now, cost); err != nil {
		c.reject(http.StatusServiceUnavailable, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReserving = false
	if c.isRejected {
		c.held.Release(cost)
		return
	}
	for len(data) > 0 && !c.isRejected {
		piece := data[:min(len(data), pieceBytes)]
		data = data[len(piece):]
		c.parse(now, piece)
	}
	c.held.Release(mpmemory.HeldCopies * int64(len(data)))
}

// parse parses a part of what has arrived, for which room is reserved. The caller holds c.mu.
func (c *session) parse(now time.Time, piece []byte) {
	if c.received == 0 {
		c.startedAt = now
	}
	c.arriving += mpmemory.HeldCopies * int64(len(piece))
	c.received += int64(len(piece))
	c.progressAt = now
	err := c.Parse(piece)
	if err == nil && c.isOversized {
		err = nbhttp.ErrTooLong
	}
	if err != nil {
		c.rejectLocked(c.statusOf(err), err)
	} else if len(c.requests) > maxQueuedRequests {
		c.rejectLocked(http.StatusBadRequest, errTooManyQueued)
	}
}

// reserve draws n bytes on the budget. It does not wait, since a poller serves many connections: those that
// are ended for it release at once.
func (c *session) reserve(now time.Time, n int64) error {
	c.mu.Lock()
	isFirst, received := c.received == 0, c.received
	c.isReserving = true
	c.mu.Unlock()
	var w *mpmemory.Wait
	var err error
	if isFirst {
		w, err = c.held.Begin(now, n)
	} else {
		c.held.Progress(now, received)
		w, err = c.held.Grow(now, n)
	}
	return settle(now, w, err)
}

// settle returns nil if a reservation was granted by now.
func settle(now time.Time, w *mpmemory.Wait, err error) error {
	if err != nil || w == nil {
		return err
	}
	return w.Settle(now)
}

// processor is that of the engine. It notices announced lengths, which the engine checks no sooner than the
// body has arrived.
type processor struct {
	nbhttp.Processor
	c *session
}

// OnContentLength is called by Parse when a head has arrived.
func (p *processor) OnContentLength(parser *nbhttp.Parser, n int) {
	p.c.isOversized = p.c.isOversized || n > p.c.s.cfg.MaxBodyBytes
	p.Processor.OnContentLength(parser, n)
}

// onRequest is called by Parse when a request has arrived whole, before its handler is queued.
func (c *session) onRequest() {
	req := wholeRequest{cost: c.arriving}
	c.arriving, c.received = 0, 0
	if err := c.held.Run(); err != nil {
		req.isRefused, c.isRejected, c.err = true, true, err
	}
	c.requests = append(c.requests, req)
}

// mayRun reports whether the next request may run.
func (c *session) mayRun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.requests[0].isRefused
}

// finish records that the handler of a request has returned.
func (c *session) finish(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req := c.requests[0]
	c.requests = c.requests[1:]
	switch {
	case len(c.requests) > 0:
		c.held.Release(req.cost)
	case c.isRejected:
		c.held.Release(math.MaxInt64)
		if req.isRefused {
			c.answer(0) // It has its answer.
		}
	case c.arriving > 0 || c.isReserving:
		c.held.Restart(now, req.cost)
	default:
		c.held.Finish(now)
	}
}

// End makes the connection release what it holds for a request that arrives, and closes it.
func (c *session) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := http.StatusServiceUnavailable
	if c.received == 0 && !c.isReserving {
		status = 0
	}
	c.rejectLocked(status, mpmemory.ErrEnded)
}

// reject drops all further data and closes the connection. The request that arrives is answered with status;
// 0 stands for none.
func (c *session) reject(status int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectLocked(status, err)
}

func (c *session) rejectLocked(status int, err error) {
	if c.isRejected {
		return
	}
	c.isRejected, c.err = true, err
	if c.conn == nil {
		c.held.Release(math.MaxInt64)
		return // The engine has not opened it yet; onOpen closes it.
	}
	c.CloseAndClean(err)
	if len(c.requests) > 0 {
		c.held.Release(c.arriving)
	} else {
		c.held.Release(math.MaxInt64)
	}
	if status == 0 {
		_ = c.conn.CloseWithError(err)
		return
	}
	c.answer(status)
}

// answer writes the answer to the request that was arriving, unless status is 0, and closes the connection
// after rejectionLinger. It is written after all responses to requests before, since the client would take it
// for the answer to one that runs. The caller holds c.mu.
func (c *session) answer(status int) {
	c.conn.Execute(func() {
		if status != 0 {
			_, _ = c.output.write(c.s.errorResponse(status))
		}
		c.closeLater()
	})
}

func (c *session) closeLater() {
	time.AfterFunc(rejectionLinger, func() { _ = c.conn.CloseWithError(c.err) })
}

// checkStalled ends the connection if a request has stopped to arrive, or if the client reads nothing of
// its responses.
func (c *session) checkStalled(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.output.isStalled(now) {
		c.report(mpmemory.Unread)
		_ = c.conn.SetLinger(1, 0) // Nobody reads what the kernel keeps.
		_ = c.conn.CloseWithError(errUnread)
		return
	}
	if c.isRejected || c.received == 0 || len(c.requests) > 0 {
		return
	}
	if now.Before(mpmemory.ArrivalDeadline(c.startedAt, c.progressAt, c.received, mpmemory.StallTimeout)) {
		return
	}
	kind := mpmemory.Slow
	if now.Sub(c.progressAt) >= mpmemory.StallTimeout {
		kind = mpmemory.Stalled
	}
	c.report(kind)
	c.rejectLocked(http.StatusRequestTimeout, errStalled)
}

// report tells of a limit that acted on the connection. The caller holds c.mu.
func (c *session) report(kind mpmemory.Kind) {
	c.s.cfg.Memory.Report(mpmemory.Event{Kind: kind, Address: c.address, Held: c.arriving, Received: c.received})
}

// statusOf returns the response status to a request that cannot be parsed. The caller holds c.mu.
func (c *session) statusOf(err error) int {
	if errors.Is(err, nbhttp.ErrTooLong) {
		c.report(mpmemory.Oversized)
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

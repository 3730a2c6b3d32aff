package mpmemory

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Wait is a reservation that is granted once others have released enough.
type Wait struct {
	b *Budget
	// c is nil for a running request.
	c     *Connection
	n     int64
	ready chan struct{}
	err   error
}

// Ready is closed when the wait is over. Err then tells how it ended.
func (w *Wait) Ready() <-chan struct{} { return w.ready }

// Err returns nil if the reservation was granted. It may only be called after Ready is closed.
func (w *Wait) Err() error { return w.err }

// Cancel gives the wait up. It returns false if it is over.
func (w *Wait) Cancel() bool {
	w.b.mu.Lock()
	defer w.b.mu.Unlock()
	if !w.b.dropWait(w) {
		return false
	}
	w.finish(ErrFull)
	w.b.grantWaits()
	return true
}

// Await waits until the wait is over, and gives it up when ctx is done or, unless timeout is 0, after
// timeout. It returns nil if the reservation was granted.
func (w *Wait) Await(ctx context.Context, timeout time.Duration) error {
	var expired <-chan time.Time
	if timeout > 0 {
		t := time.NewTimer(timeout)
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.ready:
	case <-expired:
	case <-ctx.Done():
	}
	return w.Settle(time.Now())
}

// Settle gives the wait up unless it is over. It returns nil if the reservation was granted.
func (w *Wait) Settle(now time.Time) error {
	if w.Cancel() && w.c != nil {
		w.c.reportRefused(now)
	}
	return w.err
}

// finish ends the wait. The caller holds b.mu and has removed w.
func (w *Wait) finish(err error) {
	w.err = err
	close(w.ready)
}

// Grow reserves n bytes more for the request that arrives. It returns nil if that is done, a Wait if
// others were ended and have to release first, and an error if there is no room or c itself was ended.
func (c *Connection) Grow(now time.Time, n int64) (*Wait, error) {
	b := c.b
	b.mu.Lock()
	w, victims, err := c.grow(now, n)
	b.mu.Unlock()
	b.end(now, Ended, victims)
	if errors.Is(err, ErrFull) {
		c.reportRefused(now)
	}
	return w, err
}

func (c *Connection) reportRefused(now time.Time) {
	c.b.mu.Lock()
	held, account := c.held, c.account
	c.b.mu.Unlock()
	c.b.Report(Event{Kind: Refused, Address: c.address, Account: account, Held: held, Received: c.received.Load(), Quiet: c.quiet(now)})
}

func (c *Connection) grow(now time.Time, n int64) (*Wait, []*Connection, error) {
	if c.isEnded || c.isClosed {
		return nil, nil, ErrEnded
	}
	if n <= 0 || !slices.ContainsFunc(c.scopes, func(s *scope) bool { return !s.hasRoom(n) }) {
		c.add(max(n, 0))
		return nil, nil, nil
	}
	victims, ok := c.selectVictims(now, n)
	if !ok {
		return nil, nil, ErrFull
	}
	for _, v := range victims {
		v.markEnded()
	}
	w := &Wait{b: c.b, c: c, n: n, ready: make(chan struct{})}
	c.wait = w
	c.b.waits = append(c.b.waits, w)
	for _, s := range c.scopes {
		s.waiting += n
	}
	// What was released since the victims were ended may do.
	c.b.grantWaits()
	return w, victims, nil
}

// GrowIfFree reserves n bytes more if there is room for them, and reports whether it did. No other
// connection is ended for them.
func (c *Connection) GrowIfFree(n int64) bool {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isEnded || c.isClosed || slices.ContainsFunc(c.scopes, func(s *scope) bool { return !s.hasRoom(n) }) {
		return false
	}
	c.add(n)
	return true
}

// selectVictims selects the connections that must be ended before c may hold n bytes more. It returns
// false if there are not enough of them, or if c would be one.
func (c *Connection) selectVictims(now time.Time, n int64) ([]*Connection, bool) {
	var victims []*Connection
	defer func() {
		for _, v := range victims {
			v.isSelected = false
		}
	}()
	// The narrow scopes come first, so that a client which holds too much does not end another's requests.
	for _, s := range slices.Backward(c.scopes) {
		short := s.shortage(n)
		for _, v := range victims {
			if v.isIn(s) {
				short -= v.held
			}
		}
		for short > 0 {
			v := c.b.worst(now, s)
			if v == nil || v == c {
				return nil, false
			}
			v.isSelected = true
			victims = append(victims, v)
			short -= v.held
		}
	}
	return victims, true
}

// worst returns the connection of a scope by whose end the process gains the most, or nil.
func (b *Budget) worst(now time.Time, s *scope) *Connection {
	var worst *Connection
	var most float64
	for _, c := range b.connections {
		if c.isEnded || c.isSelected || c.state == running || c.held == 0 || !c.isIn(s) {
			continue
		}
		if loss := c.loss(now); worst == nil || loss > most {
			worst, most = c, loss
		}
	}
	return worst
}

// add reserves n bytes. The caller holds b.mu and has checked that there is room.
func (c *Connection) add(n int64) {
	c.held += n
	for _, s := range c.scopes {
		s.used += n
	}
}

// Release gives back n bytes, at most what is held.
func (c *Connection) Release(n int64) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if !c.isClosed {
		c.release(min(n, c.held))
	}
}

// release gives back n bytes. The caller holds b.mu.
func (c *Connection) release(n int64) {
	if n == 0 {
		return
	}
	c.held -= n
	for _, s := range c.scopes {
		s.used -= n
		if c.isEnded {
			s.ending -= n
		}
	}
	c.b.grantWaits()
}

// Draw reserves n bytes more for a request that runs and holds held bytes of the same kind. It
// returns nil if that is done and ErrFull if there can never be room. Otherwise it ends requests that
// arrive, as far as they hold enough, and returns a Wait, which goes before those of such requests.
func (b *Budget) Draw(now time.Time, held, n int64) (*Wait, error) {
	if held+n > b.cfg.Bytes {
		return nil, ErrFull
	}
	b.mu.Lock()
	if b.total.used+b.total.urgent+n <= b.total.limit {
		b.total.used += n
		b.mu.Unlock()
		return nil, nil
	}
	var victims []*Connection
	// What arriving requests wait for is not awaited: they wait for this one instead.
	for short := b.total.shortage(n) - b.total.waiting; short > 0; {
		v := b.worst(now, &b.total)
		if v == nil {
			break
		}
		v.markEnded()
		victims = append(victims, v)
		short -= v.held
	}
	w := &Wait{b: b, n: n, ready: make(chan struct{})}
	b.urgent = append(b.urgent, w)
	b.total.urgent += n
	b.grantWaits()
	b.mu.Unlock()
	b.end(now, Ended, victims)
	return w, nil
}

// Acquire is Draw that waits until the reservation is granted or ctx is done.
func (b *Budget) Acquire(ctx context.Context, held, n int64) error {
	w, err := b.Draw(time.Now(), held, n)
	if err != nil || w == nil {
		return err
	}
	return w.Await(ctx, 0)
}

// Return gives back n bytes that were reserved with Draw or Acquire.
func (b *Budget) Return(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total.used -= n
	b.grantWaits()
}

// dropWait removes a wait, and reports whether it was there. The caller holds b.mu.
func (b *Budget) dropWait(w *Wait) bool {
	if w.c == nil {
		i := slices.Index(b.urgent, w)
		if i < 0 {
			return false
		}
		b.urgent = slices.Delete(b.urgent, i, i+1)
		b.total.urgent -= w.n
		return true
	}
	i := slices.Index(b.waits, w)
	if i < 0 {
		return false
	}
	b.waits = slices.Delete(b.waits, i, i+1)
	w.c.wait = nil
	for _, s := range w.c.scopes {
		s.waiting -= w.n
	}
	return true
}

// grantWaits grants the waits for which there is room now: those of running requests first, each kind
// in its order. An arriving request that only its own client or account leaves no room does not hold up
// the others. The caller holds b.mu.
func (b *Budget) grantWaits() {
	for len(b.urgent) > 0 {
		w := b.urgent[0]
		if b.total.used+w.n > b.total.limit {
			return
		}
		b.dropWait(w)
		b.total.used += w.n
		w.finish(nil)
	}
	for i := 0; i < len(b.waits); {
		w := b.waits[i]
		if b.total.used+w.n > b.total.limit {
			return
		}
		if slices.ContainsFunc(w.c.scopes, func(s *scope) bool { return s.used+w.n > s.limit }) {
			i++
			continue
		}
		b.dropWait(w)
		w.c.add(w.n)
		w.finish(nil)
	}
}

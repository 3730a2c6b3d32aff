package mpmemory

import "time"

// Open adds a connection of the client at address. If as many are open as may be, the one of the same
// client, or of all clients, that has been idle the longest is ended, or else the one that holds the
// most with the least progress. Open returns ErrFull if all of them run requests.
func (b *Budget) Open(now time.Time, address string, ender Ender) (*Connection, error) {
	c := &Connection{b: b, ender: ender, address: address, startedAt: now}
	c.progressAt.Store(now.UnixNano())
	b.mu.Lock()
	own := b.ownScope(b.addresses, address)
	victim, ok := b.makePlace(now, own)
	if ok {
		c.scopes = []*scope{&b.total, own}
		c.place = len(b.connections)
		b.connections = append(b.connections, c)
		for _, s := range c.scopes {
			s.open++
		}
	} else if own.open == 0 {
		delete(b.addresses, address)
	}
	b.grantWaits()
	b.mu.Unlock()
	b.end(now, Closed, victim)
	if !ok {
		b.Report(Event{Kind: Rejected, Address: address})
		return nil, ErrFull
	}
	return c, nil
}

// makePlace selects the connection that is ended for a new one in scope own, if one must be, and
// reports whether there is place for it.
func (b *Budget) makePlace(now time.Time, own *scope) ([]*Connection, bool) {
	s := own
	if !own.isFull() {
		s = &b.total
	}
	if !s.isFull() {
		return nil, true
	}
	if s.open >= s.maxOpen+max(s.maxOpen/closingShare, minClosing) {
		return nil, false
	}
	var victim *Connection
	for _, c := range b.connections {
		if c.isEnded || c.state == running || !c.isIn(s) {
			continue
		}
		if victim == nil || c.closesBefore(now, victim) {
			victim = c
		}
	}
	if victim == nil {
		return nil, false
	}
	victim.markEnded()
	return []*Connection{victim}, true
}

// closesBefore reports whether c rather than other is ended to make place for another connection.
func (c *Connection) closesBefore(now time.Time, other *Connection) bool {
	switch {
	case c.state != other.state:
		return c.state == idle
	case c.state == idle:
		return c.quiet(now) > other.quiet(now)
	default:
		return c.loss(now) > other.loss(now)
	}
}

// markEnded counts what c holds as about to be released. The caller holds b.mu.
func (c *Connection) markEnded() {
	c.isEnded = true
	for _, s := range c.scopes {
		s.ending += c.held
		s.closing++
	}
	if w := c.wait; w != nil {
		c.b.dropWait(w)
		w.finish(ErrEnded)
	}
}

// end ends the connections that were selected. The caller does not hold b.mu.
func (b *Budget) end(now time.Time, kind Kind, victims []*Connection) {
	for _, v := range victims {
		b.mu.Lock()
		held, account := v.held, v.account
		b.mu.Unlock()
		b.Report(Event{Kind: kind, Address: v.address, Account: account, Held: held, Received: v.received.Load(), Quiet: v.quiet(now)})
		v.ender.End()
	}
}

// SetAccount counts the connection's present request for an account, besides its client address.
func (c *Connection) SetAccount(name string) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isClosed || name == "" || c.account != "" {
		return
	}
	c.account = name
	s := c.b.ownScope(c.b.accounts, name)
	s.open++
	s.used += c.held
	if c.isEnded {
		s.ending += c.held
		s.closing++
	}
	c.scopes = append(c.scopes, s)
}

// leaveAccount ends the effect of SetAccount. The caller holds b.mu.
func (c *Connection) leaveAccount() {
	if c.account == "" {
		return
	}
	s := c.scopes[len(c.scopes)-1]
	s.open--
	s.used -= c.held
	if c.isEnded {
		s.ending -= c.held
		s.closing--
	}
	if s.open == 0 {
		delete(c.b.accounts, c.account)
	}
	c.scopes, c.account = c.scopes[:len(c.scopes)-1], ""
}

// Begin records that the first bytes of a request have arrived, for which it reserves n bytes.
func (c *Connection) Begin(now time.Time, n int64) (*Wait, error) {
	c.Progress(now, 0)
	c.b.mu.Lock()
	if c.state == idle {
		c.state, c.startedAt = arriving, now
	}
	c.b.mu.Unlock()
	return c.Grow(now, n)
}

// Run records that the request has arrived whole, so that the connection is not ended from now on. It
// returns ErrEnded if that happened before: the request must not run then.
func (c *Connection) Run() error {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isEnded || c.isClosed {
		return ErrEnded
	}
	c.state = running
	return nil
}

// Shrink releases all but the cost of the connection.
func (c *Connection) Shrink() {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if !c.isClosed {
		c.release(max(c.held-c.b.cfg.ConnectionBytes, 0))
	}
}

// Finish records that the request has ended, and releases all but the cost of the connection.
func (c *Connection) Finish(now time.Time) {
	c.progressAt.Store(now.UnixNano())
	c.received.Store(0)
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isClosed {
		return
	}
	c.state, c.startedAt = idle, now
	c.leaveAccount()
	c.release(max(c.held-c.b.cfg.ConnectionBytes, 0))
}

// Restart records that the request has ended, of which n bytes are released, and that a part of the next
// one has arrived.
func (c *Connection) Restart(now time.Time, n int64) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isClosed {
		return
	}
	c.state, c.startedAt = arriving, now
	c.leaveAccount()
	c.release(min(n, c.held))
}

// Close removes the connection and releases all that it holds.
func (c *Connection) Close() {
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	if w := c.wait; w != nil {
		b.dropWait(w)
		w.finish(ErrEnded)
	}
	c.leaveAccount()
	for _, s := range c.scopes {
		s.open--
		s.used -= c.held
		if c.isEnded {
			s.ending -= c.held
			s.closing--
		}
	}
	c.held = 0
	if b.addresses[c.address].open == 0 {
		delete(b.addresses, c.address)
	}
	last := len(b.connections) - 1
	b.connections[c.place] = b.connections[last]
	b.connections[c.place].place = c.place
	b.connections[last] = nil
	b.connections = b.connections[:last]
	b.grantWaits()
}

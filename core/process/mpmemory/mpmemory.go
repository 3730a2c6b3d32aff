// Package mpmemory decides what a process may hold for clients that stay within no limit: the
// memory for what arrives, waits, runs and is buffered, and the number of open connections. It knows
// no sockets, and its decisions take the present time as an argument.
//
// Reservations grow as bytes arrive. If there is no room for one, connections whose request has not
// arrived whole are ended: those first that have held the most for the longest with the least
// progress, which may include the one that asks. A request that runs is never ended.
package mpmemory

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// processShare is the share of the memory limit of a process that its budget has.
	processShare = 4
	// unknownProcessBytes is the budget of a process whose memory limit is not known.
	unknownProcessBytes = 64 << 20
	// fileDescriptors is the number of descriptors that are reserved for files.
	fileDescriptors = 200
	// clientShare is the share of the remaining descriptors that clients may use. The others are for
	// other VMs and for upstreams: a request that runs uses one of each.
	clientShare = 2
	// ownerShare is the share of a budget that one client address or one account may hold.
	ownerShare = 2
	// closingShare is the share of the bound on connections by which it may be passed while connections
	// that were told to end have not closed yet: a client has half a second to read why. It may always
	// be passed by minClosing.
	closingShare = 2
	minClosing   = 16
	// fullRate is the rate in bytes per second at which a request that arrives does not get late. It
	// is about that of a VM's link, so that of clients that share the link the ones that came first
	// are the latest.
	fullRate = 1 << 20
	// minQuiet is added to the time since a connection's last progress, so that of connections that
	// all make progress the largest is ended.
	minQuiet = time.Millisecond
	// StallTimeout is how long a client may send nothing of a request, or read nothing of a response,
	// unless operators say otherwise.
	StallTimeout = 15 * time.Second
	// SlowAfter is the time after which a request must have arrived at minRate bytes per second.
	SlowAfter = 30 * time.Second
	minRate   = 1 << 10
	// HeldCopies is how often a request is held at once by a server that parses it as a whole: as it
	// came, as a body, and decoded.
	HeldCopies = 3
	// ReleaseTimeout is how long a request that arrives waits for the room of others that were ended.
	ReleaseTimeout = 250 * time.Millisecond
)

var (
	// ErrFull means that there is no room and that nothing could be ended to make some.
	ErrFull = errors.New("no room for the request")
	// ErrEnded means that the connection was ended to make room for others.
	ErrEnded = errors.New("ended to make room for others")
)

// Config configures a Budget.
type Config struct {
	// Bytes is what may be held in all.
	Bytes int64
	// Connections is how many connections may be open in all; 0 is no bound.
	Connections int
	// ConnectionBytes is the cost of an open connection, which the holder of the connection reserves
	// first and Finish keeps.
	ConnectionBytes int64
	// OnEvent is called each time that a limit acts; it may be nil.
	OnEvent func(Event)
}

// ForProcess returns the configuration for a process with the given limits on its memory in bytes and
// on its descriptors; 0 stands for an unknown limit.
func ForProcess(memoryLimit int64, maxFds int) Config {
	cfg := Config{Bytes: memoryLimit / processShare, Connections: ClientConnections(maxFds)}
	if memoryLimit <= 0 {
		cfg.Bytes = unknownProcessBytes
	}
	return cfg
}

// ClientConnections returns how many connections of clients may be open in a process with the given
// number of descriptors; 0 stands for an unknown number and for no bound.
func ClientConnections(maxFds int) int {
	if maxFds <= 0 {
		return 0
	}
	return max((maxFds-fileDescriptors)/clientShare, 1)
}

// Ender ends a connection.
type Ender interface {
	// End lets the holder of a connection release what it holds. It is called at most once, by
	// whoever needs the room.
	End()
}

// ArrivalDeadline returns until when more of a request must arrive of which n bytes have arrived since
// start, the last ones at progress.
func ArrivalDeadline(start, progress time.Time, n int64, stall time.Duration) time.Time {
	rateEnds := start.Add(max(SlowAfter, time.Duration(float64(n)/minRate*float64(time.Second))))
	if stallEnds := progress.Add(stall); stallEnds.Before(rateEnds) {
		return stallEnds
	}
	return rateEnds
}

// scope is a set of reservations with limits of its own: all of them, those of one client address, or
// those of one account.
type scope struct {
	limit int64
	// used is what is held, and ending the part of it that ended connections have not released.
	used, ending int64
	// waiting is what arriving requests wait for, and urgent what running ones wait for.
	waiting, urgent int64
	// open is the number of connections, and closing of those among them that were ended.
	open, closing int
	maxOpen       int
}

// hasRoom reports whether n bytes more can be held at once, besides what others wait for.
func (s *scope) hasRoom(n int64) bool { return s.used+s.waiting+s.urgent+n <= s.limit }

// shortage returns how many bytes must be released for n more, besides those that are about to be.
func (s *scope) shortage(n int64) int64 {
	return s.used - s.ending + s.waiting + s.urgent + n - s.limit
}

// isFull reports whether a connection must be ended before another is opened.
func (s *scope) isFull() bool { return s.maxOpen > 0 && s.open-s.closing >= s.maxOpen }

// Budget is the budget of one process. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu          sync.Mutex
	total       scope
	addresses   map[string]*scope
	accounts    map[string]*scope
	connections []*Connection
	// urgent and waits hold the waits for running and for arriving requests, in order.
	urgent, waits []*Wait
}

// New returns a Budget of which nothing is used.
func New(cfg Config) *Budget {
	return &Budget{
		cfg: cfg, total: scope{limit: cfg.Bytes, maxOpen: cfg.Connections},
		addresses: map[string]*scope{}, accounts: map[string]*scope{},
	}
}

// BytesFor returns the smallest budget of which one client may hold n bytes.
func BytesFor(n int64) int64 { return ownerShare * n }

// Fits reports whether the budget has room for a body of n bytes while nothing else is held. A buffer
// that grows is held together with the one that replaces it.
func (b *Budget) Fits(n int64) bool {
	return BytesFor(n+n/2+4*b.cfg.ConnectionBytes) <= b.cfg.Bytes
}

// Stats is the present use of a Budget.
type Stats struct {
	Used, Limit       int64
	Open, Connections int
	Waiting           int
}

// Stats returns the present use.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Used: b.total.used, Limit: b.cfg.Bytes, Open: b.total.open, Connections: b.cfg.Connections, Waiting: len(b.urgent) + len(b.waits),
	}
}

// Report tells of an act of a limit that is kept outside of the Budget.
func (b *Budget) Report(e Event) {
	if b.cfg.OnEvent != nil {
		b.cfg.OnEvent(e)
	}
}

// ownScope returns the scope of a client address or an account, which it adds if there is none.
func (b *Budget) ownScope(scopes map[string]*scope, name string) *scope {
	s := scopes[name]
	if s == nil {
		s = &scope{limit: b.cfg.Bytes / ownerShare}
		if b.cfg.Connections > 0 {
			s.maxOpen = max(b.cfg.Connections/ownerShare, 1)
		}
		scopes[name] = s
	}
	return s
}

// AddressOf returns the client address of a connection, without its port. Addresses of IPv6 count by
// their network of 64 bits, since one client may use all of it.
func AddressOf(remote net.Addr) string {
	tcp, ok := remote.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := tcp.AddrPort().Addr().Unmap()
	if ip.Is6() {
		if p, err := ip.WithZone("").Prefix(64); err == nil {
			return p.String()
		}
	}
	return ip.String()
}

// state is how far the request of a connection is.
type state uint8

const (
	// idle means that no part of a request has arrived.
	idle state = iota
	// arriving means that a part of a request has arrived.
	arriving
	// running means that a request has arrived whole.
	running
)

// Connection is the part of a Budget that one client connection holds. Its methods may be called
// by several goroutines, but only one of them may grow it at a time.
type Connection struct {
	b       *Budget
	ender   Ender
	address string
	account string
	// progressAt is when bytes last arrived, in ns, and received how many of the present request.
	progressAt, received atomic.Int64

	// The fields below are guarded by b.mu.
	place      int
	state      state
	startedAt  time.Time
	held       int64
	scopes     []*scope
	wait       *Wait
	isEnded    bool
	isClosed   bool
	isSelected bool
}

// Progress records that received bytes of the present request have arrived so far.
func (c *Connection) Progress(now time.Time, received int64) {
	c.progressAt.Store(now.UnixNano())
	c.received.Store(received)
}

// quiet returns how long ago bytes last arrived.
func (c *Connection) quiet(now time.Time) time.Duration {
	return max(now.Sub(time.Unix(0, c.progressAt.Load())), 0)
}

// loss returns by how much the process gains if the connection is ended: what it holds, times how
// long it has made no progress and how much later it is than at fullRate. While it waits for room, it
// is not to blame for the lack of progress. The caller holds b.mu.
func (c *Connection) loss(now time.Time) float64 {
	wasted := minQuiet.Seconds()
	if c.wait == nil {
		wasted += c.quiet(now).Seconds()
	}
	if c.state == arriving {
		wasted += max(now.Sub(c.startedAt).Seconds()-float64(c.received.Load())/fullRate, 0)
	}
	return float64(c.held) * wasted
}

func (c *Connection) isIn(s *scope) bool { return slices.Contains(c.scopes, s) }

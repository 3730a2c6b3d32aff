// Package mplink passes connections between processes on, and disturbs them. It stands in for the
// network in tests that run real processes.
package mplink

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	// limitedBufferBytes is how much of a limited connection is passed on at a time, and about how much
	// waits in front of a limited link, for each connection.
	limitedBufferBytes = 4 << 10
)

// Network holds the disturbances between hosts, which are named by their IP addresses. It is safe for
// concurrent use.
type Network struct {
	mu      sync.Mutex
	cond    *sync.Cond
	blocked map[[2]string]bool
	open    map[*connection]bool
	links   map[string]*link
}

// link is the small link of a host, in one direction.
type link struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve returns when n bytes, which are sent at now, have passed the link.
func (l *link) reserve(now time.Time, n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// connection is a connection that is passed on.
type connection struct {
	from, to       string
	client, server net.Conn

	mu       sync.Mutex
	isSilent bool
}

// New returns a Network without disturbances.
func New() *Network {
	n := &Network{blocked: map[[2]string]bool{}, open: map[*connection]bool{}, links: map[string]*link{}}
	n.cond = sync.NewCond(&n.mu)
	return n
}

// Block holds back what is sent from one host to another, until Heal is called. Neither end sees an
// error.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = true
}

// Heal ends all blocks.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[[2]string]bool{}
	n.cond.Broadcast()
}

// Silence silences for good the open connections that pick returns true for, and returns their number.
// Both ends stay open and have their bytes acknowledged, but nothing arrives any more. New connections
// are not affected.
func (n *Network) Silence(pick func(from, to string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.open {
		if pick(c.from, c.to) {
			c.silence()
			count++
		}
	}
	return count
}

// Limit limits what a host receives, over all of its connections that are made from then on.
func (n *Network) Limit(to string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[to] = &link{bytesPerSecond: bytesPerSecond}
}

// limit returns the link over which a host receives, with a buffer for it. The link is nil if it has no
// limit.
func (n *Network) limit(to string, src net.Conn) (*link, []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[to]
	if l == nil {
		return nil, make([]byte, bufferBytes)
	}
	if t, ok := src.(*net.TCPConn); ok {
		_ = t.SetReadBuffer(limitedBufferBytes)
	}
	return l, make([]byte, limitedBufferBytes)
}

// Relay listens on an address and passes connections on to target, until the closer is closed. Open
// connections stay.
func (n *Network) Relay(listen, target string) (io.Closer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go n.pass(client, target)
		}
	}()
	return l, nil
}

func (n *Network) waitOpen(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[[2]string{from, to}] {
		n.cond.Wait()
	}
}

func host(a net.Addr) string {
	h, _, _ := net.SplitHostPort(a.String())
	return h
}

// pass passes a connection on until it ends. If target refuses it, it is reset, as by the host of a
// process that has exited.
func (n *Network) pass(client net.Conn, target string) {
	c := &connection{from: host(client.RemoteAddr()), client: client}
	c.to, _, _ = net.SplitHostPort(target)
	n.waitOpen(c.from, c.to)
	var err error
	if c.server, err = net.Dial("tcp", target); err != nil {
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	n.mu.Lock()
	n.open[c] = true
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(n, c.client, c.server, c.from, c.to) })
	wg.Go(func() { c.copy(n, c.server, c.client, c.to, c.from) })
	wg.Wait()
	_, _ = client.Close(), c.server.Close()
	n.mu.Lock()
	delete(n.open, c)
	n.mu.Unlock()
}

// copy passes bytes and the end of src on to dst, unless the connection is silent. It returns once src
// has ended.
func (c *connection) copy(network *Network, src, dst net.Conn, from, to string) {
	l, buf := network.limit(to, src)
	for {
		n, err := src.Read(buf)
		if l != nil {
			time.Sleep(time.Until(l.reserve(time.Now(), n)))
		}
		network.waitOpen(from, to)
		if c.silent() {
			if err != nil {
				return // The other end does not learn of it.
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_, _ = src.Close(), dst.Close()
			return
		}
	}
}

func (c *connection) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = true
}

func (c *connection) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent
}

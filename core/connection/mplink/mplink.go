// Package mplink passes connections between processes on, and disturbs them. It stands in for the
// network in tests that run real processes.
package mplink

import (
	"io"
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Network holds the disturbances between hosts, which are named by their IP addresses. It is safe for
// concurrent use.
type Network struct {
	mu      sync.Mutex
	cond    *sync.Cond
	blocked map[[2]string]bool
	open    map[*connection]bool
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
	n := &Network{blocked: map[[2]string]bool{}, open: map[*connection]bool{}}
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
	wg.Go(func() { c.copy(c.client, c.server, func() { n.waitOpen(c.from, c.to) }) })
	wg.Go(func() { c.copy(c.server, c.client, func() { n.waitOpen(c.to, c.from) }) })
	wg.Wait()
	_, _ = client.Close(), c.server.Close()
	n.mu.Lock()
	delete(n.open, c)
	n.mu.Unlock()
}

// copy passes bytes and the end of src on to dst, unless the connection is silent. It returns once src
// has ended.
func (c *connection) copy(src, dst net.Conn, waitOpen func()) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		waitOpen()
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

package mpsoak

import (
	"io"
	"net"
	"sync"
)

// partitions holds the blocked directions between VMs, by source and destination
// IP address.
type partitions struct {
	mu      sync.Mutex
	cond    *sync.Cond
	blocked map[[2]string]bool
}

func newPartitions() *partitions {
	p := &partitions{blocked: map[[2]string]bool{}}
	p.cond = sync.NewCond(&p.mu)
	return p
}

func (p *partitions) block(from, to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[[2]string{from, to}] = true
}

func (p *partitions) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = map[[2]string]bool{}
	p.cond.Broadcast()
}

// waitOpen waits while the direction is blocked. Data is held back and connections
// stay open, so neither end sees an error.
func (p *partitions) waitOpen(from, to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.blocked[[2]string{from, to}] {
		p.cond.Wait()
	}
}

// relay forwards connections from listen to target, subject to the partitions.
func relay(listen, target string, p *partitions) (io.Closer, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go relayConn(conn, target, p)
		}
	}()
	return l, nil
}

func host(a net.Addr) string {
	h, _, _ := net.SplitHostPort(a.String())
	return h
}

func relayConn(client net.Conn, target string, p *partitions) {
	from := host(client.RemoteAddr())
	to, _, _ := net.SplitHostPort(target)
	p.waitOpen(from, to)
	server, err := net.Dial("tcp", target)
	if err != nil {
		// Reset the connection, as the host of an exited process does.
		if t, ok := client.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	go copyBytes(client, server, func() { p.waitOpen(from, to) })
	copyBytes(server, client, func() { p.waitOpen(to, from) })
}

func copyBytes(src, dst net.Conn, waitOpen func()) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		waitOpen()
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

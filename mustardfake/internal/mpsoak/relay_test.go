package mpsoak

import (
	"io"
	"net"
	"sync"
)

// cuts holds the ways between VMs that pass no bytes, by their IP numbers.
type cuts struct {
	mu     sync.Mutex
	cond   *sync.Cond
	closed map[[2]string]bool
}

func newCuts() *cuts {
	c := &cuts{closed: map[[2]string]bool{}}
	c.cond = sync.NewCond(&c.mu)
	return c
}

func (c *cuts) cut(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed[[2]string{from, to}] = true
}

func (c *cuts) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = map[[2]string]bool{}
	c.cond.Broadcast()
}

// await blocks while the way is cut: bytes are held back without a sign.
func (c *cuts) await(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.closed[[2]string{from, to}] {
		c.cond.Wait()
	}
}

// relay passes connections on from listen to target, as cuts allow.
func relay(listen, target string, c *cuts) (io.Closer, error) {
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
			go pass(conn, target, c)
		}
	}()
	return l, nil
}

func host(a net.Addr) string {
	h, _, _ := net.SplitHostPort(a.String())
	return h
}

func pass(near net.Conn, target string, c *cuts) {
	from := host(near.RemoteAddr())
	to, _, _ := net.SplitHostPort(target)
	c.await(from, to)
	far, err := net.Dial("tcp", target)
	if err != nil {
		// The machine answers for a process that has ended.
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = near.Close()
		return
	}
	go pump(near, far, func() { c.await(from, to) })
	pump(far, near, func() { c.await(to, from) })
}

func pump(src, dst net.Conn, await func()) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		await()
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

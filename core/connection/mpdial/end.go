package mpdial

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a TCP connection whose peer has sent its end, and which was not reset.
const tcpCloseWait = 8

// WatchEnd returns c with reads that return io.EOF only if the peer has ended what it sends, and
// io.ErrUnexpectedEOF if the connection was reset.
//
// The kernel reports a reset once. If a write gets the report, reads see a plain end, which looks like the end of
// an answer without a length. So an end after a failed write, or on a connection that is no longer open for
// writing, does not count as one: whether the peer had sent all by then cannot be known. A write that is merely
// stuck does not matter, since a peer may answer, end the connection and leave the rest of a request unread.
// On a connection that does not wrap one of TCP, as its method NetConn tells, an end during a write does not count
// either.
func WatchEnd(c net.Conn) net.Conn { return &watchedConn{Conn: c} }

// watchedConn is safe for one reader beside one writer, as any net.Conn.
type watchedConn struct {
	net.Conn
	writes    atomic.Int32
	hasFailed atomic.Bool
}

func (c *watchedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.hasFailed.Store(true)
	}
	return n, err
}

func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && !c.isEnd() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// isEnd reports whether the peer has ended the connection, after a read has found its end.
func (c *watchedConn) isEnd() bool {
	isWriting := c.writes.Load() > 0
	if c.hasFailed.Load() {
		return false
	}
	if tcp := tcpConn(c.Conn); tcp != nil {
		return tcpState(tcp) == tcpCloseWait
	}
	return !isWriting
}

// tcpConn returns the TCP connection that c is or wraps, or nil.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		switch wrapped := c.(type) {
		case *net.TCPConn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			c = wrapped.NetConn()
		default:
			return nil
		}
	}
}

// tcpState returns the state of a connection in the kernel, or 0 if it is closed here.
func tcpState(c *net.TCPConn) uint8 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var state uint8
	read := func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	}
	if err := raw.Control(read); err != nil {
		return 0
	}
	return state
}

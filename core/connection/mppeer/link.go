package mppeer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
)

// link is what a Client has of one peer: its gRPC connection, and the newest TCP connection below it.
type link struct {
	client  *Client
	address string
	conn    *grpc.ClientConn

	mu  sync.Mutex
	tcp *trackedConn
}

// trackedConn is a TCP connection that records when it was made and last read.
type trackedConn struct {
	net.Conn
	madeAt time.Time

	mu       sync.Mutex
	lastRead time.Time
}

func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

// readAt returns when bytes were last read, at first when the connection was made.
func (c *trackedConn) readAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

// dial makes the TCP connection for gRPC.
func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := l.client.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	tcp := &trackedConn{Conn: conn, madeAt: now, lastRead: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tcp = tcp
	return tcp, nil
}

// current returns the newest TCP connection, or nil.
func (l *link) current() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tcp
}

package mpupstream

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpusage"
)

const (
	// unackedTimeout is how long sent data may stay unacknowledged before the
	// connection is closed, since links and machines can fail without a reset.
	unackedTimeout           = 2 * time.Second
	keepaliveIdle            = time.Second
	keepaliveInterval        = 500 * time.Millisecond
	keepaliveProbes          = 3
	proxyIdleConnTimeout     = 4 * time.Second
	proxyMaxIdleConnsPerHost = 16
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 18
)

// NewDialer returns a dialer with local address source whose connections detect a
// silent network partition.
func NewDialer(source net.IP) *net.Dialer {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctl := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			}); ctl != nil {
				return ctl
			}
			return err
		},
	}
	if source != nil {
		d.LocalAddr = &net.TCPAddr{IP: source}
	}
	return d
}

// NewTransport returns a transport for proxying requests unchanged, over
// connections made by dial. The bytes on them are counted in m.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error), m *mpmetric.Set) *http.Transport {
	t := newTransport(dial, proxyMaxIdleConnsPerHost, proxyIdleConnTimeout)
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, metrics: m}, nil
	}
	return t
}

// countedConn is a connection to an upstream that counts its bytes.
type countedConn struct {
	net.Conn
	metrics *mpmetric.Set
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.Add(mpusage.UpstreamIn, int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Add(mpusage.UpstreamOut, int64(n))
	return n, err
}

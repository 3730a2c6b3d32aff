package mpupstream

import (
	"net"
	"net/http"
	"syscall"
	"time"
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

// newDialer returns a dialer with local address source whose connections detect a
// silent network partition.
func newDialer(source net.IP) *net.Dialer {
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
// connections with local address source.
func NewTransport(source net.IP) *http.Transport {
	return newTransport(newDialer(source), proxyMaxIdleConnsPerHost, proxyIdleConnTimeout)
}

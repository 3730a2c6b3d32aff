package mpupstream

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// silentAfter is how long unacknowledged data may wait before a connection
	// is taken for dead: links and machines fail without a reset.
	silentAfter   = 2 * time.Second
	keepIdle      = time.Second
	keepEvery     = 500 * time.Millisecond
	keepCount     = 3
	transportIdle = 4 * time.Second
	transportKept = 16
	// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 18
)

// newDialer returns a dialer from source whose connections notice a silent
// partition.
func newDialer(source net.IP) *net.Dialer {
	d := &net.Dialer{
		Timeout:         dialWithin,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctl := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
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

// NewTransport returns a transport for passing requests on unchanged, whose
// connections come from source.
func NewTransport(source net.IP) *http.Transport {
	return newTransport(newDialer(source), transportKept, transportIdle)
}

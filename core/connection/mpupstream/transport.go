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

// NewDialer returns a dialer from source whose connections notice a silent
// partition.
func NewDialer(source net.IP, within time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout:         within,
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

// NewTransport returns a transport for passing requests on unchanged: it asks
// for no compression and uses no proxy.
func NewTransport(source net.IP) *http.Transport {
	return &http.Transport{
		DialContext:            NewDialer(source, dialWithin).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    transportKept,
		IdleConnTimeout:        transportIdle,
		MaxResponseHeaderBytes: headerLimit,
	}
}

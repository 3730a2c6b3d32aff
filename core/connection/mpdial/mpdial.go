// Package mpdial makes TCP connections that notice when what they sent is not acknowledged.
package mpdial

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// Func connects to an address.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a dialer.
type Config struct {
	// Source is the local address; nil lets the system choose.
	Source net.IP
	// Timeout limits the time until a connection is made; 0 leaves that to the system.
	Timeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the connection is
	// closed, since links and machines can fail without a reset.
	UnackedTimeout time.Duration
	// KeepAlive configures the probes of the kernel on idle connections; the zero value stands
	// for those of package net.
	KeepAlive net.KeepAliveConfig
}

// New returns a dialer for cfg.
func New(cfg Config) *net.Dialer {
	d := &net.Dialer{
		Timeout:         cfg.Timeout,
		KeepAliveConfig: cfg.KeepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if ctl := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(cfg.UnackedTimeout.Milliseconds()))
			}); ctl != nil {
				return ctl
			}
			return err
		},
	}
	if cfg.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: cfg.Source}
	}
	return d
}

package mpupstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// probeTimeout is above the round trip between data centres.
const probeTimeout = 100 * time.Millisecond

// Prober tests whether the processes of upstreams are running. It is safe for concurrent use.
type Prober struct{ dialer *net.Dialer }

// NewProber returns a Prober that dials from the local address source.
func NewProber(source net.IP) *Prober { return &Prober{dialer: newDialer(source)} }

// IsDown reports whether connections to address are refused, which means that the machine
// runs and the process does not. It returns false if there is no answer within probeTimeout.
func (p *Prober) IsDown(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

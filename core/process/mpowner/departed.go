package mpowner

import (
	"errors"
	"net"
	"syscall"
	"time"

	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

const (
	probeTimeout      = 300 * time.Millisecond
	attemptMargin     = 500 * time.Millisecond
	departedRetention = 15 * time.Minute
)

// trackDeparted records VMs that disappeared from the view without leaving. If such a
// VM is frozen, it may still have attempts on upstreams that no other VM knows of.
func (o *Owner) trackDeparted(now time.Time, old, next *mpview.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, vm := range old.VMs() {
		if _, up := next.VM(vm.Name); !up && !vm.Leaving {
			o.departed[vm.Name] = now
			go o.probeDeparted(vm)
		}
	}
	for name, at := range o.departed {
		if _, up := next.VM(name); up || now.Sub(at) > departedRetention {
			delete(o.departed, name)
		}
	}
}

// probeDeparted clears a departed VM whose machine refuses connections: its process has
// ended, and its connections to upstreams are closed. A frozen process or an unreachable
// machine does not refuse connections.
func (o *Owner) probeDeparted(vm mpview.VM) {
	conn, err := net.DialTimeout("tcp", vm.Peer, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	o.mu.Lock()
	delete(o.departed, vm.Name)
	view := o.view
	o.mu.Unlock()
	o.releaseVM(time.Now(), vm.Name, view)
}

// releaseVM releases the permits of a VM whose process is known to have ended.
func (o *Owner) releaseVM(now time.Time, vm string, view *mpview.View) {
	o.forEachGroup(func(name string, g *ownedGroup) {
		g.deliver(g.group.ReleaseVM(now, vm))
		if own, ok := view.Owner(name); ok && own.Epoch == g.group.Epoch() {
			g.deliver(g.group.Configure(now, o.groupConfig(now, name, own, view)))
		}
	})
}

// quietUntil returns the time by which all attempts of departed VMs on pool must have
// ended, which is set by the longest deadline of the entries that use the pool.
func (o *Owner) quietUntil(now time.Time, pool string, v *mpview.View) time.Time {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var until time.Time
	if len(o.departed) == 0 {
		return until
	}
	longest := longestDeadline(v.Catalogue(), pool) + attemptMargin
	for _, at := range o.departed {
		if end := at.Add(longest); end.After(now) && end.After(until) {
			until = end
		}
	}
	return until
}

func longestDeadline(c *mpcatalogue.Catalogue, pool string) time.Duration {
	longest := 0
	for _, e := range c.Entries() {
		for _, s := range e.Stages {
			if s.Pool == pool {
				class, _ := c.Class(e.Class)
				longest = max(longest, class.Deadline)
			}
		}
	}
	return time.Duration(longest) * time.Millisecond
}

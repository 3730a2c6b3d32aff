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
	probeWithin   = 300 * time.Millisecond
	attemptExtra  = 500 * time.Millisecond
	departedLimit = 15 * time.Minute
)

// noteDeparted follows which VMs left the view without a word. One that was
// frozen may still have attempts on upstreams, which nobody else knows of.
func (o *Owner) noteDeparted(now time.Time, old, next *mpview.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, vm := range old.VMs() {
		if _, up := next.VM(vm.Name); !up && !vm.Leaving {
			o.departed[vm.Name] = now
			go o.probe(vm)
		}
	}
	for name, at := range o.departed {
		if _, up := next.VM(name); up || now.Sub(at) > departedLimit {
			delete(o.departed, name)
		}
	}
}

// probe clears a departed VM whose machine refuses connections: its process
// has ended, and with it its connections to upstreams. A frozen process or a
// lost machine does not refuse.
func (o *Owner) probe(vm mpview.VM) {
	conn, err := net.DialTimeout("tcp", vm.Peer, probeWithin)
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
	o.ended(time.Now(), vm.Name, view)
}

// ended frees the permits of a VM whose process is known to have ended.
func (o *Owner) ended(now time.Time, vm string, view *mpview.View) {
	o.each(func(name string, c *cell) {
		c.deliver(c.group.ReleaseVM(now, vm))
		if own, ok := view.Owner(name); ok && own.Epoch == c.group.Epoch() {
			c.deliver(c.group.Configure(now, o.describe(now, name, own, view)))
		}
	})
}

// quietUntil returns when the last attempts of departed VMs on pool must have
// ended: with the longest deadline of the entries that use it.
func (o *Owner) quietUntil(now time.Time, pool string, v *mpview.View) time.Time {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var until time.Time
	if len(o.departed) == 0 {
		return until
	}
	longest := longestDeadline(v.Catalogue(), pool) + attemptExtra
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

// Package mporder lets the leader carry orders out at upstreams. Each order
// has a fencing number from the replicated state. Upstreams that check it
// refuse an older order by themselves. For the others, no order is sent before
// every order that was sent earlier, by this leader or a former one, must have
// arrived or been given up.
package mporder

import (
	"time"

	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	// SendWithin bounds one attempt to send an order.
	SendWithin = time.Second
	// Settle is how long an order may still arrive after its attempt was given up.
	Settle = 2 * time.Second
	// MaxLoads bounds the load orders sent at a time, as the weight store's rate is limited.
	MaxLoads = 2
)

// sent is what this leader knows of its attempts at one upstream.
type sent struct {
	running bool
	loads   bool
	// quiet is when no earlier attempt can arrive any more.
	quiet time.Time
}

// Plan decides which orders to send. It is not safe for concurrent use.
type Plan struct {
	since time.Time
	sent  map[string]*sent
}

// NewPlan returns the plan of a leader elected at since.
func NewPlan(since time.Time) *Plan {
	return &Plan{since: since, sent: map[string]*sent{}}
}

// Next returns the orders to send at now and counts them as being sent.
func (p *Plan) Next(now time.Time, orders []mpstate.OrderRecord, view *mpview.View) []mpstate.OrderRecord {
	loads := 0
	for _, s := range p.sent {
		if s.running && s.loads {
			loads++
		}
	}
	var next []mpstate.OrderRecord
	for _, o := range orders {
		isLoad := o.Order.Action == mpstate.ActionLoad
		if o.State != mpstate.OrderPending || isLoad && loads >= MaxLoads || !p.maySend(now, o, view) {
			continue
		}
		if isLoad {
			loads++
		}
		p.sent[o.Order.Upstream] = &sent{running: true, loads: isLoad}
		next = append(next, o)
	}
	return next
}

func (p *Plan) maySend(now time.Time, o mpstate.OrderRecord, view *mpview.View) bool {
	up, ok := view.Catalogue().Upstream(o.Order.Upstream)
	if !ok {
		return false
	}
	s := p.sent[o.Order.Upstream]
	if s != nil && s.running {
		return false
	}
	if pool, _ := view.Catalogue().Pool(up.Pool); pool.Fence {
		return true
	}
	if now.Before(p.since.Add(SendWithin + Settle)) {
		return false
	}
	return s == nil || !now.Before(s.quiet)
}

// Ended notes the end of an attempt at now. An attempt without an answer may
// still arrive for a while.
func (p *Plan) Ended(now time.Time, upstream string, answered bool) {
	s, ok := p.sent[upstream]
	if !ok {
		return
	}
	s.running = false
	if !answered {
		s.quiet = now.Add(Settle)
	}
}

// Package mporder sends the orders in the replicated state to upstreams, from the leader.
// Each order has a fencing number from the replicated state. Upstreams that check it
// reject an older order by themselves. To any other upstream an order is sent only when
// no earlier order to it, by this leader or a previous one, can still arrive.
package mporder

import (
	"time"

	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	// SendTimeout is the timeout of one attempt to send an order.
	SendTimeout = time.Second
	// MaxDeliveryDelay is how long after its attempt was given up an order may still
	// arrive at the upstream.
	MaxDeliveryDelay = 2 * time.Second
	// MaxConcurrentLoads limits how many load orders are being sent at a time, since the
	// rate of the weight store is limited.
	MaxConcurrentLoads = 2
)

// attempt is the state of this leader's latest attempt to send an order to one upstream.
type attempt struct {
	inProgress bool
	isLoad     bool
	// settledAt is the time from which the order of an unanswered attempt can no longer
	// arrive.
	settledAt time.Time
}

// Scheduler decides which orders to send. It is not safe for concurrent use.
type Scheduler struct {
	electedAt time.Time
	attempts  map[string]*attempt
}

// NewScheduler returns the Scheduler of a leader that was elected at electedAt.
func NewScheduler(electedAt time.Time) *Scheduler {
	return &Scheduler{electedAt: electedAt, attempts: map[string]*attempt{}}
}

// Next returns the orders to send at now and marks them as being sent.
func (s *Scheduler) Next(now time.Time, orders []mpstate.OrderRecord, view *mpview.View) []mpstate.OrderRecord {
	loads := 0
	for _, last := range s.attempts {
		if last.inProgress && last.isLoad {
			loads++
		}
	}
	var next []mpstate.OrderRecord
	for _, o := range orders {
		isLoad := o.Order.Action == mpstate.ActionLoad
		if o.State != mpstate.OrderPending || isLoad && loads >= MaxConcurrentLoads || !s.canSend(now, o, view) {
			continue
		}
		if isLoad {
			loads++
		}
		s.attempts[o.Order.Upstream] = &attempt{inProgress: true, isLoad: isLoad}
		next = append(next, o)
	}
	return next
}

func (s *Scheduler) canSend(now time.Time, o mpstate.OrderRecord, view *mpview.View) bool {
	up, ok := view.Catalogue().Upstream(o.Order.Upstream)
	if !ok {
		return false
	}
	last := s.attempts[o.Order.Upstream]
	if last != nil && last.inProgress {
		return false
	}
	if pool, _ := view.Catalogue().Pool(up.Pool); pool.Fence {
		return true
	}
	if now.Before(s.electedAt.Add(SendTimeout + MaxDeliveryDelay)) {
		return false
	}
	return last == nil || !now.Before(last.settledAt)
}

// RecordResult records that an attempt ended at now. The order of an attempt without a
// response may still arrive within MaxDeliveryDelay.
func (s *Scheduler) RecordResult(now time.Time, upstream string, answered bool) {
	last, ok := s.attempts[upstream]
	if !ok {
		return
	}
	last.inProgress = false
	if !answered {
		last.settledAt = now.Add(MaxDeliveryDelay)
	}
}

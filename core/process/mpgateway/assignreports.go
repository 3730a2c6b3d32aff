package mpgateway

import (
	"context"
	"sync"
	"time"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mpview"
)

const (
	// startDelay is how long a first token, and settleDelay how long the end of a request, waits for a
	// call to the owner with which it can go along. A call costs an owner about 0.2 ms of processor
	// time. At 2.7 requests a second from each of 81 VMs there are 0.6 calls that only report for each
	// request, and 1.4 if both wait 50 ms. The engines' present speed follows from first tokens,
	// which therefore wait less.
	startDelay  = 150 * time.Millisecond
	settleDelay = 300 * time.Millisecond
	// settleTimeout limits a call that only reports.
	settleTimeout = 500 * time.Millisecond
	// maxReports limits the reports that wait for one owner. The assignments of lost ones end with
	// the deadlines of their requests.
	maxReports = 1024
	// maxReportsAtOnce limits those that go along with a request, which waits for the answer.
	maxReportsAtOnce = 64
)

// assignReports collects what is to be reported to the owners of engines.
type assignReports struct {
	vm      string
	view    func() *mpview.View
	dial    func(address string) (mpwire.PeerClient, error)
	metrics *mpmetric.Set

	mu     sync.Mutex
	queues map[string]*assignQueue
}

// assignQueue holds the reports to one owner.
type assignQueue struct {
	list []*mpwire.AssignSettlement
	// due is when they are sent if no call to the owner comes before, by timer.
	due   time.Time
	timer *time.Timer
}

// add queues a report.
func (a *assignReports) add(now time.Time, vm string, s *mpwire.AssignSettlement) {
	delay := settleDelay
	if s.GetEnd() == mpwire.AssignSettlement_STARTED {
		delay = startDelay
	}
	a.queue(now, vm, []*mpwire.AssignSettlement{s}, delay)
}

// put queues reports again whose call failed. Those that arrive twice change nothing.
func (a *assignReports) put(now time.Time, vm string, list []*mpwire.AssignSettlement) {
	if len(list) > 0 {
		a.queue(now, vm, list, settleDelay)
	}
}

func (a *assignReports) queue(now time.Time, vm string, list []*mpwire.AssignSettlement, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[vm]
	if q == nil {
		q = &assignQueue{}
		a.queues[vm] = q
	}
	q.list = append(q.list, list...)
	if over := len(q.list) - maxReports; over > 0 {
		a.metrics.Add("assign.unreported", int64(over))
		q.list = q.list[over:]
	}
	due := now.Add(delay)
	switch {
	case q.timer == nil:
		q.due, q.timer = due, time.AfterFunc(delay, func() { a.flush(vm) })
	case due.Before(q.due):
		q.due = due
		q.timer.Reset(delay)
	}
}

// take returns the reports to a VM, to go along with a call.
func (a *assignReports) take(vm string) []*mpwire.AssignSettlement {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := a.queues[vm]
	if q == nil {
		return nil
	}
	n := min(len(q.list), maxReportsAtOnce)
	list := q.list[:n:n]
	if q.list = q.list[n:]; len(q.list) == 0 {
		q.timer.Stop()
		delete(a.queues, vm)
	}
	return list
}

// flush sends the reports to a VM that no call took along.
func (a *assignReports) flush(vm string) {
	a.mu.Lock()
	q := a.queues[vm]
	delete(a.queues, vm)
	a.mu.Unlock()
	if q == nil || len(q.list) == 0 {
		return
	}
	if err := a.send(vm, q.list); err != nil {
		a.metrics.Add("assign.unreported", int64(len(q.list)))
	}
}

func (a *assignReports) send(vm string, list []*mpwire.AssignSettlement) error {
	row, ok := a.view().VM(vm)
	if !ok {
		return context.Canceled // It has left.
	}
	peer, err := a.dial(row.Peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err = peer.SettleAssignments(ctx, &mpwire.SettleAssignmentsRequest{Vm: a.vm, Settlements: list})
	return err
}

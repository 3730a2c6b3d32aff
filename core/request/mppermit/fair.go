package mppermit

import (
	"slices"
	"time"
)

type waiter struct {
	ask    Request
	since  time.Time
	latest time.Time
}

type flow struct {
	account string
	weight  int
	// served is the account's virtual time: work granted over weight.
	served float64
	queue  []waiter
}

// fair is a queue of asks that serves accounts in proportion to their weights
// (start-time fair queuing: Goyal, Vin and Cheng, 1996) and, within an
// account, higher priorities first and then older asks.
type fair struct {
	flows map[string]*flow
	size  int
	clock float64
}

func newFair() fair { return fair{flows: map[string]*flow{}} }

func (f *fair) flow(account string, weight int) *flow {
	fl, ok := f.flows[account]
	if !ok {
		fl = &flow{account: account, served: f.clock}
		f.flows[account] = fl
	}
	fl.weight = max(weight, 1)
	return fl
}

func (f *fair) push(w waiter) {
	fl := f.flow(w.ask.Account, w.ask.Weight)
	if len(fl.queue) == 0 {
		fl.served = max(fl.served, f.clock)
	}
	at, _ := slices.BinarySearchFunc(fl.queue, w, func(a, b waiter) int {
		if a.ask.Priority >= b.ask.Priority {
			return -1
		}
		return 1
	})
	fl.queue = slices.Insert(fl.queue, at, w)
	f.size++
}

// order returns the flows that wait, the least served first.
func (f *fair) order() []*flow {
	var list []*flow
	for _, fl := range f.flows {
		if len(fl.queue) > 0 {
			list = append(list, fl)
		}
	}
	slices.SortFunc(list, func(a, b *flow) int {
		switch {
		case a.served < b.served:
			return -1
		case a.served > b.served:
			return 1
		case a.account < b.account:
			return -1
		}
		return 1
	})
	return list
}

// take removes the i-th ask of fl as served.
func (f *fair) take(fl *flow, i int) waiter {
	w := fl.queue[i]
	fl.queue = slices.Delete(fl.queue, i, i+1)
	f.size--
	f.charge(fl, w.ask)
	return w
}

// charge counts the work of a permit for fl.
func (f *fair) charge(fl *flow, a Request) {
	f.clock = max(f.clock, fl.served)
	fl.served += float64(max(a.Work, 1)) / float64(fl.weight)
}

// remove drops all asks for which gone is true and returns them.
func (f *fair) remove(gone func(waiter) bool) []waiter {
	var out []waiter
	for _, fl := range f.flows {
		fl.queue = slices.DeleteFunc(fl.queue, func(w waiter) bool {
			if !gone(w) {
				return false
			}
			out = append(out, w)
			return true
		})
	}
	f.size -= len(out)
	slices.SortFunc(out, func(a, b waiter) int { return a.since.Compare(b.since) })
	return out
}

// evict removes the newest ask of the account that uses the queue most for its
// weight, unless that is account itself.
func (f *fair) evict(account string, weight int) (waiter, bool) {
	asker := float64(f.waiting(account)+1) / float64(max(weight, 1))
	var worst *flow
	most := asker
	for _, fl := range f.order() {
		if use := float64(len(fl.queue)) / float64(fl.weight); use > most {
			worst, most = fl, use
		}
	}
	if worst == nil || worst.account == account {
		return waiter{}, false
	}
	last := len(worst.queue) - 1
	w := worst.queue[last]
	worst.queue = worst.queue[:last]
	f.size--
	return w, true
}

func (f *fair) waiting(account string) int {
	if fl, ok := f.flows[account]; ok {
		return len(fl.queue)
	}
	return 0
}

// work returns the work that account waits for.
func (f *fair) work(account string) int {
	total := 0
	if fl, ok := f.flows[account]; ok {
		for _, w := range fl.queue {
			total += max(w.ask.Work, 1)
		}
	}
	return total
}

// share returns the part of the service that account gets while it waits.
func (f *fair) share(account string, weight int) float64 {
	total := float64(max(weight, 1))
	for _, fl := range f.flows {
		if len(fl.queue) > 0 && fl.account != account {
			total += float64(fl.weight)
		}
	}
	return float64(max(weight, 1)) / total
}

// tidy forgets accounts that wait for nothing and are not ahead of the rest.
func (f *fair) tidy() {
	for name, fl := range f.flows {
		if len(fl.queue) == 0 && fl.served <= f.clock {
			delete(f.flows, name)
		}
	}
}

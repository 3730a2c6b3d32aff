package mppermit

import (
	"slices"
	"time"
)

// queuedRequest is a request that waits for a permit until latestStart.
type queuedRequest struct {
	request     Request
	enqueuedAt  time.Time
	latestStart time.Time
}

// flow is the queue of one account. The name is the term of fair queueing.
type flow struct {
	account string
	weight  int
	// virtualTime is the account's granted work divided by its weight.
	virtualTime float64
	queue       []queuedRequest
}

// fairQueue is a queue of requests that serves accounts in proportion to their weights
// by start-time fair queueing (Goyal, Vin and Cheng, 1996). Within an account, it
// serves higher priorities first and then older requests.
type fairQueue struct {
	flows       map[string]*flow
	size        int
	virtualTime float64
}

func newFairQueue() fairQueue { return fairQueue{flows: map[string]*flow{}} }

func (f *fairQueue) flow(account string, weight int) *flow {
	fl, ok := f.flows[account]
	if !ok {
		fl = &flow{account: account, virtualTime: f.virtualTime}
		f.flows[account] = fl
	}
	fl.weight = max(weight, 1)
	return fl
}

func (f *fairQueue) push(q queuedRequest) {
	fl := f.flow(q.request.Account, q.request.Weight)
	if len(fl.queue) == 0 {
		fl.virtualTime = max(fl.virtualTime, f.virtualTime)
	}
	at, _ := slices.BinarySearchFunc(fl.queue, q, func(a, b queuedRequest) int {
		if a.request.Priority >= b.request.Priority {
			return -1
		}
		return 1
	})
	fl.queue = slices.Insert(fl.queue, at, q)
	f.size++
}

// waitingFlows returns the flows with queued requests in ascending order of virtual time.
func (f *fairQueue) waitingFlows() []*flow {
	var list []*flow
	for _, fl := range f.flows {
		if len(fl.queue) > 0 {
			list = append(list, fl)
		}
	}
	slices.SortFunc(list, func(a, b *flow) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		case a.account < b.account:
			return -1
		}
		return 1
	})
	return list
}

// dequeue removes the i-th request of fl and charges its work.
func (f *fairQueue) dequeue(fl *flow, i int) queuedRequest {
	q := fl.queue[i]
	fl.queue = slices.Delete(fl.queue, i, i+1)
	f.size--
	f.charge(fl, q.request)
	return q
}

// charge adds the work of a granted request to the virtual time of fl.
func (f *fairQueue) charge(fl *flow, req Request) {
	f.virtualTime = max(f.virtualTime, fl.virtualTime)
	fl.virtualTime += float64(max(req.Work, 1)) / float64(fl.weight)
}

// remove deletes all requests for which match is true and returns them, oldest first.
func (f *fairQueue) remove(match func(queuedRequest) bool) []queuedRequest {
	var out []queuedRequest
	for _, fl := range f.flows {
		fl.queue = slices.DeleteFunc(fl.queue, func(q queuedRequest) bool {
			if !match(q) {
				return false
			}
			out = append(out, q)
			return true
		})
	}
	f.size -= len(out)
	slices.SortFunc(out, func(a, b queuedRequest) int { return a.enqueuedAt.Compare(b.enqueuedAt) })
	return out
}

// evict removes the last request of the account that uses most of the queue in
// proportion to its weight, unless that is account itself.
func (f *fairQueue) evict(account string, weight int) (queuedRequest, bool) {
	ownUse := float64(f.queued(account)+1) / float64(max(weight, 1))
	var heaviest *flow
	most := ownUse
	for _, fl := range f.waitingFlows() {
		if use := float64(len(fl.queue)) / float64(fl.weight); use > most {
			heaviest, most = fl, use
		}
	}
	if heaviest == nil || heaviest.account == account {
		return queuedRequest{}, false
	}
	last := len(heaviest.queue) - 1
	q := heaviest.queue[last]
	heaviest.queue = heaviest.queue[:last]
	f.size--
	return q, true
}

func (f *fairQueue) queued(account string) int {
	if fl, ok := f.flows[account]; ok {
		return len(fl.queue)
	}
	return 0
}

// queuedWork returns the total work of the requests that account has queued.
func (f *fairQueue) queuedWork(account string) int {
	total := 0
	if fl, ok := f.flows[account]; ok {
		for _, q := range fl.queue {
			total += max(q.request.Work, 1)
		}
	}
	return total
}

// share returns the fraction of the service rate that account gets while it has queued
// requests.
func (f *fairQueue) share(account string, weight int) float64 {
	total := float64(max(weight, 1))
	for _, fl := range f.flows {
		if len(fl.queue) > 0 && fl.account != account {
			total += float64(fl.weight)
		}
	}
	return float64(max(weight, 1)) / total
}

// prune deletes flows that have no queued requests and whose virtual time is not ahead
// of the queue's.
func (f *fairQueue) prune() {
	for name, fl := range f.flows {
		if len(fl.queue) == 0 && fl.virtualTime <= f.virtualTime {
			delete(f.flows, name)
		}
	}
}

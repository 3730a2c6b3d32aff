package mpassign

import (
	"cmp"
	"slices"
	"time"
)

const (
	// initialBackoff is how long an engine gets nothing after a request failed there. It doubles
	// with each further failure, up to maxBackoff.
	initialBackoff = 400.0
	maxBackoff     = 5000.0
	// An engine counts as failed for all VMs once two of them have seen failures within failureWindow.
	// One VM alone may have lost its path to the engine, and avoids it by itself.
	failureWindow = 2000.0
	// goneBackoff is how long an engine gets nothing after another process answered at its address.
	// The list has it for some seconds more.
	goneBackoff = 5000.0
	// refusalBackoff is how long an engine gets nothing after it refused a request.
	refusalBackoff = 100.0
	// coldInterval is the time between two requests of a VM to a cold engine, in ms. It is that of
	// mpselect.
	coldInterval = 1000.0
	// loadWindow is the time constant, in ms, of the moving average of the work that an engine gets.
	// It spans some dozens of requests, so that chance does not count as load.
	loadWindow = 15_000.0
)

// flight is a request that was assigned and has not ended.
type flight struct {
	token  uint64
	vm     string
	engine *engine
	// entries are the parts of the prompt at the engine.
	entries   []*entry
	ownTokens int
	// work is the number of tokens to prefill.
	work float64
	// output is the number of tokens to generate.
	output float64
	// start is when the request reaches the engine, and deadline when it has ended at the latest.
	start, deadline float64
	// finish is the engine's virtual time at which the prefill ends. Once it has ended by the model,
	// modelled is how long it took.
	finish   float64
	modelled float64
	state    flightState
	// rate is that of the engine when the prefill began or, by the model, ended.
	rate float64
	// hasStarted is set once the VM has reported the first token.
	hasStarted bool
}

// flightState is where a request is by the model.
type flightState int

const (
	coming flightState = iota
	waiting
	running
)

// engine is the model of one engine. Times are in ms since the start of the Pool.
//
// The engine prefills all waiting requests at once, with equal shares of its rate. virtual is the
// number of tokens that it has prefilled for each request that waited all the time, so that the
// end of a prefill in virtual time does not change when others arrive.
type engine struct {
	id, version string
	slots       int
	coldUntil   float64
	coldVMs     []coldVM

	// coming holds the requests that have not arrived, by start, and waiting those that have no
	// first token by the model, by finish.
	coming, waiting []*flight
	virtual         float64
	at              float64

	// flights is the number of requests, and ownTokens the memory that they hold besides the parts.
	flights   int
	ownTokens int
	// first and last are the most and the least recently used part, cachedTokens the memory of the
	// cachedParts parts, and pinnedTokens that of those in use.
	first, last  *entry
	cachedTokens int
	cachedParts  int
	pinnedTokens int

	pace       pace
	failures   int
	avoidUntil float64
	// failedBy is the VM that saw the last failure, at failedAt.
	failedBy string
	failedAt float64
	// load is the moving average, as of loadAt, of the share of time for which the engine prefills.
	load   float64
	loadAt float64

	// The following belong to the choice with the number generation.
	generation    uint64
	matched       int
	matchedTokens int
	matchedPinned int
	cost          float64
	expected      float64
}

// coldVM is a VM that may send requests to a cold engine.
type coldVM struct {
	name string
	last float64
}

// advance moves the model to t.
func (e *engine) advance(t, rate float64) {
	for len(e.coming) > 0 && e.coming[0].start <= t {
		f := e.coming[0]
		e.prefill(f.start, rate)
		e.coming = slices.Delete(e.coming, 0, 1)
		e.arrive(f, rate)
	}
	e.prefill(t, rate)
}

// prefill lets the waiting requests go on until t.
func (e *engine) prefill(t, rate float64) {
	for len(e.waiting) > 0 && e.at < t {
		f, n := e.waiting[0], float64(len(e.waiting))
		end := e.at + (f.finish-e.virtual)*n/rate
		if end > t {
			e.virtual += (t - e.at) * rate / n
			break
		}
		e.virtual, e.at = max(e.virtual, f.finish), max(end, e.at)
		e.waiting = slices.Delete(e.waiting, 0, 1)
		f.state, f.modelled, f.rate = running, e.at-f.start, rate
	}
	e.at = max(e.at, t)
}

// arrive adds a request that reaches the engine at the time to which the model was moved.
func (e *engine) arrive(f *flight, rate float64) {
	f.state, f.finish, f.rate = waiting, e.virtual+f.work, rate
	i, _ := slices.BinarySearchFunc(e.waiting, f, func(a, b *flight) int { return cmp.Compare(a.finish, b.finish) })
	e.waiting = slices.Insert(e.waiting, i, f)
}

// add adds a request at t.
func (e *engine) add(t float64, f *flight, rate float64) {
	f.engine = e
	e.flights++
	e.ownTokens += f.ownTokens
	if f.start <= t {
		e.arrive(f, rate)
		return
	}
	i, _ := slices.BinarySearchFunc(e.coming, f, func(a, b *flight) int { return cmp.Compare(a.start, b.start) })
	e.coming = slices.Insert(e.coming, i, f)
}

// finishPrefill moves a request to those that have their first token.
func (e *engine) finishPrefill(f *flight) {
	isF := func(other *flight) bool { return other == f }
	switch f.state {
	case coming:
		e.coming = slices.DeleteFunc(e.coming, isF)
	case waiting:
		e.waiting = slices.DeleteFunc(e.waiting, isF)
	case running:
	}
	f.state = running
}

// remove ends a request.
func (e *engine) remove(f *flight) {
	e.finishPrefill(f)
	e.flights--
	e.ownTokens -= f.ownTokens
}

// overlap returns how many tokens the engine will prefill for others, from the arrival at t of a
// request of the given work until its first token. The same number is prefilled for it while
// the others wait.
func (e *engine) overlap(t, work, rate float64) float64 {
	sum := 0.0
	if ahead := t - e.at; ahead > 0 && len(e.waiting) > 0 {
		total := 0.0
		for _, f := range e.waiting {
			left := f.finish - e.virtual
			total += left
			sum += min(work, left)
		}
		sum *= max(1-ahead*rate/total, 0)
	} else {
		for _, f := range e.waiting {
			sum += min(work, f.finish-e.virtual)
		}
	}
	for _, f := range e.coming {
		if gap := t - f.start; gap >= 0 {
			sum += min(work, max(f.work-gap*rate, 0))
		} else {
			sum += min(max(work+gap*rate, 0), f.work)
		}
	}
	return sum
}

// hasRoom reports whether the engine has a free slot, and memory for a request that needs the
// given number of tokens besides the parts that are in use there.
func (e *engine) hasRoom(tokens, capacity int) bool {
	return (e.slots <= 0 || e.flights < e.slots) && (capacity <= 0 || e.ownTokens+e.pinnedTokens+tokens <= capacity)
}

// admitsCold reports whether a request of vm may go to the engine, which is always so if it is
// warm.
func (e *engine) admitsCold(t float64, vm string) bool {
	if t >= e.coldUntil {
		return true
	}
	for _, c := range e.coldVMs {
		if c.name == vm {
			return t-c.last >= coldInterval
		}
	}
	return false
}

func (e *engine) recordCold(t float64, vm string) {
	for i := range e.coldVMs {
		if e.coldVMs[i].name == vm {
			e.coldVMs[i].last = t
		}
	}
}

// addLoad adds a prefill of the given duration in ms to the moving average.
func (e *engine) addLoad(t, duration float64) {
	e.load = e.loadNow(t) + duration/loadWindow
	e.loadAt = t
}

func (e *engine) loadNow(t float64) float64 { return e.load * decay(t-e.loadAt, loadWindow) }

// fail records a failure that a VM saw. It reports whether the engine counts as failed.
func (e *engine) fail(t float64, vm string) bool {
	isConfirmed := e.failedBy != "" && e.failedBy != vm && t-e.failedAt < failureWindow
	e.failedBy, e.failedAt = vm, t
	if !isConfirmed {
		return false
	}
	e.avoidUntil = max(e.avoidUntil, t+min(initialBackoff*float64(int(1)<<min(e.failures, 8)), maxBackoff))
	e.failures++
	return true
}

// succeed records that the engine has answered a request.
func (e *engine) succeed(t float64) {
	e.failures, e.failedBy, e.avoidUntil = 0, "", min(e.avoidUntil, t)
}

// ms returns a time in ms since the start of the Pool.
func (p *Pool) ms(t time.Time) float64 { return float64(t.Sub(p.epoch)) / float64(time.Millisecond) }

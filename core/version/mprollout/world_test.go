package mprollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fault is what is wrong with the target of a simulated roll-out. The zero value is a good target.
type fault struct {
	name string
	// fail is the part of the answers that fail. A part slow of them takes factor times the time.
	fail, slow, factor float64
	// onRoute limits the fault to one of the routes.
	onRoute bool
	// inShift limits it to a target that gets all requests, later to what comes after a random time.
	inShift, later bool
	// reportOnly is set if its results are reported without being checked.
	reportOnly bool
	// marginal is set if it is one of those of TestSimulatedMarginalTargets.
	marginal bool
}

// scenario is a simulated roll-out. Everything else is drawn from the seed.
type scenario struct {
	seed     uint64
	rate     float64
	duration time.Duration
	fault    fault
	// inShift names the kind of a fault of both versions in the shift; empty for the usual draw.
	inShift string
}

// result is what became of a simulated roll-out.
type result struct {
	rollout Rollout
	// requests reached the pool before the deadline, exposed of them went to the target.
	requests, exposed int
	// shownAt is the time of the first bad answer, bad50 that of the 50th, and lastSent that of the last
	// request to the target; after the order.
	shownAt, bad50, lastSent time.Duration
}

func (r result) bound() float64 { return 0.1*float64(r.requests) + 50 }

// event is something that happens at a time after the order.
type event struct {
	at time.Duration
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type attempt struct {
	version, route       string
	start                time.Duration
	latency              time.Duration
	stream, retry        bool
	failed, lost, faulty bool
	cold                 bool
	recorded             *Attempt
}

type simVM struct {
	rollout  Rollout
	recorder *Recorder
	exposure *Exposure
}

type simUpstream struct {
	speed   float64
	crashAt time.Duration
}

type simRoute struct {
	name   string
	work   time.Duration
	weight float64
}

// world runs one scenario in virtual time.
type world struct {
	scenario
	rng       *rand.Rand
	queue     queue
	now       time.Duration
	vms       []simVM
	routes    []simRoute
	upstreams map[string][]simUpstream
	// listedAt is when the target is listed, warmAt when its cold start ends.
	listedAt, warmAt time.Duration
	baseFail         float64
	streams, uneven  bool
	// A fault of both versions lasts from commonFrom to commonTo.
	commonFrom, commonTo   time.Duration
	commonFail, commonSlow float64
	commonLost             bool
	onset                  time.Duration
	ledger                 *Ledger
	current                Rollout
	bad                    int
	result                 result
}

var (
	simEpoch    = time.UnixMilli(1_700_000_000_000)
	simSettings = Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second, AckTime: 5 * time.Second}
)

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Float64()*float64(b-a))
}

// after calls do after the delay, unless the deadline is before.
func (w *world) after(delay time.Duration, do func()) {
	if at := w.now + delay; at <= w.duration {
		heap.Push(&w.queue, event{at, do})
	}
}

func newWorld(t testing.TB, sc scenario) *world {
	t.Helper()
	w := &world{
		scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1)), ledger: NewLedger(),
		upstreams: map[string][]simUpstream{},
	}
	for i := range 1 + w.rng.IntN(4) {
		w.routes = append(w.routes, simRoute{
			name: fmt.Sprintf("r%d", i), work: w.between(80*time.Millisecond, 800*time.Millisecond), weight: 0.3 + w.rng.Float64(),
		})
	}
	w.streams, w.uneven = w.rng.IntN(2) == 0, w.rng.IntN(2) == 0
	unlike := w.rng.IntN(3) == 0
	count := 3 + w.rng.IntN(6)
	for i := range count {
		u := simUpstream{speed: 1, crashAt: math.MaxInt64}
		if unlike {
			u.speed = []float64{0.6, 1, 1.6}[i%3]
		}
		w.upstreams["v1"] = append(w.upstreams["v1"], u)
		if unlike && w.rng.IntN(4) == 0 {
			u.speed = []float64{0.6, 1, 1.6}[w.rng.IntN(3)]
		}
		w.upstreams["v2"] = append(w.upstreams["v2"], u)
	}
	if w.rng.IntN(4) == 0 {
		version := []string{"v1", "v2"}[w.rng.IntN(2)]
		w.upstreams[version][0].crashAt = w.between(2*time.Second, sc.duration)
	}
	w.listedAt = w.between(500*time.Millisecond, 2*time.Second)
	w.warmAt = w.listedAt + w.between(time.Second, 2*time.Second)
	w.baseFail = []float64{0, 0, 0.001, 0.005}[w.rng.IntN(4)]
	w.onset = w.between(sc.duration*3/10, sc.duration*6/10)
	w.drawCommonFault()
	r, _, err := Order(simEpoch, nil, Request{
		Pool: "p", Target: "v2", Duration: sc.duration, ID: "id", Listed: []string{"v1"}, Share: simSettings.ExposeShare,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.current = r
	vms := 4 + w.rng.IntN(9)
	for i := range vms {
		e := NewExposure(sc.seed<<8 + uint64(i))
		e.Grant(min(1, 10/float64(vms))) // A fifth of the slack.
		w.vms = append(w.vms, simVM{exposure: e})
		w.after(w.between(0, 700*time.Millisecond), func() { w.apply(i, r) })
		w.after(w.between(0, 400*time.Millisecond), func() { w.report(i) })
	}
	w.after(0, w.request)
	w.after(200*time.Millisecond, func() { w.step(t) })
	return w
}

// drawCommonFault draws in a third of the runs a fault that strikes both versions: slowness, errors, or lost
// connections. Slowness ends before the shift, in which nothing is left to compare it with, unless the scenario asks for it there.
func (w *world) drawCommonFault() {
	w.commonSlow = 1
	kind := w.rng.IntN(9)
	if w.inShift != "" {
		kind = map[string]int{"slow": 0, "errors": 1, "losses": 2}[w.inShift]
	}
	length := w.between(250*time.Millisecond, 2*time.Second)
	latest := w.duration
	switch kind {
	case 0:
		w.commonSlow, latest = 2+2*w.rng.Float64(), w.duration*4/10
	case 1, 2:
		w.commonFail, w.commonLost = 0.2+0.6*w.rng.Float64(), kind == 2
	default:
		return
	}
	w.commonFrom = w.between(time.Second, latest-length)
	if w.inShift != "" {
		w.commonFrom = w.duration * 65 / 100
	}
	w.commonTo = w.commonFrom + length
}

func (w *world) vmNames() []string {
	names := make([]string, len(w.vms))
	for i := range w.vms {
		names[i] = fmt.Sprintf("vm%d", i)
	}
	return names
}

// run returns the result at the deadline.
func (w *world) run() result {
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.result.rollout = w.current
	return w.result
}

func (w *world) request() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), w.request)
	w.result.requests++
	i := w.rng.IntN(len(w.vms))
	vm := &w.vms[i]
	route := w.drawRoute()
	version := "v1"
	switch {
	case vm.recorder == nil || w.now < w.listedAt:
	case vm.rollout.State == StateComplete || vm.rollout.Running() && vm.exposure.Admit(vm.rollout.Share):
		version = "v2"
	}
	w.send(i, route, version, false)
}

func (w *world) drawRoute() simRoute {
	total := 0.0
	for _, r := range w.routes {
		total += r.weight
	}
	x := w.rng.Float64() * total
	for _, r := range w.routes {
		if x -= r.weight; x < 0 {
			return r
		}
	}
	return w.routes[0]
}

func (w *world) isFaulty(route simRoute) bool {
	f := w.fault
	return (!f.onRoute || route.name == w.routes[0].name) && (!f.inShift || w.current.Phase == PhaseShift) && (!f.later || w.now >= w.onset)
}

func (w *world) send(vm int, route simRoute, version string, retry bool) {
	i := w.rng.IntN(len(w.upstreams[version]))
	for w.upstreams[version][i].crashAt < w.now {
		i = (i + 1) % len(w.upstreams[version])
	}
	u := w.upstreams[version][i]
	factor := math.Exp(0.4*w.rng.NormFloat64()) / u.speed
	// At any moment 15% of the upstreams are slow, for 600 ms at a time.
	spell := rand.New(rand.NewPCG(w.seed<<20+uint64(w.now/(600*time.Millisecond)), uint64(i)<<1+uint64(len(version)+int(version[1]))))
	if w.uneven && spell.Float64() < 0.15 {
		factor *= 2.5
	}
	a := &attempt{version: version, route: route.name, start: w.now, retry: retry, stream: w.streams && w.rng.IntN(3) == 0}
	a.failed = w.rng.Float64() < w.baseFail
	if w.now >= w.commonFrom && w.now < w.commonTo {
		factor *= w.commonSlow
	}
	if version == "v2" {
		a.cold = w.now < w.warmAt
		if a.cold {
			factor *= 2
		}
		w.result.exposed++
		w.result.lastSent = w.now
		if w.isFaulty(route) {
			if w.rng.Float64() < w.fault.fail {
				a.failed, a.faulty = true, true
			}
			if w.rng.Float64() < w.fault.slow {
				factor *= w.fault.factor
				a.faulty = true
			}
		}
	}
	a.latency = time.Duration(factor * float64(route.work))
	end := a.latency
	if a.failed {
		end, a.stream = min(end, w.between(5*time.Millisecond, 300*time.Millisecond)), false
	}
	if a.stream {
		a.latency = end * 3 / 10
		length := w.between(time.Second, 4*time.Second)
		if w.rng.IntN(10) == 0 {
			length = w.between(6*time.Second, 15*time.Second)
		}
		end = a.latency + length
	}
	// A fault of both versions strikes all that runs during it.
	if w.now < w.commonTo && w.now+end > w.commonFrom && w.rng.Float64() < w.commonFail {
		end, a.failed, a.lost = max(w.commonFrom-w.now, 0)+w.between(5*time.Millisecond, 100*time.Millisecond), true, w.commonLost
	}
	if w.now+end > u.crashAt {
		end, a.failed, a.lost = u.crashAt-w.now, true, true
	}
	if w.vms[vm].recorder == nil {
		return // The VM does not know of the roll-out yet and counts nothing.
	}
	a.recorded = w.vms[vm].recorder.Begin(simEpoch.Add(w.now), version, route.name, a.cold)
	if a.stream && end > a.latency {
		w.after(a.latency, func() { a.recorded.Record(Answered{Latency: a.latency}) })
	}
	w.after(end, func() { w.finish(vm, a) })
}

func (w *world) finish(vm int, a *attempt) {
	streamed := a.stream && w.now >= a.start+a.latency
	switch {
	case a.failed:
		a.recorded.Record(Failed{Lost: a.lost})
		if !a.retry && !streamed && w.current.State != StateComplete {
			for _, r := range w.routes {
				if r.name == a.route {
					w.send(vm, r, "v1", true)
				}
			}
		}
	case !streamed:
		a.recorded.Record(Answered{Latency: a.latency})
	}
	a.recorded.End()
	if a.faulty {
		w.countBad()
	}
}

func (w *world) countBad() {
	w.bad++
	switch w.bad {
	case 1:
		w.result.shownAt = w.now
	case 50:
		w.result.bad50 = w.now
	}
}

func (w *world) report(vm int) {
	w.after(400*time.Millisecond, func() { w.report(vm) })
	c := w.vms[vm].recorder
	if c == nil || !c.Changed() {
		return
	}
	rows := c.Report(simEpoch.Add(w.now))
	arrive := func() { w.ledger.Merge(simEpoch.Add(w.now), fmt.Sprintf("vm%d", vm), 1, rows) }
	delay := w.between(5*time.Millisecond, 100*time.Millisecond)
	switch w.rng.IntN(50) {
	case 0: // Lost.
		return
	case 1: // Twice, and late.
		w.after(delay+time.Second, arrive)
	}
	w.after(delay, arrive)
}

func (w *world) step(t testing.TB) {
	t.Helper()
	w.after(200*time.Millisecond, func() { w.step(t) })
	fleet := Fleet{Upstreams: map[string]Upstreams{}, VMs: w.vmNames()}
	for version, list := range w.upstreams {
		if version == "v2" && w.now < w.listedAt {
			continue
		}
		n := Upstreams{}
		for _, u := range list {
			if u.crashAt > w.now {
				n.Listed++
				n.Usable++
				if version == "v2" && w.now < w.warmAt {
					n.Cold++
				}
			}
		}
		fleet.Upstreams[version] = n
	}
	now := simEpoch.Add(w.now)
	next, changed := Step(now, simSettings, w.current, w.ledger.Evidence(now, "id"), fleet)
	if !changed {
		return
	}
	if err := Advance(w.current, next); err != nil {
		t.Fatalf("seed %d: %v", w.seed, err)
	}
	w.current = next
	for i := range w.vms {
		w.after(w.between(50*time.Millisecond, 700*time.Millisecond), func() { w.apply(i, next) })
	}
}

func (w *world) apply(vm int, r Rollout) {
	v := &w.vms[vm]
	if v.recorder == nil {
		v.recorder = NewRecorder(r)
	} else if Advance(v.rollout, r) != nil {
		return // An older change that arrived late.
	}
	v.rollout = r
	v.recorder.SetPhase(r.Phase)
}

package mpselect

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
)

// fleetConfig configures a fleet.
type fleetConfig struct {
	vms, upstreams, slots int
	// speeds are those of the upstreams, by turns.
	speeds []float64
	// varies is set if a sixth of the upstreams is 2.5 times slower, for 600 ms at a time.
	varies bool
	// loads and percents are set if answers carry the load, and the speed.
	loads, percents bool
	// rate is that of requests to all VMs together, per second.
	rate float64
	// work is the mean time of a request at an upstream of the usual speed, and spread the
	// standard deviation of its logarithm.
	work   time.Duration
	spread float64
}

// fleet simulates VMs with a Selector each, and upstreams with a queue each, in virtual time.
type fleet struct {
	cfg       fleetConfig
	random    *rand.Rand
	start     time.Time
	now       time.Time
	vms       []*Selector
	list      []Candidate
	upstreams map[string]*fleetUpstream
	events    fleetEvents
	// latencies are those of the requests, and slowWaits counts those that waited at an upstream
	// that was slow when they began.
	latencies []time.Duration
	slowWaits int
}

type fleetUpstream struct {
	number  int
	running int
	queue   []*fleetRequest
}

type fleetRequest struct {
	vm       int
	info     PickInfo
	upstream string
	// sentAt is when the VM sent it, arrivedAt when the upstream received it.
	sentAt, arrivedAt time.Time
	work              time.Duration
}

// fleetEvent is the arrival of a request at its upstream, or its end there.
type fleetEvent struct {
	at      time.Time
	arrives bool
	request *fleetRequest
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int           { return len(h) }
func (h fleetEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h fleetEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(x any)        { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	fleetLength = 12 * time.Second
	fleetWarmUp = 4 * time.Second
	fleetDCs    = 3
	// An upstream that varies is slowRatio times slower for slowTime, in one of slowShare cases.
	slowTime  = 600 * time.Millisecond
	slowRatio = 2.5
	slowShare = 6
)

func newFleet(seed uint64, cfg fleetConfig) *fleet {
	start := time.Unix(1000, 0)
	f := &fleet{cfg: cfg, random: rand.New(rand.NewPCG(seed, 9)), start: start, now: start, upstreams: map[string]*fleetUpstream{}}
	for i := range cfg.vms {
		f.vms = append(f.vms, New(Config{VM: fmt.Sprint("vm", i)}))
	}
	for i := range cfg.upstreams {
		row := mplist.Row{ID: fmt.Sprint("u", i), DC: dcOf(i), Slots: cfg.slots}
		f.list = append(f.list, Candidate{Row: row})
		f.upstreams[row.ID] = &fleetUpstream{number: i}
	}
	return f
}

func dcOf(number int) string { return fmt.Sprint("dc", number%fleetDCs) }

// transient returns how much longer work takes at the moment than usual at an upstream.
func (f *fleet) transient(u *fleetUpstream) float64 {
	// The moments of the upstreams begin at different times.
	moment := (f.now.Sub(f.start) + time.Duration(u.number)*slowTime*7/19) / slowTime
	if f.cfg.varies && rand.NewPCG(7, uint64(u.number)<<32+uint64(moment)).Uint64()%slowShare == 0 {
		return slowRatio
	}
	return 1
}

// linkTime returns how long a message takes between a VM and an upstream.
func linkTime(vm int, u *fleetUpstream) time.Duration {
	if vm%fleetDCs == u.number%fleetDCs {
		return 500 * time.Microsecond
	}
	return 4 * time.Millisecond
}

// play plays requests for fleetLength.
func (f *fleet) play() {
	for next := f.now; f.now.Before(f.start.Add(fleetLength)); {
		if len(f.events) > 0 && f.events[0].at.Before(next) {
			e := heap.Pop(&f.events).(fleetEvent)
			f.now = e.at
			if e.arrives {
				f.arrive(e.request)
			} else {
				f.end(e.request)
			}
			continue
		}
		f.now = next
		next = next.Add(time.Duration(f.random.ExpFloat64() / f.cfg.rate * float64(time.Second)))
		f.send()
	}
}

// send sends a request of a random VM.
func (f *fleet) send() {
	vm := f.random.IntN(len(f.vms))
	info := PickInfo{Work: 1, DC: dcOf(vm), Kind: "k"}
	row, _ := f.vms[vm].Pick(f.now, f.list, info)
	spread := f.cfg.spread
	work := math.Exp(f.random.NormFloat64()*spread-spread*spread/2) * float64(f.cfg.work)
	r := &fleetRequest{vm: vm, info: info, upstream: row.ID, sentAt: f.now, work: time.Duration(work)}
	heap.Push(&f.events, fleetEvent{at: f.now.Add(linkTime(vm, f.upstreams[row.ID])), arrives: true, request: r})
}

func (f *fleet) arrive(r *fleetRequest) {
	u := f.upstreams[r.upstream]
	r.arrivedAt = f.now
	if u.running < f.cfg.slots {
		f.begin(u, r)
		return
	}
	u.queue = append(u.queue, r)
}

func (f *fleet) begin(u *fleetUpstream, r *fleetRequest) {
	u.running++
	slowness := f.transient(u) / f.cfg.speeds[u.number/fleetDCs%len(f.cfg.speeds)]
	if slowness > 1 && f.now.After(r.arrivedAt) && f.isMeasured() {
		f.slowWaits++
	}
	heap.Push(&f.events, fleetEvent{at: f.now.Add(time.Duration(float64(r.work) * slowness)), request: r})
}

func (f *fleet) isMeasured() bool { return f.now.Sub(f.start) > fleetWarmUp }

func (f *fleet) end(r *fleetRequest) {
	u, vm := f.upstreams[r.upstream], f.vms[r.vm]
	if f.cfg.loads {
		l := mpspeed.Load{Running: u.running, Waiting: len(u.queue), Slots: f.cfg.slots, HasCounts: true}
		if f.cfg.percents {
			l.Percent = 100 * f.transient(u)
		}
		vm.Report(f.now, r.upstream, l)
	}
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		f.begin(u, next)
	}
	latency := f.now.Sub(r.sentAt) + linkTime(r.vm, u)
	vm.Done(f.now, r.upstream, r.info, Succeeded, latency)
	if f.isMeasured() {
		f.latencies = append(f.latencies, latency)
	}
}

// fleetFigures describe a simulated run: the latencies of requests, and the share of those that
// waited at an upstream that was slow when they began.
type fleetFigures struct {
	p50, p90, p99 time.Duration
	slowWaits     float64
}

func (f *fleet) figures() fleetFigures {
	slices.Sort(f.latencies)
	at := func(share float64) time.Duration { return f.latencies[int(share*float64(len(f.latencies)-1))] }
	return fleetFigures{at(0.5), at(0.9), at(0.99), float64(f.slowWaits) / float64(len(f.latencies))}
}

// Guards against requests that wait behind a slow upstream. The figures of the build that learned
// a mean latency for each upstream at each VM are in comments.
func TestFewerRequestsWaitAtSlowUpstreams(t *testing.T) {
	const ms = time.Millisecond
	three, one := []float64{1, 0.6, 1.6}, []float64{1}
	for name, c := range map[string]struct {
		cfg  fleetConfig
		most fleetFigures
	}{
		// 36 ms, 67 ms, 107 ms.
		"three speeds, loads": {fleetConfig{speeds: three, loads: true}, fleetFigures{p50: 35 * ms, p90: 64 * ms, p99: 112 * ms}},
		// 47 ms, 92 ms, 172 ms, 0.023.
		"a sixth slow": {fleetConfig{speeds: one, varies: true}, fleetFigures{46 * ms, 88 * ms, 172 * ms, 0.018}},
		"a sixth slow, loads and percents": {
			fleetConfig{speeds: one, varies: true, loads: true, percents: true}, fleetFigures{43 * ms, 80 * ms, 152 * ms, 0.008},
		},
		// 47 ms, 92 ms, 187 ms, 0.021.
		"both": {fleetConfig{speeds: three, varies: true}, fleetFigures{45 * ms, 90 * ms, 190 * ms, 0.035}},
		"both, loads and percents": {
			fleetConfig{speeds: three, varies: true, loads: true, percents: true}, fleetFigures{38 * ms, 74 * ms, 150 * ms, 0.017},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.cfg.vms, c.cfg.upstreams, c.cfg.slots, c.cfg.rate, c.cfg.work, c.cfg.spread = 45, 12, 8, 1400, 40*ms, 0.5
			f := newFleet(1, c.cfg)
			f.play()
			got := f.figures()
			t.Logf("p50 %v, p90 %v, p99 %v, waited at slow upstreams %.4f", got.p50.Round(ms/10), got.p90.Round(ms/10), got.p99.Round(ms/10), got.slowWaits)
			if got.p50 > c.most.p50 || got.p90 > c.most.p90 || got.p99 > c.most.p99 || got.slowWaits > c.most.slowWaits {
				t.Errorf("got %+v, want at most %+v", got, c.most)
			}
		})
	}
}

// expectedBefore returns the upstream that was chosen before speeds and loads were known: the one
// with the lowest latency times its queue, of attempts of this VM alone.
func expectedBefore(s *Selector, list []Candidate, dc string) string {
	best, lowest := "", math.Inf(1)
	for _, c := range list {
		cost := (1 + float64(s.state(c.Row.ID).inFlight)/float64(c.Row.Slots)) * float64(initialLatency)
		if c.Row.DC != dc {
			cost += float64(remoteDCPenalty)
		}
		if cost < lowest {
			best, lowest = c.Row.ID, cost
		}
	}
	return best
}

// Guards against other choices than before where all upstreams are alike, whether they report
// their load and speed or not.
func TestAlikeUpstreamsAreChosenAsBefore(t *testing.T) {
	for name, load := range map[string]mpspeed.Load{
		"no reports":            {},
		"reports of load":       {Running: 3, Slots: 4, HasCounts: true},
		"reports of speed":      {Percent: 100},
		"reports of both":       {Running: 3, Slots: 4, HasCounts: true, Percent: 100},
		"figures that are void": mpspeed.ParseLoad([]string{"-1,x,1e9,NaN"}),
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s, list, now := New(Config{VM: "v"}), engines(9), time.Unix(100, 0)
			var running []string
			for range 2000 {
				now = now.Add(time.Duration(random.IntN(int(20 * time.Millisecond))))
				info := PickInfo{Work: 1, DC: []string{"a", "b", "c"}[random.IntN(3)], Kind: "k"}
				want := expectedBefore(s, list, info.DC)
				checkPick(t, want, pick(t, s, now, list, info))
				running = append(running, want)
				for len(running) > random.IntN(20) {
					i := random.IntN(len(running))
					id := running[i]
					running = append(running[:i], running[i+1:]...)
					// All upstreams run the same number of requests of other VMs.
					l := load
					if l.HasCounts {
						l.Running += s.state(id).inFlight
					}
					s.Report(now, id, l)
					s.Done(now, id, info, Succeeded, initialLatency)
				}
			}
		})
	}
}

package mpbatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mproute"
)

// Upstreams of speedSim that vary are slowRatio times slower for slowTime at a time, one in
// slowShare of them at any moment.
const (
	slowTime  = 600 * time.Millisecond
	slowRatio = 2.5
	slowShare = 6
	// simTick is the resolution of the simulation.
	simTick   = 2 * time.Millisecond
	simLength = 30 * time.Second
	simSeeds  = 3
	// simReadAfter is when the results of a job have been read.
	simReadAfter = 450 * time.Millisecond
	// A job has up to simMaxPieces pieces and is late after simSoftLimit.
	simMaxPieces = 12
	simSoftLimit = 950 * time.Millisecond
)

// speedConfig configures a speedSim.
type speedConfig struct {
	seed uint64
	// speeds are those of the upstreams, by turns.
	speeds []float64
	varies bool
	// reports is set if answers to calls and to orders to free results carry the speed.
	reports bool
	// rate is that of pieces, per second. In the middle third it is burst times higher.
	rate, burst float64
}

// speedSim simulates a Batcher and upstreams of unequal and varying speed in virtual time.
type speedSim struct {
	cfg     speedConfig
	batcher *Batcher
	random  *rand.Rand
	start   time.Time
	now     time.Time
	running map[uint64]*speedCall
	// open holds the jobs that are not done, took the times of the others.
	open []speedJob
	took []time.Duration
	// results holds the results that have not been read, in the order of readAt.
	results []speedResult
	// isChanged is set if calls may be due, and wakeAt is when they are in any case.
	isChanged bool
	wakeAt    time.Time
	// choices is a digest of all calls.
	choices *xxhash.Digest
	// pieces counts the pieces of the jobs, and made those that upstreams made.
	jobs, pieces, made, refused int
}

type speedCall struct {
	call Call
	// left is the work that remains, as time at an upstream of the usual speed.
	left time.Duration
}

type speedJob struct {
	job   *Job
	added time.Time
}

type speedResult struct {
	upstream string
	handle   string
	readAt   time.Time
}

const simUpstreams = 18

func newSpeedSim(cfg speedConfig) *speedSim {
	start := time.Unix(1000, 0)
	m := &speedSim{
		cfg:     cfg,
		batcher: New(Config{Spec: mproute.BatchSpec{MaxPieces: 16, CallTime: 150 * time.Millisecond, PieceTime: 8 * time.Millisecond, ResultRetention: 4 * time.Second}}),
		random:  rand.New(rand.NewPCG(cfg.seed, 3)), start: start, now: start, running: map[uint64]*speedCall{}, choices: xxhash.New(),
	}
	var ups []Upstream
	for i := range simUpstreams {
		ups = append(ups, Upstream{ID: fmt.Sprint("u", i), DC: fmt.Sprint("dc", i%2)})
	}
	m.batcher.SetUpstreams(ups)
	return m
}

func numberOf(upstream string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(upstream, "u"))
	return n
}

// transient returns how much longer work takes at the moment than usual at an upstream.
func (m *speedSim) transient(upstream string) float64 {
	// The moments of the upstreams begin at different times.
	n := numberOf(upstream)
	moment := (m.now.Sub(m.start) + time.Duration(n)*slowTime*7/19) / slowTime
	if m.cfg.varies && rand.NewPCG(m.cfg.seed, uint64(n)<<32+uint64(moment)).Uint64()%slowShare == 0 {
		return slowRatio
	}
	return 1
}

// load returns what an answer of an upstream says.
func (m *speedSim) load(upstream string) mpspeed.Load {
	if !m.cfg.reports {
		return mpspeed.Load{}
	}
	return mpspeed.Load{Percent: 100 * m.transient(upstream)}
}

// step simulates the next simTick.
func (m *speedSim) step() {
	m.now = m.now.Add(simTick)
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		c := m.running[id]
		upstream := c.call.Upstream.ID
		speed := m.cfg.speeds[numberOf(upstream)/2%len(m.cfg.speeds)] / m.transient(upstream)
		if c.left -= time.Duration(float64(simTick) * speed); c.left > 0 {
			continue
		}
		delete(m.running, id)
		out := Outcome{Load: m.load(upstream)}
		for _, it := range c.call.Items {
			out.Items = append(out.Items, ItemOutcome{Handle: fmt.Sprint(upstream, "/", it.Request, "-", it.Number, "-", id)})
		}
		m.made += len(c.call.Items)
		m.batcher.Finish(m.now, id, out)
		m.isChanged = true
	}
	m.readResults()
	m.batcher.ConfirmFreed(m.batcher.TakePendingFrees())
	if m.isChanged || !m.wakeAt.IsZero() && !m.now.Before(m.wakeAt) {
		m.startCalls()
	}
	m.open = slices.DeleteFunc(m.open, func(j speedJob) bool {
		if !j.job.isDone() {
			return false
		}
		m.took = append(m.took, m.now.Sub(j.added))
		results, _ := j.job.Results()
		for _, r := range results {
			m.results = append(m.results, speedResult{upstreamOf(r.Handle), r.Handle, m.now.Add(simReadAfter)})
		}
		return true
	})
}

// startCalls starts the calls that are due.
func (m *speedSim) startCalls() {
	m.isChanged = false
	for _, c := range m.batcher.Next(m.now) {
		_, _ = fmt.Fprint(m.choices, m.now.Sub(m.start), c.Upstream.ID, len(c.Items), ";")
		m.running[c.ID] = &speedCall{call: c, left: m.batcher.cfg.Spec.CallDuration(len(c.Items))}
	}
	m.wakeAt = m.batcher.NextWake(m.now)
}

func upstreamOf(handle string) string {
	upstream, _, _ := strings.Cut(handle, "/")
	return upstream
}

// readResults frees the results that have been read.
func (m *speedSim) readResults() {
	for len(m.results) > 0 && !m.now.Before(m.results[0].readAt) {
		m.batcher.Free([]string{m.results[0].handle})
		m.isChanged = true
		m.batcher.cfg.Speed.Record(m.now, m.results[0].upstream, m.load(m.results[0].upstream))
		m.results = m.results[1:]
	}
}

// play plays jobs for simLength.
func (m *speedSim) play() {
	const meanPieces = (1 + simMaxPieces) / 2.0
	for at := time.Duration(0); at < simLength; at += simTick {
		rate := m.cfg.rate
		if at > simLength/3 && at < simLength*2/3 {
			rate *= m.cfg.burst
		}
		if m.random.Float64() < rate/meanPieces*simTick.Seconds() {
			m.add(1 + m.random.IntN(simMaxPieces))
		}
		m.step()
	}
}

func (m *speedSim) add(pieces int) {
	m.jobs++
	j, err := m.batcher.Add(m.now, JobSpec{
		Request: fmt.Sprintf("%016x", m.random.Uint64()), Count: pieces, Key: "k", ResultBytes: 60_000, CrossDCBytes: 60_000,
		SoftDeadline: m.now.Add(simSoftLimit), Deadline: m.now.Add(4 * time.Second),
	})
	if err != nil {
		m.refused++
		return
	}
	m.pieces += pieces
	m.isChanged = true
	m.open = append(m.open, speedJob{job: j, added: m.now})
}

// speedFigures describe simulated runs: the times of jobs in the stage, and the shares of jobs
// that were refused or late and of pieces that were made twice.
type speedFigures struct {
	p50, p90       time.Duration
	missed, copies float64
}

// playSeeds returns the figures of the jobs of simSeeds runs.
func playSeeds(cfg speedConfig) speedFigures {
	var took []time.Duration
	missed, jobs, pieces, made := 0, 0, 0, 0
	for seed := range uint64(simSeeds) {
		cfg.seed = seed
		m := newSpeedSim(cfg)
		m.play()
		missed, jobs, pieces, made = missed+m.refused, jobs+m.jobs, pieces+m.pieces, made+m.made
		took = append(took, m.took...)
	}
	for _, d := range took {
		if d > simSoftLimit {
			missed++
		}
	}
	slices.Sort(took)
	return speedFigures{
		p50: took[len(took)/2], p90: took[len(took)*9/10], missed: float64(missed) / float64(jobs),
		copies: max(float64(made-pieces)/float64(pieces), 0),
	}
}

func checkFigures(t *testing.T, got, most speedFigures) {
	t.Helper()
	t.Logf("p50 %v, p90 %v, missed %.4f, made twice %.4f", got.p50, got.p90, got.missed, got.copies)
	if got.p50 > most.p50 || got.p90 > most.p90 || got.missed > most.missed || got.copies > most.copies {
		t.Errorf("got %+v, want at most %+v", got, most)
	}
}

// Guards against pieces that wait at slow upstreams while fast ones would make them sooner, and
// against calls that are made twice although the first one ends sooner. Comments give the figures of
// the build that expected the mean of earlier calls.
func TestUnequalSpeeds(t *testing.T) {
	const ms = time.Millisecond
	three, one := []float64{1, 0.6, 1.6}, []float64{1}
	for name, c := range map[string]struct {
		cfg  speedConfig
		most speedFigures
	}{
		// 160 ms, 320 ms.
		"three speeds": {speedConfig{speeds: three, rate: 300, burst: 2.4}, speedFigures{p50: 185 * ms, p90: 305 * ms}},
		// 246 ms, 406 ms, 0.0107 made twice.
		"a sixth slow": {speedConfig{speeds: one, varies: true, rate: 300, burst: 2.4}, speedFigures{p50: 250 * ms, p90: 415 * ms, copies: 0.0107}},
		"a sixth slow, reports": {
			speedConfig{speeds: one, varies: true, reports: true, rate: 300, burst: 2.4}, speedFigures{p50: 246 * ms, p90: 380 * ms, copies: 0.001},
		},
		// 198 ms, 438 ms, 0.0012 missed, 0.0023 made twice.
		"both": {speedConfig{speeds: three, varies: true, rate: 300, burst: 2.4}, speedFigures{p50: 210 * ms, p90: 390 * ms, missed: 0.003, copies: 0.0035}},
		"both, reports": {
			speedConfig{speeds: three, varies: true, reports: true, rate: 300, burst: 2.4}, speedFigures{p50: 205 * ms, p90: 370 * ms, missed: 0.002, copies: 0.001},
		},
		// 146 ms, 296 ms, 0.0072 made twice.
		"both, reports, little load": {
			speedConfig{speeds: three, varies: true, reports: true, rate: 100, burst: 1}, speedFigures{p50: 140 * ms, p90: 230 * ms, copies: 0.001},
		},
	} {
		t.Run(name, func(t *testing.T) { checkFigures(t, playSeeds(c.cfg), c.most) })
	}
}

// Guards against other choices than before where no upstream differs from the others, whether they
// report that or not. The digest is that of the build without mpspeed.
func TestAlikeUpstreamsGetTheSameCalls(t *testing.T) {
	const want = "73ff0ba9ceda6e35"
	for name, reports := range map[string]bool{"without reports": false, "with reports": true} {
		t.Run(name, func(t *testing.T) {
			m := newSpeedSim(speedConfig{speeds: []float64{1}, reports: reports, rate: 300, burst: 2.4})
			m.play()
			if diff := cmp.Diff(want, fmt.Sprintf("%016x", m.choices.Sum64())); diff != "" {
				t.Errorf("digest of the calls (-want +got):\n%s", diff)
			}
		})
	}
}

// newSlowSim returns a sim of an upstream of the usual speed and one that takes three times as
// long, as is known. The fast one has just begun a call that takes 166 ms.
func newSlowSim(t *testing.T) *sim {
	m := newSim(t, spec(), Upstream{ID: "fast", DC: "a"}, Upstream{ID: "slow", DC: "a"})
	m.slow["slow"] = 3
	for i := range 100 {
		m.batcher.cfg.Speed.Observe(m.now.Add(time.Duration(i-100)*time.Second), "slow", time.Second, 3*time.Second)
	}
	m.add(JobSpec{Request: "busy", Count: 1}, time.Second)
	return m
}

func checkCalls(t *testing.T, m *sim, want ...string) {
	t.Helper()
	var got []string
	for _, c := range m.started {
		got = append(got, fmt.Sprint(c.Upstream.ID, " ", len(c.Items)))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// Guards against pieces that are made at an idle slow upstream although the next call to a busy
// fast one would end sooner, and against slow upstreams that stay idle while work waits.
func TestIdleSlowUpstream(t *testing.T) {
	t.Run("pieces wait for a fast upstream that ends sooner", func(t *testing.T) {
		m := newSlowSim(t)
		m.run(50 * time.Millisecond)
		m.add(JobSpec{Request: "r", Count: 2}, time.Second)
		m.run(150 * time.Millisecond)
		checkCalls(t, m, "fast 1", "fast 2")
	})
	t.Run("pieces for which the next fast call has no room go to the slow one", func(t *testing.T) {
		m := newSlowSim(t)
		m.run(50 * time.Millisecond)
		m.add(JobSpec{Request: "r", Count: 6}, time.Second)
		m.add(JobSpec{Request: "s", Count: 6}, time.Second)
		m.run(150 * time.Millisecond)
		checkCalls(t, m, "fast 1", "slow 6", "fast 6")
	})
	t.Run("pieces do not wait for an upstream that has not been slow for long", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "a"})
		m.batcher.cfg.Speed.Report(m.now.Add(-time.Second), "u2", 250)
		m.add(JobSpec{Request: "busy", Count: 1}, time.Second)
		m.add(JobSpec{Request: "r", Count: 2}, time.Second)
		checkCalls(t, m, "u1 1", "u2 2")
	})
}

// Guards against calls that are made again while an upstream that reports its speed is slow for a
// moment, since the first call ends sooner, and against lost calls that are not made again.
func TestOverdue(t *testing.T) {
	const expected = 200 * time.Millisecond
	for name, c := range map[string]struct {
		reports  bool
		expected time.Duration
		want     time.Duration
	}{
		"an upstream that does not report":   {false, expected, 460 * time.Millisecond},
		"a call that may be slow throughout": {true, expected, 620 * time.Millisecond},
		"a call that is longer than that":    {true, 400 * time.Millisecond, 880 * time.Millisecond},
		"a call that is much longer":         {true, time.Second, 1820 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			b := New(Config{Spec: spec()})
			if c.reports {
				b.cfg.Speed.Report(now, "u", 100)
			}
			call := &activeCall{call: Call{Upstream: Upstream{ID: "u"}, Expected: c.expected}, started: now}
			if diff := cmp.Diff(c.want, b.overdueAt(call).Sub(now)); diff != "" {
				t.Errorf("overdue after (-want +got):\n%s", diff)
			}
		})
	}
}

package mpbatch

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mproute"
)

// spec describes a pool whose calls take 150 ms plus 16 ms per piece.
func spec() mproute.BatchSpec {
	return mproute.BatchSpec{
		MaxPieces: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemoryBytes: 36_000_000, ResultRetention: 4 * time.Second,
	}
}

// sim simulates a Batcher and its upstreams in virtual time.
type sim struct {
	t       *testing.T
	batcher *Batcher
	now     time.Time
	start   time.Time
	calls   []Call
	endAt   map[uint64]time.Time
	// slow multiplies the duration of an upstream's calls; unresponsive upstreams
	// never answer.
	slow         map[string]float64
	unresponsive map[string]bool
	started      []Call
}

func newSim(t *testing.T, s mproute.BatchSpec, ups ...Upstream) *sim {
	start := time.Unix(1000, 0)
	m := &sim{
		t: t, batcher: New(Config{Spec: s}), now: start, start: start,
		endAt: map[uint64]time.Time{}, slow: map[string]float64{}, unresponsive: map[string]bool{},
	}
	m.batcher.SetUpstreams(ups)
	return m
}

// add queues a job whose soft deadline is softDeadline from now.
func (m *sim) add(jobSpec JobSpec, softDeadline time.Duration) *Job {
	m.t.Helper()
	jobSpec.SoftDeadline, jobSpec.Deadline = m.now.Add(softDeadline), m.now.Add(5*time.Second)
	j, err := m.batcher.Add(m.now, jobSpec)
	if err != nil {
		m.t.Fatalf("add %s: %v", jobSpec.Request, err)
	}
	m.step()
	return j
}

func (m *sim) step() {
	for _, c := range m.batcher.Next(m.now) {
		m.started = append(m.started, c)
		if m.unresponsive[c.Upstream.ID] {
			continue
		}
		factor := max(m.slow[c.Upstream.ID], 1)
		duration := m.batcher.cfg.Spec.CallTime + time.Duration(len(c.Items))*m.batcher.cfg.Spec.PieceTime
		m.endAt[c.ID] = m.now.Add(time.Duration(factor * float64(duration)))
		m.calls = append(m.calls, c)
	}
}

// run simulates a time span of d.
func (m *sim) run(d time.Duration) {
	until := m.now.Add(d)
	for m.now.Before(until) {
		m.now = m.now.Add(time.Millisecond)
		for _, c := range slices.Clone(m.calls) {
			if m.endAt[c.ID].After(m.now) {
				continue
			}
			m.calls = slices.DeleteFunc(m.calls, func(o Call) bool { return o.ID == c.ID })
			out := Outcome{}
			for _, it := range c.Items {
				out.Items = append(out.Items, ItemOutcome{Handle: c.Upstream.ID + "/" + it.Request + strconv.Itoa(it.Number) + "-" + strconv.Itoa(int(c.ID))})
			}
			m.batcher.Finish(m.now, c.ID, out)
		}
		m.step()
	}
}

func checkDone(t *testing.T, j *Job, want bool) {
	t.Helper()
	if j.isDone() != want {
		t.Errorf("job %s done: %v, want %v", j.spec.Request, j.isDone(), want)
	}
}

func checkDCs(t *testing.T, j *Job, want ...string) {
	t.Helper()
	results, err := j.Results()
	if err != nil {
		t.Fatalf("job %s: %v", j.spec.Request, err)
	}
	dcs := make([]string, len(results))
	for i, r := range results {
		dcs[i] = r.DC
	}
	if diff := cmp.Diff(want, dcs); diff != "" {
		t.Errorf("data centres of job %s (-want +got):\n%s", j.spec.Request, diff)
	}
}

func TestRequestsShareCalls(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	first := m.add(JobSpec{Request: "r0", Count: 1}, time.Second)
	var rest []*Job
	for i := range 4 {
		rest = append(rest, m.add(JobSpec{Request: fmt.Sprint("r", i+1), Count: 2}, time.Second))
	}
	m.run(170 * time.Millisecond)
	checkDone(t, first, true)
	m.run(280 * time.Millisecond)
	for _, j := range rest {
		checkDone(t, j, true)
	}
	sizes := []int{}
	for _, c := range m.started {
		sizes = append(sizes, len(c.Items))
	}
	if diff := cmp.Diff([]int{1, 8}, sizes); diff != "" {
		t.Errorf("pieces per call (-want +got):\n%s", diff)
	}
}

// Guards against avoidable traffic between data centres: pieces that each read eight
// results of 60 kB caused most of it when any idle upstream could take them.
func TestDataLocality(t *testing.T) {
	ups := []Upstream{{ID: "u1", DC: "a"}, {ID: "u2", DC: "b"}}
	t.Run("waits briefly for the preferred data centre", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		m.add(JobSpec{Request: "busy", Count: 1, DC: "a", CrossDCBytes: 480_000}, time.Second)
		j := m.add(JobSpec{Request: "r", Count: 2, DC: "a", CrossDCBytes: 480_000}, time.Second)
		m.run(400 * time.Millisecond)
		checkDCs(t, j, "a", "a")
	})
	t.Run("does not wait past the soft deadline", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		m.add(JobSpec{Request: "busy", Count: 1, DC: "a", CrossDCBytes: 480_000}, time.Second)
		j := m.add(JobSpec{Request: "r", Count: 2, DC: "a", CrossDCBytes: 480_000}, 250*time.Millisecond)
		m.run(200 * time.Millisecond)
		checkDCs(t, j, "b", "b")
	})
	t.Run("keeps the pieces of a job in one data centre", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		j := m.add(JobSpec{Request: "r", Count: 4, ResultBytes: 60_000, CrossDCBytes: 60_000}, time.Second)
		m.run(400 * time.Millisecond)
		checkDCs(t, j, "a", "a", "a", "a")
	})
}

func TestOrder(t *testing.T) {
	t.Run("late jobs come after jobs that can be on time", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		m.add(JobSpec{Request: "busy", Count: 1}, time.Second)
		late := m.add(JobSpec{Request: "late", Count: 1}, -time.Millisecond)
		good := m.add(JobSpec{Request: "good", Count: 8, Priority: 2}, time.Second)
		m.run(450 * time.Millisecond)
		checkDone(t, good, true)
		checkDone(t, late, false)
	})
	t.Run("a job that cannot meet its deadline is refused at once", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		for i := range 3 {
			m.add(JobSpec{Request: fmt.Sprint("r", i), Count: 8}, 2*time.Second)
		}
		_, err := m.batcher.Add(m.now, JobSpec{Request: "r", Count: 8, SoftDeadline: m.now, Deadline: m.now.Add(700 * time.Millisecond)})
		if !errors.Is(err, mperror.ErrDeadline) {
			t.Errorf("got %v, want ErrDeadline", err)
		}
	})
}

// Guards against long waits in bursts of two to three times the mean load: requests
// that could no longer be on time queued for seconds behind those that could, and were
// refused in the end.
func TestBurst(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	var jobs []*Job
	for i := range 40 {
		jobSpec := JobSpec{Request: fmt.Sprint("r", i), Count: 4, SoftDeadline: m.now.Add(900 * time.Millisecond), Deadline: m.now.Add(8 * time.Second)}
		if j, err := m.batcher.Add(m.now, jobSpec); err == nil {
			jobs = append(jobs, j)
		}
		m.step()
		m.run(25 * time.Millisecond)
	}
	served, waited := 0, time.Duration(0)
	for range 3000 {
		m.run(time.Millisecond)
		for _, j := range jobs {
			if !j.isDone() {
				waited = max(waited, m.now.Sub(j.arrived))
			}
		}
	}
	for _, j := range jobs {
		if _, err := j.Results(); err == nil {
			served++
		}
	}
	// The soft deadline, the wait allowed for late jobs and the duration of the calls.
	if limit := 900*time.Millisecond + MaxLateWait + 300*time.Millisecond; waited > limit {
		t.Errorf("longest wait %v, want at most %v", waited, limit)
	}
	if served < 8 {
		t.Errorf("%d requests served, want at least the 8 that one upstream can serve in a second", served)
	}
}

func TestUnresponsiveUpstream(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "a"})
	m.unresponsive["u1"] = true
	j := m.add(JobSpec{Request: "r", Count: 2}, 2*time.Second)
	m.run(850 * time.Millisecond)
	checkDone(t, j, true)
}

func TestMemoryLimit(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	j := m.add(JobSpec{Request: "r", Count: 12, ResultBytes: 3_000_000}, 2*time.Second)
	m.run(500 * time.Millisecond)
	checkDone(t, j, true)
	next := m.add(JobSpec{Request: "n", Count: 1, ResultBytes: 3_000_000}, 2*time.Second)
	m.run(300 * time.Millisecond)
	checkDone(t, next, false)
	made, err := j.Results()
	if err != nil {
		t.Fatal(err)
	}
	m.batcher.Free([]string{made[0].Handle})
	m.batcher.ConfirmFreed(m.batcher.TakePendingFrees())
	m.run(200 * time.Millisecond)
	checkDone(t, next, true)
}

// Guards against repeated calls to a full upstream: a new owner does not know the
// results of the former one, and sent piece after piece to upstreams without memory for
// them.
func TestForeignResults(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "b"})
	j := m.add(JobSpec{Request: "r", Count: 1, ResultBytes: 3_000_000, DC: "a", CrossDCBytes: 3_000_000}, time.Second)
	m.run(10 * time.Millisecond)
	c := m.calls[0]
	m.calls = nil
	m.batcher.Finish(m.now, c.ID, Outcome{Items: []ItemOutcome{{Reason: ReasonNoMemory}}})
	m.run(300 * time.Millisecond)
	checkDCs(t, j, "b")
}

func TestCancel(t *testing.T) {
	for name, at := range map[string]time.Duration{"while running": 50 * time.Millisecond, "just after completion": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
			j := m.add(JobSpec{Request: "r", Count: 2, ResultBytes: 3_000_000}, time.Second)
			m.run(at)
			m.batcher.Cancel(j)
			m.run(300 * time.Millisecond)
			if freed := m.batcher.TakePendingFrees(); len(freed) != 2 {
				t.Errorf("freed %v, want both results", freed)
			}
		})
	}
}

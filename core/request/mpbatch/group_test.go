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

// spec is a pool whose calls take 150 ms and 16 ms a piece.
func spec() mproute.BatchSpec {
	return mproute.BatchSpec{
		Size: 8, Call: 150 * time.Millisecond, Item: 16 * time.Millisecond, Room: 36_000_000, Keep: 4 * time.Second,
	}
}

// sim plays a group and its upstreams in virtual time.
type sim struct {
	t     *testing.T
	g     *Batcher
	now   time.Time
	start time.Time
	calls []Call
	ends  map[uint64]time.Time
	// slow multiplies the calls of an upstream; mute ones never answer.
	slow map[string]float64
	mute map[string]bool
	all  []Call
}

func newSim(t *testing.T, s mproute.BatchSpec, ups ...Upstream) *sim {
	start := time.Unix(1000, 0)
	m := &sim{
		t: t, g: New(Config{Spec: s}), now: start, start: start,
		ends: map[uint64]time.Time{}, slow: map[string]float64{}, mute: map[string]bool{},
	}
	m.g.SetUpstreams(ups)
	return m
}

// ask queues a stage that must end within aim.
func (m *sim) ask(a JobSpec, aim time.Duration) *Job {
	m.t.Helper()
	a.SoftDeadline, a.Deadline = m.now.Add(aim), m.now.Add(5*time.Second)
	j, err := m.g.Add(m.now, a)
	if err != nil {
		m.t.Fatalf("add %s: %v", a.Request, err)
	}
	m.step()
	return j
}

func (m *sim) step() {
	for _, c := range m.g.Next(m.now) {
		m.all = append(m.all, c)
		if m.mute[c.Upstream.ID] {
			continue
		}
		x := max(m.slow[c.Upstream.ID], 1)
		length := m.g.cfg.Spec.Call + time.Duration(len(c.Items))*m.g.cfg.Spec.Item
		m.ends[c.ID] = m.now.Add(time.Duration(x * float64(length)))
		m.calls = append(m.calls, c)
	}
}

// run plays for d.
func (m *sim) run(d time.Duration) {
	until := m.now.Add(d)
	for m.now.Before(until) {
		m.now = m.now.Add(time.Millisecond)
		for _, c := range slices.Clone(m.calls) {
			if m.ends[c.ID].After(m.now) {
				continue
			}
			m.calls = slices.DeleteFunc(m.calls, func(o Call) bool { return o.ID == c.ID })
			out := Outcome{}
			for _, it := range c.Items {
				out.Items = append(out.Items, ItemOutcome{Handle: c.Upstream.ID + "/" + it.Request + strconv.Itoa(it.Number) + "-" + strconv.Itoa(int(c.ID))})
			}
			m.g.Finish(m.now, c.ID, out)
		}
		m.step()
	}
}

func checkDone(t *testing.T, j *Job, want bool) {
	t.Helper()
	if j.isDone() != want {
		t.Errorf("job %s done: %v, want %v", j.ask.Request, j.isDone(), want)
	}
}

func checkMadeAt(t *testing.T, j *Job, want ...string) {
	t.Helper()
	made, err := j.Results()
	if err != nil {
		t.Fatalf("job %s: %v", j.ask.Request, err)
	}
	dcs := make([]string, len(made))
	for i, r := range made {
		dcs[i] = r.DC
	}
	if diff := cmp.Diff(want, dcs); diff != "" {
		t.Errorf("job %s was made in (-want +got):\n%s", j.ask.Request, diff)
	}
}

func TestCallsAreShared(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	first := m.ask(JobSpec{Request: "r0", Count: 1}, time.Second)
	var rest []*Job
	for i := range 4 {
		rest = append(rest, m.ask(JobSpec{Request: fmt.Sprint("r", i+1), Count: 2}, time.Second))
	}
	m.run(170 * time.Millisecond)
	checkDone(t, first, true)
	m.run(280 * time.Millisecond)
	for _, j := range rest {
		checkDone(t, j, true)
	}
	sizes := []int{}
	for _, c := range m.all {
		sizes = append(sizes, len(c.Items))
	}
	if diff := cmp.Diff([]int{1, 8}, sizes); diff != "" {
		t.Errorf("pieces a call (-want +got):\n%s", diff)
	}
}

// The ladder's quiet day: pieces that read eight results of 60 kB each caused
// most of the traffic between data centres when any idle upstream took them.
func TestPiecesGoWhereTheirInputsLie(t *testing.T) {
	ups := []Upstream{{ID: "u1", DC: "a"}, {ID: "u2", DC: "b"}}
	t.Run("a short wait for a near upstream is worth it", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		m.ask(JobSpec{Request: "busy", Count: 1, DC: "a", CrossDCBytes: 480_000}, time.Second)
		j := m.ask(JobSpec{Request: "r", Count: 2, DC: "a", CrossDCBytes: 480_000}, time.Second)
		m.run(400 * time.Millisecond)
		checkMadeAt(t, j, "a", "a")
	})
	t.Run("a request is not made late by it", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		m.ask(JobSpec{Request: "busy", Count: 1, DC: "a", CrossDCBytes: 480_000}, time.Second)
		j := m.ask(JobSpec{Request: "r", Count: 2, DC: "a", CrossDCBytes: 480_000}, 250*time.Millisecond)
		m.run(200 * time.Millisecond)
		checkMadeAt(t, j, "b", "b")
	})
	t.Run("pieces that are read together lie together", func(t *testing.T) {
		m := newSim(t, spec(), ups...)
		j := m.ask(JobSpec{Request: "r", Count: 4, ResultBytes: 60_000, CrossDCBytes: 60_000}, time.Second)
		m.run(400 * time.Millisecond)
		checkMadeAt(t, j, "a", "a", "a", "a")
	})
}

func TestOrder(t *testing.T) {
	t.Run("what is late already waits for what can be on time", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		m.ask(JobSpec{Request: "busy", Count: 1}, time.Second)
		late := m.ask(JobSpec{Request: "late", Count: 1}, -time.Millisecond)
		good := m.ask(JobSpec{Request: "good", Count: 8, Priority: 2}, time.Second)
		m.run(450 * time.Millisecond)
		checkDone(t, good, true)
		checkDone(t, late, false)
	})
	t.Run("what cannot end before its deadline is refused at once", func(t *testing.T) {
		m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
		for i := range 3 {
			m.ask(JobSpec{Request: fmt.Sprint("r", i), Count: 8}, 2*time.Second)
		}
		_, err := m.g.Add(m.now, JobSpec{Request: "r", Count: 8, SoftDeadline: m.now, Deadline: m.now.Add(700 * time.Millisecond)})
		if !errors.Is(err, mperror.ErrLate) {
			t.Errorf("got %v, want ErrLate", err)
		}
	})
}

// Bursts of two to three times the mean: requests that could not be on time any
// more waited for seconds behind those that could, and were refused at the end.
func TestBurst(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	var jobs []*Job
	for i := range 40 {
		a := JobSpec{Request: fmt.Sprint("r", i), Count: 4, SoftDeadline: m.now.Add(900 * time.Millisecond), Deadline: m.now.Add(8 * time.Second)}
		if j, err := m.g.Add(m.now, a); err == nil {
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
	// The aim, what a late job may wait, and the length of its calls.
	if limit := 900*time.Millisecond + MaxLateWait + 300*time.Millisecond; waited > limit {
		t.Errorf("a request waited %v, want %v at most", waited, limit)
	}
	if served < 8 {
		t.Errorf("%d requests were served, want the 8 that one upstream can serve in a second at least", served)
	}
}

func TestSilentUpstream(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "a"})
	m.mute["u1"] = true
	j := m.ask(JobSpec{Request: "r", Count: 2}, 2*time.Second)
	m.run(850 * time.Millisecond)
	checkDone(t, j, true)
}

func TestRoom(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
	j := m.ask(JobSpec{Request: "r", Count: 12, ResultBytes: 3_000_000}, 2*time.Second)
	m.run(500 * time.Millisecond)
	checkDone(t, j, true)
	next := m.ask(JobSpec{Request: "n", Count: 1, ResultBytes: 3_000_000}, 2*time.Second)
	m.run(300 * time.Millisecond)
	checkDone(t, next, false)
	made, err := j.Results()
	if err != nil {
		t.Fatal(err)
	}
	m.g.Free([]string{made[0].Handle})
	m.g.ConfirmFreed(m.g.TakePendingFrees())
	m.run(200 * time.Millisecond)
	checkDone(t, next, true)
}

// A new owner does not know the results of the former one, and sent piece after
// piece to upstreams without memory for them.
func TestForeignResults(t *testing.T) {
	m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"}, Upstream{ID: "u2", DC: "b"})
	j := m.ask(JobSpec{Request: "r", Count: 1, ResultBytes: 3_000_000, DC: "a", CrossDCBytes: 3_000_000}, time.Second)
	m.run(10 * time.Millisecond)
	c := m.calls[0]
	m.calls = nil
	m.g.Finish(m.now, c.ID, Outcome{Items: []ItemOutcome{{Reason: ReasonNoMemory}}})
	m.run(300 * time.Millisecond)
	checkMadeAt(t, j, "b")
}

func TestCancel(t *testing.T) {
	for name, at := range map[string]time.Duration{"while it is made": 50 * time.Millisecond, "just after its end": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			m := newSim(t, spec(), Upstream{ID: "u1", DC: "a"})
			j := m.ask(JobSpec{Request: "r", Count: 2, ResultBytes: 3_000_000}, time.Second)
			m.run(at)
			m.g.Cancel(j)
			m.run(300 * time.Millisecond)
			if freed := m.g.TakePendingFrees(); len(freed) != 2 {
				t.Errorf("freed %v, want both results", freed)
			}
		})
	}
}

package mpversion

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
)

var begin = time.Unix(1000, 0)

// newBoard returns the board of a VM with a lease, whose list has an upstream of each version.
func newBoard(versions ...string) *Board {
	b := New(Config{
		HasLease: func(time.Time) bool { return true }, Random: func() float64 { return 0 }, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	setVersions(b, versions...)
	return b
}

func setVersions(b *Board, versions ...string) {
	var rows []mplist.Row
	for i, v := range versions {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("u", i), Pool: "app", Version: v})
	}
	b.SetList(begin, mplist.New(begin, rows))
}

// order returns a roll-out of app from v1 to target.
func order(target string, share float64) mprollout.Rollout {
	return mprollout.Rollout{
		Pool: "app", Target: target, Base: []string{"v1"}, ID: "id-" + target, StartedMs: 1, DeadlineMs: 2,
		State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: share,
	}
}

func shifted(r mprollout.Rollout) mprollout.Rollout {
	r.Phase, r.Share, r.ShiftedMs = mprollout.PhaseShift, 1, 1
	return r
}

func ended(r mprollout.Rollout, s mprollout.State) mprollout.Rollout {
	r.State, r.EndedMs = s, 2
	return r
}

// Guards against requests at a version that gets nothing: the target without a lease, the old versions
// after a roll-out is complete, the target after it was reverted.
func TestModes(t *testing.T) {
	type result struct {
		Mode     Mode
		Old, New bool
	}
	trial := order("v2", 0.1)
	for name, c := range map[string]struct {
		row      mprollout.Rollout
		hasLease bool
		listed   []string
		want     result
	}{
		"trial":                                {trial, true, []string{"v1", "v2"}, result{Shared, true, true}},
		"trial, no lease":                      {trial, false, []string{"v1", "v2"}, result{OldOnly, true, true}},
		"trial, no lease, old versions gone":   {trial, false, []string{"v2"}, result{TargetFirst, true, true}},
		"trial, only the target is left":       {trial, true, []string{"v2"}, result{Shared, true, true}},
		"shift":                                {shifted(trial), true, []string{"v1", "v2"}, result{TargetFirst, true, true}},
		"shift, no lease":                      {shifted(trial), false, []string{"v1", "v2"}, result{OldOnly, true, true}},
		"complete":                             {ended(shifted(trial), mprollout.StateComplete), true, []string{"v1", "v2"}, result{Settled, false, true}},
		"complete, no lease":                   {ended(shifted(trial), mprollout.StateComplete), false, []string{"v1", "v2"}, result{Settled, false, true}},
		"reverted":                             {ended(trial, mprollout.StateReverted), true, []string{"v1", "v2"}, result{Settled, true, false}},
		"reverted in the shift, without lease": {ended(shifted(trial), mprollout.StateReverted), false, []string{"v1", "v2"}, result{Settled, true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoard(c.listed...)
			b.cfg.HasLease = func(time.Time) bool { return c.hasLease }
			b.SetRollouts([]mprollout.Rollout{c.row})
			s := b.Split("app")
			if diff := cmp.Diff(c.want, result{s.Mode(begin), s.Admits(begin, "v1"), s.Admits(begin, "v2")}); diff != "" {
				t.Errorf("use (-want +got):\n%s", diff)
			}
		})
	}
	t.Run("a pool without a roll-out, and a VM that does not act on versions", func(t *testing.T) {
		b := newBoard("v1")
		b.SetRollouts(nil)
		var none *Board
		none.SetRollouts([]mprollout.Rollout{trial})
		if b.Split("app") != nil || none.Split("app") != nil {
			t.Error("requests are divided")
		}
	})
}

// Guards against a target that was reverted and gets requests again, as an old version beside the
// next roll-out: its upstreams are listed for some seconds more. It serves again if it is ordered, or
// if there is nothing else.
func TestRevertedTargetGetsNothing(t *testing.T) {
	reverted := ended(order("v2", 0.1), mprollout.StateReverted)
	next, again, beside := order("v3", 0.1), order("v2", 0.1), order("v3", 0.1)
	again.ID, beside.Base = "again", []string{"v2"}
	for name, c := range map[string]struct {
		rows   []mprollout.Rollout
		listed []string
		// want holds the versions that get requests.
		want []string
	}{
		"the next roll-out":                       {[]mprollout.Rollout{reverted, next}, []string{"v1", "v2", "v3"}, []string{"v1", "v3"}},
		"the next roll-out, at a new VM":          {[]mprollout.Rollout{next}, []string{"v1", "v2", "v3"}, []string{"v1", "v3"}},
		"the next one is reverted":                {[]mprollout.Rollout{reverted, next, ended(next, mprollout.StateReverted)}, []string{"v1", "v2", "v3"}, []string{"v1"}},
		"the next one is complete":                {[]mprollout.Rollout{reverted, next, ended(next, mprollout.StateComplete)}, []string{"v1", "v2", "v3"}, []string{"v3"}},
		"ordered again":                           {[]mprollout.Rollout{reverted, again}, []string{"v1", "v2"}, []string{"v1", "v2"}},
		"the only old version":                    {[]mprollout.Rollout{reverted, beside}, []string{"v2", "v3"}, []string{"v2", "v3"}},
		"the only old version, reverted to":       {[]mprollout.Rollout{reverted, beside, ended(beside, mprollout.StateReverted)}, []string{"v2", "v3"}, []string{"v2"}},
		"an upstream without a version":           {[]mprollout.Rollout{next}, []string{"v1", "", "v3"}, []string{"v1", "", "v3"}},
		"no old version left, another one listed": {[]mprollout.Rollout{next}, []string{"v4", "v3"}, []string{"v4", "v3"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoard(c.listed...)
			for _, r := range c.rows {
				b.SetRollouts([]mprollout.Rollout{r})
			}
			var got []string
			for _, v := range c.listed {
				if b.Split("app").Admits(begin, v) {
					got = append(got, v)
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("versions that get requests (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM without a lease that reads the list itself, finds the target of a roll-out that
// it does not know of, and sends it an equal part of the requests.
func TestUnknownVersionsWithoutLease(t *testing.T) {
	hasLease := true
	b := newBoard("v1")
	b.cfg.HasLease = func(time.Time) bool { return hasLease }
	setVersions(b, "v1")
	check := func(when string, want bool) {
		t.Helper()
		s := b.Split("app")
		if got := s == nil || s.Admits(begin, "v2"); got != want {
			t.Errorf("%s: v2 gets requests: %v, want %v", when, got, want)
		}
		if s != nil && !s.Admits(begin, "v1") {
			t.Errorf("%s: v1 gets no requests", when)
		}
	}
	hasLease = false
	setVersions(b, "v1", "v2")
	check("no lease", false)
	setVersions(b, "v2")
	check("no lease, the known version has left", true)
	setVersions(b, "v1", "v2")
	hasLease = true
	check("a lease again", true)
	b.Confirm(begin)
	if b.Split("app") != nil {
		t.Error("the pool's requests are divided after the list was confirmed")
	}
	hasLease = false
	setVersions(b, "v1", "v2")
	check("known since", true)
	setVersions(b, "v1", "v2", "v3")
	hasLease = true
	b.SetRollouts([]mprollout.Rollout{order("v2", 0.1)})
	hasLease = false
	if s := b.Split("app"); s.Mode(begin) != OldOnly || s.Admits(begin, "v3") {
		t.Errorf("in a roll-out without a lease: mode %v, v3 admitted: %v", s.Mode(begin), s.Admits(begin, "v3"))
	}
}

// exposed plays a trial and returns how many calls and pieces reached the pool, and its target.
func exposed(seed uint64, vms, calls, pieces int, share float64) (all, target [2]int) {
	random := rand.New(rand.NewPCG(seed, 7))
	boards := make([]*Board, vms)
	for i := range boards {
		boards[i] = newBoard("v1", "v2")
		boards[i].cfg.Random = random.Float64
		boards[i].SetRollouts([]mprollout.Rollout{order("v2", share)})
	}
	for range calls {
		s := boards[random.IntN(vms)].Split("app")
		n := 1 + random.IntN(pieces)
		if s.Take(n) {
			target[0]++
			target[1] += n
		}
		s.Arrived(n)
		all[0]++
		all[1] += n
	}
	return all, target
}

// Guards against VMs whose requests to the target together are more than its share, or nearly none
// since each VM has few requests.
func TestShareOverAllVMs(t *testing.T) {
	const share, slack = 0.1, 25
	for name, c := range map[string]struct{ vms, calls, pieces int }{
		"one VM":             {1, 2000, 1},
		"9 VMs":              {9, 1200, 1},
		"76 VMs":             {76, 516, 1},
		"191 VMs":            {191, 600, 1},
		"2 owners of pieces": {2, 800, 8},
		"6 owners of pieces": {6, 800, 16},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				all, target := exposed(seed, c.vms, c.calls, c.pieces, share)
				for i, unit := range []string{"calls", "pieces"} {
					if most := share*float64(all[i]) + slack; float64(target[i]) > most {
						t.Errorf("seed %d: the target got %d of %d %s, want at most %.0f", seed, target[i], all[i], unit, most)
					}
				}
				if least := share * float64(all[0]) / 4; float64(target[0]) < least {
					t.Errorf("seed %d: the target got %d of %d calls, want at least %.0f", seed, target[0], all[0], least)
				}
			}
		})
	}
}

// Guards against VMs whose first requests go to the target more or less often than later ones, so that
// all VMs together send it another share at the beginning of a roll-out.
func TestFirstRequestsAreAsLikelyAsLater(t *testing.T) {
	const share, vms, requests = 0.1, 20_000, 25
	random := rand.New(rand.NewPCG(3, 7))
	var taken [requests]int
	for range vms {
		a := newAccount(random.Float64(), share)
		for i := range taken {
			taken[i] += a.saved
			a.saved = 0
			a.add(share, 1, savedCalls)
		}
	}
	for i, n := range taken {
		// The standard deviation is sqrt(vms * share * (1 - share)) = 42.
		if n < share*vms-200 || n > share*vms+200 {
			t.Errorf("request %d of each VM: %d of %d go to the target, want %v", i+1, n, vms, share*vms)
		}
	}
}

// arrivalsUntilTake lets requests arrive until one may go to the target, and returns how many did.
func arrivalsUntilTake(t *testing.T, s *Split) int {
	t.Helper()
	for n := range 1000 {
		if s.Take(1) {
			return n
		}
		s.Arrived(1)
	}
	t.Fatal("no request may go to the target")
	return 0
}

// Guards against a share that grows by admissions of which nothing came, and against streams that go
// on at the target beside its share.
func TestShareCountsWhatIsSent(t *testing.T) {
	b := newBoard("v1", "v2")
	b.SetRollouts([]mprollout.Rollout{order("v2", 0.1)})
	s := b.Split("app")
	arrivalsUntilTake(t, s)
	if s.Take(1) {
		t.Error("two requests at once")
	}
	s.Return(1)
	if n := arrivalsUntilTake(t, s); n > 0 {
		t.Errorf("a request that was not sent is given back after %d others", n)
	}
	for range 5 {
		s.Charge()
	}
	if n := arrivalsUntilTake(t, s); n < 50 {
		t.Errorf("the target gets a request after 5 beside its share and %d others, want 50 others or more", n)
	}
	for range 1000 {
		s.Arrived(1)
	}
	taken := 0
	for s.Take(1) {
		taken++
	}
	if taken != savedCalls {
		t.Errorf("%d requests at once after a long time, want %d", taken, savedCalls)
	}
}

// running returns the attempts that run at each version, as reported to the leader.
func running(b *Board) map[string]uint32 {
	out := map[string]uint32{}
	counts, _ := b.Report(begin)
	for _, c := range counts {
		if c.Running > 0 {
			out[c.Version] += c.Running
		}
	}
	return out
}

// Guards against a shift that ends although attempts run on an old version: those that had begun
// before the order, or before a new order for the pool.
func TestRunningAttemptsAreKnown(t *testing.T) {
	b := newBoard("v1", "v2")
	early := b.Begin(begin, "app", "v1", "read", true)
	b.SetRollouts([]mprollout.Rollout{order("v2", 0.1)})
	late, atTarget := b.Begin(begin, "app", "v1", "read", true), b.Begin(begin, "app", "v2", "read", true)
	check := func(when string, want map[string]uint32) {
		t.Helper()
		if diff := cmp.Diff(want, running(b)); diff != "" {
			t.Errorf("running attempts %s (-want +got):\n%s", when, diff)
		}
	}
	check("in the trial", map[string]uint32{"v1": 2, "v2": 1})
	b.SetRollouts([]mprollout.Rollout{shifted(order("v2", 0.1))})
	<-b.Wakeup()
	early.End()
	early.End() // Once more does nothing.
	check("after one has ended", map[string]uint32{"v1": 1, "v2": 1})
	select {
	case <-b.Wakeup():
		t.Error("a report is due although an attempt runs on the old version")
	default:
	}
	late.End()
	select {
	case <-b.Wakeup():
	default:
		t.Error("no report is due although no attempt runs on the old version")
	}
	check("after all have ended", map[string]uint32{"v2": 1})
	b.SetRollouts([]mprollout.Rollout{ended(shifted(order("v2", 0.1)), mprollout.StateComplete)})
	next := order("v3", 0.1)
	next.Base = []string{"v2"}
	b.SetRollouts([]mprollout.Rollout{next})
	check("after the next order", map[string]uint32{"v2": 1})
	atTarget.End()
	check("of the next roll-out", map[string]uint32{})
}

// Guards against outcomes of attempts that began before the order, which say nothing of the versions
// beside each other, and against latencies of upstreams in their cold start.
func TestOutcomes(t *testing.T) {
	b := newBoard("v1", "v2")
	early := b.Begin(begin, "app", "v1", "read", true)
	b.SetRollouts([]mprollout.Rollout{order("v2", 0.1)})
	early.Failed(true)
	early.End()
	play := func(version, route string, isTimed bool, record func(a *Attempt)) {
		a := b.Begin(begin, "app", version, route, isTimed)
		record(&a)
		a.End()
	}
	answer := func(a *Attempt) { a.Answered(3 * time.Millisecond) }
	play("v1", "read", true, answer)
	play("v2", "read", false, answer)
	play("v2", "read", true, func(a *Attempt) { a.Failed(false) })
	play("v2", "read", true, func(*Attempt) {})
	play("v2", "tale", true, func(a *Attempt) {
		a.Answered(3 * time.Millisecond)
		a.Answered(time.Minute) // The end of a stream is not its first event.
		a.Failed(true)
	})
	type row struct{ Answers, Failures, Timed uint32 }
	got := map[string]row{}
	counts, changed := b.Report(begin)
	for _, c := range counts {
		if c.Version == "" {
			continue
		}
		r := row{Answers: c.Answers, Failures: c.Failures}
		for _, n := range c.Latency {
			r.Timed += n
		}
		got[c.Version+" "+c.Route] = r
	}
	want := map[string]row{"v1 ": {}, "v1 read": {1, 0, 1}, "v2 read": {2, 1, 0}, "v2 tale": {1, 1, 1}}
	if diff := cmp.Diff(want, got); diff != "" || !changed {
		t.Errorf("counts, changed %v (-want +got):\n%s", changed, diff)
	}
	if _, changed := b.Report(begin); changed {
		t.Error("a report without new counts has changed")
	}
	if got := b.cfg.Metrics.Count("rollout.failures.app.v2"); got != 2 {
		t.Errorf("%d failures in the metrics, want 2", got)
	}
	b.SetRollouts([]mprollout.Rollout{ended(order("v2", 0.1), mprollout.StateReverted)})
	if counts, _ := b.Report(begin); len(counts) > 0 || b.IsRunning() {
		t.Errorf("%d counts are kept after the roll-out", len(counts))
	}
}

// Guards against attempts that are lost or counted twice while roll-outs come and go.
func TestConcurrentAttempts(t *testing.T) {
	b := newBoard("v1", "v2")
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 500 {
				a := b.Begin(begin, "app", fmt.Sprint("v", 1+(n+i)%2), "read", true)
				if s := b.Split("app"); s != nil {
					s.Arrived(1)
					s.Take(1)
					s.Mode(begin)
				}
				a.Answered(time.Millisecond)
				a.End()
			}
		})
	}
	for n := range 200 {
		r := order("v2", 0.1)
		r.ID = fmt.Sprint(n / 3)
		switch n % 3 {
		case 1:
			r = shifted(r)
		case 2:
			r = ended(shifted(r), mprollout.StateComplete)
		}
		b.SetRollouts([]mprollout.Rollout{r})
		b.Report(begin)
	}
	wg.Wait()
	b.SetRollouts([]mprollout.Rollout{order("v2", 0.1)})
	if got := running(b); len(got) > 0 || len(b.running) > 0 {
		t.Errorf("attempts run after all have ended: %v", got)
	}
}

// Guards against a cost for requests of pools without a roll-out.
func TestNoRolloutCostsNothing(t *testing.T) {
	b := newBoard("v1")
	ended := order("v2", 0.1)
	ended.Pool = "other"
	b.SetRollouts([]mprollout.Rollout{ended})
	kept := b.Begin(begin, "app", "v1", "read", true)
	defer kept.End()
	if n := testing.AllocsPerRun(1000, func() {
		if b.Split("app") != nil {
			t.Fatal("the pool has a roll-out")
		}
		a := b.Begin(begin, "app", "v1", "read", true)
		a.Answered(time.Millisecond)
		a.End()
	}); n > 0 {
		t.Errorf("%v allocations for each attempt, want none", n)
	}
}

// BenchmarkAttempt measures what an attempt of a pool without a roll-out costs.
func BenchmarkAttempt(b *testing.B) {
	board := newBoard("v1")
	b.ReportAllocs()
	for b.Loop() {
		if board.Split("app") != nil {
			b.Fatal("the pool has a roll-out")
		}
		a := board.Begin(begin, "app", "v1", "read", true)
		a.Answered(time.Millisecond)
		a.End()
	}
}

package mprollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
)

func TestBucket(t *testing.T) {
	for latency, want := range map[time.Duration]int{
		-time.Second: 0, 0: 0, time.Millisecond: 0, time.Millisecond + 1: 1, 2 * time.Millisecond: 2,
		time.Second: 20, 1024 * time.Millisecond: 20, 1025 * time.Millisecond: 21, time.Hour: Buckets - 1,
	} {
		if got := Bucket(latency); got != want {
			t.Errorf("bucket %d of %v, want %d", got, latency, want)
		}
	}
}

func TestRecorder(t *testing.T) {
	c := NewRecorder(newRollout(t))
	answered := c.Begin(testNow, "v2", "r", false)
	answered.Record(Answered{Latency: 10 * time.Millisecond})
	answered.Record(Answered{Latency: 20 * time.Millisecond}) // Once only.
	c.Begin(testNow, "v2", "r", true).Record(Answered{Latency: time.Hour})
	broken := c.Begin(testNow, "v2", "r", false)
	broken.Record(Answered{Latency: 10 * time.Millisecond})
	broken.Record(Failed{Lost: true})
	broken.End()
	broken.End()
	c.Begin(testNow, "v2", "r", false).End() // Rejected, or its caller disconnected.
	c.Begin(testNow, "v2", "r", false)
	c.SetPhase(PhaseShift)
	c.Begin(testNow, "v2", "r", false).Record(Failed{})
	got := c.Report(testNow.Add(time.Second))
	slices.SortFunc(got[1:], func(a, b Counts) int { return int(b.Answers) - int(a.Answers) })
	trial := Counts{ID: "id2", Pool: "p", Version: "v2", Route: "r", Serial: 1, Phase: PhaseTrial, Answers: 3, Failures: 1, Lost: 1, Running: 3}
	trial.Latency[Bucket(10*time.Millisecond)] = 2
	trial.Waiting[Bucket(time.Second)] = 1
	want := []Counts{
		{ID: "id2", Pool: "p", Serial: 1, Phase: PhaseShift}, trial,
		{ID: "id2", Pool: "p", Version: "v2", Route: "r", Serial: 1, Phase: PhaseShift, Answers: 1, Failures: 1, Running: 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
}

func checkTotal(t testing.TB, e Evidence, vms []string, want Total) {
	t.Helper()
	if diff := cmp.Diff(want, e.Total(vms, "v2")); diff != "" {
		t.Errorf("total (-want +got):\n%s", diff)
	}
}

func TestLedger(t *testing.T) {
	row := func(serial uint64, phase Phase, answers, running uint32) []Counts {
		return []Counts{
			{ID: "id", Serial: serial, Phase: phase},
			{ID: "id", Version: "v2", Route: "r", Serial: serial, Phase: PhaseTrial, Answers: answers, Running: running},
		}
	}
	l := NewLedger()
	l.Merge(testNow, "a", 1, row(2, PhaseShift, 5, 2))
	l.Merge(testNow, "a", 1, row(1, PhaseTrial, 3, 4)) // Late.
	l.Merge(testNow, "a", 1, row(2, PhaseShift, 5, 2)) // Twice.
	l.Merge(testNow, "b", 1, row(1, PhaseTrial, 7, 1))
	e := l.Evidence(testNow, "id")
	t.Run("newest of each VM", func(t *testing.T) { checkTotal(t, e, []string{"a", "b"}, Total{Answers: 12, Running: 3}) })
	t.Run("nothing runs on a lost VM", func(t *testing.T) { checkTotal(t, e, []string{"b"}, Total{Answers: 12, Running: 1}) })
	t.Run("phase", func(t *testing.T) {
		if got := e.Reported(PhaseShift, []string{"a", "b", "c"}); got != 1 {
			t.Errorf("%d VMs in the shift, want 1", got)
		}
	})
	l.Merge(testNow, "a", 9, row(1, PhaseTrial, 4, 1))
	t.Run("restarted VM counts from 0", func(t *testing.T) {
		checkTotal(t, l.Evidence(testNow, "id"), []string{"a", "b"}, Total{Answers: 16, Running: 2})
	})
	t.Run("snapshot does not change", func(t *testing.T) { checkTotal(t, e, []string{"a", "b"}, Total{Answers: 12, Running: 3}) })
	l.Forget(func(id string) bool { return id != "id" })
	t.Run("forgotten", func(t *testing.T) { checkTotal(t, l.Evidence(testNow, "id"), []string{"a", "b"}, Total{}) })
}

// Guards against a ledger that grows with time or with routes, or that loses counts when it merges them.
func TestLedgerIsBounded(t *testing.T) {
	l, c := NewLedger(), NewRecorder(newRollout(t))
	for i := range 1000 {
		c.Begin(testNow, "v2", fmt.Sprint("r", i%100), false).Record(Failed{})
		l.Merge(testNow.Add(time.Duration(i)*time.Second), "a", 1, c.Report(testNow))
	}
	e := l.Evidence(testNow, "id2")
	if n := len(e.slices); n > maxSlices {
		t.Errorf("%d slices, want at most %d", n, maxSlices)
	}
	if n := len(newSample(newRollout(t), e).routes); n > maxRoutes+1 {
		t.Errorf("%d routes, want at most %d", n, maxRoutes+1)
	}
	checkTotal(t, e, nil, Total{Answers: 1000, Failures: 1000})
}

// Guards against counts that are lost or counted twice when reports are lost, repeated or arrive in another order, also
// at a new leader.
func TestLedgerRandom(t *testing.T) {
	t.Log("seed", mpseed.Fix())
	rapid.Check(t, func(t *rapid.T) {
		r := Rollout{ID: "id", Phase: PhaseTrial}
		l := NewLedger()
		now, want := testNow, Total{}
		var all [][][]Counts
		for range rapid.IntRange(1, 4).Draw(t, "VMs") {
			c := NewRecorder(r)
			var reports [][]Counts
			for range rapid.IntRange(1, 20).Draw(t, "reports") {
				for range rapid.IntRange(0, 5).Draw(t, "answers") {
					a := c.Begin(now, "v2", rapid.SampledFrom([]string{"r", "s"}).Draw(t, "route"), false)
					want.Answers++
					if rapid.Bool().Draw(t, "failed") {
						a.Record(Failed{})
						want.Failures++
					} else {
						a.Record(Answered{Latency: time.Second})
					}
				}
				reports = append(reports, c.Report(now))
			}
			all = append(all, reports)
		}
		deliver := func(vm, i int) { l.Merge(now, fmt.Sprint(vm), 1, all[vm][i]) }
		for range rapid.IntRange(0, 100).Draw(t, "arrivals") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Second}).Draw(t, "delay"))
			vm := rapid.IntRange(0, len(all)-1).Draw(t, "VM")
			deliver(vm, rapid.IntRange(0, len(all[vm])-1).Draw(t, "report"))
			if rapid.IntRange(0, 30).Draw(t, "new leader") == 0 {
				l = NewLedger()
			}
		}
		for vm := range all {
			deliver(vm, len(all[vm])-1)
		}
		if diff := cmp.Diff(want, l.Evidence(now, "id").Total(nil, "v2")); diff != "" {
			t.Errorf("total (-want +got):\n%s", diff)
		}
	})
}

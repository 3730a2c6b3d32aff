package mpgateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mprollout"
)

// reportFleet is a VM that reports to some others, of which one leads.
type reportFleet struct {
	versions *mpversion.Board

	mu sync.Mutex
	// leads is the VM that leads, known the one that the VM takes for it.
	leads, known string
	hasLease     bool
	vms          int
	// isCut is set while reports are lost on their way, and isDeaf while their answers are.
	isCut, isDeaf bool
	ledger        *mprollout.Ledger
	begin         time.Time
	// asked lists the VMs that got reports.
	asked []string
	// arrivals are the times of the reports.
	arrivals []time.Duration
}

type reportPeer struct {
	mpwire.PeerClient
	fleet *reportFleet
	vm    string
}

func (p reportPeer) Report(_ context.Context, r *mpwire.ReportRequest, _ ...grpc.CallOption) (*mpwire.ReportReply, error) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.fleet.isCut {
		return nil, errors.New("connection lost")
	}
	p.fleet.asked = append(p.fleet.asked, p.vm)
	p.fleet.arrivals = append(p.fleet.arrivals, time.Since(p.fleet.begin))
	if p.vm != p.fleet.leads {
		return &mpwire.ReportReply{Leader: p.fleet.leads}, nil
	}
	p.fleet.ledger.Merge(time.Now(), r.GetVm(), r.GetBoot(), mpwire.DecodeCounts(r.GetCounts()))
	if p.fleet.isDeaf {
		return nil, errors.New("connection lost")
	}
	return &mpwire.ReportReply{Leader: p.vm, Done: true}, nil
}

// newReportFleet starts a VM that reports until ctx ends.
func newReportFleet(ctx context.Context) *reportFleet {
	f := &reportFleet{leads: "a", known: "a", hasLease: true, ledger: mprollout.NewLedger(), begin: time.Now()}
	f.versions = mpversion.New(mpversion.Config{
		HasLease: func(time.Time) bool { return true }, Random: func() float64 { return 0 }, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	r := &reports{
		vm: "v", boot: 7, versions: f.versions, hasLease: func(time.Time) bool { return get(f, &f.hasLease) }, leader: func() string { return get(f, &f.known) },
		vms:     func() int { return get(f, &f.vms) },
		dial:    func(address string) (mpwire.PeerClient, error) { return reportPeer{fleet: f, vm: address}, nil },
		metrics: mpmetric.New(), logger: log.NewNopLogger(),
	}
	go r.run(ctx)
	return f
}

// get returns a field of f.
func get[T any](f *reportFleet, field *T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *field
}

// change changes fields of f.
func (f *reportFleet) change(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

var reportedRow = mprollout.Rollout{
	Pool: "app", Target: "v2", Base: []string{"v1"}, ID: "1", StartedMs: 1, DeadlineMs: 2, State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: 0.1,
}

func (f *reportFleet) set(change func(r *mprollout.Rollout)) {
	row := reportedRow
	change(&row)
	f.versions.SetRollouts([]mprollout.Rollout{row})
}

// answer lets an attempt at a version be answered.
func (f *reportFleet) answer(version string) {
	a := f.versions.Begin(time.Now(), "app", version, "read", true)
	a.Answered(time.Millisecond)
	a.End()
}

func (f *reportFleet) checkAnswers(t *testing.T, want int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff(want, f.ledger.Evidence(time.Now(), "1").Total([]string{"v"}, "v1", "v2").Answers); diff != "" {
		t.Errorf("answers that the leader knows of (-want +got):\n%s", diff)
	}
}

// reportsIn returns the number of reports that arrive within d.
func (f *reportFleet) reportsIn(d time.Duration) int {
	before := len(get(f, &f.arrivals))
	<-time.After(d)
	synctest.Wait()
	return len(get(f, &f.arrivals)) - before
}

func inReportFleet(t *testing.T, name string, f func(t *testing.T, fleet *reportFleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f(t, newReportFleet(ctx))
		})
	})
}

func unchanged(*mprollout.Rollout) {}

// Guards against reports without need, and against counts that the leader misses for good: lost
// reports, another leader, or one that knows nothing any more.
func TestReports(t *testing.T) {
	inReportFleet(t, "none without a roll-out", func(t *testing.T, f *reportFleet) {
		f.answer("v1")
		f.set(func(r *mprollout.Rollout) { r.State = mprollout.StateComplete })
		if n := f.reportsIn(10 * time.Second); n != 0 {
			t.Errorf("%d reports", n)
		}
	})
	inReportFleet(t, "one at once, then when counts change", func(t *testing.T, f *reportFleet) {
		f.set(unchanged)
		if n := f.reportsIn(10 * time.Millisecond); n != 1 {
			t.Errorf("%d reports with the order, want 1", n)
		}
		if n := f.reportsIn(1900 * time.Millisecond); n != 0 {
			t.Errorf("%d reports of unchanged counts", n)
		}
		for range 100 {
			f.answer("v2")
		}
		if n := f.reportsIn(reportInterval); n != 1 {
			t.Errorf("%d reports in one interval, want 1", n)
		}
		f.checkAnswers(t, 100)
		f.set(func(r *mprollout.Rollout) { r.State = mprollout.StateReverted })
		if n := f.reportsIn(10 * time.Second); n != 0 {
			t.Errorf("%d reports after the roll-out", n)
		}
	})
	inReportFleet(t, "lost ones are made good", func(t *testing.T, f *reportFleet) {
		f.set(unchanged)
		f.change(func() { f.isCut = true })
		f.answer("v2")
		f.reportsIn(time.Second)
		f.change(func() { f.isCut, f.isDeaf = false, true })
		f.reportsIn(time.Second)
		f.checkAnswers(t, 1)
		f.change(func() { f.isDeaf = false })
		f.answer("v1")
		f.reportsIn(reportInterval)
		f.checkAnswers(t, 2)
	})
	inReportFleet(t, "a new leader gets all", func(t *testing.T, f *reportFleet) {
		f.set(unchanged)
		f.answer("v2")
		f.reportsIn(time.Second)
		f.change(func() { f.leads, f.known, f.ledger = "b", "b", mprollout.NewLedger() })
		f.reportsIn(reportInterval)
		f.checkAnswers(t, 1)
	})
	inReportFleet(t, "the VM does not know yet who leads", func(t *testing.T, f *reportFleet) {
		f.change(func() { f.leads = "b" })
		f.set(unchanged)
		f.answer("v2")
		f.reportsIn(reportInterval)
		f.checkAnswers(t, 1)
		if diff := cmp.Diff([]string{"a", "b"}, get(f, &f.asked)[:2]); diff != "" {
			t.Errorf("asked (-want +got):\n%s", diff)
		}
	})
	inReportFleet(t, "a leader that lost its office for a moment gets all", func(t *testing.T, f *reportFleet) {
		f.set(unchanged)
		f.answer("v2")
		f.reportsIn(time.Second)
		f.change(func() { f.ledger = mprollout.NewLedger() })
		f.reportsIn(reportRefresh + reportInterval)
		f.checkAnswers(t, 1)
	})
	inReportFleet(t, "many VMs do so less often", func(t *testing.T, f *reportFleet) {
		f.change(func() { f.vms = 340 })
		f.set(unchanged)
		f.answer("v2")
		f.reportsIn(time.Second)
		if n := f.reportsIn(34 * time.Second); n > 10 {
			t.Errorf("%d reports of unchanged counts in 34 s, want at most 10", n)
		}
	})
	inReportFleet(t, "none without a lease", func(t *testing.T, f *reportFleet) {
		f.change(func() { f.hasLease = false })
		f.set(unchanged)
		f.answer("v2")
		if n := f.reportsIn(5 * time.Second); n != 0 {
			t.Errorf("%d reports", n)
		}
		f.change(func() { f.hasLease = true })
		f.reportsIn(reportInterval)
		f.checkAnswers(t, 1)
	})
	inReportFleet(t, "one at once when the last attempt on the old version ends", func(t *testing.T, f *reportFleet) {
		f.set(unchanged)
		last := f.versions.Begin(time.Now(), "app", "v1", "read", true)
		f.set(func(r *mprollout.Rollout) { r.Phase, r.Share, r.ShiftedMs = mprollout.PhaseShift, 1, 1 })
		f.reportsIn(3 * reportInterval)
		evidence := func() mprollout.Evidence { return get(f, &f.ledger).Evidence(time.Now(), "1") }
		running := func() int { return evidence().Total([]string{"v"}, "v1").Running }
		if n := evidence().Reported(mprollout.PhaseShift, []string{"v"}); n != 1 || running() != 1 {
			t.Errorf("the leader knows of %d VMs in the shift and of %d attempts, want 1 and 1", n, running())
		}
		last.End()
		if f.reportsIn(2 * minReportPause); running() != 0 {
			t.Error("the leader does not know that no attempt runs on the old version")
		}
	})
}

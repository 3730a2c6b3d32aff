package mpgateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mproute"
)

const (
	fleetRolloutLength = 15 * time.Second
	// fleetViewDelay is how long a VM takes to learn of a change, and fleetAnswer what an answer of a
	// good version takes.
	fleetViewDelay = 100 * time.Millisecond
	fleetLease     = 2 * time.Second
	fleetAnswer    = 60 * time.Millisecond
)

var fleetSettings = mprollout.Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}

// rolloutVM is a VM of a simulated roll-out.
type rolloutVM struct {
	proxy    *mpproxy.Proxy
	versions *mpversion.Board
	// isCut is set for a VM without contact to the leader, whose lease ends after 2 s.
	isCut bool
}

// rolloutFleet plays a roll-out of a pool with two upstreams of each version, from v1 to v2.
type rolloutFleet struct {
	t     *testing.T
	begin time.Time
	table *mproute.Table
	list  *mplist.List
	vms   []*rolloutVM
	// failing is the part of the target's answers that are failures, slow the factor of their time.
	failing, slow float64

	mu     sync.Mutex
	random *rand.Rand
	row    mprollout.Rollout
	ledger *mprollout.Ledger
	// byVM counts the requests that reached the target from each VM.
	byVM map[string]int
	// all counts the requests that reached the pool, bad those that the target answered badly and
	// late those that were sent there after endedAt, when the VM should have known.
	all, bad, late int
	endedAt        time.Time
	unanswered     int
}

func (f *rolloutFleet) Table() *mproute.Table { return f.table }

func (f *rolloutFleet) Usable() *mplist.Usable {
	return f.list.Usable(func(string) bool { return false })
}

// Report takes over a report, as the leader does.
func (f *rolloutFleet) Report(_ context.Context, r *mpwire.ReportRequest, _ ...grpc.CallOption) (*mpwire.ReportReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Merge(time.Now(), r.GetVm(), r.GetBoot(), mpwire.DecodeCounts(r.GetCounts()))
	return &mpwire.ReportReply{Leader: "leader", Done: true}, nil
}

type rolloutPeer struct {
	mpwire.PeerClient
	*rolloutFleet
}

func (p rolloutPeer) Report(ctx context.Context, r *mpwire.ReportRequest, opts ...grpc.CallOption) (*mpwire.ReportReply, error) {
	return p.rolloutFleet.Report(ctx, r, opts...)
}

// RoundTrip implements http.RoundTripper for the upstreams.
func (f *rolloutFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	f.mu.Lock()
	f.all++
	took, status := time.Duration((0.5+f.random.Float64())*float64(fleetAnswer)), http.StatusOK
	if strings.HasPrefix(r.URL.Host, "new") {
		f.byVM[r.Header.Get("VM")]++
		if f.random.Float64() < f.failing {
			status = http.StatusInternalServerError
			f.bad++
		}
		took = time.Duration(f.slow * float64(took))
		// A VM that is cut off may act on its view until its lease ends.
		until := f.endedAt.Add(fleetViewDelay)
		if f.isCut(r.Header.Get("VM")) {
			until = f.begin.Add(fleetLease)
		}
		if f.row.State == mprollout.StateReverted && time.Now().After(until) {
			f.late++
		}
	}
	f.mu.Unlock()
	<-time.After(took)
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}, Body: io.NopCloser(strings.NewReader("whole"))}, nil
}

func (f *rolloutFleet) isCut(vm string) bool { return vm == "vm0" && f.vms[0].isCut }

func newRolloutFleet(ctx context.Context, t *testing.T, seed uint64, vms int, cut bool) *rolloutFleet {
	t.Helper()
	spec := mproute.RouteSpec{
		Name: "read", Host: "h", Prefix: "/", Kind: mproute.Idempotent, Timeout: 2 * time.Second, LatencyTarget: time.Second, MaxAttempts: 2, Public: true,
		Shares: []mproute.Share{{Pool: "app", Weight: 1}},
	}
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "app"}}, Routes: []mproute.RouteSpec{spec}})
	if err != nil {
		t.Fatal(err)
	}
	f := &rolloutFleet{
		t: t, begin: time.Now(), table: table, slow: 1, random: rand.New(rand.NewPCG(seed, 11)), ledger: mprollout.NewLedger(), byVM: map[string]int{},
		list: mplist.New(time.Now(), []mplist.Row{
			{ID: "old1", Pool: "app", Address: "old1:80", DC: "a", Slots: 8, Version: "v1"}, {ID: "old2", Pool: "app", Address: "old2:80", DC: "a", Slots: 8, Version: "v1"},
			{ID: "new1", Pool: "app", Address: "new1:80", DC: "a", Slots: 8, Version: "v2"}, {ID: "new2", Pool: "app", Address: "new2:80", DC: "a", Slots: 8, Version: "v2"},
		}),
	}
	for i := range vms {
		f.vms = append(f.vms, f.newVM(ctx, fmt.Sprint("vm", i), rand.New(rand.NewPCG(seed, uint64(i))), cut && i == 0))
	}
	return f
}

func (f *rolloutFleet) newVM(ctx context.Context, name string, random *rand.Rand, isCut bool) *rolloutVM {
	vm := &rolloutVM{isCut: isCut}
	hasLease := func(now time.Time) bool { return !vm.isCut || now.Before(f.begin.Add(fleetLease)) }
	vm.versions = mpversion.New(mpversion.Config{HasLease: hasLease, Random: random.Float64, Metrics: mpmetric.New(), Logger: log.NewNopLogger()})
	vm.versions.SetList(time.Now(), f.list)
	budget := mpbudget.New(mpbudget.Config{Ratio: 1, Burst: 100})
	vm.proxy = mpproxy.New(mpproxy.Config{
		DC: "a", State: f, Dialect: limitDialect{}, Selector: mpselect.New(mpselect.Config{VM: name}), Budget: func(string) *mpbudget.Budget { return budget },
		Transport: f, Quarantine: mpquarantine.New(), Notices: mpnotice.New(), Versions: vm.versions,
		Quotas:  &quotas{limits: mpquota.NewLimits()},
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	r := &reports{
		vm: name, boot: 1, versions: vm.versions, hasLease: func(now time.Time) bool { return !vm.isCut && hasLease(now) }, leader: func() string { return "leader" }, vms: func() int { return 9 },
		dial:    func(string) (mpwire.PeerClient, error) { return rolloutPeer{rolloutFleet: f}, nil },
		metrics: mpmetric.New(), logger: log.NewNopLogger(),
	}
	go r.run(ctx)
	return vm
}

// adopt lets all VMs in contact learn of the roll-out's row after a while.
func (f *rolloutFleet) adopt(row mprollout.Rollout) {
	f.mu.Lock()
	f.row = row
	if !row.Running() {
		f.endedAt = time.Now()
	}
	f.mu.Unlock()
	for _, vm := range f.vms {
		if !vm.isCut || row.ShiftedMs == 0 && row.Running() {
			time.AfterFunc(fleetViewDelay, func() { vm.versions.SetRollouts([]mprollout.Rollout{row}) })
		}
	}
}

// lead decides on the roll-out, as the leader does.
func (f *rolloutFleet) lead() {
	var names []string
	for i, vm := range f.vms {
		if !vm.isCut {
			names = append(names, fmt.Sprint("vm", i))
		}
	}
	upstreams := mprollout.Upstreams{Listed: 2, Usable: 2}
	fleet := mprollout.Fleet{VMs: names, Upstreams: map[string]mprollout.Upstreams{"v1": upstreams, "v2": upstreams}}
	f.mu.Lock()
	row, evidence := f.row, f.ledger.Evidence(time.Now(), f.row.ID)
	f.mu.Unlock()
	if next, changed := mprollout.Step(time.Now(), fleetSettings, row, evidence, fleet); changed {
		f.adopt(next)
	}
}

// run plays the roll-out at a rate of requests per second.
func (f *rolloutFleet) run(rate float64) {
	const step = 10 * time.Millisecond
	row, _, err := mprollout.Order(time.Now(), nil, mprollout.Request{
		Pool: "app", Target: "v2", Duration: fleetRolloutLength, Who: "operator", ID: "1", Listed: []string{"v1", "v2"}, Share: fleetSettings.ExposeShare,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.adopt(row)
	<-time.After(2 * fleetViewDelay) // The upstreams of the target start after the order.
	var wg sync.WaitGroup
	for i := 0; time.Since(f.begin) < fleetRolloutLength; i++ {
		<-time.After(step)
		if time.Since(f.begin)%(200*time.Millisecond) < step {
			f.lead()
		}
		f.mu.Lock()
		isDue, vm := f.random.Float64() < rate*step.Seconds(), f.random.IntN(len(f.vms))
		f.mu.Unlock()
		if isDue {
			wg.Go(func() { f.send(i, vm) })
		}
	}
	wg.Wait()
}

func (f *rolloutFleet) send(i, vm int) {
	w := httptest.NewRecorder()
	f.vms[vm].proxy.Serve(f.t.Context(), w, &mpproxy.Request{
		ID: fmt.Sprint(i), Method: "GET", Host: "h", Path: "/", Target: fmt.Sprint("/", i), Header: http.Header{"Vm": {fmt.Sprint("vm", vm)}}, Body: []byte(fmt.Sprint(i)),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.Code != http.StatusOK {
		f.unanswered++
	}
}

// Guards against the parts of a roll-out not fitting together: VMs that choose, count and report, and
// the decisions of the leader on what they report.
func TestRolloutOverVMs(t *testing.T) {
	for name, c := range map[string]struct {
		vms           int
		rate          float64
		failing, slow float64
		cut           bool
		want          mprollout.State
	}{
		"good, few VMs":         {9, 43, 0, 1, false, mprollout.StateComplete},
		"good, many VMs":        {76, 95, 0, 1, false, mprollout.StateComplete},
		"good, a VM is cut off": {9, 43, 0, 1, true, mprollout.StateComplete},
		"failing":               {9, 43, 0.4, 1, false, mprollout.StateReverted},
		"failing, many VMs":     {76, 95, 0.4, 1, false, mprollout.StateReverted},
		"failing, one is cut":   {9, 95, 0.4, 1, true, mprollout.StateReverted},
		"slow":                  {9, 95, 0, 5, false, mprollout.StateReverted},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newRolloutFleet(ctx, t, seed, c.vms, c.cut)
					f.failing, f.slow = c.failing, c.slow
					f.run(c.rate)
					f.check(seed, c.want)
				})
			}
		})
	}
}

func (f *rolloutFleet) check(seed uint64, want mprollout.State) {
	f.t.Helper()
	exposed := 0
	for vm, n := range f.byVM {
		if !f.isCut(vm) {
			exposed += n
		}
	}
	f.t.Logf("seed %d: %s after %v (%s), %d of %d requests at the target, %d of them bad, %d unanswered", seed, f.row.State, f.endedAt.Sub(f.begin), f.row.Reason,
		exposed, f.all, f.bad, f.unanswered)
	if f.row.State != want {
		f.t.Errorf("seed %d: the roll-out is %s, want %s", seed, f.row.State, want)
	}
	if most := fleetSettings.ExposeShare*float64(f.all) + float64(fleetSettings.ExposeSlack); want == mprollout.StateReverted && float64(exposed) > most {
		f.t.Errorf("seed %d: %d of %d requests went to a bad target, want at most %.0f", seed, exposed, f.all, most)
	}
	if f.late > 0 {
		f.t.Errorf("seed %d: %d requests went to the target after it was reverted", seed, f.late)
	}
	if f.unanswered > 0 {
		f.t.Errorf("seed %d: %d requests were not answered", seed, f.unanswered)
	}
}

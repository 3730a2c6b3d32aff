package mpgateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

// assignFleet is a number of VMs that ask each other for engines.
type assignFleet struct {
	t     *testing.T
	view  atomic.Pointer[mpview.View]
	list  atomic.Pointer[mplist.List]
	table *mproute.Table

	mu  sync.Mutex
	vms map[string]*assignVM
}

// vm returns the VM that runs under a name at present.
func (f *assignFleet) vm(name string) *assignVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[name]
}

// assignVM is one VM of the fleet.
type assignVM struct {
	name      string
	owner     *engineOwner
	assigner  *assigner
	behaviour atomic.Pointer[answering]
	// assigns, settlements and registrations count the calls to the VM, and what they carried.
	assigns, settlements, registrations atomic.Int64
}

// answering is how a VM answers calls: after delay, with an error unless that is nil.
type answering struct {
	delay time.Duration
	err   error
}

func (v *assignVM) answer(delay time.Duration, err error) { v.behaviour.Store(&answering{delay, err}) }

// assignPeer hands calls to another VM.
type assignPeer struct {
	mpwire.PeerClient
	to *assignVM
}

func (p assignPeer) wait(ctx context.Context) error {
	b := p.to.behaviour.Load()
	if b.err != nil {
		return b.err
	}
	select {
	case <-time.After(b.delay):
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

func (p assignPeer) Assign(ctx context.Context, r *mpwire.AssignRequest, _ ...grpc.CallOption) (*mpwire.AssignReply, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.to.assigns.Add(1)
	p.to.settlements.Add(int64(len(r.GetSettlements())))
	return p.to.owner.assign(time.Now(), r), nil
}

func (p assignPeer) SettleAssignments(ctx context.Context, r *mpwire.SettleAssignmentsRequest, _ ...grpc.CallOption) (*mpwire.SettleAssignmentsReply, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.to.settlements.Add(int64(len(r.GetSettlements())))
	p.to.owner.settle(time.Now(), r.GetSettlements())
	return &mpwire.SettleAssignmentsReply{}, nil
}

func (p assignPeer) RegisterAssignments(ctx context.Context, r *mpwire.RegisterAssignmentsRequest, _ ...grpc.CallOption) (*mpwire.RegisterAssignmentsReply, error) {
	if err := p.wait(ctx); err != nil {
		return nil, err
	}
	p.to.registrations.Add(1)
	return &mpwire.RegisterAssignmentsReply{Boot: p.to.owner.register(time.Now(), r)}, nil
}

const enginePool = "engines"

func newAssignFleet(t *testing.T, vms int) *assignFleet {
	t.Helper()
	route := mproute.RouteSpec{Name: "say", Host: "h", Prefix: "/", Kind: mproute.Stream, Timeout: time.Second, Shares: []mproute.Share{{Pool: enginePool, Weight: 1}}}
	table, err := mproute.New(mproute.Spec{
		Version: 1, Routes: []mproute.RouteSpec{route},
		Pools: []mproute.PoolSpec{{Name: enginePool, ColdRate: 2, Engine: &mproute.EngineSpec{KVCacheTokens: 400_000, Slots: 64}}, {Name: "plain"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &assignFleet{t: t, table: table, vms: map[string]*assignVM{}}
	f.view.Store(mpview.Empty())
	f.setEngines(8)
	for i := range vms {
		f.start(fmt.Sprint("vm", i), 0)
	}
	return f
}

func (f *assignFleet) setEngines(n int) {
	var rows []mplist.Row
	for i := range n {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("e", i), Pool: enginePool, Address: fmt.Sprintf("e%d:80", i), DC: "a", Slots: 64})
	}
	f.list.Store(mplist.New(time.Now(), rows))
}

// start adds a VM, or replaces it by one that knows nothing.
func (f *assignFleet) start(name string, cpu uint32) *assignVM {
	vm := &assignVM{name: name}
	vm.answer(0, nil)
	usable := f.list.Load().Usable(func(string) bool { return false })
	vm.owner = &engineOwner{
		view: f.view.Load, table: func() *mproute.Table { return f.table }, usable: func() *mplist.Usable { return usable },
		metrics: mpmetric.New(), logger: log.NewNopLogger(), pools: map[string]*ownedPool{},
	}
	vm.assigner = newAssigner(assignerConfig{
		vm: name, view: f.view.Load, dial: func(address string) (mpwire.PeerClient, error) { return assignPeer{to: f.vm(address)}, nil },
		owner: vm.owner, metrics: mpmetric.New(), logger: log.NewNopLogger(),
	})
	f.mu.Lock()
	f.vms[name] = vm
	f.mu.Unlock()
	f.apply(mpview.Join{VM: mpview.VM{Name: name, Address: name, Peer: name, CPU: cpu}})
	return vm
}

func (f *assignFleet) apply(op mpview.Op) {
	next, err := f.view.Load().Apply(op)
	if err != nil {
		f.t.Fatal(err)
	}
	f.view.Store(next)
}

// owners returns the VMs in the order in which they own the pool.
func (f *assignFleet) owners() []*assignVM {
	var out []*assignVM
	for _, vm := range rankEngineOwners(f.view.Load(), enginePool) {
		out = append(out, f.vm(vm.Name))
	}
	return out
}

func engineRequest(doc uint64) mpproxy.EngineRequest {
	return mpproxy.EngineRequest{
		Pool: enginePool, Parts: []mpassign.Part{{Hash: doc, Tokens: 13_000}}, OwnTokens: 3_000, OutputTokens: 200, Deadline: time.Now().Add(10 * time.Second),
	}
}

// checkHeld reports an error unless the VM holds the given number of assignments.
func checkHeld(t *testing.T, vm *assignVM, want int) {
	t.Helper()
	if diff := cmp.Diff(want, vm.owner.held()); diff != "" {
		t.Errorf("assignments at %s (-want +got):\n%s", vm.name, diff)
	}
}

// Guards against VMs that do not find the owner, and against assignments whose end is not reported.
func TestAssignOverAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAssignFleet(t, 20)
		owner := f.owners()[0]
		var assigned []*mpproxy.Assignment
		engines := map[string]bool{}
		for _, vm := range f.vms {
			vm.answer(5*time.Millisecond, nil)
			a := vm.assigner.Assign(t.Context(), engineRequest(uint64(len(assigned))))
			if a == nil || a.Owner != owner.name {
				t.Fatalf("assignment at %s: %+v", vm.name, a)
			}
			assigned = append(assigned, a)
			engines[a.Engine] = true
		}
		checkHeld(t, owner, 20)
		if len(engines) != 8 {
			t.Errorf("%d engines were used, want 8", len(engines))
		}
		for _, a := range assigned {
			a.Settle(mpassign.Outcome{End: mpassign.Started, FirstToken: 90 * time.Millisecond})
			a.Settle(mpassign.Outcome{End: mpassign.Done})
		}
		time.Sleep(2 * settleDelay)
		checkHeld(t, owner, 0)
		if got := owner.registrations.Load(); got != 19 {
			t.Errorf("%d VMs registered with the owner, want 19", got)
		}
	})
}

// Guards against a small fleet that asks owners, and against calls for pools without engines.
func TestAssignOnlyInLargeFleets(t *testing.T) {
	f := newAssignFleet(t, minAssignVMs-1)
	if a := f.vms["vm1"].assigner.Assign(t.Context(), engineRequest(1)); a != nil {
		t.Errorf("assignment in a small fleet: %+v", a)
	}
	if got := f.vms["vm1"].assigner.metrics.Count("assign.fallback"); got != 0 {
		t.Errorf("%d fallbacks, want 0", got)
	}
}

// Guards against owners whose failure delays requests for longer than the limit, or again and again.
func TestAssignWithOwnerThatFails(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		err   error
		// first and second are how long the first and the second request wait, and who assigns them.
		first, second           time.Duration
		firstOwner, secondOwner int
		reason                  string
	}{
		"slow":             {delay: time.Second, first: assignTimeout, firstOwner: -1, secondOwner: 1, reason: fallbackTimeout},
		"lost":             {err: status.Error(codes.Unavailable, "connection refused"), firstOwner: 1, secondOwner: 1},
		"an earlier build": {err: status.Error(codes.Unimplemented, "unknown method Assign"), firstOwner: 1, secondOwner: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAssignFleet(t, 20)
				owners := f.owners()
				owners[0].answer(c.delay, c.err)
				client := owners[10]
				ask := func(wait time.Duration, owner int) {
					t.Helper()
					begin := time.Now()
					a := client.assigner.Assign(t.Context(), engineRequest(1))
					if diff := cmp.Diff(wait, time.Since(begin)); diff != "" {
						t.Errorf("wait (-want +got):\n%s", diff)
					}
					if owner < 0 && a != nil || owner >= 0 && (a == nil || a.Owner != owners[owner].name) {
						t.Errorf("assignment %+v, want one of owner %d", a, owner)
					}
				}
				ask(c.first, c.firstOwner)
				ask(c.second, c.secondOwner)
				if c.reason != "" && client.assigner.metrics.Count("assign.fallback."+c.reason) != 1 {
					t.Errorf("fallback is not counted as %s", c.reason)
				}
				owners[0].answer(0, nil)
				time.Sleep(earlierBuildPeriod + time.Millisecond)
				ask(0, 0)
			})
		})
	}
	t.Run("all", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newAssignFleet(t, 20)
			client := f.owners()[10]
			for _, vm := range f.vms {
				vm.answer(0, errors.New("no route"))
			}
			for range 3 {
				if a := client.assigner.Assign(t.Context(), engineRequest(1)); a != nil {
					t.Errorf("assignment %+v", a)
				}
			}
		})
	})
}

// Guards against an owner that counts as silent because a caller left while it was asked.
func TestCallerThatLeavesDoesNotSilenceOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAssignFleet(t, 20)
		owners := f.owners()
		owners[0].answer(20*time.Millisecond, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		if a := owners[3].assigner.Assign(ctx, engineRequest(1)); a != nil {
			t.Errorf("assignment %+v", a)
		}
		if owners[3].assigner.silent.includes(time.Now(), owners[0].name) {
			t.Error("the owner is not asked any more")
		}
	})
}

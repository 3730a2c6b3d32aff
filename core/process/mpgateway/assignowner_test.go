package mpgateway

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/version/mpview"
)

// Guards against an owner that takes the engines for idle after it was restarted, or replaced, while the
// requests that its predecessor assigned run there.
func TestNewOwnerLearnsWhatIsInFlight(t *testing.T) {
	for name, replace := range map[string]func(f *assignFleet, old *assignVM) (owner *assignVM){
		"restarted": func(f *assignFleet, old *assignVM) *assignVM { return f.start(old.name, 0) },
		"lost": func(f *assignFleet, old *assignVM) *assignVM {
			old.answer(0, status.Error(codes.Unavailable, "connection refused"))
			return f.owners()[1]
		},
		"left": func(f *assignFleet, old *assignVM) *assignVM {
			f.apply(mpview.Leave{VMs: []string{old.name}})
			return f.owners()[0]
		},
		"frozen": func(f *assignFleet, old *assignVM) *assignVM {
			old.answer(time.Hour, nil)
			return f.owners()[1]
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAssignFleet(t, 20)
				old := f.owners()[0]
				clients := f.owners()[5:15]
				var open []*mpproxy.Assignment
				for _, vm := range clients {
					for range 3 {
						open = append(open, vm.assigner.Assign(t.Context(), engineRequest(1)))
					}
				}
				owner := replace(f, old)
				time.Sleep(time.Second)
				for _, vm := range clients {
					if a := vm.assigner.Assign(t.Context(), engineRequest(2)); a != nil {
						open = append(open, a)
					}
				}
				time.Sleep(settleDelay)
				if name == "frozen" { // The request that found out was not assigned.
					for _, vm := range clients {
						open = append(open, vm.assigner.Assign(t.Context(), engineRequest(2)))
					}
					time.Sleep(settleDelay)
				}
				checkHeld(t, owner, 40)
				for _, a := range open {
					a.Settle(mpassign.Outcome{End: mpassign.Done})
				}
				time.Sleep(settleDelay + settleTimeout)
				checkHeld(t, owner, 0)
			})
		})
	}
	t.Run("after a new view, before the next request", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newAssignFleet(t, 20)
			old, client := f.owners()[0], f.owners()[5]
			client.assigner.Assign(t.Context(), engineRequest(1))
			f.apply(mpview.Leave{VMs: []string{old.name}})
			client.assigner.updateView(f.view.Load())
			time.Sleep(registerSpread + time.Millisecond)
			checkHeld(t, f.owners()[0], 1)
		})
	})
	t.Run("what has ended is told for the parts that it left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newAssignFleet(t, 20)
			client := f.owners()[5]
			first := client.assigner.Assign(t.Context(), engineRequest(1))
			first.Settle(mpassign.Outcome{End: mpassign.Done, FirstToken: 100 * time.Millisecond})
			f.apply(mpview.Leave{VMs: []string{f.owners()[0].name}})
			client.assigner.updateView(f.view.Load())
			time.Sleep(time.Second)
			a := f.owners()[7].assigner.Assign(t.Context(), engineRequest(1))
			if a.Engine != first.Engine || a.CachedTokens != 13_000 {
				t.Errorf("assignment %+v, want one at %s", a, first.Engine)
			}
		})
	})
}

// Guards against VMs with different views, and so different owners, that disturb each other, and against an
// owner that is only ahead or behind.
func TestTwoOwnersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAssignFleet(t, 20)
		older := f.view.Load()
		first := f.owners()[0]
		behind := f.owners()[5]
		behind.assigner.view = func() *mpview.View { return older }
		f.apply(mpview.Mark{Target: mpview.TargetVM, Name: first.name, Out: true})
		second := f.owners()[0]
		ahead := f.owners()[7]
		a, b := behind.assigner.Assign(t.Context(), engineRequest(1)), ahead.assigner.Assign(t.Context(), engineRequest(1))
		if a == nil || a.Owner != first.name || b == nil || b.Owner != second.name || second == first {
			t.Fatalf("assignments %+v and %+v", a, b)
		}
		checkHeld(t, first, 1)
		checkHeld(t, second, 1)
		a.Settle(mpassign.Outcome{End: mpassign.Done})
		b.Settle(mpassign.Outcome{End: mpassign.Done})
		time.Sleep(2 * settleDelay)
		checkHeld(t, first, 0)
		checkHeld(t, second, 0)
	})
}

// Guards against assignments that count for ever at an owner that the reports do not reach.
func TestLostReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAssignFleet(t, 20)
		owner, client := f.owners()[0], f.owners()[5]
		a := client.assigner.Assign(t.Context(), engineRequest(1))
		owner.answer(0, errors.New("cut off"))
		a.Settle(mpassign.Outcome{End: mpassign.Done})
		time.Sleep(time.Second)
		checkHeld(t, owner, 1)
		if got := client.assigner.metrics.Count("assign.unreported"); got != 1 {
			t.Errorf("%d reports counted as lost, want 1", got)
		}
		time.Sleep(10 * time.Second)
		owner.owner.prune(time.Now())
		checkHeld(t, owner, 0)
		time.Sleep(ownedRetention)
		owner.owner.prune(time.Now())
		if len(owner.owner.pools) != 0 {
			t.Error("the owner keeps a pool that nobody asks about")
		}
	})
}

// Guards against a call for each report, and against a report that waits for long.
func TestReportsGoAlongWithCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAssignFleet(t, 20)
		owner, client := f.owners()[0], f.owners()[5]
		a := client.assigner.Assign(t.Context(), engineRequest(1))
		a.Settle(mpassign.Outcome{End: mpassign.Started, FirstToken: time.Millisecond})
		time.Sleep(startDelay / 2)
		a.Settle(mpassign.Outcome{End: mpassign.Done})
		time.Sleep(startDelay/2 - time.Millisecond)
		if got := owner.settlements.Load(); got != 0 {
			t.Errorf("%d reports arrived at once", got)
		}
		b := client.assigner.Assign(t.Context(), engineRequest(1))
		if got := owner.settlements.Load(); got != 2 {
			t.Errorf("%d reports came with the next request, want 2", got)
		}
		b.Settle(mpassign.Outcome{End: mpassign.Done})
		time.Sleep(settleDelay + time.Millisecond)
		checkHeld(t, owner, 0)
	})
}

// Guards against messages that no VM of this version sends.
func TestImplausibleAssignMessages(t *testing.T) {
	f := newAssignFleet(t, 20)
	owner := f.vms["vm1"]
	valid := func() *mpwire.AssignRequest {
		return &mpwire.AssignRequest{Vm: "vm2", Pool: enginePool, Token: 1, OwnTokens: 100, LeftMs: 1000}
	}
	for name, change := range map[string]func(r *mpwire.AssignRequest){
		"empty":                  func(r *mpwire.AssignRequest) { *r = mpwire.AssignRequest{} },
		"unknown pool":           func(r *mpwire.AssignRequest) { r.Pool = "other" },
		"a pool of another kind": func(r *mpwire.AssignRequest) { r.Pool = "plain" },
		"no token":               func(r *mpwire.AssignRequest) { r.Token = 0 },
		"no time left":           func(r *mpwire.AssignRequest) { r.LeftMs = 0 },
		"a year left":            func(r *mpwire.AssignRequest) { r.LeftMs = 1 << 31 },
		"absurd tokens":          func(r *mpwire.AssignRequest) { r.OwnTokens = 1 << 31 },
		"absurd parts":           func(r *mpwire.AssignRequest) { r.Parts = []*mpwire.PromptPart{{Hash: 1, Tokens: 1 << 31}} },
		"many parts":             func(r *mpwire.AssignRequest) { r.Parts = make([]*mpwire.PromptPart, 1000) },
	} {
		t.Run(name, func(t *testing.T) {
			r, before := valid(), owner.owner.metrics.Count("assign.rejected")
			change(r)
			if reply := owner.owner.assign(time.Now(), r); reply.GetCause() != mpwire.AssignReply_INVALID || reply.GetUpstream() != "" {
				t.Errorf("reply %v", reply)
			}
			if owner.owner.metrics.Count("assign.rejected") != before+1 {
				t.Error("the message is not counted")
			}
		})
	}
	t.Run("an unknown end", func(t *testing.T) {
		owner.owner.assign(time.Now(), valid())
		owner.owner.settle(time.Now(), []*mpwire.AssignSettlement{{Pool: enginePool, Token: 1, End: 77}})
		checkHeld(t, owner, 1)
		owner.owner.settle(time.Now(), []*mpwire.AssignSettlement{{Pool: enginePool, Token: 2}, {Pool: "other", Token: 1}, {Pool: enginePool, Token: 1}})
		checkHeld(t, owner, 0)
	})
	t.Run("an implausible registration", func(t *testing.T) {
		held := []*mpwire.AssignHeld{{Token: 7, Upstream: "e1", LeftMs: 1000}, {Token: 8, Upstream: "e1", OwnTokens: 1 << 31, LeftMs: 1000}}
		owner.owner.register(time.Now(), &mpwire.RegisterAssignmentsRequest{Vm: "vm2", Pool: enginePool, Held: held})
		checkHeld(t, owner, 0)
	})
	t.Run("a request that the caller's figures make absurd is not sent", func(t *testing.T) {
		r := engineRequest(1)
		r.OwnTokens = 1 << 40
		if a := owner.assigner.Assign(t.Context(), r); a != nil || owner.assigner.metrics.Count("assign.fallback.invalid") != 1 {
			t.Errorf("assignment %+v", a)
		}
	})
	t.Run("a reply without an engine", func(t *testing.T) {
		for _, reply := range []*mpwire.AssignReply{{}, {Cause: mpwire.AssignReply_INVALID, Upstream: "e1"}, {Cause: 9, Upstream: "e1"}, {Cause: mpwire.AssignReply_NO_ENGINE}} {
			if a := owner.assigner.take(mpview.VM{Name: "vm2"}, newAssignedFlight(time.Now(), engineRequest(1)), reply); a != nil {
				t.Errorf("assignment %+v for %v", a, reply)
			}
		}
	})
}

// Guards against an owner with little processor share while others have more, and against VMs that do not
// agree on the owner.
func TestOwnersHaveProcessorShare(t *testing.T) {
	first := map[uint32]int{}
	for i := range 200 {
		view := mpview.Empty()
		for vm := range 20 {
			cpu := uint32(144)
			if vm%2 == 0 {
				cpu = 480
			}
			if vm == 19 {
				cpu = 0 // An earlier build.
			}
			name := fmt.Sprint("vm", vm)
			next, err := view.Apply(mpview.Join{VM: mpview.VM{Name: name, Address: name, Peer: name, CPU: cpu}})
			if err != nil {
				t.Fatal(err)
			}
			view = next
		}
		first[rankEngineOwners(view, fmt.Sprint("pool", i))[0].CPU]++
	}
	if first[480] < 130 || first[144] < 20 {
		t.Errorf("owners by processor share: %v", first)
	}
	for cores, want := range map[float64]uint32{0.144: 144, 0: 0, -1: 0, 1e300: 1000 * maxCPU} {
		if diff := cmp.Diff(want, thousandths(cores)); diff != "" {
			t.Errorf("%v cores (-want +got):\n%s", cores, diff)
		}
	}
}

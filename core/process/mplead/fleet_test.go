package mplead

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	fleetVMs       = 340
	fleetUpstreams = 3000
	fleetLease     = 2 * time.Second
	// fleetStart is within what time all VMs start, and fleetPlay how long the play lasts.
	fleetStart = 300 * time.Millisecond
	fleetPlay  = 2 * time.Second
	// commitTime is the time that a voter takes to commit a change.
	commitTime = 8 * time.Millisecond
	// renewPause is the pause of a VM between two renewals.
	renewPause = 50 * time.Millisecond
	// replyCost is the time that a leader with a quarter of a core needs for a renewal, viewCost
	// and listCost that for encoding a view with 390 routes and the list.
	replyCost = 1200 * time.Microsecond
	viewCost  = 20 * time.Millisecond
	listCost  = 10 * time.Millisecond
)

// soleVoter is a replicated log with one member, which commits each command after commitTime.
type soleVoter struct{ machine *mpstate.Machine }

var _ Replica = soleVoter{}

func (soleVoter) HasLease() bool { return true }

func (v soleVoter) Propose(_ context.Context, command []byte) ([]byte, error) {
	<-time.After(commitTime)
	return v.machine.Apply(0, command), nil
}

func (soleVoter) Status() mpreplica.Status { return mpreplica.Status{} }

func (soleVoter) LeaderInfo() mpquorum.MemberInfo { return mpquorum.MemberInfo{} }

// herd is a fleet of VMs that all start at once.
type herd struct {
	leader *Leader
	// processor is held by the renewal that the leader works on.
	processor chan struct{}
	replies   atomic.Int64
	// views and lists count the encodings of the whole view and of the list.
	views, lists map[*byte]bool
	joined       atomic.Int64
	// servingAfter is when the last VM had a view, a list and a lease.
	servingAfter atomic.Int64
}

// newHerd returns a fleet whose leader has a plan and a list of upstreams.
func newHerd(t *testing.T) *herd {
	t.Helper()
	machine := mpstate.New()
	h := &herd{processor: make(chan struct{}, 1), views: map[*byte]bool{}, lists: map[*byte]bool{}}
	h.leader = New(Config{Replica: soleVoter{machine}, StateMachine: machine, Logger: log.NewNopLogger(), LeaseDuration: fleetLease})
	if err := h.leader.proposeChange(t.Context(), mpview.Publish{Routing: mpview.Routing{Version: 1, Source: []byte(`{}`)}}); err != nil {
		t.Fatal(err)
	}
	h.leader.upstreamList = mplist.New(time.Now(), fleetRows())
	return h
}

func fleetRows() []mplist.Row {
	rows := make([]mplist.Row, fleetUpstreams)
	for i := range rows {
		rows[i] = mplist.Row{ID: fmt.Sprint("i-", i), Pool: fmt.Sprint("pool", i%5), Address: fmt.Sprint("10.0.0.1:", i+1), DC: fmt.Sprint("dc", i%6), Slots: 1, Version: "v1"}
	}
	return rows
}

// pointer identifies data; it is nil if there is none.
func pointer(data []byte) *byte {
	if len(data) == 0 {
		return nil
	}
	return &data[0]
}

// encodingCost returns the cost of data that was not seen before.
func encodingCost(seen map[*byte]bool, data *byte, cost time.Duration) time.Duration {
	if data == nil || seen[data] {
		return 0
	}
	seen[data] = true
	return cost
}

// run renews the lease of one VM until ctx ends.
func (h *herd) run(ctx context.Context, name string, started time.Time) {
	r := &mpwire.RenewRequest{Vm: name, Boot: 1, Dc: "dc", Address: name, Peer: name, Holds: true, Packs: true}
	for ctx.Err() == nil {
		reply, err := h.leader.Renew(ctx, r)
		if err != nil || ctx.Err() != nil {
			return
		}
		h.processor <- struct{}{}
		<-time.After(replyCost + encodingCost(h.views, cmp.Or(pointer(reply.GetView()), pointer(reply.GetPackedView())), viewCost) +
			encodingCost(h.lists, cmp.Or(pointer(reply.GetUpstreams()), pointer(reply.GetPacked())), listCost))
		<-h.processor
		h.replies.Add(1)
		if r.GetRevision() == 0 {
			h.joined.Add(1)
			h.servingAfter.Store(max(h.servingAfter.Load(), int64(time.Since(started))))
		}
		r.Revision = reply.GetRevision()
		if reply.GetListed() != 0 {
			r.Listed = reply.GetListed()
		}
		<-time.After(renewPause)
	}
}

// Guards against a fleet that does not serve again after all of its VMs were killed: each VM that
// joined made the leader answer all others at once, and encode the whole view and the list of
// upstreams anew. With 300 VMs that took the leader longer than the VMs waited, and they asked
// again, which added to it.
func TestAllVMsOfALargeFleetStartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(t)
		ctx, cancel := context.WithTimeout(t.Context(), fleetPlay)
		defer cancel()
		started := time.Now()
		done := make(chan struct{})
		for i := range fleetVMs {
			go func() {
				<-time.After(time.Duration(i) * fleetStart / fleetVMs)
				h.run(ctx, fmt.Sprint("vm", i), started)
				done <- struct{}{}
			}()
		}
		for range fleetVMs {
			<-done
		}
		if got := h.joined.Load(); got != fleetVMs {
			t.Errorf("%d of %d VMs joined within %v", got, fleetVMs, fleetPlay)
		}
		if took := time.Duration(h.servingAfter.Load()); took > fleetPlay/2 {
			t.Errorf("the last VM served after %v, want at most %v", took, fleetPlay/2)
		}
		t.Logf("%d replies, %d views and %d lists encoded, all served after %v", h.replies.Load(), len(h.views), len(h.lists), time.Duration(h.servingAfter.Load()))
	})
}

// Guards against a leader whose processor goes to renewals: with a quarter of a lease between two of
// each VM, 340 VMs took three quarters of it when nothing changed.
func TestLargeFleetAtRest(t *testing.T) {
	const (
		play = 10 * time.Second
		// maxShare is the share of the leader's processor that renewals may take.
		maxShare = 0.5
	)
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(t)
		ctx, cancel := context.WithTimeout(t.Context(), fleetPlay+play)
		defer cancel()
		done := make(chan struct{})
		for i := range fleetVMs {
			go func() {
				<-time.After(time.Duration(i) * fleetStart / fleetVMs)
				h.run(ctx, fmt.Sprint("vm", i), time.Now())
				done <- struct{}{}
			}()
		}
		<-time.After(fleetPlay)
		joined := h.replies.Load()
		for range fleetVMs {
			<-done
		}
		replies := h.replies.Load() - joined
		if share := float64(replies) * replyCost.Seconds() / play.Seconds(); share > maxShare {
			t.Errorf("%d renewals in %v take %.2f of the leader's processor, want at most %v", replies, play, share, maxShare)
		}
	})
}

// Guards against a leader that drops the processor share of VMs, or commits their rows again and again.
func TestProcessorShareOfVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHerd(t)
		for _, r := range []*mpwire.RenewRequest{
			{Vm: "a", Boot: 1, Cpu: 144}, {Vm: "b", Boot: 1}, {Vm: "a", Boot: 1, Cpu: 144}, {Vm: "b", Boot: 1}, {Vm: "b", Boot: 2, Cpu: 480},
		} {
			if err := h.leader.updateViewRow(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		view := h.leader.cfg.StateMachine.View()
		a, _ := view.VM("a")
		b, _ := view.VM("b")
		if a.CPU != 144 || b.CPU != 480 || view.Revision() != 4 {
			t.Errorf("shares %d and %d at revision %d, want 144 and 480 at 4", a.CPU, b.CPU, view.Revision())
		}
	})
}

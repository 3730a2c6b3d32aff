package mpstage

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

// Guards against stale backlogs: a report is out of date after a few batches. An average
// over ten requests took seconds to follow a burst.
func TestBacklogExpires(t *testing.T) {
	r := NewRouter(RouterConfig{VM: "a"})
	now := time.Unix(1000, 0)
	r.recordBacklog(now, "p", 1, 1200*time.Millisecond)
	for name, c := range map[string]struct {
		pool     string
		priority int
		age      time.Duration
		want     time.Duration
	}{
		"fresh report":      {"p", 1, 0, 1200 * time.Millisecond},
		"shrinks with time": {"p", 1, 500 * time.Millisecond, 700 * time.Millisecond},
		"reaches zero":      {"p", 1, 1300 * time.Millisecond, 0},
		"another priority":  {"p", 0, 0, 0},
		"another pool":      {"q", 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, r.Backlog(now.Add(c.age), c.pool, c.priority)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
		})
	}
	r.recordBacklog(now, "p", 1, time.Minute)
	if got := r.Backlog(now.Add(2*time.Second), "p", 1); got != 0 {
		t.Errorf("a backlog reported 2 s ago still counts as %v", got)
	}
}

// timedPeer is an owner that completes each job after took, and counts probes. It answers
// nothing while it hangs.
type timedPeer struct {
	mpwire.UnimplementedPeerServer
	hangs  bool
	took   time.Duration
	probes atomic.Int64
}

func (p *timedPeer) Make(ctx context.Context, _ *mpwire.MakeRequest) (*mpwire.MakeReply, error) {
	if p.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	<-time.After(p.took)
	return &mpwire.MakeReply{Handles: []string{"h"}, Dcs: []string{"a"}}, nil
}

func (p *timedPeer) Probe(ctx context.Context, _ *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	p.probes.Add(1)
	if p.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &mpwire.ProbeReply{}, nil
}

// newOwnersRouter returns a Router of a pool called p for which owner is asked first, and
// then next.
func newOwnersRouter(t *testing.T, owner, next *timedPeer) *Router {
	t.Helper()
	addresses := map[string]string{"vm0": "127.0.77.1:7740", "vm1": "127.0.77.2:7740"}
	view := mpview.Empty()
	for i, name := range mprank.OfName("p", []string{"vm0", "vm1"}) {
		server, err := mppeer.Serve(mppeer.ServerConfig{Address: addresses[name], Secret: "s", Peer: []*timedPeer{owner, next}[i], Metrics: mpmetric.New()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		if view, err = view.Apply(mpview.Join{VM: mpview.VM{Name: name, Boot: 1, Address: "caller", Peer: addresses[name]}}); err != nil {
			t.Fatal(err)
		}
	}
	client := mppeer.NewClient(mppeer.Config{Secret: "s", Metrics: mpmetric.New()})
	t.Cleanup(client.Close)
	return NewRouter(RouterConfig{
		VM: "router", Client: client, View: func() *mpview.View { return view }, Table: func() *mproute.Table { return &mproute.Table{} }, Usable: func() *mplist.Usable { return nil },
		Logger: mplog.New(io.Discard, "info"), Clock: time.Now,
	})
}

// Guards against an owner that hangs while it holds a job: the request would wait until its
// deadline.
func TestOwnerThatHangsIsPassedOver(t *testing.T) {
	// shortestTarget is the shortest latency target of a request with stages.
	const shortestTarget = 1200 * time.Millisecond
	r := newOwnersRouter(t, &timedPeer{hangs: true}, &timedPeer{})
	start := time.Now()
	if _, err := r.Make(t.Context(), "p", mpbatch.JobSpec{Request: "r", Count: 1}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > shortestTarget {
		t.Errorf("the job took %v, want at most %v", took, shortestTarget)
	}
}

// Guards against an owner that spends as much on probes as on jobs.
func TestOwnerIsNotProbedForShortJobs(t *testing.T) {
	owner := &timedPeer{took: 300 * time.Millisecond}
	r := newOwnersRouter(t, owner, &timedPeer{})
	if _, err := r.Make(t.Context(), "p", mpbatch.JobSpec{Request: "r", Count: 1}); err != nil {
		t.Fatal(err)
	}
	if n := owner.probes.Load(); n > 0 {
		t.Errorf("%d probes for a job of %v", n, owner.took)
	}
}

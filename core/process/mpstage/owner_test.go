package mpstage

import (
	stdcmp "cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// fakeClient simulates upstreams that keep results until they are freed.
type fakeClient struct {
	mu sync.Mutex
	// failures is the number of pieces with inputs that still fail with ReasonError.
	failures int
	freed    map[string]bool
	made     int
	// unresponsive is an upstream that runs calls but does not answer when told to free
	// results.
	unresponsive string
	// callLoad and freeLoad are what answers to calls and to orders to free results say.
	callLoad, freeLoad mpspeed.Load
	// addresses maps the upstreams whose handles do not begin with their ID to their address.
	addresses map[string]string
}

var _ BatchClient = (*fakeClient)(nil)

func (f *fakeClient) Run(_ context.Context, _ time.Time, c mpbatch.Call) mpbatch.Outcome {
	<-time.After(time.Duration(float64(c.Expected) * stdcmp.Or(f.callLoad.Percent, 100) / 100))
	f.mu.Lock()
	defer f.mu.Unlock()
	out := mpbatch.Outcome{Load: f.callLoad}
	for _, it := range c.Items {
		out.Items = append(out.Items, f.runItem(c.Upstream.ID, it))
	}
	return out
}

func (f *fakeClient) runItem(at string, it mpbatch.Item) mpbatch.ItemOutcome {
	for _, in := range it.Inputs {
		if f.freed[in] {
			return mpbatch.ItemOutcome{Reason: mpbatch.ReasonInputGone}
		}
	}
	if len(it.Inputs) > 0 && f.failures > 0 {
		f.failures--
		return mpbatch.ItemOutcome{Reason: mpbatch.ReasonError}
	}
	f.made++
	return mpbatch.ItemOutcome{Handle: fmt.Sprintf("%s@%s-%d-%d", at, it.Request, it.Stage, f.made)}
}

func (f *fakeClient) AddressOf(handle string) string {
	at := strings.SplitN(handle, "@", 2)[0]
	return stdcmp.Or(f.addresses[at], at)
}

func (f *fakeClient) CloseIdle() {}

func (f *fakeClient) Free(ctx context.Context, at string, handles []string) (mpspeed.Load, error) {
	if at == f.unresponsive {
		<-ctx.Done()
		return mpspeed.Load{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		f.freed[h] = true
	}
	return f.freeLoad, nil
}

// newTwoStageOwner returns an Owner of two pools. The results of one request nearly
// fill the memory of an upstream.
func newTwoStageOwner(ctx context.Context, t *testing.T, m *fakeClient) *Owner {
	t.Helper()
	batch := &mproute.BatchSpec{MaxPieces: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemoryBytes: 500_000, ResultRetention: 4 * time.Second}
	table, err := mproute.New(mproute.Spec{
		Version: 1,
		Pools:   []mproute.PoolSpec{{Name: "first", MaxConns: 9, Batch: batch}, {Name: "second", MaxConns: 9, Batch: batch}},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := mplist.New(time.Now(), []mplist.Row{
		{ID: "u0", Pool: "first", Address: "127.0.0.1:3", DC: "a"},
		{ID: "u1", Pool: "first", Address: "127.0.0.1:1", DC: "a"},
		{ID: "u2", Pool: "second", Address: "127.0.0.1:2", DC: "a"},
	})
	o := NewOwner(ctx, OwnerConfig{Client: m, Quotas: noQuotas{}, Notices: mpnotice.New(), Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now})
	o.Update(table, list.Usable(func(string) bool { return false }))
	return o
}

func newSpec(now time.Time, stage int, inputs []string) mpbatch.JobSpec {
	return mpbatch.JobSpec{
		Request: "r", Stage: stage, Count: 8, Key: "k", Inputs: inputs, ResultBytes: 60_000,
		SoftDeadline: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second),
	}
}

// Guards against freeing inputs too early: about one piece in 500 fails at first. Its
// inputs had been freed by then, 70 ms after the pieces that read them had started, so
// the request repeated all of its stages.
func TestFailedPieceIsRetriedWithItsInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &fakeClient{failures: 1, freed: map[string]bool{}}
		o := newTwoStageOwner(ctx, t, m)
		first, err := o.Make(ctx, whole("first"), newSpec(time.Now(), 0, nil))
		if err != nil {
			t.Fatal(err)
		}
		var inputs []string
		for _, r := range first {
			inputs = append(inputs, r.Handle)
		}
		second, err := o.Make(ctx, whole("second"), newSpec(time.Now(), 1, inputs))
		if err != nil {
			t.Fatalf("second stage: %v", err)
		}
		if diff := cmp.Diff(8, len(second)); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
		o.Free(whole("first"), inputs)
		<-time.After(time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		if diff := cmp.Diff(8, len(m.freed)); diff != "" {
			t.Errorf("freed results (-want +got):\n%s", diff)
		}
	})
}

// Guards against one unresponsive upstream, which is common during faults, delaying the
// frees of the others: their results of the same round counted as used memory for four
// seconds as well.
func TestUnresponsiveUpstreamDoesNotDelayOtherFrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &fakeClient{unresponsive: "u0", freed: map[string]bool{}}
		o := newTwoStageOwner(ctx, t, m)
		// Two requests fill both upstreams.
		var handles []string
		for range 2 {
			made, err := o.Make(ctx, whole("first"), newSpec(time.Now(), 0, nil))
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range made {
				handles = append(handles, r.Handle)
			}
		}
		o.Free(whole("first"), handles)
		start := time.Now()
		if _, err := o.Make(ctx, whole("first"), newSpec(start, 0, nil)); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("the next request took %v, although one upstream has freed its results", took)
		}
	})
}

// whole returns the only shard of a pool that is not divided.
func whole(pool string) shard { return shard{pool: pool, count: 1} }

// noQuotas drops what upstreams say of their rates.
type noQuotas struct{}

func (noQuotas) Observe(time.Time, string, mpquota.Statement)        {}
func (noQuotas) Rate(string) (float64, bool)                         { return 0, false }
func (noQuotas) Take(context.Context, string, float64) time.Duration { return 0 }

// limitQuotas denies calls to the upstreams in waits for the given time, once each.
type limitQuotas struct {
	mu    sync.Mutex
	waits map[string]time.Duration
}

func (q *limitQuotas) Observe(time.Time, string, mpquota.Statement) {}

func (q *limitQuotas) Rate(upstream string) (float64, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.waits[upstream]
	return 1, ok
}

func (q *limitQuotas) Take(_ context.Context, upstream string, _ float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := q.waits[upstream]
	q.waits[upstream] = 0
	return wait
}

// addressedClient gives all results the address of u2.
type addressedClient struct{ *fakeClient }

func (addressedClient) AddressOf(string) string { return "127.0.0.1:2" }

// Guards against calls for pieces, and calls that free results, of which an upstream gets more
// than the limit that it names.
func TestOwnerKeepsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &fakeClient{freed: map[string]bool{}}
		o := newTwoStageOwner(ctx, t, m)
		o.cfg.Client = addressedClient{m}
		o.cfg.Quotas = &limitQuotas{waits: map[string]time.Duration{"u2": 700 * time.Millisecond}}
		begin := time.Now()
		results, err := o.Make(ctx, whole("second"), newSpec(begin, 1, []string{"127.0.0.1:1@in"}))
		if err != nil || time.Since(begin) < 700*time.Millisecond {
			t.Errorf("made after %v, %v; the limit allows the call after 700ms", time.Since(begin), err)
		}
		for _, r := range results {
			o.Free(whole("second"), []string{r.Handle})
		}
		<-time.After(time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range results {
			if m.freed[r.Handle] {
				t.Errorf("result %s was freed by a call", r.Handle)
			}
		}
	})
}

// Guards against calls for pieces to an upstream that has said that it leaves.
func TestLeavingUpstreamGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &fakeClient{freed: map[string]bool{}}
		o := newTwoStageOwner(ctx, t, m)
		o.cfg.Notices.Observe(time.Now(), time.Now(), "u0", mpnotice.Notice{IsValid: true, IsLeaving: true})
		results, err := o.Make(ctx, whole("first"), newSpec(time.Now(), 0, nil))
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range results {
			if got := m.AddressOf(r.Handle); got != "127.0.0.1:1" && got != "u1" {
				t.Errorf("a piece was made at %s", got)
			}
		}
	})
}

// Guards against figures of speed that are read and not used: those in the answers to calls, and
// those in the answers to orders to free results, which come while the upstream runs other calls.
func TestOwnerLearnsSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &fakeClient{
			freed: map[string]bool{}, addresses: map[string]string{"u2": "127.0.0.1:2"},
			callLoad: mpspeed.Load{Percent: 250}, freeLoad: mpspeed.Load{Percent: 100, Skipped: 3},
		}
		o := newTwoStageOwner(ctx, t, m)
		made, err := o.Make(ctx, whole("second"), newSpec(time.Now(), 0, nil))
		if err != nil {
			t.Fatal(err)
		}
		slow := o.speed.Factor(time.Now(), "u2")
		if slow < 1.5 {
			t.Errorf("factor %v after a call whose answer says 250 %%, want at least 1.5", slow)
		}
		o.Free(whole("second"), []string{made[0].Handle})
		<-time.After(2 * freeInterval)
		if got := o.speed.Factor(time.Now(), "u2"); got > 1.2 {
			t.Errorf("factor %v after an answer that says 100 %%, want at most 1.2", got)
		}
		if _, greatest := o.SpeedRange(time.Now()); greatest > 1.2 {
			t.Errorf("greatest factor %v, want at most 1.2", greatest)
		}
		for name, want := range map[string]int64{"speed.reports": 2, "speed.skipped": 3, "speed.absent": 0} {
			if diff := cmp.Diff(want, o.cfg.Metrics.Count(name)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", name, diff)
			}
		}
	})
}

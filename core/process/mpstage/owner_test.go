package mpstage

import (
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
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// maker plays upstreams that keep results until they are told to drop them.
type maker struct {
	mu sync.Mutex
	// failing is the number of pieces that are not made yet, for no reason of their own.
	failing int
	dropped map[string]bool
	made    int
	// dark names an upstream that takes calls but does not answer when told to drop results.
	dark string
}

var _ BatchClient = (*maker)(nil)

func (m *maker) Run(_ context.Context, _ time.Time, c mpbatch.Call) mpbatch.Outcome {
	<-time.After(c.Expected)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out mpbatch.Outcome
	for _, it := range c.Items {
		out.Items = append(out.Items, m.makeOne(c.Upstream.ID, it))
	}
	return out
}

func (m *maker) makeOne(at string, it mpbatch.Item) mpbatch.ItemOutcome {
	for _, in := range it.Inputs {
		if m.dropped[in] {
			return mpbatch.ItemOutcome{Reason: mpbatch.ReasonInputGone}
		}
	}
	if len(it.Inputs) > 0 && m.failing > 0 {
		m.failing--
		return mpbatch.ItemOutcome{Reason: mpbatch.ReasonError}
	}
	m.made++
	return mpbatch.ItemOutcome{Handle: fmt.Sprintf("%s@%s-%d-%d", at, it.Request, it.Stage, m.made)}
}

func (m *maker) AddressOf(handle string) string { return strings.SplitN(handle, "@", 2)[0] }

func (m *maker) Free(ctx context.Context, at string, handles []string) error {
	if at == m.dark {
		<-ctx.Done()
		return ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		m.dropped[h] = true
	}
	return nil
}

// twoStages is an owner of two pools; the results of one request nearly fill the
// memory of an upstream.
func twoStages(ctx context.Context, t *testing.T, m *maker) *Owner {
	t.Helper()
	batch := &mproute.BatchSpec{Size: 8, Call: 150 * time.Millisecond, Item: 16 * time.Millisecond, Room: 500_000, Keep: 4 * time.Second}
	table, err := mproute.New(mproute.Spec{
		Version: 1,
		Pools:   []mproute.PoolSpec{{Name: "first", Conns: 9, Batch: batch}, {Name: "second", Conns: 9, Batch: batch}},
	})
	if err != nil {
		t.Fatal(err)
	}
	list := mplist.New(time.Now(), []mplist.Row{
		{ID: "u0", Pool: "first", Address: "127.0.0.1:3", DC: "a"},
		{ID: "u1", Pool: "first", Address: "127.0.0.1:1", DC: "a"},
		{ID: "u2", Pool: "second", Address: "127.0.0.1:2", DC: "a"},
	})
	o := NewOwner(ctx, OwnerConfig{Client: m, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now})
	o.Update(table, list.Usable(func(string) bool { return false }))
	return o
}

func ask(now time.Time, stage int, inputs []string) mpbatch.JobSpec {
	return mpbatch.JobSpec{
		Request: "r", Stage: stage, Count: 8, Key: "k", Inputs: inputs, ResultBytes: 60_000,
		SoftDeadline: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second),
	}
}

// A calm day: one piece in 500 is not made at first. Its inputs had been given up
// by then, 70 ms after their readers had begun, and the request made all its
// stages again.
func TestFailedPieceFindsItsInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &maker{failing: 1, dropped: map[string]bool{}}
		o := twoStages(ctx, t, m)
		first, err := o.Make(ctx, "first", ask(time.Now(), 0, nil))
		if err != nil {
			t.Fatal(err)
		}
		var inputs []string
		for _, r := range first {
			inputs = append(inputs, r.Handle)
		}
		second, err := o.Make(ctx, "second", ask(time.Now(), 1, inputs))
		if err != nil {
			t.Fatalf("second stage: %v", err)
		}
		if diff := cmp.Diff(8, len(second)); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
		o.Free("first", inputs)
		<-time.After(time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		if diff := cmp.Diff(8, len(m.dropped)); diff != "" {
			t.Errorf("results that were dropped (-want +got):\n%s", diff)
		}
	})
}

// Upstreams go dark in most days with trouble. The results of all others that were
// to be dropped in the same round counted as kept for four seconds too.
func TestDarkMakerDoesNotHoldUpTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := &maker{dark: "u0", dropped: map[string]bool{}}
		o := twoStages(ctx, t, m)
		// Two requests fill both upstreams.
		var handles []string
		for range 2 {
			made, err := o.Make(ctx, "first", ask(time.Now(), 0, nil))
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range made {
				handles = append(handles, r.Handle)
			}
		}
		o.Free("first", handles)
		begun := time.Now()
		if _, err := o.Make(ctx, "first", ask(begun, 0, nil)); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("the next request took %v, though one upstream has dropped its results", took)
		}
	})
}

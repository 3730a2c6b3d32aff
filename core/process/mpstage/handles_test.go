package mpstage

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// repeater simulates an upstream that answers its second call with a second copy of the first
// answer, and further ones as it should.
type repeater struct {
	fakeClient
	calls  int
	first  mpbatch.Outcome
	closed int
}

func (r *repeater) Run(ctx context.Context, now time.Time, c mpbatch.Call) mpbatch.Outcome {
	out := r.fakeClient.Run(ctx, now, c)
	switch r.calls++; r.calls {
	case 1:
		r.first = out
	case 2:
		return r.first
	}
	return out
}

func (r *repeater) CloseIdle() { r.closed++ }

// Guards against an upstream that sends a second copy of an answer, late, on a connection that is in
// use again: the next call's request would read results that were made for another one.
func TestAnswerThatIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &repeater{fakeClient: fakeClient{freed: map[string]bool{}}}
		table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "first", Batch: &fleetFirst.spec}}})
		if err != nil {
			t.Fatal(err)
		}
		o := NewOwner(ctx, OwnerConfig{Client: r, Quotas: noQuotas{}, Notices: mpnotice.New(), Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now})
		o.Update(table, usableRows([]mplist.Row{{ID: "u", Pool: "first", Address: "a:1", DC: "a"}}, ""))
		seen := map[string]string{}
		for i := range 3 {
			spec := mpbatch.JobSpec{Request: fmt.Sprint("r", i), Count: 2, Key: "k", SoftDeadline: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
			results, err := o.Make(ctx, whole("first"), spec)
			if err != nil {
				t.Fatal(err)
			}
			for _, result := range results {
				if of, ok := seen[result.Handle]; ok {
					t.Errorf("request %s got result %s of request %s", spec.Request, result.Handle, of)
				}
				seen[result.Handle] = spec.Request
			}
		}
		if diff := cmp.Diff(1, r.closed); diff != "" {
			t.Errorf("times that idle connections were closed (-want +got):\n%s", diff)
		}
	})
}

// Guards against results that are forgotten while a copy of their answer may still arrive, and against
// results that a failed call named and that are taken for repeated later.
func TestHandleLedger(t *testing.T) {
	now := time.Unix(1000, 0)
	items := func(handles ...string) []mpbatch.ItemOutcome {
		var out []mpbatch.ItemOutcome
		for _, h := range handles {
			out = append(out, mpbatch.ItemOutcome{Handle: h})
		}
		return out
	}
	l := newHandleLedger()
	for _, c := range []struct {
		name  string
		after time.Duration
		items []mpbatch.ItemOutcome
		want  bool
	}{
		{"new results", 0, items("a", "b"), true},
		{"one of them again", 0, items("c", "b"), false},
		{"the other one, which did not count", 0, items("c"), true},
		{"pieces that were not made", 0, items("", ""), true},
		{"an old one, later", handleRetention, items("a"), false},
		{"after the longest delay", handleRetention, items("d"), true},
		{"long after", 3 * handleRetention, items("e"), true},
		{"so late that no connection is open", 3 * handleRetention, items("a"), true},
	} {
		now = now.Add(c.after)
		if got := l.add(now, c.items); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

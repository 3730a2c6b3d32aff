package mprollout

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"mustardpost.org/core/common/mperror"
)

var (
	testNow   = time.UnixMilli(1_700_000_000_000)
	testOrder = Request{
		Pool: "p", Target: "v2", Duration: 12 * time.Second, Who: "ops", ID: "id2",
		Listed: []string{"v1", "v0", "v2", "v1", ""}, Share: 0.1, AckTime: 5 * time.Second,
	}
)

// newRollout returns the roll-out that testOrder starts at testNow.
func newRollout(t *testing.T) Rollout {
	t.Helper()
	r, _, err := Order(testNow, nil, testOrder)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func shifted(r Rollout, after time.Duration) Rollout {
	r.Phase, r.Share, r.ShiftedMs = PhaseShift, 1, r.StartedMs+after.Milliseconds()
	return r
}

func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

func TestOrder(t *testing.T) {
	r := newRollout(t)
	t.Run("new", func(t *testing.T) {
		want := Rollout{
			Pool: "p", Target: "v2", Base: []string{"v0", "v1"}, ID: "id2", Who: "ops", State: StateRunning, Phase: PhaseTrial,
			StartedMs: 1_700_000_000_000, ChangedMs: 1_700_000_000_000, DeadlineMs: 1_700_000_012_000, Share: 0.1,
		}
		if diff := cmp.Diff(want, r); diff != "" {
			t.Errorf("roll-out (-want +got):\n%s", diff)
		}
	})
	other := testOrder
	other.Target, other.ID = "v3", "id3"
	reverted := Abort(testNow.Add(time.Second), r, "ops")
	tests := []struct {
		name     string
		after    time.Duration
		current  Rollout
		change   func(*Request)
		repeated bool
		err      error
	}{
		{name: "same target while it runs is a repetition", after: 9 * time.Second, current: r, repeated: true},
		{name: "same order after a quick end is a repetition", after: 5 * time.Second, current: reverted, repeated: true},
		{name: "same target later is a new order", after: 7 * time.Second, current: reverted},
		{name: "other target while one runs", current: r, change: func(q *Request) { *q = other }, err: mperror.ErrConflict},
		{name: "other target after the end", after: time.Second, current: reverted, change: func(q *Request) { *q = other }},
		{name: "no pool", current: reverted, change: func(q *Request) { q.Pool = "" }, err: mperror.ErrInvalid},
		{name: "no target", current: r, change: func(q *Request) { q.Target = "" }, err: mperror.ErrInvalid},
		{name: "no duration", current: r, change: func(q *Request) { q.Duration = 0 }, err: mperror.ErrInvalid},
		{name: "too long", current: r, change: func(q *Request) { q.Duration = 48 * time.Hour }, err: mperror.ErrInvalid},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			req := testOrder
			req.ID = "another"
			if tc.change != nil {
				tc.change(&req)
			}
			got, repeated, err := Order(testNow.Add(tc.after), &tc.current, req)
			if tc.err != nil {
				checkError(t, err, tc.err)
				return
			}
			if err != nil || repeated != tc.repeated {
				t.Fatalf("repeated %v, error %v; want repeated %v", repeated, err, tc.repeated)
			}
			if !repeated {
				checkError(t, Advance(tc.current, got), nil)
			} else if diff := cmp.Diff(tc.current, got); diff != "" {
				t.Errorf("repeated order (-current +got):\n%s", diff)
			}
		})
	}
}

// Guards against a late proposal of a deposed leader that undoes a newer one.
func TestAdvance(t *testing.T) {
	r := newRollout(t)
	reverted := Abort(testNow.Add(time.Second), r, "ops")
	next := testOrder
	next.Target, next.ID = "v3", "id3"
	newer, _, err := Order(testNow.Add(2*time.Second), &reverted, next)
	if err != nil {
		t.Fatal(err)
	}
	share, otherDeadline, malformed := r, r, r
	share.Share = 0.05
	otherDeadline.DeadlineMs++
	malformed.Share = 2
	shift := shifted(r, 6*time.Second)
	complete := shift.end(testNow.Add(8*time.Second), StateComplete, "")
	tests := []struct {
		name      string
		old, next Rollout
		want      error
	}{
		{name: "first", next: r},
		{name: "another share", old: r, next: share},
		{name: "shift", old: share, next: shift},
		{name: "complete", old: shift, next: complete},
		{name: "reverted in the shift", old: shift, next: Abort(testNow.Add(7*time.Second), shift, "ops")},
		{name: "next order", old: reverted, next: newer},
		{name: "first that is over", next: reverted, want: mperror.ErrConflict},
		{name: "back to the trial", old: shift, next: share, want: mperror.ErrConflict},
		{name: "reverted after complete", old: complete, next: Abort(testNow.Add(9*time.Second), shift, "ops"), want: mperror.ErrConflict},
		{name: "running after reverted", old: reverted, next: share, want: mperror.ErrConflict},
		{name: "next order while one runs", old: r, next: newer, want: mperror.ErrConflict},
		{name: "share of an earlier order", old: Abort(testNow.Add(3*time.Second), newer, "ops"), next: share, want: mperror.ErrConflict},
		{name: "end of an earlier order", old: newer, next: complete, want: mperror.ErrConflict},
		{name: "another deadline", old: r, next: otherDeadline, want: mperror.ErrInvalid},
		{name: "malformed", old: r, next: malformed, want: mperror.ErrInvalid},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { checkError(t, Advance(tc.old, tc.next), tc.want) })
	}
}

func TestEncoding(t *testing.T) {
	t.Run("roll-out", func(t *testing.T) {
		want := shifted(newRollout(t), time.Second)
		data, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Rollout
		checkError(t, json.Unmarshal(data, &got), nil)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("roll-out (-want +got):\n%s", diff)
		}
	})
	t.Run("counts", func(t *testing.T) {
		c := NewRecorder(newRollout(t))
		c.Begin(testNow, "v1", "r", false).Record(Answered{Latency: time.Second})
		want := c.Report(testNow)
		data, err := msgpack.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got []Counts
		checkError(t, msgpack.Unmarshal(data, &got), nil)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
	})
}

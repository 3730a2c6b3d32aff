package mpproxy

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmemory"
)

// arrivingBody is a connection whose request arrives. It releases what it holds when it is ended.
type arrivingBody struct {
	*mpmemory.Connection
	ended bool
}

func (a *arrivingBody) End() {
	a.ended = true
	go a.Close()
}

// holdBody returns a connection that holds n bytes of a budget.
func holdBody(t *testing.T, b *mpmemory.Budget, n int64) *arrivingBody {
	t.Helper()
	a := &arrivingBody{}
	var err error
	if a.Connection, err = b.Open(time.Now(), "a", a); err != nil {
		t.Fatal(err)
	}
	if w, err := a.Begin(time.Now(), n); w != nil || err != nil {
		t.Fatal(w, err)
	}
	return a
}

// Guards against responses that take more memory than there is, against requests that end because of that
// although room comes in time, and against an upstream that is blamed for the wait.
func TestResponsesDrawOnTheBudget(t *testing.T) {
	const budget = 2 << 20
	long := reply{status: 200, body: strings.Repeat("0123456789", 100_000)}
	for name, c := range map[string]struct {
		// running is what requests that run hold, until runFor has passed.
		running int64
		runFor  time.Duration
		// arriving is what a request that arrives holds.
		arriving int64
		replies  []reply
		want     answer
		after    time.Duration
		ends     bool
	}{
		"room":                            {replies: []reply{long}, want: answer{Status: 200, Body: long.body, Sent: 1}},
		"a body that arrives is ended":    {arriving: 1 << 20, running: 512 << 10, runFor: time.Minute, replies: []reply{long}, want: answer{Status: 200, Body: long.body, Sent: 1}, ends: true},
		"a request that runs ends":        {running: budget, runFor: 700 * time.Millisecond, replies: []reply{long}, want: answer{Status: 200, Body: long.body, Sent: 1}, after: 700 * time.Millisecond},
		"no room until the deadline":      {running: budget, runFor: time.Minute, replies: []reply{long}, want: answer{Status: 504, Sent: 1}, after: 990 * time.Millisecond},
		"a response that never has room":  {replies: []reply{{status: 200, body: strings.Repeat("x", 3<<20)}, good}, want: answer{Status: 200, Body: "whole", Sent: 2}},
		"a failure, and then a long body": {running: 512 << 10, runFor: time.Minute, replies: []reply{{reset: true}, long}, want: answer{Status: 200, Body: long.body, Sent: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, c.replies...)
				b := mpmemory.New(mpmemory.Config{Bytes: budget})
				r.p.cfg.Memory = b
				if err := b.Acquire(t.Context(), 0, c.running); err != nil {
					t.Fatal(err)
				}
				released := time.AfterFunc(c.runFor, func() { b.Return(c.running) })
				a := holdBody(t, b, c.arriving)
				start := time.Now()
				checkAnswer(t, c.want, r.serve(t.Context(), request("/read/")))
				if took := time.Since(start); took != c.after {
					t.Errorf("answered after %v, want %v", took, c.after)
				}
				if a.ended != c.ends {
					t.Errorf("the arriving request was ended: %v, want %v", a.ended, c.ends)
				}
				if !strings.Contains(name, "failure") {
					checkNext(t, r, "u1")
				}
				a.Close()
				if released.Stop() {
					b.Return(c.running)
				}
				synctest.Wait()
				if diff := cmp.Diff(mpmemory.Stats{Limit: budget}, b.Stats()); diff != "" {
					t.Errorf("use after the response (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a response that waits for room after its caller has disconnected.
func TestDisconnectEndsTheWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, good)
		b := mpmemory.New(mpmemory.Config{Bytes: 1 << 20})
		r.p.cfg.Memory = b
		if err := b.Acquire(t.Context(), 0, 1<<20); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		checkAnswer(t, answer{Status: 200, Aborted: true, Sent: 1}, r.serve(ctx, request("/read/")))
		if took := time.Since(start); took != 100*time.Millisecond {
			t.Errorf("ended after %v", took)
		}
		b.Return(1 << 20)
		if diff := cmp.Diff(mpmemory.Stats{Limit: 1 << 20}, b.Stats()); diff != "" {
			t.Errorf("use after the request (-want +got):\n%s", diff)
		}
	})
}

package mppipeline

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpproposer"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

// harness is the runner of one VM with fake dependencies.
type harness struct {
	t      *testing.T
	state  *mpstate.Machine
	runner *Runner
	// script lists the replies to the attempts, in order.
	script     []reply
	mu         sync.Mutex
	calls      []mpupstream.Call
	outcomes   []mppermit.Outcome
	refusal    *mpattempt.Refusal
	hedgeDelay time.Duration
	// commitUncertain makes commits fail with an unknown result.
	commitUncertain bool
	hasLease        bool
}

// reply is the scripted reply of an upstream to an attempt.
type reply struct {
	texts []string
	body  string
	fail  *mpupstream.Failure
	delay time.Duration
}

var (
	errTruncated = &mpupstream.Failure{Sent: true, Err: mperror.Wrap(mperror.ErrBadResponse, "cut")}
	errCrash     = &mpupstream.Failure{Sent: true, Err: mperror.ErrConnectionLost}
	errNoRoute   = &mpupstream.Failure{Err: mperror.ErrConnectionLost}
)

func (s *harness) Acquire(_ context.Context, group string, _ mppermit.Request) (mpattempt.Permit, *mpattempt.Refusal) {
	upstream := map[string]string{"engine@north": "up", "ladder@north": "lad"}[group]
	return mpattempt.NewPermit(7, group, upstream, s.hedgeDelay), s.refusal
}

func (s *harness) Settle(_ mpattempt.Permit, settlement mppermit.Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, settlement.Outcome)
}

func (s *harness) nextReply(ctx context.Context, call mpupstream.Call) reply {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	r := reply{fail: errTruncated}
	if len(s.script) > 0 {
		r = s.script[0]
		s.script = s.script[1:]
	}
	s.mu.Unlock()
	select {
	case <-time.After(r.delay):
	case <-ctx.Done():
		return reply{fail: &mpupstream.Failure{Sent: true, Err: ctx.Err()}}
	}
	return r
}

func (s *harness) Do(ctx context.Context, call mpupstream.Call) (mpupstream.Response, *mpupstream.Failure) {
	r := s.nextReply(ctx, call)
	return mpupstream.Response{Status: http.StatusOK, Body: []byte(r.body)}, r.fail
}

func (s *harness) Stream(
	ctx context.Context, call mpupstream.Call, emit func(string) error,
) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure) {
	r := s.nextReply(ctx, call)
	for _, text := range r.texts {
		if err := emit(text); err != nil {
			return mpupstream.Response{}, mpupstream.Usage{}, &mpupstream.Failure{Sent: true, Err: err}
		}
	}
	return mpupstream.Response{Status: http.StatusOK}, mpupstream.Usage{}, r.fail
}

func (s *harness) Propose(_ context.Context, c mpstate.Command, _ time.Duration) (mpproposer.Reply, error) {
	if s.commitUncertain {
		return mpproposer.Reply{}, mperror.ErrOutcomeUnknown
	}
	data, err := mpstate.Encode(time.Now().UnixMilli(), c)
	if err != nil {
		return mpproposer.Reply{}, err
	}
	r, err := mpstate.DecodeResult(s.state.Apply(0, data))
	return mpproposer.Reply{Result: r, InForce: true}, err
}

func (s *harness) Current() *mpview.View { return s.state.View() }

func (s *harness) HasLease(time.Time) bool { return s.hasLease }

func (s *harness) AwaitLease(ctx context.Context, _ func() time.Time) error {
	if s.hasLease {
		return nil
	}
	<-ctx.Done()
	return mperror.ErrNoLease
}

var testCatalogue = mpcatalogue.Document{
	Classes: []mpcatalogue.Class{{Name: "live", Deadline: 2000}},
	DCs:     []mpcatalogue.DC{{Name: "north"}},
	Pools: []mpcatalogue.Pool{
		{Name: "engine", Kind: mpcatalogue.Generate, Limit: 4},
		{Name: "ladder", Kind: mpcatalogue.Plain, Limit: 4},
	},
	Upstreams: []mpcatalogue.Upstream{
		{Name: "up", Pool: "engine", DC: "north", Address: "127.0.0.1:1"},
		{Name: "lad", Pool: "ladder", DC: "north", Address: "127.0.0.1:2"},
	},
	Entries: []mpcatalogue.Entry{
		{Name: "rules", Owner: "p", Class: "live", Stages: []mpcatalogue.Stage{{Pool: "engine"}}},
		{Name: "result", Owner: "p", Class: "live", Stages: []mpcatalogue.Stage{{Pool: "ladder", Path: "/r", Once: true}}},
		{Name: "standings", Owner: "p", Class: "live", Stages: []mpcatalogue.Stage{{Pool: "ladder", Path: "/s"}}},
	},
}

func newHarness(t *testing.T, script ...reply) *harness {
	t.Helper()
	s := &harness{t: t, state: mpstate.New(), script: script, hasLease: true}
	op := mpview.Edit{Edit: mpcatalogue.Edit{Put: testCatalogue}}
	if _, err := s.Propose(context.Background(), newChange(op), 0); err != nil {
		t.Fatal(err)
	}
	s.runner = New(Config{
		VM: "vm1", DC: "north", Boot: 1, Permits: s, Upstreams: s, Proposer: s, Membership: s,
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now, RetryRatio: 0.1,
	})
	return s
}

func (s *harness) request(entry string) Request {
	e, ok := s.Current().Catalogue().Entry(entry)
	if !ok {
		s.t.Fatalf("no entry %s", entry)
	}
	return Request{
		ID: 1, View: s.Current(), Entry: e, Class: mpcatalogue.Class{Name: "live", Deadline: 2000},
		Account: mpcatalogue.Account{Name: "club"}, Input: Input{Input: "q"}, Fingerprint: 9,
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func (s *harness) nonIdempotentRequest(id uint64) Request {
	req := s.request("result")
	req.ID = id
	req.Key = &Key{Text: "k", IssuedMs: time.Now().UnixMilli()}
	return req
}

func checkKind(t *testing.T, out Outcome, want Kind, cause string) {
	t.Helper()
	if out.Kind != want || out.Cause != cause {
		t.Errorf("outcome %s (%s: %s), want %s (%s)", out.Kind, out.Cause, out.Text, want, cause)
	}
}

func (s *harness) checkCalls(want int) {
	s.t.Helper()
	if len(s.calls) != want {
		s.t.Errorf("%d attempts sent, want %d", len(s.calls), want)
	}
}

// stream runs a streamed entry and returns the text that its caller received.
func (s *harness) stream() (string, Outcome) {
	var got strings.Builder
	req := s.request("rules")
	req.Emit = func(text string) error {
		got.WriteString(text)
		return nil
	}
	out := s.runner.Run(context.Background(), req)
	return got.String(), out
}

func TestStream(t *testing.T) {
	cases := []struct {
		name   string
		script []reply
		want   string
		kind   Kind
		cause  string
		calls  int
	}{
		{"complete stream", []reply{{texts: []string{"a", "b"}}}, "ab", Answered, "", 1},
		{"interrupted stream is resumed", []reply{
			{texts: []string{"a", "b"}, fail: errTruncated}, {texts: []string{"a", "b", "c"}},
		}, "abc", Answered, "", 2},
		{"different chunk boundaries after resuming", []reply{
			{texts: []string{"ab", "c"}, fail: errTruncated}, {texts: []string{"a", "bcd", "e"}},
		}, "abcde", Answered, "", 2},
		{"three interruptions", []reply{
			{texts: []string{"a"}, fail: errTruncated}, {texts: []string{"a", "b"}, fail: errTruncated},
			{fail: errTruncated}, {texts: []string{"a", "b", "c"}},
		}, "abc", Answered, "", 4},
		{"different text after resuming is not emitted", []reply{
			{texts: []string{"a", "b"}, fail: errTruncated}, {texts: []string{"a", "x"}},
			{texts: []string{"z"}}, {texts: []string{"a", "y"}},
		}, "ab", Failed, "answer", 4},
		{"shorter text after resuming is not a complete answer", []reply{
			{texts: []string{"a", "b"}, fail: errTruncated}, {texts: []string{"a"}}, {texts: []string{"a"}}, {texts: []string{"a"}},
		}, "ab", Failed, "answer", 4},
		{"no answer", nil, "", Failed, "answer", 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, c.script...)
			got, out := s.stream()
			checkKind(t, out, c.kind, c.cause)
			s.checkCalls(c.calls)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNotRun(t *testing.T) {
	t.Run("permit refused", func(t *testing.T) {
		s := newHarness(t)
		s.refusal = &mpattempt.Refusal{RetryAfter: time.Second, Err: mperror.ErrFull}
		out := s.runner.Run(context.Background(), s.request("rules"))
		checkKind(t, out, NotRun, "full")
		if out.RetryAfter != time.Second {
			t.Errorf("retry in %s, want 1s", out.RetryAfter)
		}
		s.checkCalls(0)
	})
	t.Run("upstream unreachable", func(t *testing.T) {
		s := newHarness(t, reply{fail: errNoRoute}, reply{fail: errNoRoute}, reply{fail: errNoRoute}, reply{fail: errNoRoute})
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "crashed")
	})
	t.Run("sent attempt is never reported as not run", func(t *testing.T) {
		s := newHarness(t, reply{fail: errTruncated})
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), Failed, "answer")
	})
	t.Run("no lease until the deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(t)
			s.hasLease = false
			started := time.Now()
			checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "lease")
			if took := time.Since(started); took != 2*time.Second {
				t.Errorf("took %s, want the deadline of 2s", took)
			}
			s.checkCalls(0)
		})
	})
	t.Run("lease expires between permit and write", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newHarness(t, reply{texts: []string{"a"}})
			req := s.request("rules")
			st := &stage{run: &run{Runner: s.runner, req: req}}
			st.pool, _ = req.View.Catalogue().Pool("engine")
			s.hasLease = false
			if res := st.send(context.Background(), mpattempt.NewPermit(7, "engine@north", "up", 0)); !errors.Is(res.fail, mperror.ErrNoLease) {
				t.Errorf("send = %v, want ErrNoLease", res.fail)
			}
			s.checkCalls(0)
		})
	})
}

func TestNonIdempotent(t *testing.T) {
	t.Run("resend gets the stored answer", func(t *testing.T) {
		s := newHarness(t, reply{body: "won"})
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(1)), Answered, "")
		out := s.runner.Run(context.Background(), s.nonIdempotentRequest(2))
		checkKind(t, out, Answered, "")
		if !out.Repeated || string(out.Response.Body) != "won" {
			t.Errorf("resend got %q, repeated %t", out.Response.Body, out.Repeated)
		}
		s.checkCalls(1)
	})
	t.Run("lost answer is unknown and not run again", func(t *testing.T) {
		s := newHarness(t, reply{fail: errTruncated})
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(1)), Unknown, "answer")
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(2)), Unknown, "doubt")
		s.checkCalls(1)
	})
	t.Run("unreachable upstream is retried", func(t *testing.T) {
		s := newHarness(t, reply{fail: errNoRoute}, reply{body: "won"})
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(1)), Answered, "")
		s.checkCalls(2)
	})
	t.Run("refusal releases the key", func(t *testing.T) {
		s := newHarness(t, reply{body: "won"})
		s.refusal = &mpattempt.Refusal{Err: mperror.ErrFull}
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(1)), NotRun, "full")
		s.refusal = nil
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(2)), Answered, "")
	})
	t.Run("nothing is sent while the claim is uncertain", func(t *testing.T) {
		s := newHarness(t, reply{body: "won"})
		s.commitUncertain = true
		checkKind(t, s.runner.Run(context.Background(), s.nonIdempotentRequest(1)), Unknown, "claim")
		s.checkCalls(0)
	})
	t.Run("disconnected caller does not cancel the request", func(t *testing.T) {
		s := newHarness(t, reply{body: "won"})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		checkKind(t, s.runner.Run(ctx, s.nonIdempotentRequest(1)), Answered, "")
	})
	t.Run("claim running at another holder", func(t *testing.T) {
		s := newHarness(t)
		req := s.nonIdempotentRequest(1)
		other := mpstate.Claim{
			Ref: mpstate.ClaimRef{Account: "club", Key: "k"}, Fingerprint: 9, Issued: req.Key.IssuedMs,
			Holder: mpstate.Holder{VM: "vm2", Boot: 5, Request: 7},
		}
		if _, err := s.Propose(context.Background(), other, 0); err != nil {
			t.Fatal(err)
		}
		checkKind(t, s.runner.Run(context.Background(), req), Unknown, "running")
		s.checkCalls(0)
	})
}

// TestHedge checks that the first complete answer wins, that the other attempt is
// cancelled, and that the next stage receives the winner's answer.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, reply{delay: time.Second, body: "slow"}, reply{body: "fast"}, reply{body: "end"})
		s.hedgeDelay = 100 * time.Millisecond
		req := s.request("standings")
		req.Entry.Stages = []mpcatalogue.Stage{
			{Pool: "ladder", Path: "/a", Hedge: true}, {Pool: "ladder", Path: "/b"},
		}
		started := time.Now()
		out := s.runner.Run(context.Background(), req)
		checkKind(t, out, Answered, "")
		if took := time.Since(started); took != 100*time.Millisecond || string(out.Response.Body) != "end" {
			t.Errorf("answer %q after %s, want end after 100ms", out.Response.Body, took)
		}
		if got := string(s.calls[2].Body); got != "fast" {
			t.Errorf("the second stage got %q, want the winner's answer", got)
		}
		synctest.Wait()
		want := []mppermit.Outcome{mppermit.Done, mppermit.Cancelled, mppermit.Done}
		sort := cmp.Transformer("sorted", func(list []mppermit.Outcome) []mppermit.Outcome { return slices.Sorted(slices.Values(list)) })
		if diff := cmp.Diff(want, s.outcomes, sort); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
	})
}

func TestPoison(t *testing.T) {
	s := newHarness(t, reply{fail: errCrash}, reply{fail: errCrash}, reply{texts: []string{"a"}})
	checkKind(t, s.runner.Run(context.Background(), s.request("rules")), Failed, "poison")
	s.checkCalls(2)
	for range 3 {
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "poison")
	}
	s.checkCalls(2)
}

func TestOutageDetector(t *testing.T) {
	var o outageDetector
	now := time.Unix(100, 0)
	for i, want := range []bool{false, false, true, true} {
		if got := o.recordCrash(now, fmt.Sprintf("up%d", i)); got != want {
			t.Errorf("crash %d of different upstreams: outage %t, want %t", i+1, got, want)
		}
	}
	if o.recordCrash(now.Add(2*time.Second), "up9") {
		t.Error("crash after the outage window counts as part of the outage")
	}
}

func TestRetryBudget(t *testing.T) {
	s := newHarness(t)
	const requests = 400
	for range requests {
		s.runner.Run(context.Background(), s.request("rules"))
	}
	maxCalls := requests*11/10 + retryBudgetBurst
	if len(s.calls) > maxCalls {
		t.Errorf("%d attempts for %d failing stages, want at most %d", len(s.calls), requests, maxCalls)
	}
}

func TestCallerDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t, reply{delay: time.Second, texts: []string{"late"}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		started := time.Now()
		s.runner.Run(ctx, s.request("rules"))
		if took := time.Since(started); took != 100*time.Millisecond {
			t.Errorf("ran for %s, want 100ms: the caller had disconnected", took)
		}
		if diff := cmp.Diff([]mppermit.Outcome{mppermit.Cancelled}, s.outcomes); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
	})
}

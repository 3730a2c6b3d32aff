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

// setup is one VM's runner between fakes.
type setup struct {
	t       *testing.T
	machine *mpstate.Machine
	runner  *Runner
	// script answers attempts in their order.
	script []reply
	mu     sync.Mutex
	calls  []mpupstream.Call
	ends   []mppermit.End
	refuse *mpattempt.Refusal
	hedge  time.Duration
	// unsure makes commits fail without telling whether they took effect.
	unsure bool
	leased bool
}

// reply is what an upstream does with an attempt.
type reply struct {
	texts []string
	body  string
	fail  *mpupstream.Failure
	delay time.Duration
}

var (
	errCut     = &mpupstream.Failure{Sent: true, Err: mperror.Wrap(mperror.ErrAnswer, "cut")}
	errCrash   = &mpupstream.Failure{Sent: true, Err: mperror.ErrCrashed}
	errNoRoute = &mpupstream.Failure{Err: mperror.ErrCrashed}
)

func (s *setup) Acquire(_ context.Context, group string, _ mppermit.Ask) (mpattempt.Permit, *mpattempt.Refusal) {
	upstream := map[string]string{"engine@north": "up", "ladder@north": "lad"}[group]
	return mpattempt.NewPermit(7, group, upstream, s.hedge), s.refuse
}

func (s *setup) Settle(_ mpattempt.Permit, e mppermit.Settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, e.End)
}

func (s *setup) next(ctx context.Context, call mpupstream.Call) reply {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	r := reply{fail: errCut}
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

func (s *setup) Do(ctx context.Context, call mpupstream.Call) (mpupstream.Response, *mpupstream.Failure) {
	r := s.next(ctx, call)
	return mpupstream.Response{Status: http.StatusOK, Body: []byte(r.body)}, r.fail
}

func (s *setup) Stream(
	ctx context.Context, call mpupstream.Call, emit func(string) error,
) (mpupstream.Response, mpupstream.Usage, *mpupstream.Failure) {
	r := s.next(ctx, call)
	for _, text := range r.texts {
		if err := emit(text); err != nil {
			return mpupstream.Response{}, mpupstream.Usage{}, &mpupstream.Failure{Sent: true, Err: err}
		}
	}
	return mpupstream.Response{Status: http.StatusOK}, mpupstream.Usage{}, r.fail
}

func (s *setup) Propose(_ context.Context, c mpstate.Command, _ time.Duration) (mpproposer.Reply, error) {
	if s.unsure {
		return mpproposer.Reply{}, mperror.ErrUnknown
	}
	data, err := mpstate.Encode(time.Now().UnixMilli(), c)
	if err != nil {
		return mpproposer.Reply{}, err
	}
	r, err := mpstate.DecodeResult(s.machine.Apply(0, data))
	return mpproposer.Reply{Result: r, InForce: true}, err
}

func (s *setup) Current() *mpview.View { return s.machine.View() }

func (s *setup) HasLease(time.Time) bool { return s.leased }

func (s *setup) AwaitLease(ctx context.Context, _ func() time.Time) error {
	if s.leased {
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

func newSetup(t *testing.T, script ...reply) *setup {
	t.Helper()
	s := &setup{t: t, machine: mpstate.New(), script: script, leased: true}
	op := mpview.Edit{Edit: mpcatalogue.Edit{Put: testCatalogue}}
	if _, err := s.Propose(context.Background(), change(op), 0); err != nil {
		t.Fatal(err)
	}
	s.runner = New(Config{
		VM: "vm1", DC: "north", Boot: 1, Permits: s, Upstreams: s, Proposer: s, Membership: s,
		Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now, RetryRatio: 0.1,
	})
	return s
}

func (s *setup) request(entry string) Request {
	e, ok := s.Current().Catalogue().Entry(entry)
	if !ok {
		s.t.Fatalf("no entry %s", entry)
	}
	return Request{
		ID: 1, View: s.Current(), Entry: e, Class: mpcatalogue.Class{Name: "live", Deadline: 2000},
		Account: mpcatalogue.Account{Name: "club"}, Input: Input{Input: "q"}, Print: 9,
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func (s *setup) once(id uint64) Request {
	req := s.request("result")
	req.ID = id
	req.Key = &Key{Text: "k", Issued: time.Now().UnixMilli()}
	return req
}

func checkKind(t *testing.T, out Outcome, want Kind, cause string) {
	t.Helper()
	if out.Kind != want || out.Cause != cause {
		t.Errorf("outcome %s (%s: %s), want %s (%s)", out.Kind, out.Cause, out.Text, want, cause)
	}
}

func (s *setup) checkCalls(want int) {
	s.t.Helper()
	if len(s.calls) != want {
		s.t.Errorf("%d attempts sent, want %d", len(s.calls), want)
	}
}

// stream runs an entry and returns what its caller got.
func (s *setup) stream() (string, Outcome) {
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
		{"a whole one", []reply{{texts: []string{"a", "b"}}}, "ab", Answered, "", 1},
		{"one that breaks is resumed", []reply{
			{texts: []string{"a", "b"}, fail: errCut}, {texts: []string{"a", "b", "c"}},
		}, "abc", Answered, "", 2},
		{"pieces that are cut elsewhere", []reply{
			{texts: []string{"ab", "c"}, fail: errCut}, {texts: []string{"a", "bcd", "e"}},
		}, "abcde", Answered, "", 2},
		{"three breaks", []reply{
			{texts: []string{"a"}, fail: errCut}, {texts: []string{"a", "b"}, fail: errCut},
			{fail: errCut}, {texts: []string{"a", "b", "c"}},
		}, "abc", Answered, "", 4},
		{"another text after a break is not mixed in", []reply{
			{texts: []string{"a", "b"}, fail: errCut}, {texts: []string{"a", "x"}},
			{texts: []string{"z"}}, {texts: []string{"a", "y"}},
		}, "ab", Failed, "answer", 4},
		{"a shorter text after a break is not whole", []reply{
			{texts: []string{"a", "b"}, fail: errCut}, {texts: []string{"a"}}, {texts: []string{"a"}}, {texts: []string{"a"}},
		}, "ab", Failed, "answer", 4},
		{"no answer at all", nil, "", Failed, "answer", 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSetup(t, c.script...)
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
	t.Run("a refused permit", func(t *testing.T) {
		s := newSetup(t)
		s.refuse = &mpattempt.Refusal{Retry: time.Second, Err: mperror.ErrFull}
		out := s.runner.Run(context.Background(), s.request("rules"))
		checkKind(t, out, NotRun, "full")
		if out.Retry != time.Second {
			t.Errorf("retry in %s, want 1s", out.Retry)
		}
		s.checkCalls(0)
	})
	t.Run("an upstream that cannot be reached", func(t *testing.T) {
		s := newSetup(t, reply{fail: errNoRoute}, reply{fail: errNoRoute}, reply{fail: errNoRoute}, reply{fail: errNoRoute})
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "crashed")
	})
	t.Run("a sent attempt is never called not run", func(t *testing.T) {
		s := newSetup(t, reply{fail: errCut})
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), Failed, "answer")
	})
	t.Run("no lease until the deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSetup(t)
			s.leased = false
			started := time.Now()
			checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "lease")
			if took := time.Since(started); took != 2*time.Second {
				t.Errorf("took %s, want the deadline of 2s", took)
			}
			s.checkCalls(0)
		})
	})
	t.Run("the lease ends between permit and write", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSetup(t, reply{texts: []string{"a"}})
			req := s.request("rules")
			st := &stage{run: &run{Runner: s.runner, req: req}}
			st.pool, _ = req.View.Catalogue().Pool("engine")
			s.leased = false
			if res := st.send(context.Background(), mpattempt.NewPermit(7, "engine@north", "up", 0)); !errors.Is(res.fail, mperror.ErrNoLease) {
				t.Errorf("send = %v, want ErrNoLease", res.fail)
			}
			s.checkCalls(0)
		})
	})
}

func TestOnce(t *testing.T) {
	t.Run("a resend gets the recorded answer", func(t *testing.T) {
		s := newSetup(t, reply{body: "won"})
		checkKind(t, s.runner.Run(context.Background(), s.once(1)), Answered, "")
		out := s.runner.Run(context.Background(), s.once(2))
		checkKind(t, out, Answered, "")
		if !out.Repeated || string(out.Answer.Body) != "won" {
			t.Errorf("resend got %q, repeated %t", out.Answer.Body, out.Repeated)
		}
		s.checkCalls(1)
	})
	t.Run("a lost answer is unknown and is not run again", func(t *testing.T) {
		s := newSetup(t, reply{fail: errCut})
		checkKind(t, s.runner.Run(context.Background(), s.once(1)), Unknown, "answer")
		checkKind(t, s.runner.Run(context.Background(), s.once(2)), Unknown, "doubt")
		s.checkCalls(1)
	})
	t.Run("an upstream that cannot be reached is tried again", func(t *testing.T) {
		s := newSetup(t, reply{fail: errNoRoute}, reply{body: "won"})
		checkKind(t, s.runner.Run(context.Background(), s.once(1)), Answered, "")
		s.checkCalls(2)
	})
	t.Run("a refusal gives the key back", func(t *testing.T) {
		s := newSetup(t, reply{body: "won"})
		s.refuse = &mpattempt.Refusal{Err: mperror.ErrFull}
		checkKind(t, s.runner.Run(context.Background(), s.once(1)), NotRun, "full")
		s.refuse = nil
		checkKind(t, s.runner.Run(context.Background(), s.once(2)), Answered, "")
	})
	t.Run("nothing is sent while the claim is in doubt", func(t *testing.T) {
		s := newSetup(t, reply{body: "won"})
		s.unsure = true
		checkKind(t, s.runner.Run(context.Background(), s.once(1)), Unknown, "claim")
		s.checkCalls(0)
	})
	t.Run("a caller that goes away does not stop it", func(t *testing.T) {
		s := newSetup(t, reply{body: "won"})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		checkKind(t, s.runner.Run(ctx, s.once(1)), Answered, "")
	})
	t.Run("another holder's running claim", func(t *testing.T) {
		s := newSetup(t)
		req := s.once(1)
		other := mpstate.Claim{
			Ref: mpstate.Ref{Account: "club", Key: "k"}, Print: 9, Issued: req.Key.Issued,
			Holder: mpstate.Holder{VM: "vm2", Boot: 5, Request: 7},
		}
		if _, err := s.Propose(context.Background(), other, 0); err != nil {
			t.Fatal(err)
		}
		checkKind(t, s.runner.Run(context.Background(), req), Unknown, "running")
		s.checkCalls(0)
	})
}

// TestHedge checks that the first whole answer wins, that the loser is cancelled,
// and that the next stage gets the winner's answer.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, reply{delay: time.Second, body: "slow"}, reply{body: "fast"}, reply{body: "end"})
		s.hedge = 100 * time.Millisecond
		req := s.request("standings")
		req.Entry.Stages = []mpcatalogue.Stage{
			{Pool: "ladder", Path: "/a", Hedge: true}, {Pool: "ladder", Path: "/b"},
		}
		started := time.Now()
		out := s.runner.Run(context.Background(), req)
		checkKind(t, out, Answered, "")
		if took := time.Since(started); took != 100*time.Millisecond || string(out.Answer.Body) != "end" {
			t.Errorf("answer %q after %s, want end after 100ms", out.Answer.Body, took)
		}
		if got := string(s.calls[2].Body); got != "fast" {
			t.Errorf("the second stage got %q, want the winner's answer", got)
		}
		synctest.Wait()
		want := []mppermit.End{mppermit.Done, mppermit.Cancelled, mppermit.Done}
		sort := cmp.Transformer("sorted", func(list []mppermit.End) []mppermit.End { return slices.Sorted(slices.Values(list)) })
		if diff := cmp.Diff(want, s.ends, sort); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
	})
}

func TestPoison(t *testing.T) {
	s := newSetup(t, reply{fail: errCrash}, reply{fail: errCrash}, reply{texts: []string{"a"}})
	checkKind(t, s.runner.Run(context.Background(), s.request("rules")), Failed, "poison")
	s.checkCalls(2)
	for range 3 {
		checkKind(t, s.runner.Run(context.Background(), s.request("rules")), NotRun, "poison")
	}
	s.checkCalls(2)
}

func TestOutageIsNoPoison(t *testing.T) {
	var o outage
	now := time.Unix(100, 0)
	for i, want := range []bool{false, false, true, true} {
		if got := o.note(now, fmt.Sprintf("up%d", i)); got != want {
			t.Errorf("crash %d of other upstreams: outage %t, want %t", i+1, got, want)
		}
	}
	if o.note(now.Add(2*time.Second), "up9") {
		t.Error("a later crash still counts as the outage")
	}
}

func TestRetryBudget(t *testing.T) {
	s := newSetup(t)
	const requests = 400
	for range requests {
		s.runner.Run(context.Background(), s.request("rules"))
	}
	most := requests*11/10 + budgetBurst
	if len(s.calls) > most {
		t.Errorf("%d attempts for %d stages that all fail, want at most %d", len(s.calls), requests, most)
	}
}

func TestGoneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSetup(t, reply{delay: time.Second, texts: []string{"late"}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		started := time.Now()
		s.runner.Run(ctx, s.request("rules"))
		if took := time.Since(started); took != 100*time.Millisecond {
			t.Errorf("ran on for %s after its caller had gone", took)
		}
		if diff := cmp.Diff([]mppermit.End{mppermit.Cancelled}, s.ends); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
	})
}

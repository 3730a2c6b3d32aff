package mpproxy

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mproute"
)

// loggedHarness is a harness that captures its log.
type loggedHarness struct {
	*harness
	log *bytes.Buffer
}

func newLoggedHarness(t *testing.T, vm string, replies ...reply) loggedHarness {
	l := loggedHarness{newHarness(t, replies...), &bytes.Buffer{}}
	cfg := l.p.cfg
	cfg.Logger = mplog.New(l.log, "info", "vm", vm)
	l.p = New(cfg)
	return l
}

// explain returns the log lines about request id, each as VM, message and the fields
// that give the cause.
func explain(t *testing.T, id string, harnesses ...loggedHarness) []string {
	t.Helper()
	var all bytes.Buffer
	for _, r := range harnesses {
		all.Write(r.log.Bytes())
	}
	s, err := mplog.Explain(id, &all)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, l := range s.Lines {
		words := []string{l.VM, l.Msg}
		for _, key := range []string{"cause", "status", "upstream", "ended", "why", "reason", "feature", "became", "plan"} {
			if v := l.Get(key); v != "" {
				words = append(words, key+"="+v)
			}
		}
		out = append(out, strings.Join(words, " "))
	}
	return out
}

func checkExplained(t *testing.T, want, got []string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation from the logs (-want +got):\n%s", diff)
	}
}

// The logs alone must explain the three kinds of failed requests in
// docs/OPERATIONS.md, given the ID of the request.
func TestFailuresAreExplained(t *testing.T) {
	late := mperror.Wrap(&mpbatch.LateError{Stage: 1, Wait: 1700 * time.Millisecond}, "owner")
	staged := func(id string) *Request {
		q := request("/once/")
		q.ID, q.Pieces = id, []int{1, 1}
		return q
	}
	t.Run("refused under overload", func(t *testing.T) {
		r := newLoggedHarness(t, "a")
		r.executor.errs = []error{late}
		r.serve(t.Context(), staged("r7"))
		checkExplained(t, []string{
			"a request status=503 reason=stages late: owner: stage 1: expected to take 1.7s: " + mperror.ErrDeadline.Error() + " plan=2",
		}, explain(t, "r7", r))
	})
	t.Run("refused among many under overload", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newLoggedHarness(t, "a")
			for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"} {
				r.executor.errs = []error{late}
				r.serve(t.Context(), staged(id))
			}
			<-time.After(2 * time.Second)
			synctest.Wait()
			checkExplained(t, []string{"a requests not served cause=stages late"}, explain(t, "r7", r))
		})
	})
	t.Run("cut off when its upstream fails", func(t *testing.T) {
		r := newLoggedHarness(t, "a", reply{status: 200, body: "id: 1\ndata: a\n\n", truncate: true}, reply{reset: true})
		q := request("/tale/")
		q.ID = "r8"
		r.serve(t.Context(), q)
		checkExplained(t, []string{
			"a attempt upstream=" + r.upstreamOf(0) + " ended=broken why=stream broke off: unexpected EOF",
			"a attempt upstream=" + r.upstreamOf(1) + " ended=broken why=send: connection reset",
			"a request status=-1 upstream=" + r.upstreamOf(1) + " reason=send: connection reset plan=2",
		}, explain(t, "r8", r))
		if text := r.log.String(); strings.Count(text, `msg="upstream avoided"`) != 2 {
			t.Errorf("log does not report each failed upstream as avoided:\n%s", text)
		}
	})
	t.Run("outdated configuration at one VM", func(t *testing.T) {
		fresh, stale := newLoggedHarness(t, "a", good), newLoggedHarness(t, "b")
		state := stale.p.cfg.State.(staticState)
		state.table = withoutRoutes(t)
		stale.p.cfg.State = state
		for id, r := range map[string]loggedHarness{"r9": stale, "r10": fresh} {
			q := request("/read/x")
			q.ID = id
			r.serve(t.Context(), q)
		}
		checkExplained(t, []string{"b request status=404 reason=no route plan=1"}, explain(t, "r9", fresh, stale))
		checkExplained(t, []string{"a request status=200 upstream=" + fresh.upstreamOf(0) + " plan=2"}, explain(t, "r10", fresh, stale))
	})
}

// upstreamOf returns the ID of the upstream to which attempt i was sent.
func (l loggedHarness) upstreamOf(i int) string {
	return map[string]string{"10.0.0.1:80": "u1", "10.0.0.2:80": "u2"}[l.transport.requests[i].URL.Host]
}

// withoutRoutes returns an older plan that lacks the harness's routes.
func withoutRoutes(t *testing.T) *mproute.Table {
	t.Helper()
	table, err := mproute.New(mproute.Spec{Version: 1, Accounts: []mproute.AccountSpec{{Name: "ana", Keys: []string{"key"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

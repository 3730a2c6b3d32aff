package mppass

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

// logged is a rig whose log is kept.
type logged struct {
	*rig
	log *bytes.Buffer
}

func newLogged(t *testing.T, vm string, replies ...reply) logged {
	l := logged{newRig(t, replies...), &bytes.Buffer{}}
	cfg := l.p.cfg
	cfg.Logger = mplog.New(l.log, "info", "vm", vm)
	l.p = New(cfg)
	return l
}

// explain returns the lines that the logs tell about request id, as VM, message and
// the fields that name the cause.
func explain(t *testing.T, id string, rigs ...logged) []string {
	t.Helper()
	var all bytes.Buffer
	for _, r := range rigs {
		all.Write(r.log.Bytes())
	}
	s, err := mplog.Explain(id, &all)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, l := range s.Lines {
		words := []string{l.VM, l.Msg}
		for _, key := range []string{"cause", "status", "upstream", "ended", "why", "reason", "plan"} {
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
		t.Errorf("what the logs tell (-want +got):\n%s", diff)
	}
}

// The three kinds of failed requests of docs/OPERATIONS.md, each explained from its
// id and the logs alone.
func TestFailuresAreExplained(t *testing.T) {
	late := mperror.Wrap(&mpbatch.LateError{Stage: 1, Wait: 1700 * time.Millisecond}, "owner")
	staged := func(id string) *Request {
		q := request("/once/")
		q.ID, q.Pieces = id, []int{1, 1}
		return q
	}
	t.Run("refused under overload", func(t *testing.T) {
		r := newLogged(t, "a")
		r.maker.errs = []error{late}
		r.serve(t.Context(), staged("r7"))
		checkExplained(t, []string{
			"a request status=503 reason=stages late: owner: stage 1: expected to take 1.7s: " + mperror.ErrLate.Error() + " plan=2",
		}, explain(t, "r7", r))
	})
	t.Run("refused among many under overload", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newLogged(t, "a")
			for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"} {
				r.maker.errs = []error{late}
				r.serve(t.Context(), staged(id))
			}
			<-time.After(2 * time.Second)
			synctest.Wait()
			checkExplained(t, []string{"a requests not served cause=stages late"}, explain(t, "r7", r))
		})
	})
	t.Run("broken off with its upstream", func(t *testing.T) {
		r := newLogged(t, "a", reply{status: 200, body: "id: 1\ndata: a\n\n", breaks: true}, reply{reset: true})
		q := request("/tale/")
		q.ID = "r8"
		r.serve(t.Context(), q)
		checkExplained(t, []string{
			"a attempt upstream=" + r.asked(0) + " ended=broken why=stream broke off: unexpected EOF",
			"a attempt upstream=" + r.asked(1) + " ended=broken why=send: connection reset",
			"a request status=-1 upstream=" + r.asked(1) + " reason=send: connection reset plan=2",
		}, explain(t, "r8", r))
		if text := r.log.String(); strings.Count(text, `msg="upstream avoided"`) != 2 {
			t.Errorf("upstreams that failed are not told:\n%s", text)
		}
	})
	t.Run("late configuration at one VM", func(t *testing.T) {
		fresh, stale := newLogged(t, "a", good), newLogged(t, "b")
		state := stale.p.cfg.State.(fixed)
		state.table = withoutRoutes(t)
		stale.p.cfg.State = state
		for id, r := range map[string]logged{"r9": stale, "r10": fresh} {
			q := request("/read/x")
			q.ID = id
			r.serve(t.Context(), q)
		}
		checkExplained(t, []string{"b request status=404 reason=no route plan=1"}, explain(t, "r9", fresh, stale))
		checkExplained(t, []string{"a request status=200 upstream=" + fresh.asked(0) + " plan=2"}, explain(t, "r10", fresh, stale))
	})
}

// asked returns the id of the upstream that got attempt i.
func (l logged) asked(i int) string {
	return map[string]string{"10.0.0.1:80": "u1", "10.0.0.2:80": "u2"}[l.ups.seen[i].URL.Host]
}

// withoutRoutes returns an older plan, in which the rig's routes are missing.
func withoutRoutes(t *testing.T) *mproute.Table {
	t.Helper()
	table, err := mproute.New(mproute.Spec{Version: 1, Accounts: []mproute.AccountSpec{{Name: "ana", Keys: []string{"key"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

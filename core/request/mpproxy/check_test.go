package mpproxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/version/mplist"
)

// Guards against a VM that refuses routes and keys for good by a plan that may have been replaced, or
// that goes on with a plan which it knows to be replaced: it had no lease, and answered 404 and 401 as
// an older plan says. What its plan allows is served while nobody confirms the plan.
func TestAnswersByAPlanThatIsNotInForce(t *testing.T) {
	type answer struct {
		Status int
		// Comes is set if the answer tells when to come back.
		Comes bool
	}
	served := answer{Status: http.StatusOK}
	for name, c := range map[string]struct {
		state                     mpplan.State
		good, noRoute, unknownKey answer
	}{
		"in force":    {mpplan.InForce, served, answer{404, false}, answer{401, false}},
		"unconfirmed": {mpplan.Unconfirmed, served, answer{503, true}, answer{503, true}},
		"replaced":    {mpplan.Replaced, answer{503, true}, answer{503, true}, answer{503, true}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, q := range []struct {
				path, key string
				want      answer
			}{{"/read/", "key", c.good}, {"/none/", "key", c.noRoute}, {"/read/", "none", c.unknownKey}} {
				h := newHarness(t, good)
				h.p.cfg.PlanState = func(time.Time) mpplan.State { return c.state }
				r := request(q.path)
				r.APIKey = q.key
				w := httptest.NewRecorder()
				h.p.Serve(t.Context(), w, r)
				if diff := cmp.Diff(q.want, answer{w.Code, w.Header().Get("Retry-After") != ""}); diff != "" {
					t.Errorf("answer to %s with key %q (-want +got):\n%s", q.path, q.key, diff)
				}
			}
		})
	}
}

// Guards against a check before the body is read that decides otherwise than Serve does later, and
// against a refusal that is counted twice or not at all.
func TestCheckAnswersAsServe(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		noPlan    bool
		account   string
		status    int
	}{
		"a valid key":         {path: "/read/", key: "key", account: "ana"},
		"a public route":      {path: "/open/", key: "none"},
		"an unknown key":      {path: "/read/", key: "none", status: 401},
		"no key":              {path: "/read/", status: 401},
		"no route":            {path: "/none/", key: "key", status: 404},
		"no plan":             {path: "/read/", key: "key", noPlan: true, status: 503},
		"no plan and no path": {noPlan: true, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			q := request(c.path)
			q.APIKey = c.key
			newProxy := func() *harness {
				r := newHarness(t, good)
				if c.noPlan {
					r.p.cfg.State = staticState{list: mplist.New(r.p.cfg.Clock(), nil)}
				}
				return r
			}
			checked, served := newProxy(), newProxy()
			account, refuse := checked.p.Check(q)
			if account != c.account || (refuse != nil) != (c.status != 0) {
				t.Fatalf("account %q, refused: %v", account, refuse != nil)
			}
			if refuse == nil {
				return
			}
			early, late := httptest.NewRecorder(), httptest.NewRecorder()
			refuse(early)
			served.p.Serve(t.Context(), late, q)
			if diff := cmp.Diff(late.Result().Header, early.Result().Header); diff != "" || early.Code != c.status || late.Code != c.status || early.Body.String() != late.Body.String() {
				t.Errorf("answered with %d and %d, headers differ (-Serve +Check):\n%s", late.Code, early.Code, diff)
			}
			for _, metric := range []string{"request.count", "answers." + strconv.Itoa(c.status)} {
				if got := checked.p.cfg.Metrics.Count(metric); got != 1 {
					t.Errorf("%s is %d, want 1", metric, got)
				}
			}
		})
	}
}

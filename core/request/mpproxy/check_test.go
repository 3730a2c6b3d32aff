package mpproxy

import (
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mplist"
)

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

package mpproxy

import (
	"testing"
)

// Guards against requests that are refused because connects that failed have used up the retry
// budget, although nothing of them reached an upstream.
func TestFailedConnectsLeaveTheRetryBudget(t *testing.T) {
	refused, reset, failed := reply{refuse: true}, reply{reset: true}, reply{status: 500}
	for name, c := range map[string]struct {
		tokens  float64
		replies []reply
		want    answer
		// left is whether a token is left for another request.
		left bool
	}{
		"connects only":                  {0, []reply{refused, refused, refused, good}, answer{Status: 200, Body: "whole", Sent: 4}, false},
		"a repeat takes one":             {1, []reply{reset, good}, answer{Status: 200, Body: "whole", Sent: 2}, false},
		"a repeat and a connect":         {1, []reply{reset, refused, good}, answer{Status: 200, Body: "whole", Sent: 3}, false},
		"a repeat that does not connect": {1, []reply{failed, refused, refused, refused, refused}, answer{Status: 502, Sent: 4}, true},
		"no token for a repeat":          {0, []reply{reset, good}, answer{Status: 502, Sent: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, c.replies...)
			r.setVersions("v1", "v1", "v1", "v1")
			r.setBudget(c.tokens)
			checkAnswer(t, c.want, r.serve(t.Context(), request("/read/")))
			if got := r.p.cfg.Budget("app").TryWithdraw(); got != c.left {
				t.Errorf("a token is left: %v, want %v", got, c.left)
			}
		})
	}
}

package mpproxy

import (
	"net/http"
	"testing"
)

// Guards against an upstream that writes an earlier refusal once more on a reused connection: the
// caller is told that its request has not run, although the upstream runs it.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(of string, reused bool) reply {
		h := http.Header{"Unrun": {"1"}}
		if of != "" {
			h.Set("For", of)
		}
		return reply{status: 503, header: h, reused: reused}
	}
	for name, c := range map[string]struct {
		path    string
		replies []reply
		want    answer
	}{
		"of this request":                            {"/read/", []reply{refusal("r1", true), refusal("r1", true)}, answer{Status: 503, Sent: 2}},
		"without an ID, new connections":             {"/read/", []reply{refusal("", false), refusal("", false)}, answer{Status: 503, Sent: 2}},
		"of an earlier request":                      {"/read/", []reply{refusal("r0", true), refusal("r1", true)}, answer{Status: 502, Sent: 2}},
		"without an ID":                              {"/read/", []reply{refusal("", true), refusal("r1", true)}, answer{Status: 502, Sent: 2}},
		"without an ID, of a stream":                 {"/tale/", []reply{refusal("", true), refusal("", true)}, answer{Status: 502, Sent: 2}},
		"without an ID, a request that runs once":    {"/post/", []reply{refusal("", true), good}, answer{Status: 502, Sent: 1}},
		"a success without an ID":                    {"/read/", []reply{{status: 200, body: "other", reused: true}, good}, answer{Status: 200, Body: "whole", Sent: 2}},
		"a rate-limited request without an ID, once": {"/read/", []reply{{status: 429, header: http.Header{"Unrun": {"1"}}, reused: true}, good}, answer{Status: 200, Body: "whole", Sent: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			checkAnswer(t, c.want, newHarness(t, c.replies...).serve(t.Context(), request(c.path)))
		})
	}
}

package mpmetric

import (
	"strings"
	"testing"
	"time"
)

func TestText(t *testing.T) {
	s := New()
	s.Add("answers.503", 2)
	s.ObserveDuration("request", 300*time.Millisecond)
	s.Gauge("lease", func() any { return true })
	var out strings.Builder
	s.WritePrometheus(&out)
	for _, want := range []string{
		"mustardpost_answers_503_total 2", "mustardpost_request_seconds_count 1", "mustardpost_request_seconds_sum 0.3", "mustardpost_lease 1",
	} {
		if !strings.Contains(out.String(), want+"\n") {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if got := s.Count("answers.503"); got != 2 {
		t.Errorf("count %d, want 2", got)
	}
}

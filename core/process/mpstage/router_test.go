package mpstage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against stale backlogs: a report is out of date after a few batches. An average
// over ten requests took seconds to follow a burst.
func TestBacklogExpires(t *testing.T) {
	r := NewRouter(RouterConfig{VM: "a"})
	now := time.Unix(1000, 0)
	r.recordBacklog(now, "p", 1, 1200*time.Millisecond)
	for name, c := range map[string]struct {
		pool     string
		priority int
		age      time.Duration
		want     time.Duration
	}{
		"fresh report":      {"p", 1, 0, 1200 * time.Millisecond},
		"shrinks with time": {"p", 1, 500 * time.Millisecond, 700 * time.Millisecond},
		"reaches zero":      {"p", 1, 1300 * time.Millisecond, 0},
		"another priority":  {"p", 0, 0, 0},
		"another pool":      {"q", 1, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, r.Backlog(now.Add(c.age), c.pool, c.priority)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
		})
	}
	r.recordBacklog(now, "p", 1, time.Minute)
	if got := r.Backlog(now.Add(2*time.Second), "p", 1); got != 0 {
		t.Errorf("a backlog reported 2 s ago still counts as %v", got)
	}
}

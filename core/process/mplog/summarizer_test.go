package mplog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/go-cmp/cmp"
)

// simulateOverload returns the log of a VM that refuses rate requests per second.
func simulateOverload(t *testing.T, rate int, duration time.Duration) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		logger := New(&out, "info", "vm", "a")
		s := NewSummarizer(logger, MsgRequestsNotServed)
		for i := range rate * int(duration/time.Second) {
			id := fmt.Sprintf("%016x", i)
			if s.ShouldLog("stages late", id) {
				_ = level.Info(logger).Log("msg", "request", "id", id, "status", 503, "reason", "stages late")
			}
			<-time.After(time.Second / time.Duration(rate))
		}
		<-time.After(2 * summaryInterval)
		synctest.Wait()
	})
	return out.String()
}

// TestSummarizer guards against a log volume that grows with the load: under overload, each
// refusal wrote two lines, one at its VM and one at the owner of the stage.
func TestSummarizer(t *testing.T) {
	t.Run("the log volume does not grow with the load", func(t *testing.T) {
		for _, rate := range []int{100, 1000} {
			text := simulateOverload(t, rate, 4*time.Second)
			if lines := strings.Count(text, "\n"); lines > 5*(maxFullLines+1) {
				t.Errorf("%d lines at %d refusals/s, want at most %d", lines, rate, 5*(maxFullLines+1))
			}
			if len(text) > 4*3000 {
				t.Errorf("%d bytes at %d refusals/s, want at most 3000 bytes/s", len(text), rate)
			}
		}
	})
	t.Run("each request is counted once", func(t *testing.T) {
		text := simulateOverload(t, 50, 3*time.Second)
		counted := strings.Count(text, "msg=request ")
		if err := readLines(strings.NewReader(text), func(l Line) {
			n := 0
			if _, err := fmt.Sscan(l.Get("requests"), &n); err == nil {
				counted += n
			}
		}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(150, counted); diff != "" {
			t.Errorf("requests (-want +got):\n%s", diff)
		}
	})
	t.Run("a request in a summary line can be explained", func(t *testing.T) {
		timeline, err := Explain(fmt.Sprintf("%016x", 30), strings.NewReader(simulateOverload(t, 50, 2*time.Second)))
		if err != nil {
			t.Fatal(err)
		}
		checkTimeline(t, timeline, []string{"a requests not served"}, []string{})
		if diff := cmp.Diff("stages late", timeline.Lines[0].Get("cause")); diff != "" {
			t.Errorf("cause (-want +got):\n%s", diff)
		}
	})
	t.Run("few refusals are logged in full", func(t *testing.T) {
		text := simulateOverload(t, 3, 3*time.Second)
		if strings.Contains(text, MsgRequestsNotServed) || strings.Count(text, "msg=request ") != 9 {
			t.Errorf("got\n%s", text)
		}
	})
}

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

// refuse plays an overload in which one VM refuses rate requests a second.
func refuse(t *testing.T, rate int, length time.Duration) string {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		logger := New(&out, "info", "vm", "a")
		s := NewSummarizer(logger, MsgRequestsNotServed)
		for i := range rate * int(length/time.Second) {
			id := fmt.Sprintf("%016x", i)
			if s.ShouldLog("stages late", id) {
				_ = level.Info(logger).Log("msg", "request", "id", id, "status", 503, "reason", "stages late")
			}
			<-time.After(time.Second / time.Duration(rate))
		}
		<-time.After(2 * sumEvery)
		synctest.Wait()
	})
	return out.String()
}

// Under overload each refusal wrote two lines of its own, at its VM and at the owner
// of the stage.
func TestRefusalsAreSummed(t *testing.T) {
	t.Run("the volume does not grow with the load", func(t *testing.T) {
		for _, rate := range []int{100, 1000} {
			text := refuse(t, rate, 4*time.Second)
			if lines := strings.Count(text, "\n"); lines > 5*(fullLines+1) {
				t.Errorf("%d lines at %d a second, want %d at most", lines, rate, 5*(fullLines+1))
			}
			if len(text) > 4*3000 {
				t.Errorf("%d bytes at %d a second, want 3000 a second at most", len(text), rate)
			}
		}
	})
	t.Run("each request is counted once", func(t *testing.T) {
		text := refuse(t, 50, 3*time.Second)
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
	t.Run("a request in a sum can be explained", func(t *testing.T) {
		s, err := Explain(fmt.Sprintf("%016x", 30), strings.NewReader(refuse(t, 50, 2*time.Second)))
		if err != nil {
			t.Fatal(err)
		}
		checkStory(t, s, []string{"a requests not served"}, []string{})
		if diff := cmp.Diff("stages late", s.Lines[0].Get("cause")); diff != "" {
			t.Errorf("cause (-want +got):\n%s", diff)
		}
	})
	t.Run("few refusals are told in full", func(t *testing.T) {
		text := refuse(t, 3, 3*time.Second)
		if strings.Contains(text, MsgRequestsNotServed) || strings.Count(text, "msg=request ") != 9 {
			t.Errorf("got\n%s", text)
		}
	})
}

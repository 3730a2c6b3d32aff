package mpnotice

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// answer is an answer that arrives after some time, to a request sent before it.
type answer struct {
	after, sentBefore time.Duration
	notice            Notice
}

func checkWait(t *testing.T, answers []answer, at, want time.Duration) {
	t.Helper()
	begin := time.Unix(1_000, 0)
	b := New()
	for _, a := range answers {
		now := begin.Add(a.after)
		b.Observe(now, now.Add(-a.sentBefore), "u", a.notice)
	}
	if diff := cmp.Diff(want, b.Wait(begin.Add(at), "u")); diff != "" {
		t.Errorf("wait (-want +got):\n%s", diff)
	}
	if got := b.Wait(begin.Add(at), "other"); got != 0 {
		t.Errorf("another upstream waits %v", got)
	}
	b.Prune(func(string) bool { return false })
	if got := b.Wait(begin.Add(at), "u"); got != 0 {
		t.Errorf("an upstream that is not listed waits %v", got)
	}
}

// Guards against requests to an upstream that has said it leaves, also if an older answer
// arrives late.
func TestLeaving(t *testing.T) {
	const second = time.Second
	leaving := Notice{IsLeaving: true}
	for name, c := range map[string]struct {
		answers  []answer
		at, want time.Duration
	}{
		"nothing was said":             {[]answer{{0, 0, Notice{}}}, second, 0},
		"it leaves":                    {[]answer{{0, second, leaving}}, second, leavingDuration - second},
		"it has left long ago":         {[]answer{{0, second, leaving}}, leavingDuration, 0},
		"an older answer arrives late": {[]answer{{second, second, leaving}, {2 * second, 2 * second, Notice{}}}, 2 * second, leavingDuration - second},
		"a newer answer withdraws it":  {[]answer{{0, second, leaving}, {2 * second, second, Notice{}}}, 2 * second, 0},
	} {
		t.Run(name, func(t *testing.T) { checkWait(t, c.answers, c.at, c.want) })
	}
}

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
	leaving := Notice{IsValid: true, IsLeaving: true}
	for name, c := range map[string]struct {
		answers  []answer
		at, want time.Duration
	}{
		"nothing was said":             {[]answer{{0, 0, Notice{IsValid: true}}}, second, 0},
		"it leaves":                    {[]answer{{0, second, leaving}}, second, leavingDuration - second},
		"it has left long ago":         {[]answer{{0, second, leaving}}, leavingDuration, 0},
		"an older answer arrives late": {[]answer{{second, second, leaving}, {2 * second, 2 * second, Notice{IsValid: true}}}, 2 * second, leavingDuration - second},
		"no answer withdraws nothing":  {[]answer{{0, second, leaving}, {2 * second, second, Notice{}}}, 2 * second, leavingDuration - 2*second},
		"a newer answer withdraws it":  {[]answer{{0, second, leaving}, {2 * second, second, Notice{IsValid: true}}}, 2 * second, 0},
	} {
		t.Run(name, func(t *testing.T) { checkWait(t, c.answers, c.at, c.want) })
	}
}

// Guards against requests to an upstream that wants none from this VM for a while, and against a
// pause that an older answer shortens.
func TestPause(t *testing.T) {
	const second = time.Second
	pause := func(d time.Duration) Notice { return Notice{IsValid: true, Pause: d} }
	for name, c := range map[string]struct {
		answers  []answer
		at, want time.Duration
	}{
		"a pause":                        {[]answer{{0, second, pause(3 * second)}}, second, 2 * second},
		"a pause that has ended":         {[]answer{{0, second, pause(3 * second)}}, 3 * second, 0},
		"a success does not end it":      {[]answer{{0, second, pause(3 * second)}, {second, second / 2, Notice{IsValid: true}}}, second, 2 * second},
		"a newer one replaces it":        {[]answer{{0, second, pause(3 * second)}, {second, second / 2, pause(second)}}, second, second},
		"an older one that arrives late": {[]answer{{0, second, pause(3 * second)}, {second, 3 * second, pause(second)}}, second, 2 * second},
		"it leaves too":                  {[]answer{{0, second, Notice{IsValid: true, IsLeaving: true, Pause: second}}}, second, leavingDuration - second},
	} {
		t.Run(name, func(t *testing.T) { checkWait(t, c.answers, c.at, c.want) })
	}
}

// Guards against a field that makes no sense and stops all requests, or none.
func TestParsePause(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, " 1 ": time.Second, "0": 0, "-3": 0, "NaN": 0, "+Inf": maxPause, "1e300": maxPause,
		"soon": 0, "": 0, "Wed, 21 Oct 2015 07:28:00 GMT": 0,
	} {
		t.Run(text, func(t *testing.T) {
			if diff := cmp.Diff(want, ParsePause([]string{text})); diff != "" {
				t.Errorf("pause (-want +got):\n%s", diff)
			}
		})
	}
	if got := ParsePause([]string{"1", "2"}); got != 0 {
		t.Errorf("a field given twice names %v", got)
	}
}

// Guards against an upstream that is taken for sound because an older answer arrives late, or for
// brittle long after it has said so.
func TestBrittle(t *testing.T) {
	const second = time.Second
	begin := time.Unix(1_000, 0)
	for name, c := range map[string]struct {
		answers []answer
		at      time.Duration
		want    int
	}{
		"it is brittle":                {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}}, second, 7},
		"that was long ago":            {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}}, brittleDuration, 0},
		"it bears less":                {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}, {second, 0, Notice{IsValid: true, Brittle: 2}}}, second, 2},
		"no answer withdraws nothing":  {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}, {second, second / 2, Notice{}}}, second, 7},
		"a newer answer withdraws it":  {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}, {second, second / 2, Notice{IsValid: true}}}, second, 0},
		"an older answer arrives late": {[]answer{{0, second, Notice{IsValid: true, Brittle: 7}}, {second, 2 * second, Notice{IsValid: true}}}, second, 7},
	} {
		t.Run(name, func(t *testing.T) {
			b := New()
			for _, a := range c.answers {
				now := begin.Add(a.after)
				b.Observe(now, now.Add(-a.sentBefore), "u", a.notice)
			}
			if diff := cmp.Diff(c.want, b.Brittle(begin.Add(c.at), "u")); diff != "" {
				t.Errorf("refusals in a second (-want +got):\n%s", diff)
			}
		})
	}
}

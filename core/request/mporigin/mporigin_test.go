package mporigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mplist"
)

var (
	begin = time.Unix(1_000, 0)
	old   = Origin{Pool: "app", Version: "v1"}
	newer = Origin{Pool: "app", Version: "v2"}
)

// Guards against a stream that is resumed at another version, or by a request that does not
// belong to its caller, because its origin was mistaken for another one.
func TestLedger(t *testing.T) {
	key := KeyOf("ana", "h", "/tale/", "r1")
	for name, c := range map[string]struct {
		note func(l *Ledger)
		key  Key
		at   time.Duration
		want Origin
		ok   bool
	}{
		"nothing is recorded":        {func(*Ledger) {}, key, 0, Origin{}, false},
		"an origin":                  {func(l *Ledger) { l.Note(begin, key, old, time.Second) }, key, 999 * time.Millisecond, old, true},
		"an origin that has expired": {func(l *Ledger) { l.Note(begin, key, old, time.Second) }, key, time.Second, Origin{}, false},
		"an origin noted twice": {func(l *Ledger) {
			l.Note(begin, key, old, 2*time.Second)
			l.Note(begin, key, old, time.Second)
		}, key, 1500 * time.Millisecond, old, true},
		"an ID used for two streams": {func(l *Ledger) {
			l.Note(begin, key, old, time.Second)
			l.Note(begin, key, newer, time.Second)
		}, key, 0, Origin{}, true},
		"an ID used for three streams": {func(l *Ledger) {
			for _, o := range []Origin{old, newer, old} {
				l.Note(begin, key, o, time.Second)
			}
		}, key, 0, Origin{}, true},
		"an ID used again later": {func(l *Ledger) {
			l.Note(begin, key, old, time.Second)
			l.Note(begin.Add(2*time.Second), key, newer, time.Second)
		}, key, 2500 * time.Millisecond, newer, true},
		"another account":      {func(l *Ledger) { l.Note(begin, key, old, time.Second) }, KeyOf("bob", "h", "/tale/", "r1"), 0, Origin{}, false},
		"another path":         {func(l *Ledger) { l.Note(begin, key, old, time.Second) }, KeyOf("ana", "h", "/tale/r", "1"), 0, Origin{}, false},
		"shifted field limits": {func(l *Ledger) { l.Note(begin, key, old, time.Second) }, KeyOf("anah", "", "/tale/", "r1"), 0, Origin{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			c.note(l)
			got, ok := l.Find(begin.Add(c.at), c.key)
			if diff := cmp.Diff(c.want, got); diff != "" || ok != c.ok {
				t.Errorf("found %v, want %v; origin (-want +got):\n%s", ok, c.ok, diff)
			}
		})
	}
	t.Run("the memory is bounded", func(t *testing.T) {
		l := New()
		for i := range maxStreams {
			l.Note(begin, KeyOf("ana", "h", "/", fmt.Sprint(i)), old, time.Second)
		}
		if l.Note(begin, key, old, time.Second) {
			t.Error("one more stream than allowed was recorded")
		}
		if !l.Note(begin.Add(2*time.Second), key, old, time.Second) || l.Count() != 1 {
			t.Errorf("%d streams after all but one have expired", l.Count())
		}
	})
}

func listOf(at time.Duration, versions ...string) *mplist.List {
	var rows []mplist.Row
	for i, v := range versions {
		rows = append(rows, mplist.Row{ID: fmt.Sprint("u", i), Pool: "app", Version: v})
	}
	return mplist.New(begin.Add(at), rows)
}

// Guards against a stream of unknown origin that goes on because the other version has just
// left the list, or has not been seen by a VM that started after it.
func TestSoleVersion(t *testing.T) {
	const span = 10 * time.Second
	never := [2]time.Duration{}
	type step struct {
		at       time.Duration
		versions []string
	}
	for name, c := range map[string]struct {
		steps []step
		// silent is from and until when the list is not confirmed.
		silent [2]time.Duration
		at     time.Duration
		want   string
	}{
		"no list yet":                     {nil, never, 20 * time.Second, ""},
		"one version for long":            {[]step{{0, []string{"v1", "v1"}}}, never, span, "v1"},
		"one version, not for long":       {[]step{{0, []string{"v1"}}}, never, span - 1, ""},
		"two versions":                    {[]step{{0, []string{"v1", "v2"}}}, never, span, ""},
		"an unknown version":              {[]step{{0, []string{""}}}, never, span, ""},
		"one of two upstreams is unknown": {[]step{{0, []string{"v1", ""}}}, never, span, ""},
		"another version has just left":   {[]step{{0, []string{"v1", "v2"}}, {15 * time.Second, []string{"v2"}}}, never, 24 * time.Second, ""},
		"another version left long ago":   {[]step{{0, []string{"v1", "v2"}}, {15 * time.Second, []string{"v2"}}}, never, 26 * time.Second, "v2"},
		"another version came":            {[]step{{0, []string{"v1"}}, {15 * time.Second, []string{"v1", "v2"}}}, never, 16 * time.Second, ""},
		"one version replaced another":    {[]step{{0, []string{"v1"}}, {15 * time.Second, []string{"v2"}}}, never, 16 * time.Second, ""},
		"the VM was out of touch":         {[]step{{0, []string{"v1"}}}, [2]time.Duration{10 * time.Second, 15 * time.Second}, 20 * time.Second, ""},
		"the VM was out of touch before":  {[]step{{0, []string{"v1"}}}, [2]time.Duration{10 * time.Second, 15 * time.Second}, 25500 * time.Millisecond, "v1"},
		"the VM was frozen until now":     {[]step{{0, []string{"v1"}}}, [2]time.Duration{15 * time.Second, time.Hour}, 20 * time.Second, ""},
		"a confirmation is late":          {[]step{{0, []string{"v1"}}}, [2]time.Duration{15 * time.Second, time.Hour}, 15500 * time.Millisecond, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			h, next := NewHistory(), 0
			for at := time.Duration(0); at <= c.at; at += 500 * time.Millisecond {
				for ; next < len(c.steps) && c.steps[next].at <= at; next++ {
					h.Observe(begin.Add(at), listOf(at, c.steps[next].versions...))
				}
				if at <= c.silent[0] || at > c.silent[1] {
					h.Confirm(begin.Add(at))
				}
			}
			got, ok := h.Sole(begin.Add(c.at), "app", span)
			if !ok {
				got = ""
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("version (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM that loses its lease for less than maxUnconfirmed, by its own clock, and
// does not notice that it may have missed a list.
func TestInterruptedHistory(t *testing.T) {
	h := NewHistory()
	h.Observe(begin, listOf(0, "v1"))
	h.Confirm(begin)
	h.Interrupt()
	for at := time.Duration(0); at <= 10*time.Second; at += maxUnconfirmed / 2 {
		h.Confirm(begin.Add(time.Second + at))
	}
	if _, ok := h.Sole(begin.Add(11*time.Second), "app", 10500*time.Millisecond); ok {
		t.Error("a version counts as the only one over an interruption")
	}
	if got, _ := h.Sole(begin.Add(11*time.Second), "app", 10*time.Second); got != "v1" {
		t.Errorf("only version since the interruption: %q, want v1", got)
	}
}

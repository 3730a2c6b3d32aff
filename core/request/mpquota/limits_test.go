package mpquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a value that is not a rate being taken for one, and against an upstream that
// takes nothing and never gets the request whose answer tells that it does again.
func TestParseStatement(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Statement
	}{
		"absent":              {nil, Statement{IsValid: true}},
		"whole":               {[]string{"3"}, Statement{Rate: 3, IsValid: true}},
		"decimal":             {[]string{" 0.5 "}, Statement{Rate: 0.5, IsValid: true}},
		"nothing":             {[]string{"0"}, Statement{Rate: minRate, IsValid: true}},
		"less than is probed": {[]string{"0.001"}, Statement{Rate: minRate, IsValid: true}},
		"huge":                {[]string{"1e300"}, Statement{IsValid: true}},
		"infinite":            {[]string{"inf"}, Statement{IsValid: true}},
		"negative":            {[]string{"-1"}, Statement{}},
		"not a number":        {[]string{"nan"}, Statement{}},
		"a word":              {[]string{"few"}, Statement{}},
		"empty":               {[]string{""}, Statement{}},
		"twice":               {[]string{"5", "2"}, Statement{Rate: 2, IsValid: true}},
		"twice in one field":  {[]string{"5, 2"}, Statement{Rate: 2, IsValid: true}},
		"twice, one wrong":    {[]string{"5", "x"}, Statement{}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ParseStatement(c.values)); diff != "" {
				t.Errorf("statement (-want +got):\n%s", diff)
			}
		})
	}
}

// checkRate reports an error if the limit of u is not want.
func checkRate(t *testing.T, l *Limits, want float64) {
	t.Helper()
	if got, _ := l.Rate("u"); got != want {
		t.Errorf("limit %v, want %v", got, want)
	}
}

// Guards against an older answer that arrives late and brings a limit back or ends it, and
// against VMs that never agree on a limit.
func TestLimits(t *testing.T) {
	t.Run("an answer names, changes and ends a limit", func(t *testing.T) {
		l := NewLimits()
		for i, c := range []struct {
			rate float64
			want Change
		}{{2, Change{"u", 0, 2}}, {3, Change{"u", 2, 3}}, {0, Change{"u", 3, 0}}} {
			got, changed := l.Observe(at(100*i+50), at(100*i), "u", Statement{Rate: c.rate, IsValid: true})
			if diff := cmp.Diff(c.want, got); diff != "" || !changed {
				t.Errorf("change (-want +got):\n%s", diff)
			}
		}
		checkRate(t, l, 0)
	})
	t.Run("an invalid statement says nothing", func(t *testing.T) {
		l := NewLimits()
		l.Observe(at(0), at(0), "u", Statement{Rate: 2, IsValid: true})
		l.Observe(at(100), at(90), "u", Statement{})
		checkRate(t, l, 2)
	})
	t.Run("an answer to an earlier request does not end a limit", func(t *testing.T) {
		l := NewLimits()
		l.Observe(at(100), at(50), "u", Statement{Rate: 2, IsValid: true})
		l.Observe(at(200), at(90), "u", Statement{IsValid: true})
		checkRate(t, l, 2)
		l.Observe(at(300), at(100), "u", Statement{IsValid: true})
		checkRate(t, l, 0)
	})
	t.Run("an answer to an earlier request does not bring a limit back", func(t *testing.T) {
		l := NewLimits()
		l.Observe(at(100), at(50), "u", Statement{Rate: 2, IsValid: true})
		l.Observe(at(200), at(150), "u", Statement{IsValid: true})
		l.Observe(at(300), at(160), "u", Statement{Rate: 2, IsValid: true})
		checkRate(t, l, 0)
	})
	t.Run("of two VMs the newer statement counts, in any order", func(t *testing.T) {
		for _, order := range [][]int{{0, 1}, {1, 0}} {
			entries := []Entry{{"u", 2, 500 * time.Millisecond}, {"u", 0, 100 * time.Millisecond}}
			l := NewLimits()
			for _, i := range order {
				l.Merge(at(1000), entries[i:i+1])
			}
			checkRate(t, l, 0)
		}
	})
	t.Run("two VMs agree after one exchange", func(t *testing.T) {
		a, b := NewLimits(), NewLimits()
		a.Observe(at(0), at(0), "u", Statement{Rate: 2, IsValid: true})
		b.Observe(at(10), at(5), "u", Statement{Rate: 3, IsValid: true})
		b.Observe(at(10), at(5), "v", Statement{Rate: 4, IsValid: true})
		b.Merge(at(30), a.Entries(at(20)))
		a.Merge(at(50), b.Entries(at(40)))
		checkRate(t, a, 3)
		if none := NewLimits().Hash(); a.Hash() != b.Hash() || a.Hash() == none || none == 0 {
			t.Errorf("hashes %x and %x, that of no limits is %x", a.Hash(), b.Hash(), none)
		}
	})
	t.Run("limits of upstreams that are gone are dropped", func(t *testing.T) {
		l := NewLimits()
		l.Observe(at(0), at(0), "gone", Statement{Rate: 2, IsValid: true})
		l.Observe(at(0), at(0), "here", Statement{Rate: 2, IsValid: true})
		l.Prune(at(31_000), func(id string) bool { return id == "here" })
		if diff := cmp.Diff([]Entry{{"here", 2, 31 * time.Second}}, l.Entries(at(31_000))); diff != "" {
			t.Errorf("entries (-want +got):\n%s", diff)
		}
	})
	t.Run("their number is bounded", func(t *testing.T) {
		l := NewLimits()
		for i := range 2 * maxLimits {
			l.Observe(at(0), at(0), fmt.Sprint(i), Statement{Rate: 2, IsValid: true})
		}
		if n := l.Count(); n != maxLimits {
			t.Errorf("%d limits are kept, want %d", n, maxLimits)
		}
	})
}

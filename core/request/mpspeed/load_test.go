package mpspeed

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against figures that are taken for something that they do not say.
func TestParseLoad(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   Load
	}{
		"no field":                       {nil, Load{}},
		"three figures":                  {[]string{"3,1,8"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true}},
		"four figures":                   {[]string{"3,1,8,250"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Percent: 250}},
		"spaces":                         {[]string{" 3, 1 ,8 ,\t62.5 "}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Percent: 62.5}},
		"an empty field":                 {[]string{""}, Load{Skipped: 1}},
		"an empty fourth figure":         {[]string{"3,1,8,"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"the field twice":                {[]string{"3,1,8,100", "3,1,8,250"}, Load{Skipped: 8}},
		"the field twice in one":         {[]string{"3,1,8,100, 3,1,8,250"}, Load{Skipped: 8}},
		"too few figures":                {[]string{"3,1"}, Load{Skipped: 2}},
		"too many figures":               {[]string{"3,1,8,100,7"}, Load{Skipped: 5}},
		"a negative count":               {[]string{"3,-1,8,250"}, Load{Percent: 250, Skipped: 1}},
		"a count that is no number":      {[]string{"3,1,many,250"}, Load{Percent: 250, Skipped: 1}},
		"an absurd count":                {[]string{"3,1,99999999999999999999,250"}, Load{Percent: 250, Skipped: 1}},
		"a negative speed":               {[]string{"3,1,8,-100"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"a speed of zero":                {[]string{"3,1,8,0"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"an absurd speed":                {[]string{"3,1,8,1e9"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"a speed that is not a number":   {[]string{"3,1,8,NaN"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"an infinite speed":              {[]string{"3,1,8,+Inf"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"a speed with text":              {[]string{"3,1,8,100%"}, Load{Running: 3, Waiting: 1, Slots: 8, HasCounts: true, Skipped: 1}},
		"nothing but figures of no sort": {[]string{"a,b,c,d"}, Load{Skipped: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, ParseLoad(c.values)); diff != "" {
				t.Errorf("load (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against values of the field from outside that end the process or yield figures out of
// bounds, from which all later factors of the upstream would be computed.
func FuzzParseLoad(f *testing.F) {
	for _, value := range []string{"0,0,1", "3,1,8,250", "3,1,8,-0", "0x3,1,8,0x1p7", "1e3,1,8,1e3", "3,1,8,100\n3,1,8,100", ",,,", "٣,1,8,100", "1_0,1,8,1_00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		l := ParseLoad(strings.Split(value, "\n"))
		for name, n := range map[string]int{"running": l.Running, "waiting": l.Waiting, "slots": l.Slots} {
			if n < 0 || n > maxCount || n > 0 && !l.HasCounts {
				t.Errorf("%s is %d of %+v", name, n, l)
			}
		}
		if l.Percent != 0 && !isPlausible(l.Percent) {
			t.Errorf("speed of %v %%", l.Percent)
		}
		if l.Skipped < 0 || l.Skipped == 0 && !l.HasCounts {
			t.Errorf("nothing is skipped of %q, which says %+v", value, l)
		}
		b := New(Config{ResponseWeight: 1})
		b.Record(begin, "u", l)
		if got := b.Factor(begin, "u"); math.IsNaN(got) || got < 1/maxFactor || got > maxFactor {
			t.Errorf("factor %v after %+v", got, l)
		}
	})
}

package mprank

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOf checks that removing a name reassigns only the keys that ranked it first,
// and that keys are spread evenly over the names.
func TestOf(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for key := range uint64(2000) {
		first := Of(key, names)[0]
		counts[first]++
		rest := Of(key, []string{"a", "b", "d", "e"})[0]
		if first != "c" && rest != first {
			t.Fatalf("removing c reassigned key %d from %s to %s", key, first, rest)
		}
	}
	for _, n := range names {
		if counts[n] < 300 || counts[n] > 500 {
			t.Errorf("%s has %d of 2000 keys, want about 400", n, counts[n])
		}
	}
}

// Guards against weights that change the ranking where all are equal, and against ones that do not count
// in proportion.
func TestOfNameWeighted(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for _, weight := range []float64{1, 480, 1e-9} {
		for i := range 200 {
			key := fmt.Sprint(i)
			if diff := cmp.Diff(OfName(key, names), OfNameWeighted(key, names, func(string) float64 { return weight })); diff != "" {
				t.Fatalf("key %s, weight %v (-want +got):\n%s", key, weight, diff)
			}
		}
	}
	weights := map[string]float64{"a": 1, "b": 2, "c": 3, "d": 1, "e": 3}
	counts := map[string]float64{}
	const keys = 20_000
	for i := range keys {
		counts[OfNameWeighted(fmt.Sprint(i), names, func(n string) float64 { return weights[n] })[0]]++
	}
	for _, n := range names {
		if want := weights[n] / 10; math.Abs(counts[n]/keys-want) > 0.02 {
			t.Errorf("%s is first for %.3f of the keys, want %.3f", n, counts[n]/keys, want)
		}
	}
}

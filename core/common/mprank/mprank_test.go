package mprank

import "testing"

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

package mprank

import "testing"

// TestOf checks that a name's loss moves only the keys that were its own.
func TestOf(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for key := range uint64(2000) {
		first := Of(key, names)[0]
		counts[first]++
		rest := Of(key, []string{"a", "b", "d", "e"})[0]
		if first != "c" && rest != first {
			t.Fatalf("key %d moved from %s to %s", key, first, rest)
		}
	}
	for _, n := range names {
		if counts[n] < 300 || counts[n] > 500 {
			t.Errorf("%s has %d of 2000 keys, want about 400", n, counts[n])
		}
	}
}

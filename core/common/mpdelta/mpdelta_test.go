package mpdelta

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

const testLimit = 1 << 20

func checkRoundTrip(t *testing.T, base, next string) (delta []byte) {
	t.Helper()
	delta = Make([]byte(base), []byte(next))
	got, err := Apply([]byte(base), delta, testLimit)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(next, string(got)); diff != "" {
		t.Errorf("document (-want +got):\n%s", diff)
	}
	return delta
}

// routes returns a document with alike lines, each with a name of its own.
func routes(r *rand.Rand, n int) []string {
	var out []string
	for range n {
		out = append(out, fmt.Sprintf(`{"name":"r-%x","kind":"idempotent","timeoutMs":1500,"sloMs":200,"priority":2},`, r.Uint64()))
	}
	return out
}

func TestDeltas(t *testing.T) {
	long := strings.Repeat("a line of the document\n", 50)
	for name, c := range map[string][2]string{
		"both empty":          {"", ""},
		"no base":             {"", long},
		"nothing left":        {long, ""},
		"equal":               {long, long},
		"shorter than blocks": {"abc", "abd"},
		"an end that is new":  {long, long + "the end"},
		"a start that is new": {long, "the start" + long},
		"the other way round": {"x" + long + "y", "y" + long + "x"},
	} {
		t.Run(name, func(t *testing.T) { checkRoundTrip(t, c[0], c[1]) })
	}
}

// Guards against deltas that are as large as the document: a change of one line costs about that line,
// wherever it is, also between lines that are alike.
func TestDeltaOfOneLine(t *testing.T) {
	const most = 600
	r := rand.New(rand.NewPCG(1, 2))
	lines := routes(r, 2000)
	for name, change := range map[string]func(lines []string) []string{
		"one is changed":  func(l []string) []string { l[700] = routes(r, 1)[0]; return l },
		"one is added":    func(l []string) []string { return slices.Insert(l, 1200, routes(r, 1)[0]) },
		"one is dropped":  func(l []string) []string { return slices.Delete(l, 300, 301) },
		"two are swapped": func(l []string) []string { l[10], l[1900] = l[1900], l[10]; return l },
	} {
		t.Run(name, func(t *testing.T) {
			base := `{"version":99,` + strings.Join(lines, "\n")
			next := `{"version":100,` + strings.Join(change(slices.Clone(lines)), "\n")
			if delta := checkRoundTrip(t, base, next); len(delta) > most {
				t.Errorf("the delta has %d bytes, want at most %d", len(delta), most)
			}
		})
	}
}

func TestRandomDeltas(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 3))
		lines := routes(r, 1+r.IntN(40))
		next := slices.Clone(lines)
		for range r.IntN(10) {
			at := r.IntN(len(next))
			next[at] = next[at][:r.IntN(len(next[at])+1)] + lines[r.IntN(len(lines))][r.IntN(20):]
		}
		checkRoundTrip(t, strings.Join(lines, ""), strings.Join(next, ""))
	}
}

// Guards against a damaged delta that ends the process or fills its memory.
func TestDamagedDeltas(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 5))
	base := strings.Join(routes(r, 20), "")
	delta := Make([]byte(base), []byte(strings.Join(routes(r, 3), "")+base))
	for range 2000 {
		damaged := slices.Clone(delta)[:1+r.IntN(len(delta))]
		damaged[r.IntN(len(damaged))] ^= byte(1 + r.IntN(255))
		if out, err := Apply([]byte(base), damaged, testLimit); err != nil && !errors.Is(err, mperror.ErrInvalid) || len(out) > testLimit {
			t.Fatalf("%d bytes, error %v", len(out), err)
		}
	}
	if _, err := Apply([]byte(base), delta, len(base)); !errors.Is(err, mperror.ErrInvalid) {
		t.Errorf("a document over the limit: error %v", err)
	}
}

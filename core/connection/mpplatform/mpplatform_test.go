package mpplatform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpscript"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

func apply(t *testing.T, v *mpview.View, op mpview.Op) *mpview.View {
	t.Helper()
	next, err := v.Apply(op)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestMarks(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"vm":"m1","state":"leaving"},{"vm":"m2","state":"live"},{"vm":"other","state":"leaving"}]`))
	}))
	defer server.Close()
	rows, _, err := New(server.URL).List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	up := mpcatalogue.Upstream{Name: "u1", Pool: "p", DC: "north", Address: "127.0.0.1:9", VM: "m1"}
	v := apply(t, mpview.Empty(), mpview.Edit{Edit: mpcatalogue.Edit{Put: mpcatalogue.Document{
		DCs:       []mpcatalogue.DC{{Name: "north"}},
		Pools:     []mpcatalogue.Pool{{Name: "p", Kind: mpcatalogue.Plain, Limit: 1}},
		Upstreams: []mpcatalogue.Upstream{up},
	}}})
	want := []mpview.Mark{{Target: mpview.TargetMachine, Name: "m1", Out: true}}
	if diff := cmp.Diff(want, Marks(rows, v)); diff != "" {
		t.Fatalf("marks (-want +got):\n%s", diff)
	}
	v = apply(t, v, want[0])
	if v.Usable(up) {
		t.Error("upstream on a leaving machine is still usable")
	}
	if got := Marks(rows, v); len(got) != 0 {
		t.Errorf("marks %v although the view matches the list", got)
	}
	rows[0].State = Live
	v = apply(t, v, Marks(rows, v)[0])
	if !v.Usable(up) {
		t.Error("upstream on a machine that is live again is not usable")
	}
}

// Guards against believing a list that the platform did not send as a whole list.
func TestListThatIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		ok     bool
	}{
		"whole list":      {http.StatusOK, `[{"vm":"m1","state":"leaving"}]`, true},
		"error":           {http.StatusInternalServerError, `[{"vm":"m1","state":"leaving"}]`, false},
		"broken off":      {http.StatusOK, `[{"vm":"m1","state":"leaving"},`, false},
		"list and a rest": {http.StatusOK, `[{"vm":"m1","state":"leaving"}][`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			t.Cleanup(server.Close)
			if rows, _, err := New(server.URL).List(t.Context()); (err == nil) != c.ok {
				t.Errorf("list %v, error %v; want a list: %t", rows, err, c.ok)
			}
		})
	}
}

// Guards against an entry of another writer that hides the others: machines that leave were not
// noticed while it was in the list.
func TestOddEntries(t *testing.T) {
	for name, odd := range map[string]string{
		"nested too deeply": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"another type":      `7`,
		"a VM of a number":  `{"vm":7,"state":"live"}`,
		"no VM":             `{"state":"live"}`,
		"null":              `null`,
	} {
		t.Run(name, func(t *testing.T) {
			rows, skipped, err := decodeList([]byte(`[{"vm":"m1","state":"leaving"},` + odd + `,{"vm":"m2","state":"live"}]`))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]Row{{VM: "m1", State: Leaving}, {VM: "m2", State: Live}}, rows); diff != "" {
				t.Errorf("rows (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, skipped); diff != "" {
				t.Errorf("skipped entries (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a list of VMs in bytes that are no answer.
func TestListInAMalformedAnswer(t *testing.T) {
	for name, text := range mpscript.MalformedAnswers(`[{"vm":"m1","state":"leaving"}]`) {
		t.Run(name, func(t *testing.T) {
			rows, _, err := New("http://" + mpscript.Listen(t, mpscript.Answer(text))).List(t.Context())
			if err == nil {
				t.Errorf("list %v, want an error", rows)
			}
		})
	}
}

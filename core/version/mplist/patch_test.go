package mplist

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mperror"
)

func drawList(t *rapid.T, now time.Time, label string) *List {
	var rows []Row
	for i := range rapid.IntRange(0, 6).Draw(t, label) {
		if rapid.Bool().Draw(t, "listed") {
			rows = append(rows, Row{
				ID: fmt.Sprint("u", i), Pool: "p", Address: fmt.Sprint("a:", rapid.IntRange(1, 2).Draw(t, "port")), DC: "a",
				Leaving: rapid.Bool().Draw(t, "leaving"), ColdMs: int64(rapid.SampledFrom([]int{0, 1, 3000}).Draw(t, "cold")),
			})
		}
	}
	return New(now, rows)
}

// Guards against VMs whose list differs from the leader's after changes.
func TestPatchLeadsToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		old, next := drawList(t, start, "old"), drawList(t, start, "next")
		patch, ok := next.PatchFrom(old)
		if !ok {
			t.Fatal("no patch between lists with distinct rows")
		}
		data, err := patch.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if patch, err = DecodePatch(data); err != nil {
			t.Fatal(err)
		}
		now := start.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "later")) * time.Millisecond)
		got, err := old.Apply(now, patch, next.Hash())
		if err != nil {
			t.Fatal(err)
		}
		want, rows := next.Rows(), got.Rows()
		for i := range max(len(want), len(rows)) {
			if i >= len(want) || i >= len(rows) || want[i].withoutColdTime() != rows[i].withoutColdTime() {
				t.Fatalf("rows %+v, want %+v", rows, want)
			}
		}
	})
}

// Guards against cold times that begin again with each change of another row.
func TestPatchKeepsColdTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	cold := Row{ID: "cold", Pool: "p", Address: "a:1", ColdMs: 3000}
	old, next := New(start, []Row{cold}), New(start, []Row{cold, {ID: "warm", Pool: "p", Address: "a:2"}})
	patch, _ := next.PatchFrom(old)
	for name, c := range map[string]struct{ after, want time.Duration }{
		"while it is cold":                     {time.Second, 3 * time.Second},
		"while the list still says that it is": {5 * time.Second, 5*time.Second + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := old.Apply(start.Add(c.after), patch, next.Hash())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.want, got.ColdUntil(got.Rows()[0]).Sub(start)); diff != "" {
				t.Errorf("cold until (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against changes that are applied to another list than the one that they belong to.
func TestPatchOfAnotherList(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Row{ID: "a", Pool: "p", Address: "a:1"}, Row{ID: "b", Pool: "p", Address: "a:2"}
	next := New(now, []Row{a, b})
	patch, _ := next.PatchFrom(New(now, []Row{a}))
	for name, list := range map[string]*List{"an empty list": New(now, nil), "no list": nil, "a list with another row": New(now, []Row{a, {ID: "c", Pool: "p"}})} {
		t.Run(name, func(t *testing.T) {
			if _, err := list.Apply(now, patch, next.Hash()); !errors.Is(err, mperror.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
	if _, ok := New(now, []Row{a, a}).PatchFrom(next); ok {
		t.Error("a patch to a list that has a row twice")
	}
}

package mplist

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

func rows() []Row {
	return []Row{
		{ID: "u2", Pool: "q", Address: "10.0.0.2:80", DC: "b", ColdMs: 3000, Slots: 6},
		{ID: "u1", Pool: "p", Address: "10.0.0.1:80", DC: "a", Leaving: true},
	}
}

func TestList(t *testing.T) {
	at := time.Unix(100, 0)
	t.Run("another VM gets the same list, with the cold time that is left", func(t *testing.T) {
		l := New(at, rows())
		data, err := l.Encode(at.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		there := time.Unix(900, 0)
		got, err := Decode(there, data, l.Hash())
		if err != nil {
			t.Fatal(err)
		}
		want := []Row{rows()[1], rows()[0]}
		want[1].ColdMs = 2000
		if diff := cmp.Diff(want, got.Rows()); diff != "" {
			t.Errorf("rows (-want +got):\n%s", diff)
		}
		if until := got.ColdUntil(got.Rows()[1]); !until.Equal(there.Add(2 * time.Second)) {
			t.Errorf("cold until %v", until)
		}
	})
	t.Run("only whether an upstream is cold makes another list", func(t *testing.T) {
		warmer, warm := rows(), rows()
		warmer[0].ColdMs, warm[0].ColdMs = 1, 0
		if New(at, rows()).Hash() != New(at, warmer).Hash() {
			t.Error("a shorter cold time changes the hash")
		}
		if New(at, rows()).Hash() == New(at, warm).Hash() {
			t.Error("the end of the cold time does not change the hash")
		}
	})
	t.Run("a VM without a list has no rows", func(t *testing.T) {
		var none *List
		if none.Hash() != 0 || none.Rows() != nil {
			t.Error("nil list is not empty")
		}
	})
	t.Run("bytes of another kind are refused", func(t *testing.T) {
		if _, err := Decode(at, []byte("no list"), 1); !errors.Is(err, mperror.ErrInvalid) {
			t.Errorf("got %v, want ErrInvalid", err)
		}
	})
}

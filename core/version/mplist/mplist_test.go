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
	t.Run("decoded list has the same rows and the remaining cold-start time", func(t *testing.T) {
		l := New(at, rows())
		data, err := l.Encode(at.Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		receivedAt := time.Unix(900, 0)
		got, err := Decode(receivedAt, data, l.Hash())
		if err != nil {
			t.Fatal(err)
		}
		want := []Row{rows()[1], rows()[0]}
		want[1].ColdMs = 2000
		if diff := cmp.Diff(want, got.Rows()); diff != "" {
			t.Errorf("rows (-want +got):\n%s", diff)
		}
		if until := got.ColdUntil(got.Rows()[1]); !until.Equal(receivedAt.Add(2 * time.Second)) {
			t.Errorf("ColdUntil = %v, want 2 s after the list was received", until)
		}
	})
	t.Run("hash depends on whether an upstream is cold, not for how long", func(t *testing.T) {
		warmer, warm := rows(), rows()
		warmer[0].ColdMs, warm[0].ColdMs = 1, 0
		if New(at, rows()).Hash() != New(at, warmer).Hash() {
			t.Error("hash changed with a shorter remaining cold-start time")
		}
		if New(at, rows()).Hash() == New(at, warm).Hash() {
			t.Error("hash did not change when the upstream became warm")
		}
	})
	t.Run("leaving and out-of-service upstreams are not usable", func(t *testing.T) {
		list := New(at, append(rows(), Row{ID: "u3", Pool: "p", DC: "a"}, Row{ID: "u4", Pool: "p", DC: "c"}))
		got := list.Usable(func(dc string) bool { return dc == "c" })
		for pool, want := range map[string][]string{"p": {"u3"}, "q": {"u2"}, "none": nil} {
			var ids []string
			for _, r := range got.Rows(pool) {
				ids = append(ids, r.ID)
			}
			if diff := cmp.Diff(want, ids); diff != "" {
				t.Errorf("usable in %s (-want +got):\n%s", pool, diff)
			}
		}
		if until := got.ColdUntil(got.Rows("q")[0]); !until.Equal(at.Add(3 * time.Second)) {
			t.Errorf("ColdUntil = %v, want 3 s after the list was read", until)
		}
	})
	t.Run("VM without a list has no rows", func(t *testing.T) {
		var none *List
		var noUsable *Usable
		if none.Hash() != 0 || none.Rows() != nil || noUsable.Rows("p") != nil {
			t.Error("nil list has rows or a hash")
		}
	})
	t.Run("malformed data is rejected", func(t *testing.T) {
		if _, err := Decode(at, []byte("no list"), 1); !errors.Is(err, mperror.ErrInvalid) {
			t.Errorf("got %v, want ErrInvalid", err)
		}
	})
}

// Guards against a list that became empty being taken for no list: VMs would keep upstreams that are
// gone.
func TestEmptyListIsAList(t *testing.T) {
	at := time.Unix(100, 0)
	empty, full := New(at, nil), New(at, rows())
	if empty.Hash() == 0 {
		t.Fatal("an empty list has the hash of no list")
	}
	data, err := empty.Encode(at)
	if err != nil || len(data) == 0 {
		t.Fatalf("encoded as %d bytes, %v", len(data), err)
	}
	whole, err := Decode(at, data, empty.Hash())
	if err != nil {
		t.Fatal(err)
	}
	patch, ok := empty.PatchFrom(full)
	if !ok {
		t.Fatal("no patch")
	}
	patched, err := full.Apply(at, patch, empty.Hash())
	if err != nil {
		t.Fatal(err)
	}
	if n := len(whole.Rows()) + len(patched.Rows()); n > 0 {
		t.Errorf("%d rows, want none", n)
	}
}

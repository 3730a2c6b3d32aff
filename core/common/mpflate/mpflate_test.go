package mpflate

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

// Guards against damaged messages that are taken for whole, and against ones that fill the memory.
func TestUnpack(t *testing.T) {
	data := bytes.Repeat([]byte(`{"id":"i-7f3a91c2","dc":"a"}`), 100)
	packed := Pack(data)
	for name, c := range map[string]struct {
		packed []byte
		limit  int
		want   []byte
	}{
		"whole":               {packed, len(data), data},
		"longer than allowed": {packed, len(data) - 1, nil},
		"cut off":             {packed[:len(packed)/2], len(data), nil},
		"damaged":             {append([]byte{0xff, 0xff, 0xff}, packed...), len(data), nil},
		"nothing":             {nil, len(data), nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Unpack(c.packed, c.limit)
			if diff := cmp.Diff(string(c.want), string(got)); diff != "" {
				t.Errorf("data (-want +got):\n%s", diff)
			}
			if c.want == nil && !errors.Is(err, mperror.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

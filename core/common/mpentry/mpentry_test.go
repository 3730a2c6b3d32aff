package mpentry

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
)

type page struct {
	List []json.RawMessage `json:"list"`
	Next string            `json:"next"`
}

// tooDeep is nested deeper than encoding/json decodes.
var tooDeep = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// Guards against an entry that hides the others, and against one that takes some of them along.
func TestDecode(t *testing.T) {
	for name, c := range map[string]struct {
		object string
		// want are the entries, or nil if the object cannot be decoded.
		want []string
	}{
		"sound entries":                 {`{"list":[{"a":1},7],"next":"n"}`, []string{`{"a":1}`, "7"}},
		"none":                          {`{"list":[],"next":"n"}`, []string{}},
		"one nested too deeply":         {`{"list":[1,` + tooDeep + `,2],"next":"n"}`, []string{"1", "null", "2"}},
		"one that is no JSON":           {`{"list":[1,{odd},2],"next":"n"}`, []string{"1", "null", "2"}},
		"the other members before":      {`{"next":"n","list":[` + tooDeep + `]}`, []string{"null"}},
		"one that is not closed":        {`{"list":[1,{"odd":[,2],"next":"n"}`, nil},
		"broken off":                    {`{"list":[1,` + tooDeep + `,2],"next":"n"`, nil},
		"followed by more":              {`{"list":[1,` + tooDeep + `],"next":"n"}}`, nil},
		"another member that is broken": {`{"list":[1],"next":n}`, nil},
		"no list":                       {`{"next":}`, nil},
		"nothing":                       {``, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var p page
			err := Decode([]byte(c.object), "list", &p)
			if c.want == nil {
				if !errors.Is(err, mperror.ErrBadResponse) {
					t.Errorf("got %v, want ErrBadResponse", err)
				}
				return
			}
			got := []string{}
			for _, raw := range p.List {
				got = append(got, string(raw))
			}
			if diff := cmp.Diff(c.want, got); diff != "" || err != nil || p.Next != "n" {
				t.Errorf("entries (-want +got):\n%s\nnext %q, %v", diff, p.Next, err)
			}
		})
	}
}

// Guards against documents that make reading a list panic.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{`{"list":[{},7],"next":"x"}`, `{"next":"x","list":[{a}]}`, `{"list":[[[`, `{"list":7}`, "", "null", `{"list":[]`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, object []byte) {
		var p page
		if err := Decode(object, "list", &p); err != nil && !errors.Is(err, mperror.ErrBadResponse) {
			t.Errorf("%q: %v", object, err)
		}
	})
}

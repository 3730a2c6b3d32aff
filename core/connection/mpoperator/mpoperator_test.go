package mpoperator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against acting on the first document of a body and dropping the rest, and on a
// body that is broken off.
func TestBodyIsOneDocument(t *testing.T) {
	const change = `{"id":"a"}`
	for name, c := range map[string]struct {
		body io.Reader
		ok   bool
	}{
		"one document":          {strings.NewReader(change), true},
		"and a line end":        {strings.NewReader(change + "\n"), true},
		"two documents":         {strings.NewReader(change + `{"id":"b"}`), false},
		"document and a rest":   {strings.NewReader(change + "]"), false},
		"half a document":       {strings.NewReader(change[:5]), false},
		"nothing":               {strings.NewReader(""), false},
		"broken off at its end": {io.MultiReader(strings.NewReader(change), brokenOff{}), false},
	} {
		t.Run(name, func(t *testing.T) {
			var got ChangeRequest
			if err := decodeBody(httptest.NewRequest(http.MethodPost, "/", c.body), &got); (err == nil) != c.ok {
				t.Errorf("error %v, want success: %t", err, c.ok)
			}
		})
	}
}

// brokenOff is the end of a body whose connection was lost.
type brokenOff struct{}

func (brokenOff) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

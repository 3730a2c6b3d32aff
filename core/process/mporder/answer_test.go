package mporder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpscript"
)

// Guards against an order that counts as executed because of bytes that are no answer, or of an answer that was
// broken off.
func TestOrderWithoutAWholeAnswer(t *testing.T) {
	answers := mpscript.MalformedAnswers("done")
	answers["a body that is broken off"] = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\ndone"
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			status, err := New(Config{}).post(t.Context(), mpscript.Listen(t, mpscript.Answer(text)), []byte("{}"))
			if err == nil {
				t.Errorf("status %d, want an error", status)
			}
		})
	}
	t.Run("whole", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		status, err := New(Config{}).post(t.Context(), mpscript.Listen(t, mpscript.Answer(text)), []byte("{}"))
		if diff := cmp.Diff(200, status); diff != "" || err != nil {
			t.Errorf("error %v, status (-want +got):\n%s", err, diff)
		}
	})
}

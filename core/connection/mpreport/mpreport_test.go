package mpreport

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/connection/mpscript"
)

const testReport = `{"waiting":3}`

// Guards against load reports in bytes that are no answer, or of which only a part has arrived.
func TestReportThatIsNotWhole(t *testing.T) {
	answers := mpscript.MalformedAnswers(testReport)
	answers["a body that is broken off"] = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + testReport
	answers["another status"] = "HTTP/1.1 500 Odd\r\nContent-Length: 13\r\n\r\n" + testReport
	answers["two reports"] = "HTTP/1.1 200 OK\r\n\r\n" + testReport + testReport
	for name, text := range answers {
		t.Run(name, func(t *testing.T) {
			r, err := New(Config{}).read(t.Context(), "http://"+mpscript.Listen(t, mpscript.Answer(text)))
			if err == nil {
				t.Errorf("report %+v, want an error", r)
			}
		})
	}
	t.Run("whole", func(t *testing.T) {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + testReport
		r, err := New(Config{}).read(t.Context(), "http://"+mpscript.Listen(t, mpscript.Answer(text)))
		if diff := cmp.Diff(Report{Waiting: 3}, r); diff != "" || err != nil {
			t.Errorf("error %v, report (-want +got):\n%s", err, diff)
		}
	})
}

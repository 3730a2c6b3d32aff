package mpclient

import (
	"testing"

	"mustardpost.org/core/connection/mpscript"
)

// Guards against bytes that are no answer of a VM and that operators read as one.
func TestMalformedAnswers(t *testing.T) {
	for name, text := range mpscript.MalformedAnswers(`{"a":1}`) {
		t.Run(name, func(t *testing.T) {
			got := map[string]int{}
			err := New(Config{Address: mpscript.Listen(t, mpscript.Answer(text))}).Get(t.Context(), "/", &got)
			if err == nil || len(got) > 0 {
				t.Errorf("error %v, answer %v, want an error", err, got)
			}
		})
	}
}

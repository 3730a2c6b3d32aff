package mphttp

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

// startTimeout is the maximum duration of one Start in these tests.
const startTimeout = 5 * time.Second

func hello(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

func newServer(address string) *Server {
	UseLogger(log.NewNopLogger())
	return New(Config{Name: "caller", Address: address, Handler: http.HandlerFunc(hello), MaxBodyBytes: 1 << 10, Logger: log.NewNopLogger()})
}

func TestServesAtFreePort(t *testing.T) {
	s := newServer("127.0.0.1:0")
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	resp, err := http.Get("http://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("hello", string(body)); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}

// Guards against a process that hangs without an error when its port is in use: after a
// failed start the engine waits for its pollers, and those that miss the stop signal never
// return.
func TestTakenAddressIsAnError(t *testing.T) {
	first := newServer("127.0.0.1:0")
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(first.Stop)
	for range 50 {
		started := make(chan error, 1)
		go func() { started <- newServer(first.Address()).Start() }()
		select {
		case err := <-started:
			if err == nil {
				t.Fatal("second server started on the same address, want an error")
			}
		case <-time.After(startTimeout):
			t.Fatalf("Start did not return within %v", startTimeout)
		}
	}
}

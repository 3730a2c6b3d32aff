package mpproxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mustardpost.org/core/connection/mpscript"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpmetric"
)

// newServerHarness returns a harness whose upstreams are a real server.
func newServerHarness(t *testing.T, s mpscript.Server) *harness {
	t.Helper()
	address := mpscript.Listen(t, s)
	r := newHarness(t)
	r.p.cfg.Transport = mpupstream.NewTransport(func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, mpmetric.New())
	return r
}

// checkNotPassedOn fails unless the caller gets a failure of the VM itself, which does not promise that the
// request has not run, or its connection is closed.
func checkNotPassedOn(t *testing.T, got answer) {
	t.Helper()
	if got.Status != http.StatusBadGateway && !got.Aborted {
		t.Errorf("answer %d %q, want %d or a closed connection", got.Status, got.Body, http.StatusBadGateway)
	}
}

// Guards against a part of an answer that callers get as the whole, because the write of a long request met the
// reset that ended the answer.
func TestResetDuringAnUploadIsNotPassedOn(t *testing.T) {
	const uploads, uploadBytes = 30, 8 << 20
	for name, c := range map[string]struct{ path, text string }{
		"a request":          {"/read/x", "HTTP/1.1 200 OK\r\n\r\npart"},
		"one that runs once": {"/post/x", "HTTP/1.1 200 OK\r\n\r\npart"},
		"a stream":           {"/tale/x", "HTTP/1.1 200 OK\r\n\r\n" + events},
	} {
		t.Run(name, func(t *testing.T) {
			for range uploads {
				q := request(c.path)
				q.Body = bytes.Repeat([]byte("x"), uploadBytes)
				r := newServerHarness(t, mpscript.ResetEarly(c.text, time.Millisecond))
				checkNotPassedOn(t, r.serve(t.Context(), q))
			}
		})
	}
}

package mpproxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

// Guards against bytes of an upstream that are no answer and reach callers as one, or panic the handler.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	const rest = "id: 3\ndata: c\n\n"
	for name, serve := range map[string]func(t *testing.T, s mpscript.Server) answer{
		"a request": func(t *testing.T, s mpscript.Server) answer {
			return newServerHarness(t, s).serve(t.Context(), request("/read/x"))
		},
		"one that runs once": func(t *testing.T, s mpscript.Server) answer {
			return newServerHarness(t, s).serve(t.Context(), request("/post/x"))
		},
		"a stream": func(t *testing.T, s mpscript.Server) answer {
			return newServerHarness(t, s).serve(t.Context(), request("/tale/x"))
		},
		"a stream that its caller resumes": func(t *testing.T, s mpscript.Server) answer {
			r := newServerHarness(t, mpscript.InTurn(mpscript.Answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+events), s))
			checkAnswer(t, answer{Status: 200, Body: events}, r.serve(t.Context(), request("/tale/x")))
			q := request("/tale/x")
			q.ID, q.Resumes, q.LastEventID = "r2", "r1", "2"
			return r.serve(t.Context(), q)
		},
	} {
		t.Run(name, func(t *testing.T) {
			for name, text := range mpscript.MalformedAnswers(rest) {
				t.Run(name, func(t *testing.T) {
					checkNotPassedOn(t, serve(t, mpscript.Answer(text)))
				})
			}
		})
	}
	t.Run("a stream that the VM resumes", func(t *testing.T) {
		brokenOff := mpscript.Answer("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + events)
		for name, text := range mpscript.MalformedAnswers(rest) {
			t.Run(name, func(t *testing.T) {
				r := newServerHarness(t, mpscript.InTurn(brokenOff, mpscript.Answer(text)))
				if got := r.serve(t.Context(), request("/tale/x")); !got.Aborted {
					t.Errorf("answer %d %q, want a closed connection", got.Status, got.Body)
				}
			})
		}
	})
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

// Guards against an upstream that is avoided for ever, because requests whose handler panicked count as its
// running ones.
func TestPanicReturnsTheSlot(t *testing.T) {
	r := newHarness(t, good)
	sound := r.p.cfg.Transport
	r.p.cfg.Transport = panickingTransport{}
	for range 50 {
		func() {
			defer func() { _ = recover() }()
			r.serve(t.Context(), request("/read/x"))
		}()
	}
	r.p.cfg.Transport = sound
	r.serve(t.Context(), request("/read/x"))
	if diff := cmp.Diff("10.0.0.1:80", r.transport.requests[0].URL.Host); diff != "" {
		t.Errorf("upstream in the data centre of the VM (-want +got):\n%s", diff)
	}
}

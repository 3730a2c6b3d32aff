package mpproxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// streamTransport answers with a stream, of which nothing arrives any more once the attempt is given up.
type streamTransport struct{ attempts int }

func (s *streamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.attempts++
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body := &cancelledReader{ctx: r.Context(), rest: events}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), TransferEncoding: []string{"chunked"}, ContentLength: -1}, nil
}

// cancelledReader returns an event at each read until its context is cancelled.
type cancelledReader struct {
	ctx  context.Context
	rest string
}

func (r *cancelledReader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if r.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, r.rest[:len(events)/2])
	r.rest = r.rest[n:]
	return n, nil
}

// slowReader is a caller that takes its time to read.
type slowReader struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w slowReader) Write(b []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(b)
}

// Guards against a caller that reads its stream slowly, for which the upstream was taken for silent: the
// stream went on at another one, and the first was avoided.
func TestSlowReaderIsNotTheUpstreamsFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, transport := newHarness(t), &streamTransport{}
		r.p.cfg.Transport = transport
		w := slowReader{httptest.NewRecorder(), 2*eventGapTimeout + time.Second}
		r.p.Serve(t.Context(), w, request("/tale/"))
		if diff := cmp.Diff(events, w.Body.String()); diff != "" {
			t.Errorf("stream (-want +got):\n%s", diff)
		}
		if transport.attempts != 1 {
			t.Errorf("%d attempts, want one", transport.attempts)
		}
		checkNext(t, r, "u1")
	})
}

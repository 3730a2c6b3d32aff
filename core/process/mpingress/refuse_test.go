package mpingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmemory"
)

// Guards against a handler that cannot let a connection end with a reset, by which its client learns that a
// response without a length is not whole.
func TestHandlersReachTheSocket(t *testing.T) {
	type key struct{}
	s := New(Config{
		Memory:      mpmemory.New(mpmemory.Config{Bytes: 1 << 20, ConnectionBytes: ConnectionBytes}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if err := r.Context().Value(key{}).(interface{ SetLinger(int) error }).SetLinger(0); err != nil {
				t.Error(err)
			}
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}),
	})
	l, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if body, err := io.ReadAll(resp.Body); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("response ends with %q and %v, want a reset", body, err)
	}
}

// Guards against a refusal that waits for a body that does not come, that breaks the connection of a client
// that sends all of it first, or that hides that the body is malformed.
func TestRefuseUnread(t *testing.T) {
	const unread = "POST /unread HTTP/1.1\r\nHost: h\r\n"
	refused := func(closes bool) answer { return answer{Status: 404, Body: "none", Closes: closes} }
	for name, c := range map[string]struct {
		text   string
		want   answer
		after  time.Duration
		closes bool
	}{
		"the whole body":           {text: unread + "Content-Length: 500000\r\n\r\n" + strings.Repeat("x", 500_000), want: refused(false)},
		"no body":                  {text: "GET /unread HTTP/1.1\r\nHost: h\r\n\r\n", want: refused(false)},
		"a part of the body":       {text: unread + "Content-Length: 500000\r\n\r\n" + strings.Repeat("x", 400_000), want: refused(true), after: refusalPatience},
		"nothing of the body":      {text: unread + "Content-Length: 5\r\n\r\n", want: refused(true), after: refusalPatience},
		"a client that asks first": {text: unread + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", want: refused(true)},
		"a malformed body":         {text: unread + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", want: answer{Status: 400, Closes: true}},
		"a body that is too long":  {text: unread + "Content-Length: 5000000\r\n\r\n", want: answer{Status: 413, Closes: true}},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4*ConnectionBytes, 0, func(f *fixture) {
				f.server.cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					RefuseUnread(w, r, testBodyLimit, func(w http.ResponseWriter) {
						w.WriteHeader(http.StatusNotFound)
						_, _ = w.Write([]byte("none"))
					})
				})
				caller, start := f.dial(), time.Now()
				caller.send(c.text)
				got := caller.receive()
				if c.want.Body == "" {
					got.Body = "" // The text tells what is wrong with the body.
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("response (-want +got):\n%s", diff)
				}
				if took := time.Since(start); took != c.after {
					t.Errorf("answered after %v, want %v", took, c.after)
				}
				if !c.want.Closes {
					caller.send("GET /unread HTTP/1.1\r\nHost: h\r\n\r\n")
					caller.check(refused(false))
				}
			})
		})
	}
}

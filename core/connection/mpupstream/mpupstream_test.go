package mpupstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mustardpost.org/core/common/mperror"
)

const (
	textEvents   = `data: {"choices":[{"text":"a"}]}` + "\n\n" + `data: {"choices":[{"text":"b","finish_reason":"stop"}]}` + "\n\n"
	closingEvent = "data: [DONE]\n\n"
)

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func call(address string) Call {
	return Call{Address: address, Method: http.MethodPost, Path: "/", Attempt: 7, Remaining: time.Second}
}

func checkFailure(t *testing.T, f *Failure, want error, sent bool) {
	t.Helper()
	switch {
	case want == nil && f != nil:
		t.Errorf("failed: %v", f)
	case want != nil && f == nil:
		t.Errorf("complete response, want %v", want)
	case f != nil && (!errors.Is(f, want) || f.Sent != sent):
		t.Errorf("failed with %v, sent %t, want %v, sent %t", f, f.Sent, want, sent)
	}
}

// hijack writes text and then closes the connection.
func hijack(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

func TestStream(t *testing.T) {
	endless := func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", strings.Repeat("x", 32<<10)); err != nil {
				return
			}
		}
	}
	comments := func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat(":\n", 16<<10)); err != nil {
				return
			}
		}
	}
	write := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"complete", write(textEvents + closingEvent), nil},
		{"without the closing event", write(textEvents), mperror.ErrConnectionLost},
		{"without a finish reason", write(`data: {"choices":[{"text":"a"}]}` + "\n\n" + closingEvent), mperror.ErrBadResponse},
		{"broken event", write("data: {\n\n" + closingEvent), mperror.ErrBadResponse},
		{"event above the size limit", write("data: " + strings.Repeat("x", 2*maxEventBytes)), mperror.ErrBadResponse},
		{"endless stream", endless, mperror.ErrBadResponse},
		{"comments without end", comments, mperror.ErrBadResponse},
		{"connection lost in the middle of the stream", func(w http.ResponseWriter, _ *http.Request) {
			hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"+textEvents)
		}, mperror.ErrConnectionLost},
		{"connection lost before the response header", func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }, mperror.ErrConnectionLost},
		{"status 503 for overload", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, mperror.ErrFull},
		{"status 502", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, mperror.ErrBadResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got strings.Builder
			_, _, f := New().Stream(context.Background(), call(serve(t, c.handler)), func(text string) error {
				got.WriteString(text)
				return nil
			})
			checkFailure(t, f, c.want, true)
			if c.want == nil && got.String() != "ab" {
				t.Errorf("text %q, want ab", got.String())
			}
			if got.Len() > maxTextBytes {
				t.Errorf("%d bytes passed on, more than maxTextBytes", got.Len())
			}
		})
	}
}

// Guards against a refusal whose body drips without end: the request could not go on at
// another upstream before its deadline.
func TestRefusalWithSlowBody(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, "z"); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			<-time.After(10 * time.Millisecond)
		}
	})
	_, f := New().Do(ctx, call(address))
	checkFailure(t, f, mperror.ErrFull, true)
	if err := ctx.Err(); err != nil {
		t.Errorf("the refusal was reported after the deadline: %v", err)
	}
}

func TestDo(t *testing.T) {
	t.Run("response to another attempt", func(t *testing.T) {
		c := call(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(AttemptHeader, "0000000000000008")
		}))
		c.RequireEcho = true
		_, f := New().Do(context.Background(), c)
		checkFailure(t, f, mperror.ErrBadResponse, true)
	})
	t.Run("response to this attempt", func(t *testing.T) {
		c := call(serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
		}))
		c.RequireEcho = true
		_, f := New().Do(context.Background(), c)
		checkFailure(t, f, nil, true)
	})
	t.Run("endless response", func(t *testing.T) {
		_, f := New().Do(context.Background(), call(serve(t, func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		})))
		checkFailure(t, f, mperror.ErrBadResponse, true)
	})
	t.Run("connection refused", func(t *testing.T) {
		_, f := New().Do(context.Background(), call("127.0.0.1:1"))
		checkFailure(t, f, mperror.ErrConnectionLost, false)
	})
	t.Run("transport does not retry a call with NoRetry", func(t *testing.T) {
		seen := 0
		c := call(serve(t, func(w http.ResponseWriter, _ *http.Request) {
			seen++
			hijack(w, "")
		}))
		c.NoRetry, c.Method = true, http.MethodPut
		_, f := New().Do(context.Background(), c)
		checkFailure(t, f, mperror.ErrConnectionLost, true)
		if seen != 1 {
			t.Errorf("upstream received %d calls, want 1", seen)
		}
	})
}

// Guards against taking a response that was broken off for a complete one.
func TestEndOfResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		response string
		want     error
	}{
		"length":                             {head + "Content-Length: 5\r\n\r\nwhole", nil},
		"length that is not reached":         {head + "Content-Length: 5\r\n\r\nwho", mperror.ErrConnectionLost},
		"chunks without the last one":        {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n", mperror.ErrConnectionLost},
		"text that ends with its connection": {head + "\r\nwho", mperror.ErrBadResponse},
		"JSON that ends with its connection": {head + "\r\n{\"a\":[1,2]}", nil},
		"JSON that is broken off":            {head + "\r\n{\"a\":[1,", mperror.ErrBadResponse},
		"number that may be broken off":      {head + "\r\n12", mperror.ErrBadResponse},
		"nothing, and the connection ends":   {head + "\r\n", mperror.ErrBadResponse},
	} {
		t.Run(name, func(t *testing.T) {
			_, f := New().Do(t.Context(), call(serve(t, func(w http.ResponseWriter, _ *http.Request) { hijack(w, c.response) })))
			checkFailure(t, f, c.want, true)
		})
	}
	t.Run("a refusal of a stream", func(t *testing.T) {
		response := "HTTP/1.1 400 Bad Request\r\nContent-Length: 5\r\n\r\nwho"
		_, _, f := New().Stream(t.Context(), call(serve(t, func(w http.ResponseWriter, _ *http.Request) { hijack(w, response) })), nil)
		checkFailure(t, f, mperror.ErrConnectionLost, true)
	})
}

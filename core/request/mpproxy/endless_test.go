package mpproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
)

const (
	// socketBufferBytes is more than the kernel buffers on a connection whose reader has
	// stopped.
	socketBufferBytes = 16 << 20
	// closeTimeout limits how long after the request the connection stays open.
	closeTimeout = time.Second
)

// endlessUpstream answers each request with prefix, and then sends repeat at intervals of
// gap until the connection is closed.
type endlessUpstream struct {
	prefix, repeat string
	gap            time.Duration
	// closed receives the number of bytes that were written to each connection when the
	// other side has closed it.
	closed chan int
}

func (u *endlessUpstream) start(t *testing.T) (address string) {
	t.Helper()
	u.closed = make(chan int, 8)
	return listen(t, u.answer)
}

// listen returns the address of an upstream that calls answer for each connection.
func listen(t *testing.T, answer func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c)
		}
	}()
	return l.Addr().String()
}

func (u *endlessUpstream) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	written, err := io.WriteString(c, u.prefix)
	for err == nil {
		var n int
		n, err = io.WriteString(c, u.repeat)
		written += n
		<-time.After(u.gap)
	}
	u.closed <- written
}

// startWhole returns the address of an upstream that answers every request with response.
func startWhole(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, response)
	})}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// newEndlessHarness returns a harness with real connections to two upstreams. The first
// one, u1, is preferred.
func newEndlessHarness(t *testing.T, first, second string) *harness {
	t.Helper()
	r := newHarness(t)
	transport := mpupstream.NewTransport(mpupstream.NewDialer(nil).DialContext, mpmetric.New())
	t.Cleanup(transport.CloseIdleConnections)
	r.p.cfg.Transport = transport
	r.p.cfg.State = staticState{r.p.cfg.State.Table(), mplist.New(time.Now(), []mplist.Row{
		{ID: "u1", Pool: "app", Address: first, DC: "a", Slots: 4, Version: "v1"}, {ID: "u2", Pool: "app", Address: second, DC: "b", Slots: 4, Version: "v1"},
	})}
	return r
}

// checkClosed reports an error if the upstream's connection stays open or if more than
// limit bytes of it were read.
func checkClosed(t *testing.T, u *endlessUpstream, limit int) {
	t.Helper()
	select {
	case n := <-u.closed:
		if n > limit+socketBufferBytes {
			t.Errorf("%d bytes were taken from the upstream, want at most %d and what the kernel buffers", n, limit)
		}
	case <-time.After(closeTimeout):
		t.Errorf("the connection is open %v after the request", closeTimeout)
	}
}

// checkNext reports an error if the next request does not go to the upstream called want.
// It goes to u2 while u1 is avoided for a fault.
func checkNext(t *testing.T, r *harness, want string) {
	t.Helper()
	row, _ := r.p.cfg.Selector.Pick(time.Now(), r.p.candidates(r.p.cfg.State.Table().Pool("app")), mpselect.PickInfo{Work: 1, DC: "a"})
	if row.ID != want {
		t.Errorf("the next request goes to %s, want %s", row.ID, want)
	}
}

// Guards against upstreams that send bytes without end, at once or slowly, in a head or a
// body. Such bytes filled the memory of the VM, kept a stream that could go on elsewhere,
// or were not counted as a fault of the upstream.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		drip    = 20 * time.Millisecond
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	kilobyte := strings.Repeat("z", 1<<10)
	chunk := "400\r\n" + kilobyte + "\r\n"
	for name, c := range map[string]struct {
		path string
		u    endlessUpstream
		// limit is how many bytes may be read.
		limit int
		// second is what the other upstream answers.
		second string
	}{
		"status line":                        {"/read/", endlessUpstream{repeat: kilobyte}, 64 << 10, "whole"},
		"head":                               {"/read/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n", repeat: "X: " + kilobyte + "\r\n"}, 64 << 10, "whole"},
		"head, slowly":                       {"/read/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n", repeat: "X: y\r\n", gap: drip}, 64 << 10, "whole"},
		"interim heads":                      {"/read/", endlessUpstream{repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"}, 64 << 10, "whole"},
		"head of a stream":                   {"/tale/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n", repeat: "X: " + kilobyte + "\r\n"}, 64 << 10, events},
		"head of a stream, slowly":           {"/tale/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n", repeat: "X: y\r\n", gap: drip}, 64 << 10, events},
		"body in chunks":                     {"/read/", endlessUpstream{prefix: chunked, repeat: chunk}, maxResponseBytes, "whole"},
		"body in chunks, slowly":             {"/read/", endlessUpstream{prefix: chunked, repeat: "1\r\nz\r\n", gap: drip}, maxResponseBytes, "whole"},
		"body that ends with its connection": {"/read/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\n\r\n", repeat: kilobyte}, maxResponseBytes, "whole"},
		"body with a length":                 {"/read/", endlessUpstream{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", repeat: kilobyte}, 64 << 10, "whole"},
		"event of a stream":                  {"/tale/", endlessUpstream{prefix: chunked, repeat: chunk}, maxEventBytes, events},
		"event of a stream, slowly":          {"/tale/", endlessUpstream{prefix: chunked, repeat: "1\r\nz\r\n", gap: drip}, maxEventBytes, events},
		"lines of a stream":                  {"/tale/", endlessUpstream{prefix: chunked, repeat: "400\r\n" + strings.Repeat(":\n", 1<<9) + "\r\n"}, maxEventBytes, events},
		"lines of a stream, slowly":          {"/tale/", endlessUpstream{prefix: chunked, repeat: "2\r\n:\n\r\n", gap: drip}, maxEventBytes, events},
		"event after a whole one, slowly":    {"/tale/", endlessUpstream{prefix: chunked + "f\r\nid: 1\ndata: a\n\n\r\n", repeat: "1\r\nz\r\n", gap: drip}, maxEventBytes, "id: 2\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := answer{Status: 200, Body: "whole"}
			if c.path == "/tale/" {
				want.Body = events
			}
			r := newEndlessHarness(t, c.u.start(t), startWhole(t, c.second))
			checkAnswer(t, want, r.serve(t.Context(), request(c.path)))
			checkClosed(t, &c.u, c.limit)
			checkNext(t, r, "u2")
		})
	}
}

// Guards against refusing the announced length of a body that is not sent.
func TestHeadOfLongBody(t *testing.T) {
	u := endlessUpstream{prefix: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", gap: 20 * time.Millisecond}
	r := newEndlessHarness(t, u.start(t), startWhole(t, "whole"))
	q := request("/read/")
	q.Method, q.Body = http.MethodHead, nil
	checkAnswer(t, answer{Status: 200}, r.serve(t.Context(), q))
	checkNext(t, r, "u1")
}

// Guards against a stream that may not be resumed and that sends a line, or lines, without
// end: its caller got them until its deadline.
func TestStreamWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		repeat string
		limit  int
	}{
		"one line": {"400\r\n" + strings.Repeat("z", 1<<10) + "\r\n", maxEventBytes},
		"events":   {"400\r\n" + strings.Repeat("z\n\n\n", 1<<8) + "\r\n", maxStreamBytes},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := endlessUpstream{prefix: head, repeat: c.repeat}
			r := newEndlessHarness(t, u.start(t), startWhole(t, events))
			q := request("/once/")
			q.Pieces = []int{0, 0}
			if got := r.serve(t.Context(), q); !got.Aborted || len(got.Body) > c.limit {
				t.Errorf("the caller got %d bytes, cut off: %t; want at most %d", len(got.Body), got.Aborted, c.limit)
			}
			checkClosed(t, &u, c.limit)
			checkNext(t, r, "u2")
		})
	}
}

// Guards against blaming an upstream for a caller that has left: it was avoided though it
// had done nothing wrong. A caller that leaves a silent stream shows the upstream's fault.
func TestUpstreamIsNotBlamedForItsCaller(t *testing.T) {
	const (
		stream = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n"
		drip   = 20 * time.Millisecond
		never  = 10 * time.Second
	)
	for name, c := range map[string]struct {
		path, prefix string
		gap          time.Duration
		leaves       time.Duration
		// next is the upstream that gets the next request.
		next string
	}{
		"body":          {"/read/", "HTTP/1.1 200 OK\r\n\r\n", drip, 200 * time.Millisecond, "u1"},
		"stream":        {"/once/", stream, drip, 200 * time.Millisecond, "u1"},
		"silent stream": {"/once/", stream, never, eventGapTimeout + 200*time.Millisecond, "u2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := endlessUpstream{prefix: c.prefix, repeat: "z", gap: c.gap}
			r := newEndlessHarness(t, u.start(t), startWhole(t, events))
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(c.leaves, func() { cancel(errors.New("caller left")) })
			q := request(c.path)
			if c.path == "/once/" {
				q.Pieces = []int{0, 0}
			}
			r.serve(ctx, q)
			checkNext(t, r, c.next)
		})
	}
}

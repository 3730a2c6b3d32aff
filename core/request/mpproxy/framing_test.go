package mpproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// ending is what a caller can tell from the end of an answer.
type ending string

const (
	complete ending = "complete"
	// brokenOff answers are cut, reset, or end inside an event.
	brokenOff ending = "broken off"
	// unmarked answers end with their connection, which leaves open whether they are whole.
	unmarked ending = "unmarked"
)

const (
	closeHead   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// script is the response of an upstream to each request: its bytes, and whether the
// connection is reset after them instead of closed.
type script struct {
	response string
	reset    bool
}

// chunked returns a response with one chunk and, if ended is set, the last chunk.
func chunked(body string, ended bool) string {
	s := chunkedHead + string("0123456789abcdef"[len(body)/16]) + string("0123456789abcdef"[len(body)%16]) + "\r\n" + body + "\r\n"
	if ended {
		s += "0\r\n\r\n"
	}
	return s
}

func (s script) start(t *testing.T) (address string) {
	t.Helper()
	return listen(t, s.answer)
}

func (s script) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = io.WriteString(c, s.response)
	if s.reset {
		<-time.After(50 * time.Millisecond) // The other side reads what was sent.
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// received is what a caller gets.
type received struct {
	Status int
	Ending ending
	Body   string
}

// call sends a request to the proxy over a connection and reads the answer up to its end.
func (r *harness) call(method, path, version, lastEventID string) received {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		q := request(path)
		q.Method, q.Body, q.LastEventID, q.Pieces = hr.Method, nil, lastEventID, []int{0, 0}
		q.HTTP10 = !hr.ProtoAtLeast(1, 1)
		r.p.Serve(hr.Context(), w, q)
	})}
	r.t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, method+" "+path+" "+version+"\r\nHost: h\r\n\r\n")
	return readAnswer(r.t, c, method)
}

func readAnswer(t *testing.T, c net.Conn, method string) received {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return received{Ending: brokenOff}
	}
	body, err := io.ReadAll(resp.Body)
	out := received{Status: resp.StatusCode, Ending: complete, Body: string(body)}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead
	inside := strings.Contains(out.Body, "data:") && !strings.HasSuffix(out.Body, "\n\n") && !strings.HasSuffix(out.Body, "\r\n\r\n")
	switch {
	case err != nil || unframed && inside:
		out.Ending = brokenOff
	case unframed:
		out.Ending = unmarked
	}
	if out.Ending == brokenOff || resp.StatusCode != http.StatusOK {
		out.Body = "" // How much of it arrives depends on timing.
	}
	return out
}

// Guards against answers that were broken off and that reach their caller as complete, or
// answers that may be whole and are reported as broken off. Upstreams that send neither a
// length nor chunks close the connection when they are done and when they crash.
func TestEndOfAnswer(t *testing.T) {
	const http10, http11 = "HTTP/1.0", "HTTP/1.1"
	badGateway := received{Status: http.StatusBadGateway, Ending: complete}
	cut := received{Status: http.StatusOK, Ending: brokenOff}
	for name, c := range map[string]struct {
		method, path, version string
		lastEventID           string
		first, second         script
		want                  received
	}{
		"close, inside an event": {
			path: "/once/", first: script{response: closeHead + firstEvent + "id: 2\nda"}, want: cut,
		},
		"close, without the last line end": {
			path: "/once/", first: script{response: closeHead + firstEvent + "id: 2\ndata: b\n"}, want: cut,
		},
		"close, after an event": {
			path: "/once/", first: script{response: closeHead + firstEvent}, want: received{200, unmarked, firstEvent},
		},
		"close, after an event of lines with carriage returns": {
			path: "/once/", first: script{response: closeHead + "id: 1\r\ndata: a\r\n\r\n"}, want: received{200, unmarked, "id: 1\r\ndata: a\r\n\r\n"},
		},
		"close, without an event": {
			path: "/once/", first: script{response: closeHead}, want: badGateway,
		},
		"close, without an event after the caller's last one": {
			path: "/once/", lastEventID: "2", first: script{response: closeHead}, want: received{200, unmarked, ""},
		},
		"reset after an event": {
			path: "/once/", first: script{response: closeHead + firstEvent, reset: true}, want: cut,
		},
		"chunks that end inside an event": {
			path: "/once/", first: script{response: chunked(firstEvent+"id: 2\nda", true)}, want: cut,
		},
		"length that ends inside an event": {
			path: "/once/", first: script{response: "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + firstEvent + "da"}, want: cut,
		},
		"chunks without the last one": {
			path: "/once/", first: script{response: chunked(firstEvent, false)}, want: cut,
		},
		"chunks": {
			path: "/once/", first: script{response: chunked(firstEvent, true)}, want: received{200, complete, firstEvent},
		},
		"chunks that end with a comment": {
			path: "/once/", first: script{response: chunked(firstEvent+": b\n", true)}, want: received{200, complete, firstEvent + ": b\n"},
		},
		"resumed after a close inside an event": {
			path: "/tale/", first: script{response: closeHead + firstEvent + "id: 2\nda"}, second: script{response: chunked(secondEvent, true)},
			want: received{200, unmarked, events},
		},
		"resumed after chunks that end inside an event": {
			path: "/tale/", first: script{response: chunked(firstEvent+"id: 2\nda", true)}, second: script{response: chunked(secondEvent, true)},
			want: received{200, complete, events},
		},
		"resumed, and closed after an event": {
			path: "/tale/", first: script{response: chunked(firstEvent, false)}, second: script{response: closeHead + secondEvent}, want: cut,
		},
		"resumed, and closed inside an event": {
			path: "/tale/", first: script{response: closeHead + firstEvent + "id"}, second: script{response: closeHead + secondEvent + "id"}, want: cut,
		},
		"resumed, and reset after an event": {
			path: "/tale/", first: script{response: closeHead + firstEvent, reset: true}, second: script{response: closeHead + secondEvent, reset: true}, want: cut,
		},
		"sent again without an event": {
			path: "/tale/", first: script{response: closeHead}, second: script{response: chunked(events, true)}, want: received{200, complete, events},
		},
		"sent again without an event, twice": {
			path: "/tale/", first: script{response: closeHead}, second: script{response: closeHead}, want: badGateway,
		},
		"HTTP/1.0, chunks without the last one": {
			path: "/once/", version: http10, first: script{response: chunked(firstEvent, false)}, want: cut,
		},
		"HTTP/1.0, chunks that end inside an event": {
			path: "/tale/", version: http10, first: script{response: chunked(firstEvent+"id: 2\nda", true)}, second: script{response: chunked(secondEvent+"id", true)}, want: cut,
		},
		"HTTP/1.0, chunks": {
			path: "/once/", version: http10, first: script{response: chunked(firstEvent, true)}, want: received{200, unmarked, firstEvent},
		},
		"body that ends with its connection": {
			path: "/post/", first: script{response: closeHead + "whole"}, want: received{200, unmarked, "whole"},
		},
		"body that ends with its connection, HTTP/1.0": {
			path: "/post/", version: http10, first: script{response: closeHead + "whole"}, want: received{200, unmarked, "whole"},
		},
		"empty body that ends with its connection": {
			path: "/post/", first: script{response: closeHead}, want: received{200, unmarked, ""},
		},
		"body that ends with a reset": {
			path: "/post/", first: script{response: closeHead + "who", reset: true}, want: badGateway,
		},
		"body with a length": {
			path: "/post/", first: script{response: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"}, want: received{200, complete, "whole"},
		},
		"HEAD without a length": {
			method: http.MethodHead, path: "/post/", first: script{response: closeHead}, want: received{200, complete, ""},
		},
		"HEAD of a stream": {
			method: http.MethodHead, path: "/once/", first: script{response: closeHead}, want: received{200, complete, ""},
		},
		"HEAD that is cut": {
			method: http.MethodHead, path: "/once/", first: script{response: closeHead[:20]}, want: badGateway,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.method == "" {
				c.method = http.MethodPost
			}
			if c.version == "" {
				c.version = http11
			}
			r := newEndlessHarness(t, c.first.start(t), c.second.start(t))
			if diff := cmp.Diff(c.want, r.call(c.method, c.path, c.version, c.lastEventID)); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

package mphttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmemory"
)

// settleTimeout is how long what is checked may take to come about.
const settleTimeout = 5 * time.Second

// limited is a Server with a budget, whose handler answers a body with its length.
type limited struct {
	t      *testing.T
	server *Server
	memory *mpmemory.Budget

	mu     sync.Mutex
	events map[mpmemory.Kind]int
}

func newLimited(t *testing.T, memory int64, connections int, before func(*http.Request)) *limited {
	t.Helper()
	UseLogger(log.NewNopLogger())
	l := &limited{t: t, events: map[mpmemory.Kind]int{}}
	l.memory = mpmemory.New(mpmemory.Config{
		Bytes: memory, Connections: connections, ConnectionBytes: ConnectionBytes,
		OnEvent: func(e mpmemory.Event) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.events[e.Kind]++
		},
	})
	l.server = New(Config{
		Name: "caller", Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, Logger: log.NewNopLogger(), Memory: l.memory,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Errorf("body: %v", err)
			}
			if before != nil {
				before(r)
			}
			_, _ = io.WriteString(w, strconv.Itoa(len(body)))
		}),
	})
	if err := l.server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.server.Stop)
	return l
}

// client is a connection to a limited server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (l *limited) dial() *client {
	l.t.Helper()
	c, err := net.Dial("tcp", l.server.Address())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, t: l.t, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// check reads the next response. If retry is set, it must say when to come back.
func (c *client) check(status int, body string, retry bool) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(settleTimeout))
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	got, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if r.StatusCode != status || body != "" && string(got) != body || (r.Header.Get("Retry-After") != "") != retry {
		c.t.Errorf("answered %d %q, Retry-After %q; want %d %q", r.StatusCode, got, r.Header.Get("Retry-After"), status, body)
	}
}

// eventually waits until f returns true.
func (l *limited) eventually(what string, f func() bool) {
	l.t.Helper()
	for end := time.Now().Add(settleTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			l.t.Fatalf("%s: not after %v; use %+v, events %v", what, settleTimeout, l.memory.Stats(), l.events)
		}
	}
}

// pending returns how many bytes the engine keeps for one client at most.
func (l *limited) pending() (most int64) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	for sess := range l.server.sessions {
		most = max(most, sess.output.pending())
	}
	return most
}

// checkReleased checks that nothing is reserved once all connections are closed.
func (l *limited) checkReleased(clients ...*client) {
	l.t.Helper()
	for _, c := range clients {
		_ = c.Close()
	}
	l.eventually("all is released", func() bool { s := l.memory.Stats(); return s.Used == 0 && s.Open == 0 && s.Waiting == 0 })
}

func post(body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func short(body string) string { text := post(body); return text[:len(text)-1] }

// Guards against bodies that stop short of their end, and keep others out or stay for ever.
func TestStalledBodies(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	l := newLimited(t, 2*mpmemory.HeldCopies*300<<10, 0, nil)
	first := l.dial()
	first.send(short(body))
	l.eventually("the first body is held", func() bool { return l.memory.Stats().Used > mpmemory.HeldCopies*200<<10 })
	second := l.dial()
	second.send(post(body))
	second.check(200, strconv.Itoa(len(body)), false)
	first.check(503, "", true)
	third := l.dial()
	third.send(short("xyz"))
	l.eventually("the third body is held", func() bool { return l.memory.Stats().Used > 2*ConnectionBytes })
	l.eventually("all responses are flushed", func() bool { return l.pending() == 0 })
	l.server.checkStalled(time.Now().Add(mpmemory.StallTimeout - time.Second))
	l.server.checkStalled(time.Now().Add(mpmemory.StallTimeout))
	third.check(408, "", false)
	l.checkReleased(first, second, third)
	l.mu.Lock()
	defer l.mu.Unlock()
	if diff := cmp.Diff(map[mpmemory.Kind]int{mpmemory.Ended: 1, mpmemory.Stalled: 1}, l.events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against a refusal that is taken for the answer to a request that runs, and so promises that it
// does not.
func TestRefusalComesAfterEarlierResponses(t *testing.T) {
	release := make(chan struct{})
	l := newLimited(t, 2*mpmemory.HeldCopies*100<<10, 0, func(*http.Request) { <-release })
	c := l.dial()
	c.send(post("xyz"))
	l.eventually("the request runs", func() bool { return l.server.InFlight() == 1 })
	c.send(post(strings.Repeat("x", 200<<10)))
	l.eventually("the next one is refused", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.events[mpmemory.Refused] > 0
	})
	close(release)
	c.check(200, "3", false)
	c.check(503, "", true)
	l.checkReleased(c)
}

// Guards against a body over the limit that is read before it is refused, although its length is announced.
func TestOversizedBody(t *testing.T) {
	for name, text := range map[string]string{
		"announced": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n",
		"sent":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("80000\r\n"+strings.Repeat("x", 1<<19)+"\r\n", 3),
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimited(t, 32<<20, 0, nil)
			c := l.dial()
			go func() { _, _ = io.WriteString(c, text) }()
			c.check(413, "", false)
			l.checkReleased(c)
			l.mu.Lock()
			defer l.mu.Unlock()
			if diff := cmp.Diff(map[mpmemory.Kind]int{mpmemory.Oversized: 1}, l.events); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests that a client sends without end ahead of their responses.
func TestRequestsAheadOfResponses(t *testing.T) {
	release := make(chan struct{})
	l := newLimited(t, 8<<20, 0, func(*http.Request) { <-release })
	c := l.dial()
	c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", maxQueuedRequests+1))
	l.eventually("the connection is rejected", func() bool {
		l.server.mu.Lock()
		defer l.server.mu.Unlock()
		for sess := range l.server.sessions {
			sess.mu.Lock()
			defer sess.mu.Unlock()
			return sess.isRejected
		}
		return false
	})
	close(release)
	for range maxQueuedRequests + 1 {
		c.check(200, "0", false)
	}
	c.check(400, "", false)
	l.checkReleased(c)
}

// Guards against a client that reads nothing of a response: the engine kept all of it in memory, and the
// request did not end.
func TestClientThatReadsNothing(t *testing.T) {
	l := newLimited(t, 8<<20, 0, nil)
	ended := make(chan struct{})
	l.server.cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for range 64 {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				<-r.Context().Done()
				return
			}
		}
		t.Error("the whole response was taken")
	})
	c := l.dial()
	c.send(post("xyz"))
	l.eventually("a response is pending", func() bool { return l.pending() > maxPendingBytes })
	if got := l.pending(); got > 2*maxPendingBytes {
		t.Errorf("%d bytes of a response are kept", got)
	}
	l.server.checkStalled(time.Now().Add(mpmemory.StallTimeout))
	<-ended
	l.checkReleased(c)
	l.mu.Lock()
	defer l.mu.Unlock()
	if diff := cmp.Diff(map[mpmemory.Kind]int{mpmemory.Unread: 1}, l.events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Guards against connections without end.
func TestConnectionsAreBounded(t *testing.T) {
	l := newLimited(t, 8<<20, 4, nil)
	var clients []*client
	for range 10 {
		clients = append(clients, l.dial())
		clients[len(clients)-1].send(post("xyz"))
		clients[len(clients)-1].check(200, "3", false)
	}
	l.eventually("half of the connections are open", func() bool { return l.memory.Stats().Open == 2 })
	l.checkReleased(clients...)
}

// Guards against responses that are cut or mixed up while the client reads slowly.
func TestLongResponse(t *testing.T) {
	long := strings.Repeat("0123456789", 1<<20)
	s := New(Config{Name: "caller", Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, Logger: log.NewNopLogger(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	resp, err := http.Get("http://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(100 * time.Millisecond)
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != long {
		t.Errorf("got %d of %d bytes, equal: %v, %v", len(got), len(long), string(got) == long, err)
	}
}

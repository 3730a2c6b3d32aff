package mpingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmemory"
)

const (
	testBodyLimit     = 1 << 20
	testHeaderTimeout = 3 * time.Second
	testIdleTimeout   = 20 * time.Second
)

// fixture is a Server whose clients connect over pipes, and which answers a body with its length.
type fixture struct {
	t      *testing.T
	server *Server
	memory *mpmemory.Budget
	conns  chan net.Conn
	// afterBody is called by the handler before it answers.
	afterBody func(http.ResponseWriter, *http.Request)
	events    map[mpmemory.Kind]int
}

// Accept, Close and Addr make the fixture a listener.
func (f *fixture) Accept() (net.Conn, error) {
	c, ok := <-f.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (f *fixture) Close() error   { return nil }
func (f *fixture) Addr() net.Addr { return &net.TCPAddr{} }

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, testBodyLimit)
	if err != nil {
		Refuse(w, r, err)
		return
	}
	if f.afterBody != nil {
		f.afterBody(w, r)
	}
	_, _ = fmt.Fprint(w, len(body))
}

// run runs f in a bubble with virtual time, with a budget of the given size. Afterwards it checks that
// all reservations were released.
func run(t *testing.T, memory int64, connections int, test func(*fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, conns: make(chan net.Conn), events: map[mpmemory.Kind]int{}}
		f.memory = mpmemory.New(mpmemory.Config{
			Bytes: memory, Connections: connections, ConnectionBytes: ConnectionBytes,
			OnEvent: func(e mpmemory.Event) { f.events[e.Kind]++ },
		})
		f.server = New(Config{Handler: f, Memory: f.memory, HeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout, MaxHeaderBytes: 16 << 10})
		go func() { _ = f.server.Serve(f) }()
		test(f)
		close(f.conns)
		_ = f.server.Close()
		time.Sleep(lingerTimeout) // net/http keeps connections open as long after some refusals.
		synctest.Wait()
		if diff := cmp.Diff(mpmemory.Stats{Limit: memory, Connections: connections}, f.memory.Stats()); diff != "" {
			t.Errorf("use after all connections closed (-want +got):\n%s", diff)
		}
	})
}

// client is one end of a connection.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	ours, theirs := net.Pipe()
	f.conns <- theirs
	f.t.Cleanup(func() { _ = ours.Close() })
	return &client{Conn: ours, t: f.t, reader: bufio.NewReader(ours)}
}

// send writes text in the background, since pipes have no buffer.
func (c *client) send(text string) {
	go func() { _, _ = c.Write([]byte(text)) }()
	synctest.Wait()
}

// answer is what the tests compare of a response.
type answer struct {
	Status     int
	Body       string
	RetryAfter string
	Closes     bool
}

// receive reads the next response.
func (c *client) receive() answer {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatalf("response broke off: %v", err)
	}
	return answer{r.StatusCode, string(body), r.Header.Get("Retry-After"), r.Close}
}

func (c *client) check(want answer) {
	c.t.Helper()
	if diff := cmp.Diff(want, c.receive()); diff != "" {
		c.t.Errorf("response (-want +got):\n%s", diff)
	}
}

// checkClosed checks that the server closes the connection within d.
func (c *client) checkClosed(d time.Duration) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(d))
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("connection not closed: %v", err)
	}
}

func post(body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunked(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return chunkedHead + b.String() + "0\r\n\r\n"
}

var outOfMemory = answer{503, "out of memory\n", "1", true}

func ok(n int) answer { return answer{Status: 200, Body: strconv.Itoa(n)} }

// Guards against bodies inside the limits that are cut, refused or kept, and against connections that
// cannot be used again after them.
func TestBodiesInsideTheLimits(t *testing.T) {
	run(t, 4<<20, 0, func(f *fixture) {
		c := f.dial()
		for _, n := range []int{0, 1, 100, firstBufferBytes, firstBufferBytes + 1, 100_000, testBodyLimit - 1, testBodyLimit} {
			body := strings.Repeat("x", n)
			for _, text := range []string{post(body), chunked(body, 100_000), chunked(body, 1+n/100)} {
				c.send(text)
				c.check(ok(n))
			}
		}
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + post("x") + post("xx"))
		for n := range 3 {
			c.check(ok(n))
		}
		synctest.Wait()
		if got := f.memory.Stats().Used; got != ConnectionBytes {
			f.t.Errorf("an idle connection holds %d bytes", got)
		}
	})
}

// Guards against clients that hold a body open, and against a refusal that does not say what happened.
func TestBodiesOutsideTheLimits(t *testing.T) {
	large := strings.Repeat("x", testBodyLimit+1)
	for name, c := range map[string]struct {
		text   string
		after  time.Duration
		status int
		kind   mpmemory.Kind
	}{
		"too long, as announced":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n", 0, 413, mpmemory.Oversized},
		"too long, in one chunk":       {chunked(large, len(large)), 0, 413, mpmemory.Oversized},
		"too long, in chunks":          {chunked(large, 1000), 0, 413, mpmemory.Oversized},
		"too long, and stalls":         {chunkedHead + "200000\r\n" + large, 0, 413, mpmemory.Oversized},
		"a byte short":                 {strings.TrimSuffix(post("xyz"), "z"), mpmemory.StallTimeout, 408, mpmemory.Stalled},
		"a chunk short":                {strings.TrimSuffix(chunked("xyz", 2), "0\r\n\r\n"), mpmemory.StallTimeout, 408, mpmemory.Stalled},
		"short of the last line":       {strings.TrimSuffix(chunked("xyz", 2), "\r\n"), mpmemory.StallTimeout, 408, mpmemory.Stalled},
		"a body that never begins":     {strings.TrimSuffix(post("xyz"), "xyz"), mpmemory.StallTimeout, 408, mpmemory.Stalled},
		"not a chunk":                  {chunkedHead + "zz\r\n", 0, 400, ""},
		"extensions without end":       {chunkedHead + strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", 10), 0, 400, ""},
		"a trailer without end":        {chunkedHead + "1\r\nx\r\n0\r\nT: " + strings.Repeat("t", 8<<10), 0, 400, ""},
		"an extension longer than 4 K": {chunkedHead + "1;" + strings.Repeat("e", 8<<10), 0, 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4<<20, 0, func(f *fixture) {
				caller, start := f.dial(), time.Now()
				caller.send(c.text)
				got := caller.receive()
				if got.Status != c.status || !got.Closes {
					t.Errorf("answered %+v, want status %d and a close", got, c.status)
				}
				if took := time.Since(start); took != c.after {
					t.Errorf("answered after %v, want %v", took, c.after)
				}
				caller.checkClosed(2 * time.Second)
				if c.kind != "" && f.events[c.kind] != 1 {
					t.Errorf("events %v, want one %s", f.events, c.kind)
				}
			})
		})
	}
}

// Guards against a body that arrives a byte at a time for as long as its client likes.
func TestSlowBody(t *testing.T) {
	for name, c := range map[string]struct {
		bytes  int
		every  time.Duration
		status int
		after  time.Duration
	}{
		"1 byte in 10 s":     {1, 10 * time.Second, 408, mpmemory.SlowAfter},
		"100 bytes a second": {100, time.Second, 408, mpmemory.SlowAfter},
		"2 KiB a second":     {2 << 10, time.Second, 200, 50 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 4<<20, 0, func(f *fixture) {
				caller, start := f.dial(), time.Now()
				body := strings.Repeat("x", 50*c.bytes)
				text := post(body)
				caller.send(text[:len(text)-len(body)])
				done := make(chan struct{})
				go func() {
					defer close(done)
					for range 50 {
						time.Sleep(c.every)
						if _, err := caller.Write([]byte(body[:c.bytes])); err != nil {
							return
						}
					}
				}()
				if got := caller.receive(); got.Status != c.status {
					t.Errorf("answered %+v, want status %d", got, c.status)
				}
				if took := time.Since(start); took != c.after {
					t.Errorf("answered after %v, want %v", took, c.after)
				}
				_ = caller.Close()
				<-done
			})
		})
	}
}

// Guards against a deadline of the body that outlives it: it would cancel the request while it runs, or
// close the connection before the next one.
func TestDeadlinesEndWithTheBody(t *testing.T) {
	for name, text := range map[string]string{"with a length": post("xyz"), "chunked": chunked("xyz", 1)} {
		t.Run(name, func(t *testing.T) {
			run(t, 4<<20, 0, func(f *fixture) {
				f.afterBody = func(_ http.ResponseWriter, r *http.Request) {
					time.Sleep(time.Minute)
					if err := r.Context().Err(); err != nil {
						t.Errorf("the context of a request that runs: %v", err)
					}
				}
				c := f.dial()
				for range 2 {
					// In two parts, so that the deadline is set.
					c.send(text[:len(text)-1])
					time.Sleep(time.Second)
					c.send(text[len(text)-1:])
					c.check(ok(3))
					time.Sleep(testIdleTimeout - time.Second)
				}
			})
		})
	}
}

// Guards against a client that disconnects unnoticed while its request runs.
func TestDisconnectCancels(t *testing.T) {
	run(t, 4<<20, 0, func(f *fixture) {
		ended := make(chan error, 1)
		f.afterBody = func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended <- r.Context().Err()
		}
		c := f.dial()
		c.send(post("xyz"))
		_ = c.Close()
		if err := <-ended; err == nil {
			t.Error("the context has no error")
		}
	})
}

// Guards against bodies that stop short of their end and keep others out.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const memory = 3 << 20
	run(t, memory, 0, func(f *fixture) {
		body := strings.Repeat("x", 400<<10)
		var stalled []*client
		for range 3 {
			c := f.dial()
			c.send(strings.TrimSuffix(post(body), "x"))
			stalled = append(stalled, c)
			time.Sleep(time.Second)
		}
		caller, start := f.dial(), time.Now()
		whole := strings.Repeat("x", testBodyLimit-100<<10)
		caller.send(post(whole))
		caller.check(ok(len(whole)))
		if took := time.Since(start); took > mpmemory.ReleaseTimeout {
			t.Errorf("answered after %v", took)
		}
		stalled[0].check(outOfMemory)
		stalled[0].checkClosed(time.Second)
		if f.events[mpmemory.Ended] == 0 {
			t.Errorf("events %v", f.events)
		}
		if used := f.memory.Stats().Used; used > memory {
			t.Errorf("%d bytes are held", used)
		}
	})
}

// Guards against a request that runs and is ended for another one, and against a refusal without
// Retry-After.
func TestRunningRequestsAreNotEnded(t *testing.T) {
	run(t, 1<<20, 0, func(f *fixture) {
		release := make(chan struct{})
		f.afterBody = func(http.ResponseWriter, *http.Request) { <-release }
		body := strings.Repeat("x", 300<<10)
		running := f.dial()
		running.send(post(body))
		time.Sleep(10 * time.Second)
		late := f.dial()
		late.send(post(body))
		late.check(outOfMemory)
		close(release)
		running.check(ok(len(body)))
		if f.events[mpmemory.Refused] != 1 || f.events[mpmemory.Ended] != 0 {
			t.Errorf("events %v, want one refusal", f.events)
		}
	})
}

// Guards against a head that is cut off without an answer for lack of memory, and against a connection for
// which there is no room.
func TestHeadsForWhichThereIsNoRoom(t *testing.T) {
	run(t, 4*ConnectionBytes, 0, func(f *fixture) {
		f.afterBody = func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) }
		running := f.dial()
		running.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		arriving := f.dial()
		arriving.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 12<<10))
		arriving.check(outOfMemory)
		arriving.checkClosed(time.Second)
		running.check(ok(0))
	})
	t.Run("of one that is ended", func(t *testing.T) {
		run(t, 8*ConnectionBytes, 0, func(f *fixture) {
			stalled := f.dial()
			stalled.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 12<<10))
			time.Sleep(time.Second)
			c := f.dial()
			c.send(post(strings.Repeat("x", 40<<10)))
			c.check(ok(40 << 10))
			stalled.check(outOfMemory)
			stalled.checkClosed(time.Second)
		})
	})
}

// Guards against a client that reads nothing of a response and holds it, and its upstream, for ever.
func TestUnreadResponse(t *testing.T) {
	run(t, 4<<20, 0, func(f *fixture) {
		ended := make(chan time.Time, 1)
		f.afterBody = func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil {
				_, _ = w.Write(make([]byte, 100<<10))
			}
			ended <- time.Now()
		}
		c := f.dial()
		c.send(post("xyz"))
		// A client that reads a little at a time is not cut off.
		for range 10 {
			time.Sleep(mpmemory.StallTimeout - time.Second)
			if _, err := io.CopyN(io.Discard, c.reader, 100); err != nil {
				t.Fatalf("cut off although it reads: %v", err)
			}
		}
		start := time.Now()
		if took := (<-ended).Sub(start); took > mpmemory.StallTimeout {
			t.Errorf("cut off after %v", took)
		}
		if f.events[mpmemory.Unread] != 1 {
			t.Errorf("events %v, want one of unread", f.events)
		}
	})
}

// Guards against a client that is cut off for a deadline which was set for an earlier part of the response.
func TestWriteDeadlineCountsFromTheWrite(t *testing.T) {
	run(t, 4<<20, 0, func(f *fixture) {
		const pause = mpmemory.StallTimeout/renewShare - time.Millisecond
		f.afterBody = func(w http.ResponseWriter, _ *http.Request) {
			for range 2 {
				_, _ = w.Write(make([]byte, 8<<10))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(pause)
			}
		}
		c := f.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		for range 2 {
			// Reads what there is, and then nothing until almost the stall timeout after the second write.
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("cut off: %v", err)
			}
			time.Sleep(pause + mpmemory.StallTimeout - 1010*time.Millisecond)
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		_, _ = io.Copy(io.Discard, c.reader)
		if len(f.events) > 0 {
			t.Errorf("events %v, although the client read all in time", f.events)
		}
	})
}

// Guards against connections without end, and against refusing one while others are idle.
func TestConnectionsAreBounded(t *testing.T) {
	run(t, 4<<20, 4, func(f *fixture) {
		f.afterBody = func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				time.Sleep(time.Minute)
			}
		}
		idle, fresh := f.dial(), f.dial() // Half of all, since they have one address.
		time.Sleep(time.Second)
		idle.send(post("x"))
		idle.check(ok(1))
		time.Sleep(time.Second)
		busy := f.dial()
		busy.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		fresh.checkClosed(time.Millisecond) // It has been quiet for longer.
		busy2 := f.dial()
		busy2.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		idle.checkClosed(time.Millisecond)
		f.dial().checkClosed(time.Millisecond)
		if diff := cmp.Diff(map[mpmemory.Kind]int{mpmemory.Closed: 2, mpmemory.Rejected: 1}, f.events); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
		busy.check(ok(0))
		busy2.check(ok(0))
	})
}

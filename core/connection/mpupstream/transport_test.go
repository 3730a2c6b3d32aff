package mpupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
)

const (
	// longBodyBytes exceeds what the buffers of a connection hold.
	longBodyBytes = 16 << 20
	// responseTimeout limits the wait for a response sent before the body is read.
	responseTimeout = 2 * time.Second
	// bodyTimeout limits how long the upstream reads the rest of a body.
	bodyTimeout = 5 * time.Second
)

// earlyResponder responds as soon as it has read the request header, and reads
// on after pause.
type earlyResponder struct {
	l     net.Listener
	pause time.Duration
	// remainders receives the bytes that followed the header on each connection.
	remainders chan []byte
}

func newEarlyResponder(t *testing.T, pause time.Duration) *earlyResponder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &earlyResponder{l: l, pause: pause, remainders: make(chan []byte, 8)}
	go e.serve()
	return e
}

func (e *earlyResponder) serve() {
	for {
		c, err := e.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go e.answer(c)
		}
	}
}

func (e *earlyResponder) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReaderSize(c, 4<<10)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly"); err != nil {
		return
	}
	<-time.After(e.pause)
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	// The read ends when the client closes the connection or at the deadline.
	rest, _ := io.ReadAll(r)
	e.remainders <- rest
}

func post(t *testing.T, client *Transport, e *earlyResponder, body []byte) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), responseTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.l.Addr().String()+"/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatalf("no response within %v: %v", responseTimeout, err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// TestResponseBeforeBodyIsRead guards against a reused connection that mixes requests.
// An upstream may respond before it has read a long body, keep the connection open
// and read on later. It must then read the rest of that body or the end of the
// connection, never the bytes of another request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	for name, pause := range map[string]time.Duration{"and reads on at once": 0, "and reads on later": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			e := newEarlyResponder(t, pause)
			client := NewTransport(NewDialer(nil).DialContext, mpmetric.New())
			t.Cleanup(client.CloseIdleConnections)
			bodies := map[byte][]byte{}
			for _, c := range []byte("ab") {
				bodies[c] = bytes.Repeat([]byte{c}, longBodyBytes)
				if diff := cmp.Diff("early", post(t, client, e, bodies[c])); diff != "" {
					t.Errorf("response (-want +got):\n%s", diff)
				}
			}
			client.CloseIdleConnections()
			for range bodies {
				rest := <-e.remainders
				if len(rest) == 0 {
					continue
				}
				if !bytes.HasPrefix(bodies[rest[0]], rest) {
					t.Errorf("%d bytes after the request header are not from the body", len(rest))
				}
			}
		})
	}
}

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
)

const (
	// longBody is more than the buffers of a connection hold.
	longBody = 16 << 20
	// answerWithin bounds an answer that an upstream gives before it has read the body.
	answerWithin = 2 * time.Second
	// restWithin bounds how long an upstream looks for the rest of a body.
	restWithin = 5 * time.Second
)

// early answers a request when it has read its head, and reads on after pause.
type early struct {
	l     net.Listener
	pause time.Duration
	// rests holds what came on each connection after the head.
	rests chan []byte
}

func newEarly(t *testing.T, pause time.Duration) *early {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &early{l: l, pause: pause, rests: make(chan []byte, 8)}
	go e.serve()
	return e
}

func (e *early) serve() {
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

func (e *early) answer(c net.Conn) {
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
	_ = c.SetReadDeadline(time.Now().Add(restWithin))
	// The connection is closed by the other side, or stays open until the deadline.
	rest, _ := io.ReadAll(r)
	e.rests <- rest
}

func post(t *testing.T, client *http.Transport, e *early, body []byte) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.l.Addr().String()+"/", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatalf("no answer within %v: %v", answerWithin, err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// An upstream may answer before it has read a long body, keep the connection and
// read on later. What it finds where the rest of the body is due must be that rest,
// or the end of the connection, and never another request.
func TestUpstreamAnswersBeforeItHasReadTheBody(t *testing.T) {
	for name, pause := range map[string]time.Duration{"and reads on at once": 0, "and reads on later": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			e := newEarly(t, pause)
			client := NewTransport(nil)
			t.Cleanup(client.CloseIdleConnections)
			bodies := map[byte][]byte{}
			for _, c := range []byte("ab") {
				bodies[c] = bytes.Repeat([]byte{c}, longBody)
				if diff := cmp.Diff("early", post(t, client, e, bodies[c])); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
			}
			client.CloseIdleConnections()
			for range bodies {
				rest := <-e.rests
				if len(rest) == 0 {
					continue
				}
				if !bytes.HasPrefix(bodies[rest[0]], rest) {
					t.Errorf("%d bytes came after the head that are not the body's", len(rest))
				}
			}
		})
	}
}

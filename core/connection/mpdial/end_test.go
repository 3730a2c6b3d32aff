package mpdial

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"mustardpost.org/core/connection/mpscript"
)

// longRequest is the head of a request whose body is not sent completely.
const longRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n"

// dialWatched connects to a server and sends the beginning of a request.
func dialWatched(t *testing.T, s mpscript.Server) net.Conn {
	t.Helper()
	tcp, err := net.Dial("tcp", mpscript.Listen(t, s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tcp.Close() })
	c := WatchEnd(tcp)
	if _, err := io.WriteString(c, longRequest); err != nil {
		t.Fatal(err)
	}
	return c
}

// writeUntilFailure writes until that fails.
func writeUntilFailure(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

func checkEnd(t *testing.T, c net.Conn, want error) {
	t.Helper()
	got, err := io.ReadAll(c)
	if want == nil && (err != nil || string(got) != "part") {
		t.Errorf("read %q with error %v, want part and the end", got, err)
	}
	if want != nil && err == nil {
		t.Errorf("read %q and the end, want an error", got)
	}
}

// Guards against a reset that a write has met and that reads take for the end of an answer: callers got a part of
// it as the whole.
func TestResetIsNotAnEnd(t *testing.T) {
	t.Run("a write has met the reset", func(t *testing.T) {
		c := dialWatched(t, mpscript.ResetEarly("part", time.Millisecond))
		if err := writeUntilFailure(c); err == nil {
			t.Fatal("no write has failed")
		}
		checkEnd(t, c, io.ErrUnexpectedEOF)
	})
	t.Run("a write meets the reset beside reads", func(t *testing.T) {
		for range 50 {
			c := dialWatched(t, mpscript.ResetEarly("part", time.Millisecond))
			go func() { _ = writeUntilFailure(c) }()
			checkEnd(t, c, io.ErrUnexpectedEOF)
		}
	})
	t.Run("the end and a reset", func(t *testing.T) {
		// Whether all that was sent before the end has arrived is not known here.
		release := make(chan struct{})
		c := dialWatched(t, mpscript.EndEarly("part", release))
		close(release)
		if err := writeUntilFailure(c); err == nil {
			t.Fatal("no write has failed")
		}
		checkEnd(t, c, io.ErrUnexpectedEOF)
	})
}

// Guards against an answer that is never whole because its server has ended it and leaves the rest of the request
// unread.
func TestEndBesideAStuckWrite(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := dialWatched(t, mpscript.EndEarly("part", release))
	go func() { _ = writeUntilFailure(c) }()
	checkEnd(t, c, nil)
}

// Guards against a connection that is not TCP, such as one by way of another VM, whose end during a write counts.
func TestEndOfOtherConnections(t *testing.T) {
	t.Run("no write", func(t *testing.T) {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, "part")
			_ = far.Close()
		}()
		checkEnd(t, WatchEnd(near), nil)
	})
	t.Run("a write has failed", func(t *testing.T) {
		near, far := net.Pipe()
		c := WatchEnd(near)
		_ = far.Close()
		if err := writeUntilFailure(c); !errors.Is(err, io.ErrClosedPipe) {
			t.Fatalf("error %v", err)
		}
		checkEnd(t, c, io.ErrUnexpectedEOF)
	})
}

package mprelay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpdial"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpscript"
	"mustardpost.org/core/connection/mpupstream"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

const testSecret = "a secret of the test"

// relayServer is a VM that connects others to upstreams.
type relayServer struct {
	mpwire.UnimplementedPeerServer
	d *Dialer
}

func (s relayServer) Tunnel(stream mpwire.Peer_TunnelServer) error { return s.d.ServeTunnel(stream) }

func newDialer(direct mpdial.Func, upstreams ...string) *Dialer {
	d := New(Config{DC: "a", Direct: direct, Metrics: mpmetric.New(), Logger: log.NewNopLogger()})
	d.SetUpstreams(upstreams)
	return d
}

func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// peerOf serves s at a free address and returns it as a Peer.
func peerOf(t *testing.T, name, secret string, s mpwire.PeerServer) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	server, err := mppeer.Serve(mppeer.ServerConfig{Address: address, Secret: testSecret, Peer: s, Metrics: mpmetric.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	client := mppeer.NewClient(mppeer.Config{Secret: secret, Metrics: mpmetric.New()})
	t.Cleanup(client.Close)
	return Peer{Name: name, DC: "a", Open: func(ctx context.Context, upstream string) (net.Conn, error) {
		stub, err := client.Stub(address)
		if err != nil {
			return nil, err
		}
		return Open(ctx, stub, upstream)
	}}
}

// Guards against a connection by way of another VM whose reset looks like its end, so that an
// answer that was broken off counts as whole, and against one that outlives its caller.
func TestTunnel(t *testing.T) {
	direct := (&net.Dialer{}).DialContext
	dial := func(t *testing.T, address string) net.Conn {
		d := newDialer(refuse, address)
		d.SetPeers([]Peer{peerOf(t, "vm2", testSecret, relayServer{d: newDialer(direct, address)})})
		conn, err := d.DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	t.Run("bytes both ways, and the end", func(t *testing.T) {
		conn := dial(t, mpscript.Listen(t, func(c *net.TCPConn) {
			_, _ = io.CopyN(c, c, 100_000)
			_ = c.Close()
		}))
		sent := make([]byte, 100_000)
		for i := range sent {
			sent[i] = byte(i % 251)
		}
		go func() { _, _ = conn.Write(sent) }()
		got, err := io.ReadAll(conn)
		if diff := cmp.Diff(sent, got); diff != "" || err != nil {
			t.Errorf("error %v; bytes differ: %v", err, diff != "")
		}
	})
	t.Run("a reset", func(t *testing.T) {
		conn := dial(t, mpscript.Listen(t, func(c *net.TCPConn) {
			_, _ = io.CopyN(c, c, 4)
			<-time.After(50 * time.Millisecond) // The other side reads what was sent.
			_ = c.SetLinger(0)
			_ = c.Close()
		}))
		_, _ = conn.Write([]byte("half"))
		if got, err := io.ReadAll(conn); err == nil || string(got) != "half" {
			t.Errorf("read %q with error %v, want half of an answer and an error", got, err)
		}
	})
	t.Run("a reset during an upload", func(t *testing.T) {
		// The write of the far VM meets the reset.
		for range 20 {
			conn := dial(t, mpscript.Listen(t, mpscript.ResetEarly("HTTP/1.1 200 OK\r\n\r\npart", time.Millisecond)))
			go func() {
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n")
				for err == nil {
					_, err = conn.Write(make([]byte, 64<<10))
				}
			}()
			got, err := io.ReadAll(conn)
			_ = conn.Close()
			if err == nil {
				t.Fatalf("read %q and the end, want an error", got)
			}
		}
	})
	t.Run("the caller leaves", func(t *testing.T) {
		ended := make(chan error, 1)
		conn := dial(t, mpscript.Listen(t, func(c *net.TCPConn) {
			_, err := c.Read(make([]byte, 1))
			ended <- err
		}))
		_ = conn.Close()
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the connection to the upstream is still open after a second")
		}
	})
}

// Guards against connections that go by way of two VMs or in circles, to what is no upstream, or
// for others than peers, and against VMs of earlier builds that are taken for witnesses.
func TestWhoRelays(t *testing.T) {
	address := mpscript.Listen(t, func(c *net.TCPConn) { _ = c.Close() })
	direct := (&net.Dialer{}).DialContext
	cut := newDialer(direct, address)
	cut.paths.RecordRelayed(time.Now(), address)
	for name, c := range map[string]struct {
		peer   func(t *testing.T) Peer
		opens  bool
		isDown bool
	}{
		"a VM with a path":                 {func(t *testing.T) Peer { return peerOf(t, "x", testSecret, relayServer{d: newDialer(direct, address)}) }, true, false},
		"a VM whose path fails":            {func(t *testing.T) Peer { return peerOf(t, "x", testSecret, relayServer{d: newDialer(refuse, address)}) }, false, true},
		"a VM that is cut off itself":      {func(t *testing.T) Peer { return peerOf(t, "x", testSecret, relayServer{d: cut}) }, false, false},
		"a VM that knows no such upstream": {func(t *testing.T) Peer { return peerOf(t, "x", testSecret, relayServer{d: newDialer(direct)}) }, false, false},
		"a VM of an earlier build":         {func(t *testing.T) Peer { return peerOf(t, "x", testSecret, mpwire.UnimplementedPeerServer{}) }, false, false},
		"a wrong secret": {func(t *testing.T) Peer {
			return peerOf(t, "x", "another secret", relayServer{d: newDialer(direct, address)})
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := c.peer(t).Open(t.Context(), address)
			if err == nil {
				_ = conn.Close()
			}
			if (err == nil) != c.opens || errors.Is(err, mperror.ErrNoUpstream) != c.isDown {
				t.Errorf("opens: %v, want %v; error %v, that the upstream is down: %v", err == nil, c.opens, err, c.isDown)
			}
		})
	}
}

// Guards against evidence that an upstream crashed, from a VM that has lost its path to it.
func TestIsDown(t *testing.T) {
	address := mpscript.Listen(t, func(c *net.TCPConn) { _ = c.Close() })
	direct := (&net.Dialer{}).DialContext
	witness := func(t *testing.T, dial mpdial.Func) []Peer {
		return []Peer{peerOf(t, "x", testSecret, relayServer{d: newDialer(dial, address)})}
	}
	for name, c := range map[string]struct {
		own   mpdial.Func
		peers func(t *testing.T) []Peer
		want  bool
	}{
		"the own path works":             {direct, func(*testing.T) []Peer { return nil }, false},
		"refused, no other VM":           {refuse, func(*testing.T) []Peer { return nil }, true},
		"refused, another VM reaches it": {refuse, func(t *testing.T) []Peer { return witness(t, direct) }, false},
		"refused, another VM is refused": {refuse, func(t *testing.T) []Peer { return witness(t, refuse) }, true},
		"no answer":                      {func(ctx context.Context, _, _ string) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }, func(*testing.T) []Peer { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialer(c.own, address)
			d.SetPeers(c.peers(t))
			if got := d.IsDown(t.Context(), address); got != c.want {
				t.Errorf("down: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against requests that wait for other VMs whenever an upstream has crashed: while the own
// path to others works, the refusal is believed, and only later connections ask.
func TestRefusalWhileOwnPathWorks(t *testing.T) {
	sound := mpscript.Listen(t, func(c *net.TCPConn) { _ = c.Close() })
	lost := mpscript.Listen(t, func(c *net.TCPConn) { _ = c.Close() })
	direct := (&net.Dialer{}).DialContext
	d := newDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == lost {
			return refuse(ctx, network, address)
		}
		return direct(ctx, network, address)
	}, sound, lost)
	d.SetPeers([]Peer{peerOf(t, "vm2", testSecret, relayServer{d: newDialer(direct, sound, lost)})})
	if _, err := d.DialContext(t.Context(), "tcp", sound); err != nil {
		t.Fatal(err)
	}
	if _, err := d.DialContext(t.Context(), "tcp", lost); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the first connection: error %v, want that of the own path", err)
	}
	for until := time.Now().Add(soundDuration); ; <-time.After(10 * time.Millisecond) {
		conn, err := d.DialContext(t.Context(), "tcp", lost)
		if err == nil {
			_ = conn.Close()
			return
		}
		if time.Now().After(until) {
			t.Fatalf("later connections: %v", err)
		}
	}
}

// Guards against bytes of an upstream that are no answer and come by way of another VM.
func TestMalformedAnswersByAnotherVM(t *testing.T) {
	direct := (&net.Dialer{}).DialContext
	for name, text := range mpscript.MalformedAnswers("whole") {
		t.Run(name, func(t *testing.T) {
			address := mpscript.Listen(t, mpscript.Answer(text))
			d := newDialer(refuse, address)
			d.SetPeers([]Peer{peerOf(t, "vm2", testSecret, relayServer{d: newDialer(direct, address)})})
			transport := mpupstream.NewTransport(d.DialContext, mpmetric.New())
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("answer %s %q, want an error", resp.Status, body)
			}
		})
	}
}

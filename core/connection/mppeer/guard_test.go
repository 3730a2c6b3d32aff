package mppeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

// countingPeer counts the calls that reach it.
type countingPeer struct {
	mpwire.UnimplementedPeerServer
	calls atomic.Int32
}

func (p *countingPeer) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	p.calls.Add(1)
	return &mpwire.ProbeReply{}, nil
}

func (p *countingPeer) Tunnel(mpwire.Peer_TunnelServer) error {
	p.calls.Add(1)
	return nil
}

func startGuarded(t *testing.T) (*countingPeer, string, *mpmetric.Set) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p, m := &countingPeer{}, mpmetric.New()
	s, err := Serve(ServerConfig{Address: address, Secret: "the secret", Peer: p, Metrics: m})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return p, address, m
}

// dial returns a client of its own connection, without an interceptor.
func dial(t *testing.T, address string) mpwire.PeerClient {
	t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return mpwire.NewPeerClient(conn)
}

func withSecret(t *testing.T, secrets ...string) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	for _, s := range secrets {
		ctx = metadata.AppendToOutgoingContext(ctx, secretMetadataKey, s)
	}
	return ctx
}

// Guards against unauthenticated calls that reach a VM, or whose messages are read.
func TestCallsNeedTheSecret(t *testing.T) {
	p, address, _ := startGuarded(t)
	for name, c := range map[string]struct {
		secrets []string
		want    codes.Code
	}{
		"the secret":  {[]string{"the secret"}, codes.OK},
		"none":        {nil, codes.Unauthenticated},
		"another one": {[]string{"a secret"}, codes.Unauthenticated},
		"two":         {[]string{"the secret", "the secret"}, codes.Unauthenticated},
		"a long one":  {[]string{strings.Repeat("s", 20<<10)}, codes.Unauthenticated},
	} {
		t.Run(name, func(t *testing.T) {
			before := p.calls.Load()
			peer := dial(t, address)
			_, err := peer.Probe(withSecret(t, c.secrets...), &mpwire.ProbeRequest{})
			if got := status.Code(err); got != c.want {
				t.Errorf("call ends with %v (%v), want %v", got, err, c.want)
			}
			stream, err := peer.Tunnel(withSecret(t, c.secrets...))
			if err == nil {
				_, err = stream.Recv()
			}
			if got := status.Code(err); got != c.want && (c.want != codes.OK || !errors.Is(err, io.EOF)) {
				t.Errorf("stream ends with %v (%v), want %v", got, err, c.want)
			}
			reached := p.calls.Load() - before
			if c.want == codes.OK && reached != 2 || c.want != codes.OK && reached != 0 {
				t.Errorf("%d calls reached the peer", reached)
			}
		})
	}
}

// Guards against an unauthenticated client that makes calls without end on one connection.
func TestRejectedConnectionIsClosed(t *testing.T) {
	_, address, m := startGuarded(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	relayed, theirs := net.Pipe()
	go func() { _, _ = io.Copy(conn, theirs) }()
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(theirs, conn)
		close(closed)
		_ = theirs.Close()
	}()
	client, err := grpc.NewClient("passthrough:///x", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return relayed, nil }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	for i := range maxRejections {
		if _, err := mpwire.NewPeerClient(client).Probe(withSecret(t), &mpwire.ProbeRequest{}); i < maxRejections-1 && status.Code(err) != codes.Unauthenticated {
			t.Fatalf("call %d: %v", i, err)
		}
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Errorf("the connection is open after %d calls", m.Count("connections.peer.rejected"))
	}
}

// Guards against unauthenticated clients that use up the descriptors of a VM, and against peers whose connections are
// closed to make room for them.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	_, address, m := startGuarded(t)
	known := dial(t, address)
	if _, err := known.Probe(withSecret(t, "the secret"), &mpwire.ProbeRequest{}); err != nil {
		t.Fatal(err)
	}
	for range maxUnauthenticated + 20 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	for end := time.Now().Add(10 * time.Second); m.Count("connections.peer.refused") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no unauthenticated connection was refused")
		}
	}
	if _, err := known.Probe(withSecret(t, "the secret"), &mpwire.ProbeRequest{}); err != nil {
		t.Errorf("a call on a connection from before: %v", err)
	}
	// Silent connections are closed for a peer once their grace period is over.
	time.Sleep(unauthenticatedGrace)
	if _, err := dial(t, address).Probe(withSecret(t, "the secret"), &mpwire.ProbeRequest{}, grpc.WaitForReady(true)); err != nil {
		t.Errorf("a call of a new peer: %v", err)
	}
}

// Guards against closing a connection that has just been accepted, or another than the oldest.
func TestWhichUnauthenticatedConnectionIsClosed(t *testing.T) {
	g := newGuard(nil, ServerConfig{Metrics: mpmetric.New()})
	start := time.Unix(1000, 0)
	add := func(i int, now time.Time) (string, bool) {
		c := &guardedConn{Conn: namedConn{name: fmt.Sprint(i)}, guard: g, madeAt: now}
		oldest, ok := g.add(now, c)
		if oldest == nil {
			return "", ok
		}
		return oldest.key(), ok
	}
	for i := range maxUnauthenticated {
		if closed, ok := add(i, start.Add(time.Duration(i)*time.Millisecond)); closed != "" || !ok {
			t.Fatalf("connection %d: closed %q, added %v", i, closed, ok)
		}
	}
	g.remove(g.unauthenticated["0"])
	for _, c := range []struct {
		after time.Duration
		want  string
		ok    bool
	}{
		{time.Second, "", true}, // In the place of the one that is known now.
		{unauthenticatedGrace, "", false},
		{unauthenticatedGrace + time.Millisecond, "1", true},
		{unauthenticatedGrace + time.Millisecond, "", false},
		{unauthenticatedGrace + 2*time.Millisecond, "2", true},
	} {
		if closed, ok := add(int(c.after), start.Add(c.after)); closed != c.want || ok != c.ok {
			t.Errorf("after %v: closed %q, added %v; want %q, %v", c.after, closed, ok, c.want, c.ok)
		}
	}
}

// namedConn is a connection with nothing but an address.
type namedConn struct {
	net.Conn
	name string
}

func (c namedConn) RemoteAddr() net.Addr { return c }
func (c namedConn) Network() string      { return "test" }
func (c namedConn) String() string       { return c.name }

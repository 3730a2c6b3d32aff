package mppeer_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mplease"
	"mustardpost.org/core/connection/mplink"
	"mustardpost.org/core/connection/mpmember"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mprelay"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/version/mpview"
)

const (
	testSecret = "a secret of the test"
	// noticeTime is how long a silent connection may stay in use, beyond the time for which its
	// peer may hold a call.
	noticeTime = 600 * time.Millisecond
	// holdTime is how long the peer holds a renewal.
	holdTime = 300 * time.Millisecond
	lease    = 2 * time.Second
)

// proxy stands in for the network in front of a peer.
type proxy struct {
	address string
	network *mplink.Network
	relay   io.Closer
}

// silence silences the open connections.
func (p *proxy) silence() { p.network.Silence(func(string, string) bool { return true }) }

// peer is a VM that leads. It holds renewals, and makes pieces for as long as the call waits.
type peer struct {
	mpwire.UnimplementedPeerServer

	mu      sync.Mutex
	renewed []time.Time
	steps   int
}

func (*peer) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	return nil, status.Error(codes.FailedPrecondition, "not a voter")
}

func (*peer) Free(context.Context, *mpwire.FreeRequest) (*mpwire.FreeReply, error) {
	return &mpwire.FreeReply{}, nil
}

func (*peer) Make(ctx context.Context, r *mpwire.MakeRequest) (*mpwire.MakeReply, error) {
	select {
	case <-time.After(time.Duration(r.GetLeftMs()) * time.Millisecond):
	case <-ctx.Done():
	}
	return &mpwire.MakeReply{}, nil
}

func (p *peer) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	if r.GetRevision() > 0 && !r.GetRegains() {
		select {
		case <-time.After(holdTime):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	view, err := mpview.Empty().Apply(mpview.Join{VM: mpview.VM{Name: r.GetVm()}})
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(view)
	if err != nil {
		return nil, err
	}
	reply := &mpwire.RenewReply{LeaseMs: uint32(lease.Milliseconds()), Revision: view.Revision()}
	if r.GetRevision() == 0 {
		reply.View = data
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.renewed = append(p.renewed, time.Now())
	return reply, nil
}

func (p *peer) Step(_ context.Context, r *mpwire.StepRequest) (*mpwire.StepReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.steps += len(r.GetMessages())
	return &mpwire.StepReply{}, nil
}

func (*peer) Tunnel(stream mpwire.Peer_TunnelServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	if err := stream.Send(&mpwire.TunnelReply{}); err != nil {
		return err
	}
	for { // An upstream that does not answer.
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// startPeer returns a proxy in front of a new peer.
func startPeer(t *testing.T) (*peer, *proxy) {
	t.Helper()
	address := freeAddress(t)
	p := &peer{}
	s, err := mppeer.Serve(mppeer.ServerConfig{Address: address, Secret: testSecret, Peer: p, Metrics: mpmetric.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	front := &proxy{address: freeAddress(t), network: mplink.New()}
	relay, err := front.network.Relay(front.address, address)
	if err != nil {
		t.Fatal(err)
	}
	front.relay = relay
	t.Cleanup(func() { _ = relay.Close() })
	return p, front
}

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

func newClient(t *testing.T) (*mppeer.Client, *mpmetric.Set) {
	t.Helper()
	m := mpmetric.New()
	c := mppeer.NewClient(mppeer.Config{Secret: testSecret, Metrics: m})
	t.Cleanup(c.Close)
	return c, m
}

func stub(t *testing.T, c *mppeer.Client, p *proxy) mpwire.PeerClient {
	t.Helper()
	s, err := c.Stub(p.address)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// free makes a short call, and reports an error if it does not succeed in time.
func free(t *testing.T, s mpwire.PeerClient) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), noticeTime)
	defer cancel()
	if _, err := s.Free(ctx, &mpwire.FreeRequest{}); err != nil {
		t.Errorf("call on a new connection: %v", err)
	}
}

// Guards against calls that wait for their time limit on a connection that is open but silent, one after
// another, while a new connection would work: VMs were without a lease for seconds, and obeyed an old
// plan.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		hold time.Duration
		call func(ctx context.Context, s mpwire.PeerClient) error
	}{
		"short call": {0, func(ctx context.Context, s mpwire.PeerClient) error {
			_, err := s.Free(ctx, &mpwire.FreeRequest{})
			return err
		}},
		"call that the peer may hold": {holdTime, func(ctx context.Context, s mpwire.PeerClient) error {
			_, err := s.Renew(mppeer.WithHold(ctx, holdTime), &mpwire.RenewRequest{Revision: 1})
			return err
		}},
		"long call": {0, func(ctx context.Context, s mpwire.PeerClient) error {
			_, err := s.Make(ctx, &mpwire.MakeRequest{LeftMs: 9000})
			return err
		}},
		"messages of a voter": {0, func(ctx context.Context, s mpwire.PeerClient) error {
			_, err := s.Step(ctx, &mpwire.StepRequest{Messages: [][]byte{nil}})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, p := startPeer(t)
			client, metrics := newClient(t)
			s := stub(t, client, p)
			free(t, s)
			p.silence()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			start := time.Now()
			if err := c.call(ctx, s); !errors.Is(err, mppeer.ErrSilent) {
				t.Errorf("got %v, want ErrSilent", err)
			}
			if took := time.Since(start); took > c.hold+noticeTime {
				t.Errorf("noticed after %v, want at most %v", took, c.hold+noticeTime)
			}
			free(t, s)
			if n := metrics.Count("peer.silent"); n != 1 {
				t.Errorf("%d connections were closed as silent, want 1", n)
			}
		})
	}
}

// Guards against the same for calls with a shorter time limit, each of which failed until the keepalive
// of gRPC closed the connection after twelve seconds.
func TestSilentConnectionIsReplacedAfterShortTimeouts(t *testing.T) {
	_, p := startPeer(t)
	client, _ := newClient(t)
	s := stub(t, client, p)
	free(t, s)
	p.silence()
	start := time.Now()
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := s.Free(ctx, &mpwire.FreeRequest{})
		cancel()
		if err == nil {
			break
		}
		if took := time.Since(start); took > noticeTime {
			t.Fatalf("not noticed after %v: %v", took, err)
		}
	}
}

// Guards against requests by way of another VM that wait for an answer on a silent connection to it.
func TestSilentTunnelEnds(t *testing.T) {
	_, p := startPeer(t)
	client, _ := newClient(t)
	s := stub(t, client, p)
	conn, err := mprelay.Open(t.Context(), s, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	p.silence()
	start := time.Now()
	if _, err := conn.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("no error")
	}
	if took := time.Since(start); took > noticeTime {
		t.Errorf("noticed after %v, want at most %v", took, noticeTime)
	}
	free(t, s)
}

// Guards against connections to one peer after another that turn out to be silent only when they are
// used, each after its own time.
func TestOtherConnectionsAreCheckedOnceOneIsSilent(t *testing.T) {
	client, _ := newClient(t)
	var stubs []mpwire.PeerClient
	var proxies []*proxy
	for range 3 {
		_, p := startPeer(t)
		proxies, stubs = append(proxies, p), append(stubs, stub(t, client, p))
		free(t, stubs[len(stubs)-1])
	}
	ended := make(chan error)
	go func() {
		_, err := stubs[2].Renew(mppeer.WithHold(t.Context(), time.Minute), &mpwire.RenewRequest{Revision: 1})
		ended <- err
	}()
	<-time.After(holdTime / 3)
	for _, p := range proxies {
		p.silence()
	}
	if _, err := stubs[0].Free(t.Context(), &mpwire.FreeRequest{}); !errors.Is(err, mppeer.ErrSilent) {
		t.Errorf("got %v, want ErrSilent", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, mppeer.ErrSilent) {
			t.Errorf("call in progress ended with %v, want ErrSilent", err)
		}
	case <-time.After(noticeTime):
		t.Error("call in progress waits on")
	}
	ctx, cancel := context.WithTimeout(t.Context(), noticeTime/4)
	defer cancel()
	if _, err := stubs[1].Free(ctx, &mpwire.FreeRequest{}); err != nil {
		t.Errorf("call on the idle connection to a third peer: %v", err)
	}
}

// Guards against streams by way of another VM that are broken off, on a connection that works, because
// one to a third VM is silent.
func TestStreamOutlivesDoubt(t *testing.T) {
	client, metrics := newClient(t)
	_, silent := startPeer(t)
	_, sound := startPeer(t)
	free(t, stub(t, client, silent))
	conn, err := mprelay.Open(t.Context(), stub(t, client, sound), "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	silent.silence()
	if _, err := stub(t, client, silent).Free(t.Context(), &mpwire.FreeRequest{}); !errors.Is(err, mppeer.ErrSilent) {
		t.Errorf("got %v, want ErrSilent", err)
	}
	select {
	case err := <-ended:
		t.Errorf("the stream was broken off: %v", err)
	case <-time.After(noticeTime):
	}
	if n := metrics.Count("peer.silent"); n != 1 {
		t.Errorf("%d connections were closed as silent, want 1", n)
	}
}

// Guards against connections to a slow peer that are closed while it works, so that its work is lost.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	_, p := startPeer(t)
	client, metrics := newClient(t)
	if _, err := stub(t, client, p).Make(t.Context(), &mpwire.MakeRequest{LeftMs: 2000}); err != nil {
		t.Error(err)
	}
	if n := metrics.Count("peer.silent"); n > 0 {
		t.Errorf("%d connections were closed as silent", n)
	}
}

// Guards against calls to a peer that is down being reported as those on a silent connection, after
// which its callers would ask it again and no other.
func TestPeerThatIsDownIsNotSilent(t *testing.T) {
	_, p := startPeer(t)
	client, _ := newClient(t)
	s := stub(t, client, p)
	free(t, s)
	_ = p.relay.Close() // New connections are refused.
	p.silence()
	if _, err := s.Free(t.Context(), &mpwire.FreeRequest{}); !errors.Is(err, mppeer.ErrSilent) {
		t.Fatalf("got %v, want ErrSilent", err)
	}
	for range 3 {
		if _, err := s.Free(t.Context(), &mpwire.FreeRequest{}); err == nil || errors.Is(err, mppeer.ErrSilent) {
			t.Errorf("got %v, want another error", err)
		}
	}
}

// Guards against a lease that ends, or a plan that stays old, because the connection to the leader went
// silent.
func TestLeaseOutlivesSilentConnection(t *testing.T) {
	leader, p := startPeer(t)
	_, other := startPeer(t)
	client, _ := newClient(t)
	m := mpmember.New(mpmember.Config{
		Self: mpview.VM{Name: "vm1"}, Voters: func() []string { return []string{p.address, other.address} }, Client: client, Logger: log.NewNopLogger(),
	})
	go m.Run(t.Context())
	if err := m.AwaitLease(t.Context(), time.Now); err != nil {
		t.Fatal(err)
	}
	free(t, stub(t, client, other))
	<-time.After(holdTime) // A renewal is held now.
	p.silence()
	other.silence()
	silenced := time.Now()
	for time.Since(silenced) < lease+mplease.MaxHold {
		if !m.HasLease(time.Now()) {
			t.Fatalf("no lease %v after the connections went silent", time.Since(silenced))
		}
		<-time.After(5 * time.Millisecond)
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	for _, at := range leader.renewed {
		if after := at.Sub(silenced); after > 0 {
			if after > mplease.MaxHold+noticeTime {
				t.Errorf("renewed after %v, want at most %v", after, mplease.MaxHold+noticeTime)
			}
			return
		}
	}
	t.Error("not renewed at the leader")
}

// Guards against votes that wait for seconds on silent connections, so that no leader is elected.
func TestMessagesOfVotersAreSentAgain(t *testing.T) {
	voter, p := startPeer(t)
	client, _ := newClient(t)
	free(t, stub(t, client, p))
	p.silence()
	mppeer.NewSender(t.Context(), client, func([]mpquorum.Envelope) {}).Send(p.address, mpquorum.Envelope{})
	for deadline := time.Now().Add(noticeTime); ; <-time.After(5 * time.Millisecond) {
		voter.mu.Lock()
		steps := voter.steps
		voter.mu.Unlock()
		if steps > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the message did not arrive within %v", noticeTime)
		}
	}
}

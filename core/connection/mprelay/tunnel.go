package mprelay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
)

const (
	// chunkBytes is the size of the buffer of each tunnel.
	chunkBytes = 8 << 10
	// openTimeout is how long a peer has to connect to an upstream.
	openTimeout = 300 * time.Millisecond
)

// tunnel is a connection to an upstream by way of another VM. A reset of the connection is told
// apart from its end.
type tunnel struct {
	stream mpwire.Peer_TunnelClient
	cancel context.CancelFunc
	rest   []byte
}

var _ net.Conn = (*tunnel)(nil)

// Open connects to the upstream at address by way of a peer. ctx limits the time until the
// connection is established. The error wraps ErrNoUpstream if the peer cannot connect to the
// upstream, and anything else if it does not try.
func Open(ctx context.Context, peer mpwire.PeerClient, address string) (net.Conn, error) {
	opening, cancelOpening := context.WithTimeout(ctx, openTimeout)
	defer cancelOpening()
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(opening, cancel)
	t := &tunnel{cancel: cancel}
	err := t.open(streamCtx, peer, address)
	if err == nil && !stop() {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		if status.Code(err) == codes.NotFound {
			return nil, mperror.Wrap(mperror.ErrNoUpstream, "%v", err)
		}
		return nil, mperror.Wrap(err, "open tunnel")
	}
	return t, nil
}

func (t *tunnel) open(ctx context.Context, peer mpwire.PeerClient, address string) error {
	stream, err := peer.Tunnel(ctx)
	if err != nil {
		return err
	}
	t.stream = stream
	if err := stream.Send(&mpwire.TunnelRequest{Address: address}); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	first, err := stream.Recv() // Also has the error of a failed Send.
	if err == nil {
		t.rest = first.GetData()
	}
	return err
}

func (t *tunnel) Read(b []byte) (int, error) {
	for len(t.rest) == 0 {
		m, err := t.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.EOF
		case err != nil:
			return 0, &net.OpError{Op: "read", Net: "tunnel", Err: err}
		}
		t.rest = m.GetData()
	}
	n := copy(b, t.rest)
	t.rest = t.rest[n:]
	return n, nil
}

func (t *tunnel) Write(b []byte) (int, error) {
	for sent := 0; sent < len(b); {
		chunk := b[sent:min(sent+chunkBytes, len(b))]
		if err := t.stream.Send(&mpwire.TunnelRequest{Data: bytes.Clone(chunk)}); err != nil {
			return sent, &net.OpError{Op: "write", Net: "tunnel", Err: err}
		}
		sent += len(chunk)
	}
	return len(b), nil
}

// Close ends the connection to the upstream as well.
func (t *tunnel) Close() error {
	t.cancel()
	return nil
}

func (t *tunnel) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (t *tunnel) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (t *tunnel) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (t *tunnel) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (t *tunnel) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// ServeTunnel connects another VM to the upstream that it names.
func (d *Dialer) ServeTunnel(stream mpwire.Peer_TunnelServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	conn, err := d.DialFor(stream.Context(), first.GetAddress())
	if err != nil {
		if errors.Is(err, mperror.ErrNoUpstream) {
			return status.Error(codes.NotFound, err.Error())
		}
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	defer func() { _ = conn.Close() }()
	if err := stream.Send(&mpwire.TunnelReply{}); err != nil {
		return err
	}
	go func() {
		defer func() { _ = conn.Close() }() // Ends the read below.
		for {
			m, err := stream.Recv()
			if err != nil {
				return
			}
			if _, err := conn.Write(m.GetData()); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, chunkBytes)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			if err := stream.Send(&mpwire.TunnelReply{Data: bytes.Clone(buf[:n])}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// Package mppeer carries messages between the VMs by gRPC. Its resolver,
// balancer, retry and service config stay unused; each call has a deadline and
// each connection a keepalive, so that a silent partition is noticed.
package mppeer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

const (
	secretKey  = "secret"
	maxMessage = 256 << 20
	// bufferSize keeps the memory of hundreds of connections small.
	bufferSize    = 4 << 10
	connectWithin = 500 * time.Millisecond
	backoffFirst  = 50 * time.Millisecond
	backoffMost   = 500 * time.Millisecond
	pingEvery     = 10 * time.Second
	pingTimeout   = 2 * time.Second
)

// Config sets a Client.
type Config struct {
	// Secret is the deployment's, by which peers know each other.
	Secret string
	// LocalIP is the IP number to call from; the system chooses when nil.
	LocalIP net.IP
	// Metrics counts the calls and their bytes.
	Metrics *mpmetric.Set
}

// Client holds one connection to each peer that was ever called. It is safe
// for concurrent use.
type Client struct {
	cfg    Config
	dialer net.Dialer

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg, conns: map[string]*grpc.ClientConn{}}
	if cfg.LocalIP != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: cfg.LocalIP}
	}
	return c
}

// Stub returns the stub for the peer at address.
func (c *Client) Stub(address string) (mpwire.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return mpwire.NewPeerClient(conn), nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, mperror.Wrap(err, "peer %s", address)
	}
	c.conns[address] = conn
	return mpwire.NewPeerClient(conn), nil
}

func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	wait := backoff.Config{BaseDelay: backoffFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: backoffMost}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: wait, MinConnectTimeout: connectWithin}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingEvery, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithUnaryInterceptor(c.authenticate),
		grpc.WithStatsHandler(traffic{c.cfg.Metrics}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return c.dialer.DialContext(ctx, "tcp", address)
		}),
	)
}

func (c *Client) authenticate(
	ctx context.Context, method string, req, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	ctx = metadata.AppendToOutgoingContext(ctx, secretKey, c.cfg.Secret)
	return invoke(ctx, method, req, reply, conn, opts...)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

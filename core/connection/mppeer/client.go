// Package mppeer connects the VMs of a deployment by gRPC. It uses no resolver,
// load balancing, retries or service config of gRPC. Each call has a deadline, and
// each connection has keepalive, so that a silent network partition is detected.
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
	"mustardpost.org/core/connection/mpdial"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

const (
	secretMetadataKey = "secret"
	maxMessageBytes   = 256 << 20
	// connBufferBytes is small because a VM may have hundreds of connections.
	connBufferBytes   = 4 << 10
	connectTimeout    = 500 * time.Millisecond
	initialBackoff    = 50 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// Secret is the shared secret by which the peers of a deployment authenticate.
	Secret string
	// LocalIP is the source IP address of connections; nil lets the system choose.
	LocalIP net.IP
	// Metrics receives the counts of calls and bytes.
	Metrics *mpmetric.Set
}

// Client keeps one connection to each peer that it has called. It is safe for
// concurrent use.
type Client struct {
	cfg    Config
	dialer *net.Dialer

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a client without open connections.
func NewClient(cfg Config) *Client {
	return &Client{
		cfg:    cfg,
		dialer: mpdial.New(mpdial.Config{Source: cfg.LocalIP, UnackedTimeout: keepaliveTimeout}),
		links:  map[string]*link{},
	}
}

// Stub returns the gRPC stub for the peer at address.
func (c *Client) Stub(address string) (mpwire.PeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[address]; ok {
		return mpwire.NewPeerClient(l.conn), nil
	}
	l := &link{client: c, address: address}
	var err error
	if l.conn, err = c.dial(l); err != nil {
		return nil, mperror.Wrap(err, "peer %s", address)
	}
	c.links[address] = l
	return mpwire.NewPeerClient(l.conn), nil
}

// Idle returns how long ago the connection to the peer at address was made, and for how long nothing
// has been read from it. Both are 0 if there is none.
func (c *Client) Idle(now time.Time, address string) (age, idle time.Duration) {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l == nil {
		return 0, 0
	}
	tcp := l.current()
	if tcp == nil {
		return 0, 0
	}
	return now.Sub(tcp.madeAt), now.Sub(tcp.readAt())
}

func (c *Client) dial(l *link) (*grpc.ClientConn, error) {
	reconnect := backoff.Config{BaseDelay: initialBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff}
	return grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(connBufferBytes),
		grpc.WithWriteBufferSize(connBufferBytes),
		grpc.WithUnaryInterceptor(c.authenticate),
		grpc.WithStreamInterceptor(c.authenticateStream),
		grpc.WithStatsHandler(trafficStats{c.cfg.Metrics}),
		grpc.WithContextDialer(l.dial),
	)
}

func (c *Client) authenticate(
	ctx context.Context, method string, req, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	ctx = metadata.AppendToOutgoingContext(ctx, secretMetadataKey, c.cfg.Secret)
	return invoke(ctx, method, req, reply, conn, opts...)
}

func (c *Client) authenticateStream(
	ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string,
	open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	ctx = metadata.AppendToOutgoingContext(ctx, secretMetadataKey, c.cfg.Secret)
	return open(ctx, desc, conn, method, opts...)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		_ = l.conn.Close()
		delete(c.links, address)
	}
}

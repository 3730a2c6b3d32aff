// Package mppeer connects the VMs of a deployment by gRPC. It uses no resolver,
// load balancing, retries or service config of gRPC. Connections that are open but
// silent are closed, while a call waits within a second of when it should have been
// answered, and otherwise by keepalive.
package mppeer

import (
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

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
	// Metrics receives the counts of calls, bytes and silent connections.
	Metrics *mpmetric.Set
	Logger  log.Logger
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
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
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
	l, err := newLink(c, address)
	if err != nil {
		return nil, err
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
		grpc.WithUnaryInterceptor(l.unary),
		grpc.WithStreamInterceptor(l.stream),
		grpc.WithStatsHandler(trafficStats{c.cfg.Metrics}),
		grpc.WithContextDialer(l.dial),
	)
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

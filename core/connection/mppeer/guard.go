package mppeer

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"mustardpost.org/core/process/mplog"
)

const (
	// maxUnauthenticated is how many connections may be open on which nobody has presented the secret. A VM
	// does with its first call, so that all VMs of a large deployment may connect at once.
	maxUnauthenticated = 256
	// unauthenticatedGrace is how long such a connection is not closed for another one.
	unauthenticatedGrace = 2 * time.Second
	// maxRejections is how many calls without the secret a connection may make. gRPC keeps something
	// of each rejected call until its connection is closed.
	maxRejections = 100
)

// guard keeps clients without the secret from using up descriptors and memory. Connections on which the
// secret was presented are never closed.
type guard struct {
	net.Listener
	cfg       ServerConfig
	summaries *mplog.Summarizer

	mu sync.Mutex
	// unauthenticated holds the connections on which the secret was not presented yet, by their remote
	// address.
	unauthenticated map[string]*guardedConn
}

func newGuard(l net.Listener, cfg ServerConfig) *guard {
	return &guard{Listener: l, cfg: cfg, summaries: mplog.NewSummarizer(cfg.Logger, mplog.MsgClientsLimited), unauthenticated: map[string]*guardedConn{}}
}

// guardedConn is a connection that was accepted.
type guardedConn struct {
	net.Conn
	guard      *guard
	madeAt     time.Time
	isKnown    atomic.Bool
	rejections atomic.Int32
}

// Accept returns the next connection that may be open.
func (g *guard) Accept() (net.Conn, error) {
	for {
		inner, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: inner, guard: g, madeAt: time.Now()}
		oldest, ok := g.add(c.madeAt, c)
		if oldest != nil {
			g.report("connections.peer.closed", oldest)
			_ = oldest.Close()
		}
		if ok {
			return c, nil
		}
		g.report("connections.peer.refused", c)
		_ = inner.Close()
	}
}

// add adds an unauthenticated connection. It returns the one that is closed for it, if any, and false if there is no place.
func (g *guard) add(now time.Time, c *guardedConn) (oldest *guardedConn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unauthenticated) >= maxUnauthenticated {
		for _, s := range g.unauthenticated {
			if oldest == nil || s.madeAt.Before(oldest.madeAt) {
				oldest = s
			}
		}
		if now.Sub(oldest.madeAt) < unauthenticatedGrace {
			return nil, false
		}
		delete(g.unauthenticated, oldest.key())
	}
	g.unauthenticated[c.key()] = c
	return oldest, true
}

func (c *guardedConn) key() string { return c.RemoteAddr().String() }

func (g *guard) remove(c *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unauthenticated[c.key()] == c {
		delete(g.unauthenticated, c.key())
	}
}

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

func (g *guard) report(cause string, c *guardedConn) {
	g.cfg.Metrics.Add(cause, 1)
	if g.summaries.ShouldLog(cause, c.key()) {
		_ = level.Info(g.cfg.Logger).Log("msg", "client limited", "cause", cause, "address", c.key(), "rejections", c.rejections.Load())
	}
}

type guardKey struct{}

// TagConn adds the connection to the context of its calls.
func (g *guard) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.unauthenticated[info.RemoteAddr.String()]; c != nil {
		return context.WithValue(ctx, guardKey{}, c)
	}
	return ctx
}

// authorize rejects a call without the secret before its message is read. gRPC calls it for each call.
func (g *guard) authorize(ctx context.Context, info *tap.Info) (context.Context, error) {
	c, _ := ctx.Value(guardKey{}).(*guardedConn)
	if err := checkSecret(info.Header, g.cfg.Secret); err != nil {
		if c != nil {
			g.report("connections.peer.rejected", c)
			if c.rejections.Add(1) >= maxRejections && !c.isKnown.Load() {
				_ = c.Close()
			}
		}
		return ctx, err
	}
	if c != nil && c.isKnown.CompareAndSwap(false, true) {
		g.remove(c)
	}
	return ctx, nil
}

func checkSecret(md metadata.MD, secret string) error {
	got := md.Get(secretMetadataKey)
	if len(got) != 1 || subtle.ConstantTimeCompare([]byte(got[0]), []byte(secret)) != 1 {
		return status.Error(codes.Unauthenticated, "wrong secret")
	}
	return nil
}

// serverStats counts traffic, and lets calls find their connection.
type serverStats struct {
	trafficStats
	guard *guard
}

// TagConn adds the connection to the context of its calls.
func (s serverStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	return s.guard.TagConn(ctx, info)
}

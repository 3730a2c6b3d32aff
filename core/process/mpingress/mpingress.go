// Package mpingress serves HTTP with net/http to clients that may stay within no limit. What arrives
// draws on the memory budget of the process, connections are bounded, and clients that send nothing of
// a request or read nothing of a response for too long are cut off.
package mpingress

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpmemory"
	"mustardpost.org/core/process/mpmetric"
)

const (
	// ConnectionBytes is the cost of an open connection: 1,000 idle ones take 22 MB of a process.
	ConnectionBytes = 24 << 10
	// receiveBufferBytes bounds what the kernel keeps of a connection that is not read.
	receiveBufferBytes = 64 << 10
	// headCost is what is reserved for each byte of a head, which is held as it came and decoded.
	headCost = 2
)

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Memory is the budget that all servers of the process share. Its ConnectionBytes are those of
	// this package.
	Memory *mpmemory.Budget
	// ConnContext is that of http.Server; it may be nil.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// HeaderTimeout limits how long a head takes to arrive, IdleTimeout how long a connection stays
	// open between requests, and MaxHeaderBytes the size of a head.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// StallTimeout returns how long a client may send nothing of a body, or read nothing of a
	// response. It may be nil for mpmemory.StallTimeout.
	StallTimeout func() time.Duration
}

// Server is an HTTP server.
type Server struct {
	cfg  Config
	http *http.Server
}

// New returns a Server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.serveRequest), ConnContext: s.connContext, ConnState: onState,
		ReadHeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
	}
	return s
}

// Listen listens on a TCP address. The receive buffers of connections that it accepts are bounded,
// unless the system does not allow that.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	l, err := lc.Listen(ctx, "tcp", address)
	return l, mperror.Wrap(err, "listen on %s", address)
}

// Serve accepts connections from l until the server is shut down.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, s: s}) }

// Shutdown is that of http.Server.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close is that of http.Server.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) stallTimeout() time.Duration {
	if s.cfg.StallTimeout == nil {
		return mpmemory.StallTimeout
	}
	if d := s.cfg.StallTimeout(); d > 0 {
		return d
	}
	return mpmemory.StallTimeout
}

// listener accepts connections as far as the budget allows.
type listener struct {
	net.Listener
	s *Server
}

// Accept returns the next connection that may be open.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, s: l.s, address: mpmemory.AddressOf(inner.RemoteAddr())}
		if c.held, err = l.s.cfg.Memory.Open(time.Now(), c.address, c); err == nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

type connKey struct{}

func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, c)
	if s.cfg.ConnContext == nil {
		return ctx
	}
	return s.cfg.ConnContext(ctx, c)
}

// connOf returns the connection of a request, or nil if no Server serves it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func onState(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		c.(*conn).becomeIdle()
	}
}

// serveRequest serves a request whose head has arrived.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if err := c.beginRequest(r.ContentLength != 0); err != nil {
		Refuse(w, r, err)
		return
	}
	defer c.endRequest()
	s.cfg.Handler.ServeHTTP(w, r)
}

// SetAccount counts what r holds for an account, besides the client's address.
func SetAccount(r *http.Request, name string) {
	if c := connOf(r.Context()); c != nil {
		c.held.SetAccount(name)
	}
}

// NewBudget returns the budget of a process with the given limits on its memory in bytes and on its
// descriptors; 0 stands for an unknown limit. What it does shows in metrics and in the log.
func NewBudget(memoryLimit int64, maxFds int, metrics *mpmetric.Set, logger log.Logger) *mpmemory.Budget {
	observer := mpmemory.NewObserver(metrics, logger)
	cfg := mpmemory.ForProcess(memoryLimit, maxFds)
	cfg.ConnectionBytes, cfg.OnEvent = ConnectionBytes, observer.Observe
	b := mpmemory.New(cfg)
	observer.Publish(b)
	return b
}

// Reserve draws n bytes more for a request whose body was read, besides what ReadBody drew. The caller
// calls release when they are free again. Errors are those that Refuse answers.
func Reserve(r *http.Request, n int64) (release func(), err error) {
	c := connOf(r.Context())
	if c == nil {
		return func() {}, nil
	}
	memory := c.s.cfg.Memory
	w, err := memory.Draw(time.Now(), 0, n)
	if err == nil && w != nil {
		err = w.Await(r.Context(), mpmemory.ReleaseTimeout)
	}
	if err != nil {
		c.report(mpmemory.Refused, max(r.ContentLength, 0))
		return nil, err
	}
	return func() { memory.Return(n) }, nil
}

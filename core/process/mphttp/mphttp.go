// Package mphttp serves HTTP by nbhttp. It adds what a proxy needs: a request's
// context ends when its connection closes, answers are never cut by a close of
// the server's side, and a leaving server asks callers to connect elsewhere.
package mphttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"mustardpost.org/core/common/mperror"
)

const (
	keepAlive  = 60 * time.Second
	readExtra  = 64 << 10
	shardCount = 64
	maxOnline  = 20_000
)

// Config holds what a Server needs from outside.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBody bounds a request's body in bytes.
	MaxBody int
	Logger  log.Logger
}

type connections struct {
	mu   sync.Mutex
	live map[net.Conn]map[uint64]context.CancelFunc
}

// Server is one listening address.
type Server struct {
	cfg     Config
	engine  *nbhttp.Engine
	shards  [shardCount]connections
	next    atomic.Uint64
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a server that is not started yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	for i := range s.shards {
		s.shards[i].live = map[net.Conn]map[uint64]context.CancelFunc{}
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                    cfg.Name,
		Network:                 "tcp",
		Addrs:                   []string{cfg.Address},
		Handler:                 http.HandlerFunc(s.serve),
		MaxHTTPBodySize:         cfg.MaxBody,
		ReadLimit:               cfg.MaxBody + readExtra,
		KeepaliveTime:           keepAlive,
		MaxLoad:                 maxOnline,
		ReleaseWebsocketPayload: true,
		ServerExecutor:          func(f func()) { go f() },
	})
	s.engine.OnClose(func(c net.Conn, _ error) { s.closed(c) })
	return s
}

// Start listens at the configured address.
func (s *Server) Start() error {
	return mperror.Wrap(s.engine.Start(), "%s address %s", s.cfg.Name, s.cfg.Address)
}

// Leave makes all further answers ask the caller to close the connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Running returns the number of requests being served.
func (s *Server) Running() int { return int(s.running.Load()) }

// Stop closes the address and all connections.
func (s *Server) Stop() { s.engine.Stop() }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if r.Close || s.leaving.Load() {
		// The engine would close before a long answer has left its queue; the
		// caller closes instead.
		r.Close = false
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil {
		conn := res.Parser.Conn
		id := s.next.Add(1)
		s.open(conn, id, cancel)
		defer s.done(conn, id)
	}
	s.cfg.Handler.ServeHTTP(w, r.WithContext(ctx))
}

func (s *Server) shard(c net.Conn) *connections {
	port := 0
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		port = a.Port
	}
	return &s.shards[port%shardCount]
}

func (s *Server) open(c net.Conn, id uint64, cancel context.CancelFunc) {
	sh := s.shard(c)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.live[c] == nil {
		sh.live[c] = map[uint64]context.CancelFunc{}
	}
	sh.live[c][id] = cancel
}

func (s *Server) done(c net.Conn, id uint64) {
	sh := s.shard(c)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.live[c], id)
	if len(sh.live[c]) == 0 {
		delete(sh.live, c)
	}
}

// closed ends the requests of a connection that is gone.
func (s *Server) closed(c net.Conn) {
	sh := s.shard(c)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, cancel := range sh.live[c] {
		cancel()
	}
}

// UseLogger passes nbio's own messages to logger.
func UseLogger(logger log.Logger) {
	logging.DefaultLogger = adapter{logger}
}

type adapter struct{ logger log.Logger }

var _ logging.Logger = adapter{}

func (a adapter) SetLevel(int) {}

func (a adapter) Debug(format string, v ...any) {}

func (a adapter) Info(format string, v ...any) {}

func (a adapter) Warn(format string, v ...any) {
	_ = level.Warn(a.logger).Log("msg", fmt.Sprintf(format, v...))
}

func (a adapter) Error(format string, v ...any) {
	_ = level.Debug(a.logger).Log("msg", fmt.Sprintf(format, v...))
}

// Package mphttp serves HTTP by nbhttp. It adds what a proxy needs: a request's
// context ends when its connection closes, answers are never cut by a close of
// the server's side, and a leaving server asks callers to connect elsewhere.
package mphttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"mustardpost.org/core/common/mperror"
)

const (
	keepAlive  = 60 * time.Second
	readExtra  = 64 << 10
	shardCount = 64
	maxOnline  = 20_000
	sweepEvery = 100 * time.Millisecond
	stopWithin = time.Second
	// drainFor is how long a caller has to read why its request was refused
	// while it still sends.
	drainFor = 500 * time.Millisecond
)

// Config holds what a Server needs from outside.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBody bounds a request's body in bytes.
	MaxBody int
	// ParseErrorHeader is added to the answer to a request that cannot be parsed.
	ParseErrorHeader http.Header
	Logger           log.Logger
}

// requests are those being served, in one shard.
type requests struct {
	mu   sync.Mutex
	live map[uint64]request
}

type request struct {
	conn   *nbio.Conn
	cancel context.CancelFunc
}

// Server is one listening address.
type Server struct {
	cfg     Config
	engine  *nbhttp.Engine
	address string
	// listener goes to the engine when that starts.
	listener net.Listener
	shards   [shardCount]requests
	quit     chan struct{}
	next     atomic.Uint64
	running  atomic.Int64
	leaving  atomic.Bool
	// opened makes what the listener wrote visible to the pollers.
	opened atomic.Int64
}

// New returns a server that is not started yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, quit: make(chan struct{})}
	for i := range s.shards {
		s.shards[i].live = map[uint64]request{}
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                    cfg.Name,
		Network:                 "tcp",
		Addrs:                   []string{cfg.Address},
		Listen:                  func(string, string) (net.Listener, error) { return s.listener, nil },
		Handler:                 http.HandlerFunc(s.serve),
		MaxHTTPBodySize:         cfg.MaxBody,
		ReadLimit:               cfg.MaxBody + readExtra,
		KeepaliveTime:           keepAlive,
		MaxLoad:                 maxOnline,
		ReleaseWebsocketPayload: true,
		ServerExecutor:          func(f func()) { go f() },
	})
	// The engine hands a connection from its listener to a poller through the
	// kernel alone. That orders the two, but not in Go's memory model.
	s.engine.Engine.OnOpen(func(*nbio.Conn) { s.opened.Add(1) })
	s.engine.OnData(s.receive)
	return s
}

// Start listens at the configured address. The engine gets a listener that is
// open: one that fails to listen waits for its pollers, some of which never end.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return mperror.Wrap(err, "%s address %s", s.cfg.Name, s.cfg.Address)
	}
	s.listener, s.address = l, l.Addr().String()
	if err := s.engine.Start(); err != nil {
		return mperror.Wrap(err, "%s address %s", s.cfg.Name, s.cfg.Address)
	}
	go s.sweep()
	return nil
}

// Address returns host and port of a server that has started.
func (s *Server) Address() string { return s.address }

// StartDraining makes all further answers ask the caller to close the connection.
func (s *Server) StartDraining() { s.leaving.Store(true) }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.running.Load()) }

// Stop closes the address and all connections. It gives up waiting after a
// while: an nbio poller that has not begun its loop yet misses the stop signal
// and never ends.
func (s *Server) Stop() {
	close(s.quit)
	stopped := make(chan struct{})
	go func() {
		s.engine.Stop()
		close(stopped)
	}()
	t := time.NewTimer(stopWithin)
	defer t.Stop()
	select {
	case <-stopped:
	case <-t.C:
	}
}

// receive parses what came over a connection. A request that cannot be parsed
// is told why before its connection is closed; what else it sends is dropped.
func (s *Server) receive(c *nbio.Conn, data []byte) {
	s.opened.Load()
	parser, ok := c.Session().(nbhttp.ParserCloser)
	if !ok {
		return
	}
	err := parser.Parse(data)
	if err == nil {
		return
	}
	parser.CloseAndClean(err)
	c.SetSession(refused{})
	status := http.StatusBadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	_, _ = c.Write(s.refusal(status))
	time.AfterFunc(drainFor, func() { _ = c.CloseWithError(err) })
}

func (s *Server) refusal(status int) []byte {
	text := http.StatusText(status)
	header := s.cfg.ParseErrorHeader.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Connection", "close")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, text)
	_ = header.Write(&b)
	b.WriteString("\r\n" + text)
	return b.Bytes()
}

// refused is the session of a connection whose request could not be parsed.
type refused struct{}

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
	if conn, ok := connOf(w); ok {
		id := s.next.Add(1)
		sh := &s.shards[id%shardCount]
		sh.add(id, request{conn, cancel})
		defer sh.remove(id)
	}
	s.cfg.Handler.ServeHTTP(w, r.WithContext(ctx))
}

func connOf(w http.ResponseWriter) (*nbio.Conn, bool) {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil, false
	}
	conn := res.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	c, ok := conn.(*nbio.Conn)
	return c, ok
}

func (r *requests) add(id uint64, one request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[id] = one
}

func (r *requests) remove(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.live, id)
}

// sweep cancels the requests whose connections are closed. The engine's own
// close event waits behind the running handler, and so comes too late.
func (s *Server) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-t.C:
		}
		for i := range s.shards {
			s.shards[i].cancelClosed()
		}
	}
}

func (r *requests) cancelClosed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.live {
		if closed, _ := one.conn.IsClosed(); closed {
			one.cancel()
		}
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

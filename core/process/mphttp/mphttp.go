// Package mphttp serves HTTP with nbhttp and adds what a proxy needs: the context of a
// request is cancelled when its connection closes, the server never truncates a response
// by closing the connection, and a draining server asks callers to connect elsewhere.
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
	keepAliveTimeout   = 60 * time.Second
	readHeadroomBytes  = 64 << 10
	shardCount         = 64
	maxConnections     = 20_000
	closedPollInterval = 100 * time.Millisecond
	stopTimeout        = time.Second
	// rejectionLinger is how long a connection stays open after a request was rejected, so
	// that a caller that is still sending can read the reason.
	rejectionLinger = 500 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int
	// ParseErrorHeader is added to the response to a request that cannot be parsed.
	ParseErrorHeader http.Header
	Logger           log.Logger
}

// requestShard holds one shard of the requests that are being served.
type requestShard struct {
	mu     sync.Mutex
	active map[uint64]request
}

type request struct {
	conn   *nbio.Conn
	cancel context.CancelFunc
}

// Server is an HTTP server that listens on one address.
type Server struct {
	cfg     Config
	engine  *nbhttp.Engine
	address string
	// listener is handed to the engine when the engine starts.
	listener net.Listener
	shards   [shardCount]requestShard
	quit     chan struct{}
	lastID   atomic.Uint64
	inFlight atomic.Int64
	draining atomic.Bool
	// opened counts opened connections. It serves as a memory barrier that makes the
	// listener's writes visible to the pollers.
	opened atomic.Int64
}

// New returns a Server that is not started yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, quit: make(chan struct{})}
	for i := range s.shards {
		s.shards[i].active = map[uint64]request{}
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                    cfg.Name,
		Network:                 "tcp",
		Addrs:                   []string{cfg.Address},
		Listen:                  func(string, string) (net.Listener, error) { return s.listener, nil },
		Handler:                 http.HandlerFunc(s.serve),
		MaxHTTPBodySize:         cfg.MaxBodyBytes,
		ReadLimit:               cfg.MaxBodyBytes + readHeadroomBytes,
		KeepaliveTime:           keepAliveTimeout,
		MaxLoad:                 maxConnections,
		ReleaseWebsocketPayload: true,
		ServerExecutor:          func(f func()) { go f() },
	})
	// The engine hands a connection from its listener to a poller through the kernel
	// only. That orders the two, but is not synchronization in Go's memory model.
	s.engine.Engine.OnOpen(func(*nbio.Conn) { s.opened.Add(1) })
	s.engine.OnData(s.onData)
	return s
}

// Start listens on the configured address. It opens the listener before it starts the
// engine: an engine that fails to listen waits for its pollers, and some of them may
// never stop.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return mperror.Wrap(err, "listen for %s on %s", s.cfg.Name, s.cfg.Address)
	}
	s.listener, s.address = l, l.Addr().String()
	if err := s.engine.Start(); err != nil {
		return mperror.Wrap(err, "start HTTP server for %s on %s", s.cfg.Name, s.cfg.Address)
	}
	go s.pollClosed()
	return nil
}

// Address returns the host and port that a started server listens on.
func (s *Server) Address() string { return s.address }

// StartDraining makes all further responses ask the caller to close the connection.
func (s *Server) StartDraining() { s.draining.Store(true) }

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Stop closes the listener and all connections. It waits for at most stopTimeout, since
// an nbio poller that has not entered its loop yet misses the stop signal and never
// returns.
func (s *Server) Stop() {
	close(s.quit)
	stopped := make(chan struct{})
	go func() {
		s.engine.Stop()
		close(stopped)
	}()
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-stopped:
	case <-t.C:
	}
}

// onData parses data received on a connection. If a request cannot be parsed, onData
// sends a response with the reason, drops all further data, and closes the connection
// after rejectionLinger.
func (s *Server) onData(c *nbio.Conn, data []byte) {
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
	c.SetSession(rejectedSession{})
	status := http.StatusBadRequest
	if errors.Is(err, nbhttp.ErrTooLong) {
		status = http.StatusRequestEntityTooLarge
	}
	_, _ = c.Write(s.errorResponse(status))
	time.AfterFunc(rejectionLinger, func() { _ = c.CloseWithError(err) })
}

func (s *Server) errorResponse(status int) []byte {
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

// rejectedSession is the session of a connection whose request could not be parsed.
type rejectedSession struct{}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if r.Close || s.draining.Load() {
		// The engine would close the connection before a long response has left its
		// write queue, so the caller is asked to close it instead.
		r.Close = false
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if conn, ok := connOf(w); ok {
		id := s.lastID.Add(1)
		shard := &s.shards[id%shardCount]
		shard.add(id, request{conn, cancel})
		defer shard.remove(id)
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

func (s *requestShard) add(id uint64, req request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[id] = req
}

func (s *requestShard) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
}

// pollClosed polls for closed connections and cancels their requests. The engine's own
// close event is queued behind the running handler, and so comes too late.
func (s *Server) pollClosed() {
	t := time.NewTicker(closedPollInterval)
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

func (s *requestShard) cancelClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, req := range s.active {
		if closed, _ := req.conn.IsClosed(); closed {
			req.cancel()
		}
	}
}

// UseLogger sends the log messages of nbio to logger: warnings as warnings, errors at the
// debug level. It drops all others.
func UseLogger(logger log.Logger) {
	logging.DefaultLogger = nbioLogger{logger}
}

type nbioLogger struct{ logger log.Logger }

var _ logging.Logger = nbioLogger{}

func (l nbioLogger) SetLevel(int) {}

func (l nbioLogger) Debug(format string, v ...any) {}

func (l nbioLogger) Info(format string, v ...any) {}

func (l nbioLogger) Warn(format string, v ...any) {
	_ = level.Warn(l.logger).Log("msg", fmt.Sprintf(format, v...))
}

func (l nbioLogger) Error(format string, v ...any) {
	_ = level.Debug(l.logger).Log("msg", fmt.Sprintf(format, v...))
}

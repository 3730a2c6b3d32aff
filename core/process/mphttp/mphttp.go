// Package mphttp serves HTTP with nbhttp and adds what a proxy needs: the context of a
// request is cancelled when its connection closes, the server never truncates a response
// by closing the connection, and a draining server asks callers to connect elsewhere. What
// arrives draws on a memory budget until its handler returns, and clients that send or read nothing
// for too long are cut off.
package mphttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
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
	"mustardpost.org/core/process/mpmemory"
)

const (
	keepAliveTimeout  = 60 * time.Second
	readHeadroomBytes = 64 << 10
	shardCount        = 64
	// MaxConnections is how many connections may be open in all.
	MaxConnections     = 20_000
	closedPollInterval = 100 * time.Millisecond
	stopTimeout        = time.Second
	// rejectionLinger is how long a connection stays open after a request was rejected, so
	// that a caller that is still sending can read the reason.
	rejectionLinger = 500 * time.Millisecond
	// stallPollInterval is how often connections are checked for requests that stopped to arrive.
	stallPollInterval = time.Second
	// retryAfter is the Retry-After of refusals for lack of memory.
	retryAfter = time.Second
)

var (
	errStalled       = errors.New("request stopped to arrive, or arrives too slowly")
	errUnread        = errors.New("client reads nothing")
	errTooManyQueued = errors.New("too many requests are sent ahead of their responses")
)

// Config configures a Server.
type Config struct {
	Name    string
	Address string
	Handler http.Handler
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int
	// RefusalHeader returns what is added to the response to a request that did not arrive whole, by
	// its status; it may be nil. retryAfter is 0 if the request will not be accepted later either.
	RefusalHeader func(status int, retryAfter time.Duration) http.Header
	// Memory is the budget that all servers of the process share; nil sets no limits. Its
	// ConnectionBytes are those of this package.
	Memory *mpmemory.Budget
	Logger log.Logger
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
	// accepted is the connection that the listener accepted last, until the engine opens it. Only the
	// listener's goroutine uses it.
	accepted *session

	mu       sync.Mutex
	sessions map[*session]struct{}
}

// New returns a Server that is not started yet.
func New(cfg Config) *Server {
	useHeap()
	if cfg.Memory == nil {
		cfg.Memory = mpmemory.New(mpmemory.Config{Bytes: math.MaxInt64 / 4})
	}
	s := &Server{cfg: cfg, quit: make(chan struct{}), sessions: map[*session]struct{}{}}
	for i := range s.shards {
		s.shards[i].active = map[uint64]request{}
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                    cfg.Name,
		Network:                 "tcp",
		Addrs:                   []string{cfg.Address},
		Listen:                  func(string, string) (net.Listener, error) { return &listener{s.listener, s}, nil },
		Handler:                 http.HandlerFunc(s.serve),
		OnRequest:               func(w http.ResponseWriter, _ *http.Request) { s.onRequest(w) },
		MaxHTTPBodySize:         cfg.MaxBodyBytes,
		ReadLimit:               cfg.MaxBodyBytes + readHeadroomBytes,
		KeepaliveTime:           keepAliveTimeout,
		MaxLoad:                 MaxConnections,
		ReleaseWebsocketPayload: true,
		ServerExecutor:          func(f func()) { go f() },
	})
	// The engine hands a connection from its listener to a poller through the kernel
	// only. That orders the two, but is not synchronization in Go's memory model.
	s.engine.Engine.OnOpen(func(c *nbio.Conn) {
		s.onOpen(c)
		s.opened.Add(1)
	})
	s.engine.OnClose(s.onClose)
	s.engine.OnData(s.onData)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if sess, ok := c.Session().(*session); ok {
			sess.output.onFlushed(time.Now(), n)
		}
	})
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

// listener accepts connections as far as the budget allows.
type listener struct {
	net.Listener
	s *Server
}

// Accept returns the next connection that may be open. The engine calls it, and opens what it returns,
// from one goroutine.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.s.accepted != nil {
			l.s.accepted.held.Close() // The engine could not open it.
			l.s.accepted = nil
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		sess := &session{s: l.s, address: mpmemory.AddressOf(c.RemoteAddr())}
		if sess.open(time.Now()) {
			l.s.accepted = sess
			return c, nil
		}
		_ = c.Close()
	}
}

// onOpen completes the session of the connection that was accepted last.
func (s *Server) onOpen(c *nbio.Conn) {
	sess := s.accepted
	s.accepted = nil
	parser, ok := c.Session().(*nbhttp.Parser)
	if sess == nil || !ok {
		return
	}
	sess.mu.Lock()
	sess.ParserCloser, sess.conn, sess.output = parser, c, newOutput(c)
	if sess.isRejected {
		sess.closeLater() // The engine cannot close a connection that it is opening.
	}
	sess.mu.Unlock()
	if hc, ok := parser.Conn.(*nbhttp.Conn); ok {
		hc.Conn = sess.output
	}
	parser.Processor = &processor{parser.Processor, sess}
	c.SetSession(sess)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[sess] = struct{}{}
}

// onClose releases what a closed connection held. The engine calls it after the handlers have returned.
func (s *Server) onClose(c net.Conn, _ error) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	sess, ok := nc.Session().(*session)
	if !ok {
		return
	}
	sess.held.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// onData parses data received on a connection. If a request cannot be parsed, or there is no room
// for it, the client gets a response with the reason. All further data is dropped, and the connection
// is closed after rejectionLinger.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	s.opened.Load()
	if sess, ok := c.Session().(*session); ok {
		sess.receive(time.Now(), data)
	}
}

func (s *Server) errorResponse(status int) []byte {
	text := http.StatusText(status)
	var wait time.Duration
	if status == http.StatusServiceUnavailable {
		wait = retryAfter
	}
	header := http.Header{}
	if s.cfg.RefusalHeader != nil {
		header = s.cfg.RefusalHeader(status, wait)
	}
	header.Set("Connection", "close")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	if wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, text)
	_ = header.Write(&b)
	b.WriteString("\r\n" + text)
	return b.Bytes()
}

func (s *Server) onRequest(w http.ResponseWriter) {
	if sess, ok := sessionOf(w); ok {
		sess.onRequest()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	sess, ok := sessionOf(w)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable) // The connection was closed before it was opened.
		return
	}
	defer func() { sess.finish(time.Now()) }()
	if !sess.mayRun() {
		s.refuse(w)
		return
	}
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
	id := s.lastID.Add(1)
	shard := &s.shards[id%shardCount]
	shard.add(id, request{sess.conn, cancel})
	defer shard.remove(id)
	s.cfg.Handler.ServeHTTP(w, r.WithContext(ctx))
}

// refuse answers a request whose connection was ended to make room for others.
func (s *Server) refuse(w http.ResponseWriter) {
	h := w.Header()
	if s.cfg.RefusalHeader != nil {
		for name, values := range s.cfg.RefusalHeader(http.StatusServiceUnavailable, retryAfter) {
			h[name] = values
		}
	}
	h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func sessionOf(w http.ResponseWriter) (*session, bool) {
	res, ok := w.(*nbhttp.Response)
	if !ok || res.Parser == nil {
		return nil, false
	}
	conn := res.Parser.Conn
	if wrapped, ok := conn.(*nbhttp.Conn); ok {
		conn = wrapped.Conn
	}
	out, ok := conn.(*output)
	if !ok {
		return nil, false
	}
	sess, ok := out.Session().(*session)
	return sess, ok
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
// close event is queued behind the running handler, and so comes too late. It also polls for
// connections on which nothing moves.
func (s *Server) pollClosed() {
	t := time.NewTicker(closedPollInterval)
	defer t.Stop()
	var checkedAt time.Time
	for {
		var now time.Time
		select {
		case <-s.quit:
			return
		case now = <-t.C:
		}
		for i := range s.shards {
			s.shards[i].cancelClosed()
		}
		if now.Sub(checkedAt) >= stallPollInterval {
			checkedAt = now
			s.checkStalled(now)
		}
	}
}

func (s *Server) checkStalled(now time.Time) {
	s.mu.Lock()
	sessions := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	for _, sess := range sessions {
		sess.checkStalled(now)
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

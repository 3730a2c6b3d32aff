package mppeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
)

// confirmTimeout is how long a peer may take to answer on the connection that replaces a silent one.
const confirmTimeout = 500 * time.Millisecond

// ErrSilent means that the connection of a call was closed, since nothing arrived on it any more. The
// call may have been processed. The next one makes a new connection.
var ErrSilent = errors.New("connection to peer is silent")

type contextKey int

const (
	holdKey contextKey = iota
	probeKey
)

// WithHold returns a context for calls that the peer may hold for d before it answers them.
func WithHold(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, holdKey, d)
}

func holdOf(ctx context.Context) time.Duration {
	d, _ := ctx.Value(holdKey).(time.Duration)
	return d
}

func isProbe(ctx context.Context) bool { return ctx.Value(probeKey) != nil }

// link is what a Client has of one peer: its gRPC connection, and the newest TCP connection below it.
//
// While calls wait for longer than they should, it probes the peer on the same connection. If nothing
// arrives, it closes the connection, so that the calls fail with ErrSilent and gRPC makes a new one.
// The keepalive of gRPC would take more than ten seconds, and that of the kernel shows only whether
// the next hop acknowledges.
type link struct {
	client  *Client
	address string
	conn    *grpc.ClientConn

	mu       sync.Mutex
	tcp      *trackedConn
	liveness *liveness
	// streams is the number of open streams.
	streams int
}

func newLink(c *Client, address string) (*link, error) {
	l := &link{client: c, address: address, liveness: newLiveness()}
	var err error
	l.conn, err = c.dial(l)
	return l, mperror.Wrap(err, "peer %s", address)
}

// trackedConn is a TCP connection that records when it was made and last read.
type trackedConn struct {
	net.Conn
	madeAt time.Time

	mu       sync.Mutex
	lastRead time.Time
	isClosed bool
	// isSilent is set if it was closed because nothing arrived.
	isSilent bool
}

func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.lastRead = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// markSilent marks the connection as silent, unless it was closed before. It reports whether it did, and
// the caller closes the connection then.
func (c *trackedConn) markSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = c.isSilent || !c.isClosed
	return !c.isClosed
}

// readAt returns when bytes were last read, at first when the connection was made.
func (c *trackedConn) readAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead
}

func (c *trackedConn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isClosed
}

func (c *trackedConn) wasSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isSilent
}

// dial makes the TCP connection for gRPC.
func (l *link) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := l.client.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	tcp := &trackedConn{Conn: conn, madeAt: now, lastRead: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tcp = tcp
	return tcp, nil
}

// current returns the newest TCP connection, or nil.
func (l *link) current() *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tcp
}

// watch watches a call that begins, until the function that it returns is called with the call's
// error. That function returns the error to report.
func (l *link) watch(ctx context.Context) (done func(error) error) {
	if isProbe(ctx) {
		return func(err error) error { return err }
	}
	start, before := time.Now(), l.current()
	wasOpen := before != nil && before.isOpen()
	l.mu.Lock()
	call := l.liveness.Begin(start, holdOf(ctx))
	due, _ := l.liveness.NextCheck(call, start)
	l.mu.Unlock()
	var timer *time.Timer
	var mu sync.Mutex // Held while timer is set, since it may fire before that.
	mu.Lock()
	timer = time.AfterFunc(due.Sub(start), func() {
		mu.Lock()
		defer mu.Unlock()
		if wait, ok := l.check(time.Now(), call); ok {
			timer.Reset(wait)
		}
	})
	mu.Unlock()
	return func(err error) error {
		l.mu.Lock()
		l.liveness.End(call)
		l.mu.Unlock()
		timer.Stop()
		tcp := l.current()
		switch status.Code(err) {
		case codes.DeadlineExceeded:
			if tcp != nil && tcp.readAt().Before(start) {
				l.startProbe(time.Now())
			}
		case codes.Unavailable:
			if wasOpen && before.wasSilent() || tcp != before && tcp.wasSilent() {
				return &silentError{err}
			}
		default:
		}
		return err
	}
}

// silentError is the error of a call whose connection was silent.
type silentError struct{ error }

func (e *silentError) Is(target error) bool       { return target == ErrSilent }
func (e *silentError) Unwrap() error              { return e.error }
func (e *silentError) GRPCStatus() *status.Status { return status.Convert(e.error) }

// check probes the peer if the call should have been answered by now. It returns when to check the
// call again, or false if it has ended.
func (l *link) check(now time.Time, call uint64) (time.Duration, bool) {
	readAt := now
	if tcp := l.current(); tcp != nil {
		readAt = tcp.readAt()
	}
	l.mu.Lock()
	due, ok := l.liveness.NextCheck(call, readAt)
	l.mu.Unlock()
	if !ok {
		return 0, false
	}
	if wait := due.Sub(now); wait > 0 {
		return wait, true
	}
	l.startProbe(now)
	return quietTime, true
}

// startProbe probes the peer, unless a probe is running.
func (l *link) startProbe(now time.Time) {
	l.mu.Lock()
	tcp := l.tcp
	var timeout time.Duration
	ok := tcp != nil && tcp.isOpen()
	if ok {
		timeout, ok = l.liveness.StartProbe(now)
	}
	l.mu.Unlock()
	if ok {
		go l.probe(tcp, now, timeout)
	}
}

// probe probes the peer, and closes the connection if nothing arrives. Whether the peer answers on a
// new one tells a connection that is silent from a peer that is down, slow or cut off.
func (l *link) probe(tcp *trackedConn, start time.Time, timeout time.Duration) {
	_ = l.ask(timeout)
	now, readAt := time.Now(), tcp.readAt()
	l.mu.Lock()
	silent := l.liveness.EndProbe(now, readAt)
	l.mu.Unlock()
	if !silent || !tcp.markSilent() {
		return
	}
	l.client.cfg.Metrics.Add("peer.silent", 1) // Before the calls on the connection end.
	_ = tcp.Close()
	answered := l.ask(confirmTimeout)
	l.mu.Lock()
	l.liveness.Confirm(time.Now(), answered)
	l.mu.Unlock()
	_ = level.Warn(l.client.cfg.Logger).Log("msg", "silent connection closed", "peer", l.address,
		"age", now.Sub(tcp.madeAt), "idle", now.Sub(readAt), "answers", answered)
	if answered {
		l.client.doubtOthers(l, start)
	}
}

// ask reports whether the peer answers within timeout, in whatever way.
func (l *link) ask(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), probeKey, true), timeout)
	defer cancel()
	_, err := mpwire.NewPeerClient(l.conn).Probe(ctx, &mpwire.ProbeRequest{}, grpc.WaitForReady(true))
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return false
	default:
		return true
	}
}

// doubt closes the connection if it has no call and no stream, or else probes the peer, unless
// something was read from it since the given time.
func (l *link) doubt(now, since time.Time) {
	l.mu.Lock()
	tcp, isBusy := l.tcp, l.liveness.IsBusy() || l.streams > 0
	l.mu.Unlock()
	switch {
	case tcp == nil || !tcp.isOpen() || !tcp.readAt().Before(since):
	case isBusy:
		l.startProbe(now)
	default:
		_ = tcp.Close()
	}
}

// doubtOthers checks the connections to all other peers, after one of them turned out to be silent
// although its peer can be reached: what silenced it may have silenced others too.
func (c *Client) doubtOthers(silent *link, since time.Time) {
	c.mu.Lock()
	var others []*link
	for _, l := range c.links {
		if l != silent {
			others = append(others, l)
		}
	}
	c.mu.Unlock()
	now := time.Now()
	for _, l := range others {
		l.doubt(now, since)
	}
}

// unary authenticates and watches a call.
func (l *link) unary(
	ctx context.Context, method string, req, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	done := l.watch(ctx)
	ctx = metadata.AppendToOutgoingContext(ctx, secretMetadataKey, l.client.cfg.Secret)
	return done(invoke(ctx, method, req, reply, conn, opts...))
}

// stream authenticates a stream, and watches it from each message that is sent to the next one that is
// received.
func (l *link) stream(
	ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string,
	open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	ctx = metadata.AppendToOutgoingContext(ctx, secretMetadataKey, l.client.cfg.Secret)
	s, err := open(ctx, desc, conn, method, opts...)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.streams++
	l.mu.Unlock()
	return &watchedStream{ClientStream: s, link: l}, nil
}

// watchedStream is a stream whose peer is probed if it does not answer a message.
type watchedStream struct {
	grpc.ClientStream
	link *link

	mu       sync.Mutex
	done     func(error) error
	hasEnded bool
}

func (s *watchedStream) SendMsg(m any) error {
	s.mu.Lock()
	if s.done == nil {
		s.done = s.link.watch(s.Context())
	}
	s.mu.Unlock()
	return s.ClientStream.SendMsg(m)
}

func (s *watchedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	s.mu.Lock()
	done, ends := s.done, err != nil && !s.hasEnded
	s.done, s.hasEnded = nil, s.hasEnded || ends
	s.mu.Unlock()
	if ends {
		s.link.mu.Lock()
		s.link.streams--
		s.link.mu.Unlock()
	}
	if done != nil {
		return done(err)
	}
	return err
}

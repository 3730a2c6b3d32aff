package mpupstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"mustardpost.org/core/connection/mpanswer"
	"mustardpost.org/core/connection/mpdial"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpusage"
)

const (
	unackedTimeout           = 2 * time.Second
	keepaliveIdle            = time.Second
	keepaliveInterval        = 500 * time.Millisecond
	keepaliveProbes          = 3
	proxyIdleConnTimeout     = 4 * time.Second
	proxyMaxIdleConnsPerHost = 16
	callIdleTimeout          = 10 * time.Second
)

// NewDialer returns a dialer with local address source whose connections detect a
// silent network partition.
func NewDialer(source net.IP) *net.Dialer {
	return mpdial.New(mpdial.Config{
		Source:         source,
		Timeout:        dialTimeout,
		UnackedTimeout: unackedTimeout,
		KeepAlive:      net.KeepAliveConfig{Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveProbes},
	})
}

// Transport writes each request to an upstream at most once. It is safe for concurrent use.
//
// When a reused connection breaks, http.Transport sends some requests again by itself, whether or not
// the upstream has run them: those with a method that is safe by RFC 9110 or with an Idempotency-Key
// field, if it can read the body again. Transport leaves that to its caller, which knows what may be
// repeated and at what cost.
type Transport struct {
	// pooled keeps idle connections. unpooled makes one for each request, which http.Transport
	// never replaces.
	pooled, unpooled *mpanswer.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport for proxying requests unchanged, over
// connections made by dial. The bytes on them are counted in m.
func NewTransport(dial mpdial.Func, m *mpmetric.Set) *Transport {
	counted := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, metrics: m}, nil
	}
	return newTransport(counted, proxyMaxIdleConnsPerHost, proxyIdleConnTimeout)
}

// newTransport returns a transport that keeps up to maxIdlePerHost idle connections
// per upstream for idleTimeout, requests no compression and uses no proxy.
func newTransport(dial mpdial.Func, maxIdlePerHost int, idleTimeout time.Duration) *Transport {
	cfg := mpanswer.Config{Dial: dial, MaxIdlePerHost: maxIdlePerHost, IdleTimeout: idleTimeout, MaxHeadBytes: maxResponseHeaderBytes}
	t := &Transport{pooled: mpanswer.New(cfg)}
	cfg.IsSingleUse = true
	t.unpooled = mpanswer.New(cfg)
	return t
}

// NewCallTransport returns a transport for calls whose responses are read at once, up to a limit. With isSingleUse
// each of them gets a connection of its own.
func NewCallTransport(isSingleUse bool) *mpanswer.Transport {
	return mpanswer.New(mpanswer.Config{
		Dial: (&net.Dialer{}).DialContext, IdleTimeout: callIdleTimeout, MaxHeadBytes: maxResponseHeaderBytes,
		IsSingleUse: isSingleUse, AcceptsGzip: true,
	})
}

// RoundTrip sends req and returns the response. A request with Close set gets a new connection. Errors
// are those of mpanswer.Transport.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	switch {
	case req.Close:
		return t.unpooled.RoundTrip(req)
	case !isReplayable(req):
		return t.pooled.RoundTrip(req)
	case req.Body != nil && req.Body != http.NoBody:
		req = req.WithContext(req.Context()) // A copy.
		req.GetBody = nil
		return t.pooled.RoundTrip(req)
	case isSafe(req.Method):
		// A body that cannot be read again. Without a length and with this encoding, which is the
		// absence of one, net/http writes the same bytes as for no body.
		req = req.WithContext(req.Context()) // A copy.
		req.Body, req.GetBody, req.ContentLength = io.NopCloser(strings.NewReader("")), nil, 0
		req.TransferEncoding = []string{"identity"}
		return t.pooled.RoundTrip(req)
	default:
		// Other methods would lack the Content-Length field, which some upstreams insist on.
		return t.unpooled.RoundTrip(req)
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.pooled.CloseIdleConnections()
	t.unpooled.CloseIdleConnections()
}

// isReplayable reports whether http.Transport may send req again by itself, given a body that it can
// read again.
func isReplayable(req *http.Request) bool {
	_, hasKey := req.Header["Idempotency-Key"]
	_, hasOldKey := req.Header["X-Idempotency-Key"]
	return isSafe(req.Method) || hasKey || hasOldKey
}

// isSafe reports whether a method is safe. Requests with such a method have no Content-Length field if
// they have no body.
func isSafe(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// countedConn is a connection to an upstream that counts its bytes.
type countedConn struct {
	net.Conn
	metrics *mpmetric.Set
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.Add(mpusage.UpstreamIn, int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Add(mpusage.UpstreamOut, int64(n))
	return n, err
}

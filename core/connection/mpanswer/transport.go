// Package mpanswer reads the answers of servers to HTTP/1.1 requests. It passes an answer on only if its body is whole:
// net/http alone takes a reset that a write has met for the end of a body.
package mpanswer

import (
	"context"
	"net"
	"net/http"
	"time"

	"mustardpost.org/core/connection/mpdial"
)

// Config configures a Transport.
type Config struct {
	// Dial makes connections.
	Dial mpdial.Func
	// MaxIdlePerHost and IdleTimeout bound the connections that are kept; 0 stands for those of net/http.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// MaxHeadBytes bounds the head of an answer.
	MaxHeadBytes int
	// IsSingleUse makes a connection for each request.
	IsSingleUse bool
	// AcceptsGzip asks for compressed bodies and decompresses them.
	AcceptsGzip bool
}

// Transport sends requests, without a proxy. It is safe for concurrent use.
type Transport struct{ http *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport.
func New(cfg Config) *Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := cfg.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return mpdial.WatchEnd(c), nil
	}
	return &Transport{&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    cfg.MaxIdlePerHost,
		IdleConnTimeout:        cfg.IdleTimeout,
		DisableCompression:     !cfg.AcceptsGzip,
		DisableKeepAlives:      cfg.IsSingleUse,
		MaxResponseHeaderBytes: int64(cfg.MaxHeadBytes),
	}}
}

// RoundTrip sends req and returns the answer. Its errors are those of http.Transport.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.http.RoundTrip(req)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

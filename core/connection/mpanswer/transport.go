// Package mpanswer reads the answers of servers to HTTP/1.1 requests. It passes an answer on only if its head is
// well formed by RFC 9112 and its body is whole: net/http alone accepts names of fields with blanks, any status
// of three digits, two ways to delimit a body, and takes a reset that a write has met for the end of a body.
package mpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"golang.org/x/net/http/httpguts"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpdial"
)

// ErrMalformed means that a server sent bytes that are no answer to the request.
var ErrMalformed = errors.New("malformed answer")

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
		return &conn{Conn: mpdial.WatchEnd(c), maxHeadBytes: cfg.MaxHeadBytes}, nil
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

// RoundTrip sends req and returns the answer. Its errors are those of http.Transport, and wrap ErrMalformed if
// what the server sent is no answer.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.begin()
			used = c
		}
	}}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if used == nil || !used.isAnswered() {
		_ = resp.Body.Close()
		return nil, mperror.Wrap(ErrMalformed, "its head came before the request was sent")
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// chunkedBody is a body in chunks, which is whole only if the fields behind it are well formed as well.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return n, mperror.Wrap(ErrMalformed, "name of the field %q behind the body", name)
		}
	}
	return n, err
}

// Package mpupstream sends single attempts to upstreams over HTTP. It uses the
// client of net/http, because the client of nbhttp returns only complete responses
// and token streams must be passed on as they arrive.
package mpupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
)

const (
	// AttemptHeader carries the attempt's ID; upstreams may echo it.
	AttemptHeader = "X-Request-Id"
	// InstanceHeader carries the ID that an upstream gives its process.
	InstanceHeader = "Mustardpost-Instance"
	// ColdHeader is "1" on responses of an upstream that is in its cold start.
	ColdHeader = "Mustardpost-Cold"
	// DeadlineHeader carries the time left until the deadline, in ms.
	DeadlineHeader = "Mustardpost-Left"

	dialTimeout         = 500 * time.Millisecond
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 30 * time.Second
	maxResponseBytes    = 8 << 20
	maxErrorBodyBytes   = 4 << 10
	// drainTimeout limits how long the body of a refusal is read so that its connection
	// can be reused.
	drainTimeout           = 50 * time.Millisecond
	maxResponseHeaderBytes = 32 << 10
)

// Call is one HTTP request to an upstream.
type Call struct {
	Address     string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Attempt     uint64
	// RequireEcho rejects a response that does not echo the attempt's ID.
	RequireEcho bool
	// NoRetry is set for a call that must not be repeated. It gets a new connection.
	NoRetry   bool
	Remaining time.Duration
}

// Response is a complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Instance    string
	Cold        bool
}

// Failure describes an attempt without a complete response. It wraps
// ErrConnectionLost, ErrBadResponse, ErrFull (the upstream refused the attempt),
// ErrInvalid (the request could not be built), an error of the context, or an error
// of Stream's emit.
type Failure struct {
	// Sent reports whether any byte of the attempt may have reached the upstream.
	Sent   bool
	Status int
	Cold   bool
	Err    error
}

func (f *Failure) Error() string { return f.Err.Error() }

func (f *Failure) Unwrap() error { return f.Err }

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	transport *Transport
	http      *http.Client
}

// New returns a client. It sends each call on one connection only.
func New() *Client {
	t := newTransport((&net.Dialer{Timeout: dialTimeout}).DialContext, maxIdleConnsPerHost, idleConnTimeout)
	return &Client{transport: t, http: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Do sends call and returns the complete response. A response that ends with its connection
// is complete only if it is a JSON object or array. Refusals for overload (429 and
// 503) and other statuses of 500 and above are a Failure; the rest are a Response.
func (c *Client) Do(ctx context.Context, call Call) (Response, *Failure) {
	resp, sent, fail := c.start(ctx, call)
	if fail != nil {
		return Response{}, fail
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(ctx, resp)
	if err != nil {
		return Response{}, newFailure(ctx, sent.Load(), err)
	}
	if len(body) > maxResponseBytes {
		return Response{}, &Failure{Sent: true, Err: mperror.Wrap(mperror.ErrBadResponse, "longer than %d bytes", maxResponseBytes)}
	}
	if EndsWithConnection(resp) && !isDelimited(body) {
		err := mperror.Wrap(mperror.ErrBadResponse, "%d bytes without a length, chunks or an end of their own", len(body))
		return Response{}, &Failure{Sent: true, Err: err}
	}
	return Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
		Instance:    resp.Header.Get(InstanceHeader),
		Cold:        resp.Header.Get(ColdHeader) == "1",
	}, nil
}

// EndsWithConnection reports whether only the end of the connection marks the end of the
// response, which is the same whether the upstream was done or died.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isDelimited reports whether body is a JSON object or array. The beginning of a number can
// be a number too.
func isDelimited(body []byte) bool {
	text := bytes.TrimLeft(body, " \t\r\n")
	return (bytes.HasPrefix(text, []byte("{")) || bytes.HasPrefix(text, []byte("["))) && json.Valid(body)
}

// start sends call and checks the status and header of the response.
func (c *Client) start(ctx context.Context, call Call) (*http.Response, *atomic.Bool, *Failure) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, sent, &Failure{Err: mperror.Wrap(mperror.ErrInvalid, "request: %v", err)}
	}
	// An idle connection may close while the call is in transit, which leaves open whether it ran.
	req.Close = call.NoRetry
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sent, newFailure(ctx, sent.Load(), err)
	}
	if fail := checkResponseHead(resp, call); fail != nil {
		drain(resp.Body)
		return nil, sent, fail
	}
	return resp, sent, nil
}

// drain reads the rest of a short body and closes it. The connection of a longer or slower
// one is closed.
func drain(body io.ReadCloser) {
	timeout := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timeout.Stop()
	_, _ = io.CopyN(io.Discard, body, maxErrorBodyBytes)
	_ = body.Close()
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(AttemptHeader, mpid.Hex(call.Attempt))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	return req, nil
}

func checkResponseHead(resp *http.Response, call Call) *Failure {
	cold := resp.Header.Get(ColdHeader) == "1"
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		err := mperror.Wrap(mperror.ErrFull, "upstream answered %d", resp.StatusCode)
		return &Failure{Sent: true, Status: resp.StatusCode, Cold: cold, Err: err}
	case resp.StatusCode >= http.StatusInternalServerError:
		err := mperror.Wrap(mperror.ErrBadResponse, "upstream answered %d", resp.StatusCode)
		return &Failure{Sent: true, Status: resp.StatusCode, Cold: cold, Err: err}
	case call.RequireEcho && resp.Header.Get(AttemptHeader) != mpid.Hex(call.Attempt):
		err := mperror.Wrap(mperror.ErrBadResponse, "answer to another attempt %q", resp.Header.Get(AttemptHeader))
		return &Failure{Sent: true, Err: err}
	}
	return nil
}

// newFailure distinguishes a lost connection from the end of the attempt's context.
func newFailure(ctx context.Context, sent bool, err error) *Failure {
	if ctx.Err() != nil {
		return &Failure{Sent: sent, Err: ctx.Err()}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && sent {
		return &Failure{Sent: true, Err: mperror.Wrap(mperror.ErrBadResponse, "%v", err)}
	}
	return &Failure{Sent: sent, Err: mperror.Wrap(mperror.ErrConnectionLost, "%v", err)}
}

// Package mpupstream sends single attempts to upstreams over HTTP. It uses
// net/http's client, since nbhttp's hands over whole responses only and token
// streams must be passed on as they come.
package mpupstream

import (
	"bytes"
	"context"
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
	// AttemptHeader carries the attempt's id; upstreams may repeat it.
	AttemptHeader = "X-Request-Id"
	// InstanceHeader is an upstream's own id of its process.
	InstanceHeader = "Mustardpost-Instance"
	// ColdHeader is "1" on answers of an upstream in cold start.
	ColdHeader = "Mustardpost-Cold"
	// DeadlineHeader carries what remains of the deadline, in ms.
	DeadlineHeader = "Mustardpost-Left"

	dialWithin  = 500 * time.Millisecond
	idleConns   = 64
	idleFor     = 30 * time.Second
	maxAnswer   = 8 << 20
	maxProblem  = 4 << 10
	headerLimit = 32 << 10
)

// Call is one HTTP request to an upstream.
type Call struct {
	Address string
	Method  string
	Path    string
	Type    string
	Body    []byte
	Attempt uint64
	// Echo tells that the answer must repeat the attempt's id.
	Echo bool
	// Once forbids that the transport repeats the call on its own.
	Once bool
	Left time.Duration
}

// Answer is a whole answer.
type Answer struct {
	Status   int
	Type     string
	Body     []byte
	Instance string
	Cold     bool
}

// Failure is an attempt that did not lead to a whole answer. It wraps one of
// ErrCrashed, ErrAnswer, ErrFull (the upstream refused it) and the context's errors.
type Failure struct {
	// Sent tells that a byte of the attempt may have reached the upstream.
	Sent   bool
	Status int
	Cold   bool
	Err    error
}

func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client sends attempts. It is safe for concurrent use.
type Client struct {
	shared *http.Client
	once   *http.Client
}

// New returns a client. Calls marked Once use a connection each, so that the
// transport cannot repeat them after a reused connection breaks.
func New() *Client {
	return &Client{shared: newHTTP(false), once: newHTTP(true)}
}

func newHTTP(fresh bool) *http.Client {
	t := newTransport(&net.Dialer{Timeout: dialWithin}, idleConns, idleFor)
	t.DisableKeepAlives = fresh
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newTransport returns a transport that keeps that many idle connections to an
// upstream for so long, asks for no compression and uses no proxy.
func newTransport(d *net.Dialer, kept int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConnsPerHost:    kept,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: headerLimit,
	}
}

// Close ends idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Do sends call and returns the whole answer. Answers with a status of 500 or
// more, and refusals for overload, are a Failure; other statuses are answers.
func (c *Client) Do(ctx context.Context, call Call) (Answer, *Failure) {
	resp, sent, fail := c.start(ctx, call)
	if fail != nil {
		return Answer{}, fail
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Answer{}, failure(ctx, sent.Load(), err)
	}
	if len(body) > maxAnswer {
		return Answer{}, &Failure{Sent: true, Err: mperror.Wrap(mperror.ErrBadResponse, "longer than %d bytes", maxAnswer)}
	}
	return Answer{
		Status:   resp.StatusCode,
		Type:     resp.Header.Get("Content-Type"),
		Body:     body,
		Instance: resp.Header.Get(InstanceHeader),
		Cold:     resp.Header.Get(ColdHeader) == "1",
	}, nil
}

// start sends call and checks the head of the answer.
func (c *Client) start(ctx context.Context, call Call) (*http.Response, *atomic.Bool, *Failure) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, sent, &Failure{Err: mperror.Wrap(mperror.ErrInvalid, "request: %v", err)}
	}
	client := c.shared
	if call.Once {
		client = c.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, sent, failure(ctx, sent.Load(), err)
	}
	if fail := checkHead(resp, call); fail != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxProblem)
		_ = resp.Body.Close()
		return nil, sent, fail
	}
	return resp, sent, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Address + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Type != "" {
		req.Header.Set("Content-Type", call.Type)
	}
	req.Header.Set(AttemptHeader, mpid.Hex(call.Attempt))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(call.Left.Milliseconds(), 10))
	return req, nil
}

func checkHead(resp *http.Response, call Call) *Failure {
	cold := resp.Header.Get(ColdHeader) == "1"
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		err := mperror.Wrap(mperror.ErrFull, "upstream answered %d", resp.StatusCode)
		return &Failure{Sent: true, Status: resp.StatusCode, Cold: cold, Err: err}
	case resp.StatusCode >= http.StatusInternalServerError:
		err := mperror.Wrap(mperror.ErrBadResponse, "upstream answered %d", resp.StatusCode)
		return &Failure{Sent: true, Status: resp.StatusCode, Cold: cold, Err: err}
	case call.Echo && resp.Header.Get(AttemptHeader) != mpid.Hex(call.Attempt):
		err := mperror.Wrap(mperror.ErrBadResponse, "answer to another attempt %q", resp.Header.Get(AttemptHeader))
		return &Failure{Sent: true, Err: err}
	}
	return nil
}

// failure tells a lost connection from the end of the attempt's own context.
func failure(ctx context.Context, sent bool, err error) *Failure {
	if ctx.Err() != nil {
		return &Failure{Sent: sent, Err: ctx.Err()}
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && sent {
		return &Failure{Sent: true, Err: mperror.Wrap(mperror.ErrBadResponse, "%v", err)}
	}
	return &Failure{Sent: sent, Err: mperror.Wrap(mperror.ErrConnectionLost, "%v", err)}
}

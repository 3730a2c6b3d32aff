package mpproxy

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpspeed"
)

// reply is the scripted behaviour of an upstream for one attempt.
type reply struct {
	status int
	header http.Header
	body   string
	// truncate cuts off the body; reset fails the attempt without a response.
	truncate bool
	reset    bool
	// refuse fails before a connection is established; hang never responds.
	refuse bool
	hang   bool
	// reused is set if the connection has carried other requests.
	reused bool
	delay  time.Duration
}

// fakeTransport returns the scripted replies in order and records the requests.
type fakeTransport struct {
	mu       sync.Mutex
	replies  []reply
	requests []*http.Request
}

type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (t *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	next := t.replies[0]
	t.replies = t.replies[1:]
	t.requests = append(t.requests, r)
	t.mu.Unlock()
	if next.refuse {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: next.reused})
	}
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-time.After(next.delay):
	}
	if next.hang {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if next.reset {
		return nil, errors.New("connection reset")
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.truncate {
		body = truncatedBody{body}
	}
	h := next.header
	if h == nil {
		h = http.Header{}
	}
	return &http.Response{StatusCode: next.status, Status: http.StatusText(next.status), Header: h, Body: io.NopCloser(body)}, nil
}

// fakeDialect is a Dialect that uses one header for each statement.
type fakeDialect struct{}

func (fakeDialect) Header(a Attempt) http.Header {
	h := a.Request.Header.Clone()
	h.Set("Inputs", strings.Join(a.Inputs, ","))
	h.Set("Account", a.Account)
	h.Set("Last", a.LastEventID)
	return h
}
func (fakeDialect) NotRun(_ int, h http.Header) bool { return h.Get("Unrun") != "" }
func (fakeDialect) MatchesRequest(r *Request, h http.Header, reused bool) bool {
	return h.Get("For") == "" && !reused || h.Get("For") == r.ID
}
func (fakeDialect) LacksInputs(status int, _ http.Header) bool { return status == http.StatusConflict }

func (fakeDialect) Notice(_ int, h http.Header) mpnotice.Notice {
	return mpnotice.Notice{IsValid: true, IsLeaving: h.Get("Leaving") != "", Pause: mpnotice.ParsePause(h.Values("Pause"))}
}

func (fakeDialect) IsOtherProcess(status int) bool { return status == http.StatusMisdirectedRequest }

func (fakeDialect) RateLimit(_ int, h http.Header) mpquota.Statement {
	return mpquota.ParseStatement(h.Values("Limit"))
}

func (fakeDialect) Load(_ int, h http.Header) mpspeed.Load {
	return mpspeed.ParseLoad(h.Values("Load"))
}

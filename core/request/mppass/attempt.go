package mppass

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// maxResponseBytes limits responses that are buffered before they are forwarded.
	maxResponseBytes = 16 << 20
	// A resumable stream is resumed elsewhere if it sends no first event within
	// firstEventTimeoutAims times the route's target latency, or no data for
	// eventGapTimeout after that.
	firstEventTimeoutAims = 1.5
	eventGapTimeout       = 1500 * time.Millisecond
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// attemptResult is the result of an attempt, as far as it concerns the request.
type attemptResult int

const (
	// answered means that the caller has its final response or has disconnected.
	answered attemptResult = iota
	// refused means that the upstream did not run the request.
	refused
	// broken means that the upstream may have run the request.
	broken
	// inputsMissing means that the upstream did not run the request, because stage
	// results no longer exist.
	inputsMissing
)

// String returns the name that is used in logs.
func (v attemptResult) String() string {
	switch v {
	case answered:
		return "answered"
	case refused:
		return "refused"
	case broken:
		return "broken"
	case inputsMissing:
		return "lacking"
	default:
		return "unknown"
	}
}

// runAttempts sends the request until it is answered or no further attempt is
// possible. It returns true if the stages must be run again.
func (f *flow) runAttempts(ctx context.Context) (rerunStages bool) {
	spec := f.route.Spec()
	possibleRuns, reason := 0, "no usable upstream"
	for f.sends < maxNotRunSends+spec.MaxAttempts {
		timeLeft := f.deadline.Sub(f.p.cfg.Clock())
		if timeLeft < minAttemptTime {
			break
		}
		if f.sends > 0 && !f.p.cfg.Budget(f.pool.Spec().Name).TryWithdraw() {
			reason += "; retry budget exhausted"
			break
		}
		row, ok := f.pick()
		if !ok {
			break
		}
		last := possibleRuns+1 >= spec.MaxAttempts
		result, why := f.attempt(ctx, row, timeLeft, last)
		reason = why
		switch result {
		case answered:
			return false
		case inputsMissing:
			return true
		case refused:
		case broken:
			f.mayHaveRun = true
			possibleRuns++
			if !f.route.IsRepeatable() || possibleRuns >= spec.MaxAttempts || ctx.Err() != nil {
				f.respondUnanswered(ctx, reason)
				return false
			}
		}
		f.pickInfo.Exclude = append(f.pickInfo.Exclude, row.ID)
		if ctx.Err() != nil {
			break
		}
	}
	f.respondUnanswered(ctx, reason)
	return false
}

// attempt sends the request to one upstream and forwards the response.
func (f *flow) attempt(ctx context.Context, row mplist.Row, timeout time.Duration, last bool) (attemptResult, string) {
	f.sends++
	f.sentAt = f.p.cfg.Clock()
	f.upstream = row.ID
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := f.startSilenceTimer(cancel, timeout, last)
	defer silenceTimer.Stop()
	result, outcome, why := f.roundTrip(ctx, row, timeout, silenceTimer, last)
	now := f.p.cfg.Clock()
	change := f.p.cfg.Selector.Done(now, row.ID, f.pickInfo, outcome, now.Sub(f.sentAt))
	f.logAttempt(row, result, change, why, now.Sub(f.sentAt))
	return result, why
}

// logAttempt logs an attempt that did not answer the request, and any change in the
// upstream's health. Other attempts are covered by the log line of the request.
func (f *flow) logAttempt(row mplist.Row, result attemptResult, change mpselect.HealthChange, why string, took time.Duration) {
	if result != answered && f.p.failureSums.ShouldLog(result.String()+" at "+row.Pool, f.r.ID) {
		_ = level.Info(f.p.cfg.Logger).Log("msg", "attempt", "id", f.r.ID, "pool", row.Pool, "upstream", row.ID, "dc", row.DC,
			"send", f.sends, "ended", result, "why", why, "took", took, "left", f.deadline.Sub(f.p.cfg.Clock()))
	}
	switch change {
	case mpselect.Avoided:
		_ = level.Warn(f.p.cfg.Logger).Log("msg", "upstream avoided", "pool", row.Pool, "upstream", row.ID, "dc", row.DC, "why", why)
	case mpselect.Restored:
		_ = level.Info(f.p.cfg.Logger).Log("msg", "upstream taken back", "pool", row.Pool, "upstream", row.ID, "dc", row.DC)
	case mpselect.Unchanged:
	}
}

// startSilenceTimer returns a timer that cancels an attempt if the upstream sends
// nothing while another attempt is still allowed. If none is allowed, the timer does
// not fire, since canceling could not help.
func (f *flow) startSilenceTimer(cancel func(), timeLeft time.Duration, last bool) *time.Timer {
	const never = 24 * time.Hour
	t := time.AfterFunc(never, cancel)
	if last || !f.route.IsRepeatable() {
		return t
	}
	timeout := timeLeft / 2
	if f.route.Spec().Kind == mproute.Stream {
		timeout = min(timeout, time.Duration(firstEventTimeoutAims*float64(f.route.Spec().LatencyTarget)))
	}
	t.Reset(timeout)
	return t
}

func (f *flow) roundTrip(
	ctx context.Context, row mplist.Row, timeout time.Duration, silenceTimer *time.Timer, last bool,
) (attemptResult, mpselect.Outcome, string) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req := f.newUpstreamRequest(httptrace.WithClientTrace(ctx, trace), row, timeout)
	resp, err := f.p.cfg.Client.RoundTrip(req)
	f.timeToHeader = f.p.cfg.Clock().Sub(f.sentAt)
	if err != nil {
		outcome := mpselect.Failed
		if errors.Is(ctx.Err(), context.Canceled) && !timerFired(silenceTimer) {
			outcome = mpselect.Neutral
		}
		if !connected {
			return refused, outcome, "connect: " + err.Error()
		}
		return broken, outcome, "send: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	d := f.p.cfg.Dialect
	switch {
	case !d.MatchesRequest(f.r, resp.Header):
		return broken, mpselect.Failed, "response belongs to another request"
	case d.LacksInputs(resp.StatusCode, resp.Header):
		return inputsMissing, mpselect.Neutral, "stage results no longer exist"
	case d.NotRun(resp.StatusCode, resp.Header):
		return refused, mpselect.Rejected, "not run: " + resp.Status
	case f.route.Spec().Kind == mproute.Stream && resp.StatusCode == http.StatusOK:
		return f.forwardStream(resp, silenceTimer, last)
	}
	return f.forwardBuffered(resp, last)
}

func timerFired(t *time.Timer) bool { return !t.Stop() }

func (f *flow) newUpstreamRequest(ctx context.Context, row mplist.Row, timeout time.Duration) *http.Request {
	a := Attempt{
		Request:     f.r,
		Upstream:    row,
		Timeout:     timeout,
		Account:     f.account,
		Priority:    f.priority,
		LastEventID: f.lastEventID,
	}
	if len(f.route.Spec().Stages) > 0 {
		a.Inputs = []string{}
		for _, in := range f.inputs {
			a.Inputs = append(a.Inputs, in.handles...)
		}
	}
	req := &http.Request{
		Method: f.r.Method,
		URL:    &url.URL{Scheme: "http", Host: row.Address, Opaque: f.r.Target},
		Host:   f.r.Host,
		Header: f.p.cfg.Dialect.Header(a),
		// An idle keep-alive connection may close while the request is in transit,
		// which leaves open whether it ran. Requests that must not run twice
		// therefore use a new connection.
		Close: !f.route.IsRepeatable(),
	}
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // Keep net/http from adding its own.
	}
	if len(f.r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.r.Body))
		req.ContentLength = int64(len(f.r.Body))
	}
	return req.WithContext(ctx)
}

// forwardBuffered reads the whole response before forwarding it. A truncated
// response can then be replaced by another attempt or an error status.
func (f *flow) forwardBuffered(resp *http.Response, last bool) (attemptResult, mpselect.Outcome, string) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return broken, mpselect.Failed, "read response body: " + err.Error()
	}
	if len(body) > maxResponseBytes {
		return broken, mpselect.Succeeded, "response body too large"
	}
	if resp.StatusCode >= http.StatusInternalServerError && f.route.IsRepeatable() && !last && f.hasTimeToRetry() {
		return broken, mpselect.Succeeded, "upstream error: " + resp.Status
	}
	if f.headerWritten {
		return broken, mpselect.Succeeded, "upstream did not resume the stream: " + resp.Status
	}
	f.copyHeader(resp)
	if f.r.Method != http.MethodHead {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(resp.StatusCode)
	_, _ = f.w.Write(body)
	f.status = resp.StatusCode
	return answered, mpselect.Succeeded, ""
}

func (f *flow) hasTimeToRetry() bool {
	return f.deadline.Sub(f.p.cfg.Clock()) > minAttemptTime
}

func (f *flow) copyHeader(resp *http.Response) {
	h := f.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range strings.Split(resp.Header.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	f.status = resp.StatusCode
	f.headerWritten = true
}

// forwardStream forwards events as they arrive. A resumable stream is forwarded in
// complete events only, so that another upstream can continue after the last one.
func (f *flow) forwardStream(resp *http.Response, silenceTimer *time.Timer, last bool) (attemptResult, mpselect.Outcome, string) {
	flusher := http.NewResponseController(f.w)
	var splitter eventSplitter
	buf := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			out := buf[:n]
			if f.route.Spec().Resumable {
				if out = splitter.add(out); splitter.lastID != "" {
					f.lastEventID = splitter.lastID
				}
				if !last {
					silenceTimer.Reset(eventGapTimeout)
				}
			}
			if len(out) > 0 {
				f.writeStream(resp, out, flusher)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			f.writeStream(resp, splitter.remainder(), flusher)
			return answered, mpselect.Succeeded, ""
		default:
			return broken, mpselect.Failed, "stream broke off: " + err.Error()
		}
	}
}

func (f *flow) writeStream(resp *http.Response, out []byte, flusher *http.ResponseController) {
	if !f.headerWritten {
		f.timeToFirstEvent = f.p.cfg.Clock().Sub(f.sentAt)
		f.p.forecast.recordFirstToken(f.pool.Spec().Name, f.r.Prompt, f.timeToFirstEvent)
		f.copyHeader(resp)
		f.w.Header().Del("Content-Length")
		f.w.WriteHeader(resp.StatusCode)
		f.freeInputs()
	}
	if len(out) == 0 {
		return
	}
	now := f.p.cfg.Clock()
	if !f.lastWrite.IsZero() {
		f.longestGap = max(f.longestGap, now.Sub(f.lastWrite))
	}
	f.lastWrite = now
	if _, err := f.w.Write(out); err == nil {
		_ = flusher.Flush()
	}
}

// eventSplitter splits a stream of server-sent events at event boundaries.
type eventSplitter struct {
	buffered []byte
	lastID   string
}

// add appends data to the buffer, and removes and returns the complete events.
func (c *eventSplitter) add(data []byte) []byte {
	c.buffered = append(c.buffered, data...)
	end := bytes.LastIndex(c.buffered, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	out := bytes.Clone(c.buffered[:end+2])
	c.buffered = append(c.buffered[:0], c.buffered[end+2:]...)
	for line := range bytes.Lines(out) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastID = string(bytes.TrimSpace(id))
		}
	}
	return out
}

// remainder returns the data after the last complete event.
func (c *eventSplitter) remainder() []byte { return c.buffered }

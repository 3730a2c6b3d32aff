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
	// maxAnswer bounds an answer that is read whole before it is passed on.
	maxAnswer = 16 << 20
	// patienceAims is how many aims a resumable stream may stay silent before
	// its first event, and patienceGap the silence between events.
	patienceAims = 1.5
	patienceGap  = 1500 * time.Millisecond
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// verdict tells what follows an attempt.
type verdict int

const (
	// answered requests have their final answer, or their caller has gone.
	answered verdict = iota
	// refused attempts were not run.
	refused
	// broken attempts may have run.
	broken
	// lacking attempts were not run, since results of stages are gone.
	lacking
)

// String returns the verdict's name in logs.
func (v verdict) String() string {
	switch v {
	case answered:
		return "answered"
	case refused:
		return "refused"
	case broken:
		return "broken"
	case lacking:
		return "lacking"
	default:
		return "unknown"
	}
}

// attempts sends the request until it is answered or given up. It reports
// whether the results of its stages must be made again.
func (f *flow) attempts(ctx context.Context) (remake bool) {
	spec := f.route.Spec()
	runs, reason := 0, "no upstream"
	for f.sends < mostSends+spec.MaxAttempts {
		left := f.deadline.Sub(f.p.cfg.Clock())
		if left < leastLeft {
			break
		}
		if f.sends > 0 && !f.p.cfg.Budget(f.pool.Spec().Name).Spend() {
			reason += "; no budget for a repeat"
			break
		}
		row, ok := f.pick()
		if !ok {
			break
		}
		last := runs+1 >= spec.MaxAttempts
		v, why := f.attempt(ctx, row, left, last)
		reason = why
		switch v {
		case answered:
			return false
		case lacking:
			return true
		case refused:
		case broken:
			f.mayHaveRun = true
			runs++
			if !f.route.IsRepeatable() || runs >= spec.MaxAttempts || ctx.Err() != nil {
				f.giveUp(ctx, reason)
				return false
			}
		}
		f.ask.Avoid = append(f.ask.Avoid, row.ID)
		if ctx.Err() != nil {
			break
		}
	}
	f.giveUp(ctx, reason)
	return false
}

// attempt sends the request to one upstream and passes on the answer.
func (f *flow) attempt(ctx context.Context, row mplist.Row, left time.Duration, last bool) (verdict, string) {
	f.sends++
	f.sent = f.p.cfg.Clock()
	f.upstream = row.ID
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := f.watch(cancel, left, last)
	defer watch.Stop()
	v, ending, why := f.exchange(ctx, row, left, watch, last)
	now := f.p.cfg.Clock()
	change := f.p.cfg.Selector.Done(now, row.ID, f.ask, ending, now.Sub(f.sent))
	f.logAttempt(row, v, change, why, now.Sub(f.sent))
	return v, why
}

// logAttempt writes a line for an attempt that did not answer the request, and for
// what it changed in the choice of upstreams. Its request has a line of its own.
func (f *flow) logAttempt(row mplist.Row, v verdict, change mpselect.Change, why string, took time.Duration) {
	if v != answered && f.p.failed.Full(v.String()+" at "+row.Pool, f.r.ID) {
		_ = level.Info(f.p.cfg.Logger).Log("msg", "attempt", "id", f.r.ID, "pool", row.Pool, "upstream", row.ID, "dc", row.DC,
			"send", f.sends, "ended", v, "why", why, "took", took, "left", f.deadline.Sub(f.p.cfg.Clock()))
	}
	switch change {
	case mpselect.Avoided:
		_ = level.Warn(f.p.cfg.Logger).Log("msg", "upstream avoided", "pool", row.Pool, "upstream", row.ID, "dc", row.DC, "why", why)
	case mpselect.Restored:
		_ = level.Info(f.p.cfg.Logger).Log("msg", "upstream taken back", "pool", row.Pool, "upstream", row.ID, "dc", row.DC)
	case mpselect.Unchanged:
	}
}

// watch ends an attempt that stays silent while another one is still allowed.
// Where none is, an upstream's silence is no reason to end it.
func (f *flow) watch(cancel func(), left time.Duration, last bool) *time.Timer {
	const never = 24 * time.Hour
	t := time.AfterFunc(never, cancel)
	if last || !f.route.IsRepeatable() {
		return t
	}
	patience := left / 2
	if f.route.Spec().Kind == mproute.Stream {
		patience = min(patience, time.Duration(patienceAims*float64(f.route.Spec().LatencyTarget)))
	}
	t.Reset(patience)
	return t
}

func (f *flow) exchange(
	ctx context.Context, row mplist.Row, left time.Duration, watch *time.Timer, last bool,
) (verdict, mpselect.Ending, string) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req := f.encode(httptrace.WithClientTrace(ctx, trace), row, left)
	resp, err := f.p.cfg.Client.RoundTrip(req)
	f.headTook = f.p.cfg.Clock().Sub(f.sent)
	if err != nil {
		ending := mpselect.Failed
		if errors.Is(ctx.Err(), context.Canceled) && !watchFired(watch) {
			ending = mpselect.Dropped
		}
		if !connected {
			return refused, ending, "connect: " + err.Error()
		}
		return broken, ending, "send: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	d := f.p.cfg.Dialect
	switch {
	case !d.Answers(f.r, resp.Header):
		return broken, mpselect.Failed, "answer of another request"
	case d.LacksInputs(resp.StatusCode, resp.Header):
		return lacking, mpselect.Dropped, "results of stages are gone"
	case d.NotRun(resp.StatusCode, resp.Header):
		return refused, mpselect.Full, "not run: " + resp.Status
	case f.route.Spec().Kind == mproute.Stream && resp.StatusCode == http.StatusOK:
		return f.passStream(resp, watch, last)
	}
	return f.passWhole(resp, last)
}

func watchFired(t *time.Timer) bool { return !t.Stop() }

func (f *flow) encode(ctx context.Context, row mplist.Row, left time.Duration) *http.Request {
	a := Attempt{
		Request:   f.r,
		Upstream:  row,
		Left:      left,
		Account:   f.account,
		Priority:  f.priority,
		LastEvent: f.lastEvent,
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
		// A kept connection may end while the request is on its way. What may
		// not run twice gets a connection of its own.
		Close: !f.route.IsRepeatable(),
	}
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // net/http would add its own.
	}
	if len(f.r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.r.Body))
		req.ContentLength = int64(len(f.r.Body))
	}
	return req.WithContext(ctx)
}

// passWhole reads the whole answer before it passes it on, so that one that
// breaks off can be replaced by another attempt or an honest failure.
func (f *flow) passWhole(resp *http.Response, last bool) (verdict, mpselect.Ending, string) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return broken, mpselect.Failed, "answer broke off: " + err.Error()
	}
	if len(body) > maxAnswer {
		return broken, mpselect.Served, "answer is too long"
	}
	if resp.StatusCode >= http.StatusInternalServerError && f.route.IsRepeatable() && !last && f.affords() {
		return broken, mpselect.Served, "failed: " + resp.Status
	}
	if f.started {
		return broken, mpselect.Served, "stream not resumed: " + resp.Status
	}
	f.writeHead(resp)
	if f.r.Method != http.MethodHead {
		f.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.w.WriteHeader(resp.StatusCode)
	_, _ = f.w.Write(body)
	f.status = resp.StatusCode
	return answered, mpselect.Served, ""
}

// affords reports whether there is time for another attempt.
func (f *flow) affords() bool {
	return f.deadline.Sub(f.p.cfg.Clock()) > leastLeft
}

func (f *flow) writeHead(resp *http.Response) {
	h := f.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, name := range strings.Split(resp.Header.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	f.status = resp.StatusCode
	f.started = true
}

// passStream passes on events as they come. A stream that may be resumed is
// passed on in whole events, so that another upstream can go on after the last.
func (f *flow) passStream(resp *http.Response, watch *time.Timer, last bool) (verdict, mpselect.Ending, string) {
	flusher := http.NewResponseController(f.w)
	var cut eventCutter
	buf := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			out := buf[:n]
			if f.route.Spec().Resumable {
				if out = cut.add(out); cut.last != "" {
					f.lastEvent = cut.last
				}
				if !last {
					watch.Reset(patienceGap)
				}
			}
			if len(out) > 0 {
				f.pass(resp, out, flusher)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			f.pass(resp, cut.rest(), flusher)
			return answered, mpselect.Served, ""
		default:
			return broken, mpselect.Failed, "stream broke off: " + err.Error()
		}
	}
}

func (f *flow) pass(resp *http.Response, out []byte, flusher *http.ResponseController) {
	if !f.started {
		f.firstTook = f.p.cfg.Clock().Sub(f.sent)
		f.p.forecast.began(f.pool.Spec().Name, f.r.Prompt, f.firstTook)
		f.writeHead(resp)
		f.w.Header().Del("Content-Length")
		f.w.WriteHeader(resp.StatusCode)
		f.freeInputs()
	}
	if len(out) == 0 {
		return
	}
	now := f.p.cfg.Clock()
	if !f.passed.IsZero() {
		f.pause = max(f.pause, now.Sub(f.passed))
	}
	f.passed = now
	if _, err := f.w.Write(out); err == nil {
		_ = flusher.Flush()
	}
}

// eventCutter finds whole events in a stream.
type eventCutter struct {
	held []byte
	last string
}

// add returns the whole events that data completes.
func (c *eventCutter) add(data []byte) []byte {
	c.held = append(c.held, data...)
	end := bytes.LastIndex(c.held, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	out := bytes.Clone(c.held[:end+2])
	c.held = append(c.held[:0], c.held[end+2:]...)
	for line := range bytes.Lines(out) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.last = string(bytes.TrimSpace(id))
		}
	}
	return out
}

// rest returns what follows the last whole event at the end of a stream.
func (c *eventCutter) rest() []byte { return c.held }

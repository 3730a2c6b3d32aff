package mpproxy

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
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// maxResponseBytes limits responses that are buffered before they are forwarded.
	maxResponseBytes = 16 << 20
	// maxStreamBytes limits streams, and maxEventBytes an event of a resumable stream and
	// a line of any other.
	maxStreamBytes = 16 << 20
	maxEventBytes  = 1 << 20
	// A resumable stream is resumed elsewhere if it sends no first event within
	// firstEventTimeoutFactor times the route's latency target, or no complete event for
	// eventGapTimeout after that.
	firstEventTimeoutFactor = 1.5
	eventGapTimeout         = 1500 * time.Millisecond
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
	// failed means that the upstream may have run the request.
	failed
	// inputsMissing means that the upstream did not run the request, because stage
	// results no longer exist.
	inputsMissing
)

// String returns the name that is used in logs.
func (r attemptResult) String() string {
	switch r {
	case answered:
		return "answered"
	case refused:
		return "refused"
	case failed:
		return "broken"
	case inputsMissing:
		return "lacking"
	default:
		return "unknown"
	}
}

// runAttempts sends the request until it is answered or no further attempt is
// possible. It returns true if the stages must be run again.
func (e *exchange) runAttempts(ctx context.Context) (rerunStages bool) {
	spec := e.route.Spec()
	reason := "no usable upstream"
	for e.sends < maxNotRunSends+spec.MaxAttempts && e.timeLeft() >= minAttemptTime {
		t, verdict, ok := e.awaitTrial(ctx)
		if !ok {
			e.respondQuarantined(ctx, verdict)
			return false
		}
		result, why, sent := e.send(ctx, t, e.possibleRuns+1 >= spec.MaxAttempts)
		if !sent {
			reason += why
			break
		}
		reason = why
		switch result {
		case answered:
			return false
		case inputsMissing:
			return true
		case refused:
		case failed:
			e.mayHaveRun = true
			e.possibleRuns++
			if !e.canRepeat() || e.possibleRuns >= spec.MaxAttempts || ctx.Err() != nil {
				e.respondUnanswered(ctx, reason)
				return false
			}
		}
		if e.inputsFreed {
			if why, ok := e.prepareResume(); !ok {
				e.respondUnanswered(ctx, reason+why)
				return false
			}
			return true
		}
		// Evidence of another VM's trial on the same upstream may be on its way.
		if ctx.Err() != nil || t.isIsolated() && !mptime.Sleep(ctx, trialPause) {
			break
		}
	}
	e.respondUnanswered(ctx, reason)
	return false
}

// prepareResume prepares the next attempt of a stream whose inputs were freed when it began, so
// that its stages run again. It returns false, and what to add to the reason, if no attempt
// could follow them.
func (e *exchange) prepareResume() (string, bool) {
	if len(e.untried()) == 0 {
		return "; no usable upstream", false
	}
	if !e.p.cfg.Budget(e.pool.Spec().Name).TryWithdraw() {
		return "; " + reasonBudget, false
	}
	e.isPaid = true
	// Callers abandon a stream after as long a gap as before its first event.
	if !e.lastWrite.IsZero() {
		e.startDeadline = e.lastWrite.Add(e.startTimeout())
		if e.startDeadline.After(e.deadline) {
			e.startDeadline = e.deadline
		}
	}
	e.softDeadline = e.startDeadline
	return "", true
}

// canRepeat reports whether the request may be sent again after an upstream may have run
// it. Once a stream has begun, it cannot be resumed if its events have no IDs, or if the
// version that began it is unknown.
func (e *exchange) canRepeat() bool {
	return e.route.IsRepeatable() && (!e.headerWritten || e.lastEventID != "" && e.origin.IsKnown())
}

func (e *exchange) timeLeft() time.Duration { return e.deadline.Sub(e.p.cfg.Clock()) }

// send makes one attempt, which ends the trial. It returns false, and what to add to the
// reason, if no attempt is possible.
func (e *exchange) send(ctx context.Context, t trial, last bool) (attemptResult, string, bool) {
	if !t.isIsolated() {
		e.assign(ctx, 0)
	}
	defer e.settleAssignment(mpassign.Unused) // Unless an attempt was made.
	row, wait, ok := e.pick(ctx, t)
	if !ok {
		t.end(false)
		if e.limitWait = wait; wait > 0 {
			return refused, "; " + causeLimit, false
		}
		return refused, "", false
	}
	budget := e.p.cfg.Budget(e.pool.Spec().Name)
	if e.arrivals > 0 && !e.isPaid {
		if e.isPaid = budget.TryWithdraw(); !e.isPaid {
			t.end(false)
			e.p.cfg.Selector.Done(e.p.cfg.Clock(), row.ID, e.pickInfo, mpselect.Neutral, 0)
			e.returnShare()
			return refused, "; " + reasonBudget, false
		}
	}
	e.endTrial = t.end
	isDone := false
	defer func() {
		if !isDone {
			t.end(true) // After a panic. Otherwise attempt ends it, or recordLoss does later.
		}
	}()
	before := e.arrivals
	result, why := e.attempt(ctx, row, t, e.timeLeft(), last)
	isDone = true
	if e.arrivals > before {
		e.isPaid = false // Otherwise what was withdrawn pays for the next attempt.
	}
	e.pickInfo.Exclude = append(e.pickInfo.Exclude, row.ID)
	return result, why, true
}

// settleBudget returns what was withdrawn from the retry budget for an attempt that did not
// reach an upstream.
func (e *exchange) settleBudget() {
	if e.isPaid {
		e.p.cfg.Budget(e.pool.Spec().Name).Refund()
		e.isPaid = false
	}
}

// attempt sends the request to one upstream and forwards the response.
func (e *exchange) attempt(ctx context.Context, row mplist.Row, t trial, timeout time.Duration, last bool) (attemptResult, string) {
	e.sends++
	e.sentAt = e.p.cfg.Clock()
	e.upstream, e.version = row.ID, row.Version
	e.framing, e.tail, e.beganAt, e.isSound, e.isLost, e.heldUp, e.pace = noBody, 0, time.Time{}, false, false, 0, 0
	e.wasBlocked.Store(false)
	e.beginCount(row)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := e.startIdleTimer(cancel, timeout, last)
	defer idleTimer.Stop()
	defer e.settleAssignment(mpassign.Cancelled) // After a panic.
	isDone := false
	defer func() {
		if !isDone { // After a panic.
			e.p.cfg.Selector.Done(e.p.cfg.Clock(), row.ID, e.pickInfo, mpselect.Neutral, 0)
		}
	}()
	result, outcome, why := e.roundTrip(ctx, row, timeout, idleTimer, last)
	e.settleAssignment(assignmentEnd(result, outcome))
	now := e.p.cfg.Clock()
	change := e.p.cfg.Selector.Done(now, row.ID, e.pickInfo, outcome, e.workTime(now, result))
	isDone = true
	e.countOutcome(ctx, now, row, t, result, outcome)
	e.logAttempt(row, result, change, why, now.Sub(e.sentAt))
	if result == failed && outcome == mpselect.Failed && !e.isSound && ctx.Err() == nil {
		e.recordLoss(row, t)
	} else {
		t.end(result == failed)
	}
	if t.feature != 0 {
		_ = level.Info(e.p.cfg.Logger).Log("msg", mplog.MsgTrial, "id", e.r.ID, "upstream", row.ID, "feature", t.feature,
			"name", nameOf(e.r, t.feature), "was", t.level, "ended", result, "sound", e.isSound, "took", now.Sub(e.sentAt))
	}
	return result, why
}

// workTime returns how long the upstream took for the request, or 0 if it did not do its work:
// failures are often answered at once. What this VM held up is not its work.
func (e *exchange) workTime(now time.Time, result attemptResult) time.Duration {
	if result != answered || e.status >= http.StatusInternalServerError {
		return 0
	}
	return now.Sub(e.sentAt) - e.heldUp
}

// logAttempt logs an attempt that did not answer the request, and any change in the
// upstream's health. Other attempts are covered by the log line of the request.
func (e *exchange) logAttempt(row mplist.Row, result attemptResult, change mpselect.HealthChange, why string, took time.Duration) {
	if result != answered && e.p.failureSummaries.ShouldLog(result.String()+" at "+row.Pool, e.r.ID) {
		_ = level.Info(e.p.cfg.Logger).Log("msg", "attempt", "id", e.r.ID, "pool", row.Pool, "upstream", row.ID, "version", row.Version, "dc", row.DC,
			"send", e.sends, "ended", result, "why", why, "took", took, "left", e.timeLeft(),
			"cold", e.p.cfg.State.Usable().ColdUntil(row).After(e.p.cfg.Clock()), "began", !e.beganAt.IsZero(),
			"parts", partNames(e.r.sharedParts()), "content", mpid.Hex(e.r.contentHash()))
	}
	switch change {
	case mpselect.Avoided:
		_ = level.Warn(e.p.cfg.Logger).Log("msg", "upstream avoided", "pool", row.Pool, "upstream", row.ID, "dc", row.DC, "why", why)
	case mpselect.Restored:
		_ = level.Info(e.p.cfg.Logger).Log("msg", "upstream taken back", "pool", row.Pool, "upstream", row.ID, "dc", row.DC)
	case mpselect.Unchanged:
	}
}

// startIdleTimer returns a timer that cancels an attempt if the upstream sends
// nothing while another attempt is still allowed. If none is allowed, the timer does
// not fire, since cancelling could not help.
func (e *exchange) startIdleTimer(cancel func(), timeLeft time.Duration, last bool) *time.Timer {
	var t *time.Timer
	t = time.AfterFunc(neverTimeout, func() {
		if e.isWriting.Load() {
			// The caller reads slowly, and so nobody reads what the upstream sends.
			e.wasBlocked.Store(true)
			t.Reset(eventGapTimeout)
			return
		}
		cancel()
	})
	t.Reset(e.idleTimeout(timeLeft, last))
	return t
}

// idleTimeout returns how long an upstream may send nothing.
func (e *exchange) idleTimeout(timeLeft time.Duration, last bool) time.Duration {
	if last || !e.route.IsRepeatable() {
		return neverTimeout
	}
	timeout := timeLeft / 2
	if e.route.Spec().Kind == mproute.Stream {
		timeout = min(timeout, time.Duration(firstEventTimeoutFactor*float64(e.route.Spec().LatencyTarget)))
	}
	return timeout
}

func (e *exchange) roundTrip(
	ctx context.Context, row mplist.Row, timeout time.Duration, idleTimer *time.Timer, last bool,
) (attemptResult, mpselect.Outcome, string) {
	connected, reused := false, false
	var writes atomic.Int32
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !connected {
				e.countArrival(row)
			}
			connected, reused = true, info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				writes.Add(1)
			}
		},
	}
	req := e.newUpstreamRequest(httptrace.WithClientTrace(ctx, trace), row, timeout)
	resp, err := e.p.cfg.Transport.RoundTrip(req)
	if connected {
		e.arrivals += max(int(writes.Load()), 1)
	}
	e.checkSentOnce(row, int(writes.Load()))
	e.timeToHeader = e.p.cfg.Clock().Sub(e.sentAt)
	if err != nil {
		outcome := outcomeOfLoss(ctx, idleTimer)
		if !connected {
			return refused, outcome, "connect: " + err.Error()
		}
		e.isLost = ctx.Err() == nil
		return failed, outcome, "send: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	e.framing = framingOf(e.r.Method, resp)
	d := e.p.cfg.Dialect
	if !d.MatchesRequest(e.r, resp.Header, reused) {
		return failed, mpselect.Failed, "response belongs to another request"
	}
	e.p.cfg.Quotas.Observe(e.sentAt, row.ID, d.RateLimit(resp.StatusCode, resp.Header))
	e.observeNotice(row, d.Notice(resp.StatusCode, resp.Header))
	e.observeLoad(row, d.Load(resp.StatusCode, resp.Header))
	switch {
	case d.LacksInputs(resp.StatusCode, resp.Header):
		return inputsMissing, mpselect.Neutral, "stage results no longer exist"
	case d.IsOtherProcess(resp.StatusCode):
		return refused, mpselect.Gone, "not run: " + resp.Status
	case d.NotRun(resp.StatusCode, resp.Header):
		return refused, mpselect.Refused, "not run: " + resp.Status
	case e.route.Spec().Kind == mproute.Stream && resp.StatusCode == http.StatusOK && e.framing != noBody:
		return e.forwardStream(ctx, resp, idleTimer, last)
	}
	return e.forwardBuffered(ctx, resp, idleTimer, last)
}

// checkSentOnce checks that an attempt was written at most once, since a transport that sends a
// request again by itself may run it twice.
func (e *exchange) checkSentOnce(row mplist.Row, writes int) {
	e.p.cfg.Metrics.Add("invariant.sendonce.checked", 1)
	if writes > 1 {
		e.p.cfg.Metrics.Add("invariant.sendonce.breached", 1)
		_ = level.Error(e.p.cfg.Logger).Log("msg", "attempt sent again by the transport", "id", e.r.ID, "upstream", row.ID,
			"method", e.r.Method, "writes", writes, "repeatable", e.route.IsRepeatable())
	}
}

// outcomeOfLoss returns the outcome of an attempt whose connection was lost. The upstream
// is not to blame if the caller has disconnected.
func outcomeOfLoss(ctx context.Context, idleTimer *time.Timer) mpselect.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) && !timerFired(idleTimer) {
		return mpselect.Neutral
	}
	return mpselect.Failed
}

func timerFired(t *time.Timer) bool { return !t.Stop() }

func (e *exchange) newUpstreamRequest(ctx context.Context, row mplist.Row, timeout time.Duration) *http.Request {
	a := Attempt{
		Request:     e.r,
		Upstream:    row,
		Timeout:     timeout,
		Account:     e.account,
		Priority:    e.priority,
		LastEventID: e.lastEventID,
	}
	if len(e.route.Spec().Stages) > 0 {
		a.Inputs = []string{}
		for _, in := range e.inputs {
			a.Inputs = append(a.Inputs, in.handles...)
		}
	}
	req := &http.Request{
		Method: e.r.Method,
		URL:    &url.URL{Scheme: "http", Host: row.Address, Opaque: e.r.Target},
		Host:   e.r.Host,
		Header: e.p.cfg.Dialect.Header(a),
		// An idle connection may close while the request is in transit, which leaves open
		// whether it ran. Requests that must not run twice therefore use a new connection.
		Close: !e.route.IsRepeatable(),
	}
	for _, h := range hopByHopHeaders {
		req.Header.Del(h)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // Keep net/http from adding its own.
	}
	if len(e.r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(e.r.Body))
		req.ContentLength = int64(len(e.r.Body))
	}
	return req.WithContext(ctx)
}

// forwardBuffered reads the whole response before forwarding it. A truncated
// response can then be replaced by another attempt or an error status.
func (e *exchange) forwardBuffered(
	ctx context.Context, resp *http.Response, idleTimer *time.Timer, last bool,
) (attemptResult, mpselect.Outcome, string) {
	if resp.ContentLength > maxResponseBytes && e.r.Method != http.MethodHead {
		return failed, mpselect.Failed, errResponseTooLarge.Error()
	}
	e.beganAt = e.p.cfg.Clock()
	body, outcome, err := e.bufferResponse(ctx, resp, idleTimer, last)
	defer body.release()
	if err != nil {
		e.isLost = ctx.Err() == nil && !errors.Is(err, errNoRoom) && !errors.Is(err, errResponseTooLarge)
		return failed, outcome, err.Error()
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		e.recordSound()
	}
	if resp.StatusCode >= http.StatusInternalServerError && e.route.IsRepeatable() && !last && e.hasTimeToRetry() {
		return failed, mpselect.Succeeded, "upstream error: " + resp.Status
	}
	if e.headerWritten {
		return failed, mpselect.Succeeded, "upstream did not resume the stream: " + resp.Status
	}
	e.copyHeader(resp)
	switch e.framing {
	case noBody:
	case byClose:
		e.endWithConnection(ctx)
	case byLength, byChunks:
		e.w.Header().Set("Content-Length", strconv.FormatInt(body.size, 10))
	}
	e.w.WriteHeader(resp.StatusCode)
	body.write(e.w)
	e.completeResponse(ctx)
	return answered, mpselect.Succeeded, ""
}

func (e *exchange) hasTimeToRetry() bool {
	return e.timeLeft() > minAttemptTime
}

func (e *exchange) copyHeader(resp *http.Response) {
	h := e.w.Header()
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
		h["Date"] = nil // Keep net/http from adding its own.
	}
	e.status = resp.StatusCode
	e.headerWritten = true
}

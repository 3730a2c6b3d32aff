package mpproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mproute"
)

const (
	// minRetryAfter is the shortest Retry-After for refusals with a temporary cause.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest Retry-After, since forecasts reach no further.
	maxRetryAfter = 5 * time.Second
	// maxNotRunSends is the number of sends beyond the route's attempts, for upstreams
	// that report that they did not run the request.
	maxNotRunSends = 3
	// maxStageReruns is how often stages are run again after their results were lost.
	maxStageReruns = 1
	// minAttemptTime is the least remaining time with which an attempt is sent.
	minAttemptTime = 10 * time.Millisecond
	// responseMargin is reserved to return the response before the caller's deadline.
	responseMargin = 10 * time.Millisecond
	// Callers abandon a stream that has not started after minStartTimeout,
	// startTimeoutTargetFactor times the route's latency target or startTimeoutGapFactor
	// times its gap target, whichever is longest.
	minStartTimeout          = 2 * time.Second
	startTimeoutTargetFactor = 4
	startTimeoutGapFactor    = 8
	// causeLimit is the cause of refusals where the rates of the upstreams allow no request.
	causeLimit = mplog.MsgLimit
	// reasonBudget is the reason of an attempt that the retry budget does not allow.
	reasonBudget = "retry budget exhausted"
	// statusAborted is logged if no status was sent or the response was cut off.
	statusAborted = -1
	// attemptOverheadTokens is the fixed part of an attempt's work, besides the last
	// part of its prompt and its output.
	attemptOverheadTokens = 1000
)

// Config configures a Proxy.
type Config struct {
	DC    string
	State RoutingState
	// PlanState returns what the VM knows of the plan in force; nil if the plan never changes.
	PlanState     func(now time.Time) mpplan.State
	Dialect       Dialect
	StageExecutor StageExecutor
	Selector      *mpselect.Selector
	// Budget returns the retry budget of a pool.
	Budget    func(pool string) *mpbudget.Budget
	Transport http.RoundTripper
	// Quarantine holds the evidence against requests that crash upstreams. Evidence hands on
	// what is added to it, Trials permits trials, and Prober tests upstreams that broke off an
	// attempt.
	Quarantine *mpquarantine.Ledger
	Evidence   CrashEvidence
	Trials     Trials
	Prober     Prober
	Quotas     Quotas
	// Notices holds what upstreams said of themselves to this VM.
	Notices *mpnotice.Board
	Origins Origins
	// Memory limits what buffered responses hold; nil sets no limit.
	Memory Memory
	// Assigner asks the owners of engines; nil if each VM chooses engines by itself.
	Assigner Assigner
	// Versions holds the roll-outs of pools; nil if this VM does not act on versions.
	Versions *mpversion.Board
	Metrics  *mpmetric.Set
	Logger   log.Logger
	Clock    func() time.Time
}

// Proxy forwards requests to upstreams. It is safe for concurrent use.
type Proxy struct {
	cfg       Config
	forecast  *forecast
	durations *durations
	// leaveDeadline is when the last response must have ended; nil unless the process leaves.
	leaveDeadline atomic.Pointer[time.Time]
	// refusalSummaries and failureSummaries limit the log lines about refused requests
	// and about failed attempts.
	refusalSummaries, failureSummaries *mplog.Summarizer
}

// New returns a Proxy that has no observations of upstreams yet.
func New(cfg Config) *Proxy {
	return &Proxy{
		cfg: cfg, forecast: newForecast(), durations: newDurations(),
		refusalSummaries: mplog.NewSummarizer(cfg.Logger, mplog.MsgRequestsNotServed), failureSummaries: mplog.NewSummarizer(cfg.Logger, mplog.MsgAttemptsFailed),
	}
}

// exchange is the state of one request and its response while the Proxy serves it.
type exchange struct {
	p        *Proxy
	r        *Request
	w        http.ResponseWriter
	table    *mproute.Table
	route    *mproute.Route
	pool     *mproute.Pool
	account  string
	priority int
	start    time.Time
	// softDeadline is the start of the request plus the route's latency target. A
	// response, or a stream's first event, is late after it. The rest of a stream that has
	// begun is late only once its caller abandons it.
	softDeadline time.Time
	deadline     time.Time
	// startDeadline is when the caller abandons a stream that has not started. For
	// other requests it equals deadline.
	startDeadline time.Time
	// processEnd is when the response must have ended since the process leaves; zero if it stays.
	processEnd time.Time
	// origin is the software that began the stream, to which it is bound; unknown until then.
	origin   mporigin.Origin
	pickInfo mpselect.PickInfo
	// assignment is the engine that the owner of the pool chose for the next attempt, or for the
	// one that runs; nil if there is none. owner, expected and cachedTokens are those of the last.
	assignment   *Assignment
	owner        string
	expected     time.Duration
	cachedTokens int
	// pace is how many times longer than usual work takes at the upstream, as the last response from
	// one said; 0 if it did not.
	pace   float64
	traits mpquarantine.Traits
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// possibleRuns is the number of attempts that may have run.
	possibleRuns int
	sends        int
	// arrivals is the number of sends over an established connection.
	arrivals int
	// isPaid is set if the next arrival has been withdrawn from the retry budget.
	isPaid bool
	// limitWait is when the rate of an upstream allows the request, if no other is usable.
	limitWait time.Duration
	upstream  string
	// version is that of the software of upstream.
	version string
	// split is how the pool's requests are divided by version; nil if it had no roll-out.
	split *mpversion.Split
	// tookShare is set if the upstream was selected with a part of the target's share.
	tookShare bool
	// failedAtTarget is set once an attempt at the target of a roll-out has failed.
	failedAtTarget bool
	// counted is the last attempt as the roll-outs count it. That of a stream which is bound to
	// its version runs until the request ends.
	counted mpversion.Attempt
	// isLost is set if the last attempt ended with its connection.
	isLost bool
	// framing is that of the last response from an upstream, and tail how many bytes of it
	// came after its last event.
	framing framing
	tail    int
	sentAt  time.Time
	// beganAt is when the first bytes of the body of the last attempt's response arrived,
	// and isSound is set once that attempt counts as answered without a crash.
	beganAt time.Time
	isSound bool
	// heldUp is how long the response waited for room in memory, or for a caller that reads slowly.
	heldUp time.Duration
	// isWriting is set while an event is written to the caller, and wasBlocked once that took so long
	// that the attempt would have been given up for its upstream's silence.
	isWriting, wasBlocked atomic.Bool
	// endTrial ends the trial as which the last attempt was sent, if it was one.
	endTrial       func(lost bool)
	stagesDuration time.Duration
	// timeToHeader and timeToFirstEvent are measured from the sending of the attempt.
	timeToHeader     time.Duration
	timeToFirstEvent time.Duration
	// lastWrite is when events were last forwarded, longestGap the longest time
	// between two writes.
	lastWrite  time.Time
	longestGap time.Duration
	inputs     []input
	// inputsFreed is set if the results of the stages were freed when the stream began, so that
	// they must be made again to resume it.
	inputsFreed bool
	// headerWritten is set once the response header was written to the caller.
	headerWritten bool
	// endsWithConnection is set if the caller's response has neither a length nor chunks.
	endsWithConnection bool
	lastEventID        string
	// status is the response status for the log.
	status int
	reason string
	// cause is why the proxy itself refused the request; empty if it did not.
	cause string
}

// input holds the handles of one stage's results.
type input struct {
	pool    string
	handles []string
}

// Serve answers r. It panics with http.ErrAbortHandler if a response has started
// and cannot be completed, so that the caller sees the connection close early.
// It does the same if the caller has disconnected.
func (p *Proxy) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	e := &exchange{p: p, r: r, w: w, start: p.cfg.Clock(), lastEventID: r.LastEventID}
	defer e.finish()
	if !e.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, e.contextDeadline())
	defer cancel()
	defer e.freeInputs()
	defer e.settleBudget()
	defer e.settleAssignment(mpassign.Unused)
	if e.choosePool(ctx) {
		e.run(ctx)
	}
}

// admit resolves the route, the account and the deadlines of the request. It
// refuses requests without a route or a valid account and returns false for them.
func (e *exchange) admit() bool {
	found, refused := e.p.resolve(e.r)
	e.table, e.route = found.table, found.route
	if refused != nil {
		e.refuse(refused.status, refused.retryAfter, refused.cause, "")
		return false
	}
	spec := e.route.Spec()
	e.priority = spec.Priority
	if found.account != nil {
		e.account, e.priority = found.account.Name(), found.account.Priority(e.route)
	}
	timeout := spec.Timeout
	if e.r.Timeout > 0 {
		timeout = min(timeout, e.r.Timeout)
	}
	e.deadline = e.start.Add(timeout - min(responseMargin, timeout/4))
	e.softDeadline = e.start.Add(spec.LatencyTarget)
	e.startDeadline = e.deadline
	if spec.Kind == mproute.Stream {
		e.startDeadline = e.start.Add(min(e.startTimeout(), timeout))
	}
	if !e.admitBeforeLeave() {
		return false
	}
	e.traits = traitsOf(e.r)
	if v := e.p.cfg.Quarantine.Judge(e.start, e.traits); v.Level == mpquarantine.Convicted {
		e.refuseConvicted(v)
		return false
	}
	return true
}

// startTimeout returns how long the callers of a stream wait for its first event.
func (e *exchange) startTimeout() time.Duration {
	spec := e.route.Spec()
	return max(minStartTimeout, startTimeoutTargetFactor*spec.LatencyTarget, startTimeoutGapFactor*spec.GapTarget)
}

// choosePool chooses the pool of the request. A stream that the caller resumes goes on at the
// pool and the version that began it; if these are not known, it is refused, since the caller
// could not tell that its parts do not fit together.
func (e *exchange) choosePool(ctx context.Context) bool {
	name := e.route.PickPool(rand.Float64())
	if e.route.Spec().Resumable && e.r.LastEventID != "" {
		e.origin = e.findOrigin(ctx, name)
		if !e.origin.IsKnown() || !e.route.HasPool(e.origin.Pool) {
			e.p.cfg.Metrics.Add("origins.unknown", 1)
			e.refuse(http.StatusServiceUnavailable, minRetryAfter, "origin of the stream unknown", "resumes "+e.r.Resumes)
			return false
		}
		name = e.origin.Pool
		e.softDeadline = e.startDeadline
	}
	e.pool = e.table.Pool(name)
	e.pickInfo = e.p.pickInfo(e.r, e.pool)
	e.pickInfo.Kind = name + " " + e.route.Spec().Name
	e.p.cfg.Budget(name).Deposit()
	return true
}

// pickInfo returns the upstream selection criteria of the request.
func (p *Proxy) pickInfo(r *Request, pool *mproute.Pool) mpselect.PickInfo {
	info := mpselect.PickInfo{Work: 1, DC: p.cfg.DC}
	if pool.Spec().Engine == nil || len(r.Prompt) == 0 {
		return info
	}
	// The last part is specific to this request, unless it is the only one.
	shared := r.Prompt[max(len(r.Prompt)-2, 0)]
	info.AffinityKey = max(xxhash.Sum64String(shared.ID), 1)
	info.Work = float64(r.Prompt[len(r.Prompt)-1].Tokens + r.MaxOutputTokens + attemptOverheadTokens)
	return info
}

// candidates returns the upstreams of the pool that accept new work.
func (p *Proxy) candidates(pool *mproute.Pool) []mpselect.Candidate {
	usable, now := p.cfg.State.Usable(), p.cfg.Clock()
	var out []mpselect.Candidate
	for _, row := range usable.Rows(pool.Spec().Name) {
		out = append(out, mpselect.Candidate{
			Row: row, ColdUntil: usable.ColdUntil(row), ColdRate: pool.Spec().ColdRate, Brittle: p.cfg.Notices.Brittle(now, row.ID),
		})
	}
	return out
}

// run runs the stages and forwards the request. If stage results are lost before
// they are read, it starts over, at most maxStageReruns times.
func (e *exchange) run(ctx context.Context) {
	for reruns := 0; ; reruns++ {
		err := e.runStages(ctx)
		if errors.Is(err, mperror.ErrNotFound) && reruns < maxStageReruns && ctx.Err() == nil {
			continue
		}
		if err != nil {
			e.refuseStages(ctx, err)
			return
		}
		e.inputsFreed = false
		if !e.runAttempts(ctx) {
			return
		}
		if reruns == maxStageReruns {
			e.respondUnanswered(ctx, "stages were run again before")
			return
		}
		e.freeInputs()
	}
}

// refuseStages ends a request whose stages failed. If they ran for the first time, the request
// itself has not run.
func (e *exchange) refuseStages(ctx context.Context, err error) {
	if e.headerWritten || e.mayHaveRun || callerDisconnected(ctx) {
		e.respondUnanswered(ctx, err.Error())
		return
	}
	retryAfter := minRetryAfter
	var late *mpbatch.LateError
	if errors.As(err, &late) {
		retryAfter = e.p.forecast.retryAfter(e.p.cfg.Clock(), late.Wait)
	}
	cause := "stages not made"
	if late != nil {
		cause = "stages late"
	}
	e.refuse(http.StatusServiceUnavailable, retryAfter, cause, err.Error())
}

// respondUnanswered ends a request that no upstream answered. It refuses the
// request as not run only if no upstream may have run it.
func (e *exchange) respondUnanswered(ctx context.Context, reason string) {
	switch {
	case e.headerWritten:
		e.abort(reason)
	case callerDisconnected(ctx):
		e.abort("caller disconnected")
	case !e.mayHaveRun && e.limitWait > 0:
		e.p.cfg.Metrics.Add("quota.refused", 1)
		e.refuse(http.StatusServiceUnavailable, max(e.limitWait, minRetryAfter), causeLimit, reason)
	case !e.mayHaveRun:
		e.refuse(http.StatusServiceUnavailable, minRetryAfter, "not run", reason)
	case ctx.Err() != nil:
		e.refuse(http.StatusGatewayTimeout, 0, "no answer in time", reason)
	default:
		e.refuse(http.StatusBadGateway, 0, "no answer", reason)
	}
}

// callerDisconnected reports whether ctx was cancelled other than by its deadline, which
// means that the caller has disconnected.
func callerDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// abort closes the connection. If the handler returned normally instead, net/http
// would send an empty response, which a caller that closed only its sending side
// would take for a complete one.
func (e *exchange) abort(reason string) {
	e.status, e.reason = statusAborted, reason
	panic(http.ErrAbortHandler)
}

// refuse sends a response from the proxy itself. The cause is one of a small set of
// strings. The detail is only logged, since it may contain upstream addresses that
// callers must not see.
func (e *exchange) refuse(status int, retryAfter time.Duration, cause, detail string) {
	if e.headerWritten {
		e.abort(cause + ": " + detail) // The caller would take the text for a part of the stream.
	}
	e.status, e.cause, e.reason = status, cause, cause
	if detail != "" {
		e.reason += ": " + detail
	}
	h := e.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	body := http.StatusText(status) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	e.w.WriteHeader(status)
	_, _ = e.w.Write([]byte(body))
}

// finish updates the metrics and logs how the request ended.
func (e *exchange) finish() {
	e.counted.End()
	route := ""
	if e.route != nil {
		route = e.route.Spec().Name
	}
	e.p.cfg.Metrics.Add("answers."+strconv.Itoa(e.status), 1)
	e.p.cfg.Metrics.ObserveDuration("request", e.p.cfg.Clock().Sub(e.start))
	if e.timeToFirstEvent > 0 {
		e.p.cfg.Metrics.ObserveDuration("first", e.timeToFirstEvent)
	}
	e.p.cfg.Metrics.Add("sends", int64(e.sends))
	if e.status >= http.StatusOK && e.status < http.StatusMultipleChoices {
		e.p.durations.record(route, e.p.cfg.Clock().Sub(e.start))
	}
	if e.cause != "" && !e.p.refusalSummaries.ShouldLog(e.cause, e.r.ID) {
		return
	}
	_ = level.Info(e.p.cfg.Logger).Log("msg", "request", "id", e.r.ID, "route", route, "account", e.account, "status", e.status,
		"reason", e.reason, "upstream", e.upstream, "version", e.version, "resumes", e.r.Resumes, "after", e.r.LastEventID, "sends", e.sends, "stages", e.stagesDuration, "head", e.timeToHeader, "first", e.timeToFirstEvent,
		"owner", e.owner, "expected", e.expected, "cached", e.cachedTokens, "pause", e.longestGap, "framing", e.framing, "tail", e.tail,
		"took", e.p.cfg.Clock().Sub(e.start), "plan", e.table.Version())
}

func (e *exchange) freeInputs() {
	for _, in := range e.inputs {
		e.p.cfg.StageExecutor.Free(in.pool, in.handles)
	}
	e.inputs = nil
}

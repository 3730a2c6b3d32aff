package mppass

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpbudget"
	"mustardpost.org/core/request/mpselect"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// refusePause is told to callers whose request was refused for a passing reason.
	refusePause = 500 * time.Millisecond
	// mostPause bounds what a refused caller is told: forecasts do not reach further.
	mostPause = 5 * time.Second
	// mostSends bounds how often a request is sent when upstreams say that they
	// did not run it.
	mostSends = 3
	// remakes bounds how often stages are made again after their results are gone.
	remakes = 1
	// leastLeft is the shortest time with which an attempt is worth sending.
	leastLeft = 10 * time.Millisecond
	// answerSlack leaves the way back to the caller before its deadline.
	answerSlack = 10 * time.Millisecond
	// Callers leave a stream that has not begun after leastPatience, patientAims
	// times its aim or patientGaps times its longest pause, whichever is longest.
	leastPatience = 2 * time.Second
	patientAims   = 4
	patientGaps   = 8
	// statusAborted is logged where no status was sent or the answer was broken off.
	statusAborted = -1
	// mixTokens stands for the part of an attempt's work that is not its prompt.
	mixTokens = 1000
)

// Config holds what a Passer needs from outside.
type Config struct {
	DC       string
	State    State
	Dialect  Dialect
	Maker    Maker
	Selector *mpselect.Selector
	// Budget returns the budget for repeats at a pool.
	Budget  func(pool string) *mpbudget.Budget
	Client  http.RoundTripper
	Metrics *mpmetric.Set
	Logger  log.Logger
	Clock   func() time.Time
}

// Passer serves requests. It is safe for concurrent use.
type Passer struct {
	cfg      Config
	forecast *forecast
	// unserved and failed bound the lines about requests and about attempts.
	unserved, failed *mplog.Sums
}

// New returns a passer.
func New(cfg Config) *Passer {
	return &Passer{
		cfg: cfg, forecast: newForecast(),
		unserved: mplog.NewSums(cfg.Logger, mplog.SumRequests), failed: mplog.NewSums(cfg.Logger, mplog.SumAttempts),
	}
}

// flow is one request on its way.
type flow struct {
	p        *Passer
	r        *Request
	w        http.ResponseWriter
	table    *mproute.Table
	route    *mproute.Route
	pool     *mproute.Pool
	account  string
	priority int
	start    time.Time
	aim      time.Time
	deadline time.Time
	// begin is when a stream must begin, since its caller leaves then; it is
	// the deadline for other requests.
	begin time.Time
	ask   mpselect.Ask
	// mayHaveRun tells that some upstream may have run the request.
	mayHaveRun bool
	sends      int
	upstream   string
	sent       time.Time
	stagesTook time.Duration
	// headTook and firstTook are the times from the sending of the attempt to
	// the head of its answer and to the first event.
	headTook  time.Duration
	firstTook time.Duration
	// passed is when events were last passed on, pause the longest time between.
	passed time.Time
	pause  time.Duration
	inputs []input
	// started tells that the head of the answer was written.
	started   bool
	lastEvent string
	// status of the answer, for the log.
	status int
	reason string
	// cause is why the system itself refused the request; else empty.
	cause string
}

// input is the results of one stage.
type input struct {
	pool    string
	handles []string
}

// Serve answers r. It panics with http.ErrAbortHandler when an answer has
// begun and cannot be completed, so that the caller sees it broken off.
func (p *Passer) Serve(ctx context.Context, w http.ResponseWriter, r *Request) {
	f := &flow{p: p, r: r, w: w, start: p.cfg.Clock(), lastEvent: r.LastEvent}
	defer f.finish()
	if !f.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	defer f.freeInputs()
	f.run(ctx)
}

// admit finds the route and the account, and answers requests that have none.
func (f *flow) admit() bool {
	f.table = f.p.cfg.State.Table()
	if f.table == nil {
		f.refuse(http.StatusServiceUnavailable, refusePause, "no plan yet", "")
		return false
	}
	f.route = f.table.Find(f.r.Host, f.r.Path)
	if f.route == nil {
		f.refuse(http.StatusNotFound, 0, "no route", "")
		return false
	}
	spec := f.route.Spec()
	f.priority = spec.Priority
	if f.table.HasAccounts() && !spec.Public {
		account := f.table.Account(f.r.Key)
		if account == nil {
			f.refuse(http.StatusUnauthorized, 0, "unknown key", "")
			return false
		}
		f.account, f.priority = account.Name(), account.Priority(f.route)
	}
	left := spec.Timeout
	if f.r.Left > 0 {
		left = min(left, f.r.Left)
	}
	f.deadline = f.start.Add(left - min(answerSlack, left/4))
	f.aim = f.start.Add(spec.LatencyTarget)
	f.begin = f.deadline
	if spec.Kind == mproute.Stream {
		patience := max(leastPatience, patientAims*spec.LatencyTarget, patientGaps*spec.GapTarget)
		f.begin = f.start.Add(min(patience, left))
	}
	f.pool = f.table.Pool(f.route.PickPool(rand.Float64()))
	f.ask = f.p.asks(f.r, f.pool)
	f.p.cfg.Budget(f.pool.Spec().Name).Earn()
	return true
}

// asks describes what the request needs of an upstream.
func (p *Passer) asks(r *Request, pool *mproute.Pool) mpselect.Ask {
	ask := mpselect.Ask{Work: 1, DC: p.cfg.DC}
	if pool.Spec().Engine == nil || len(r.Prompt) == 0 {
		return ask
	}
	// The last part belongs to the request alone, unless it is the only one.
	shared := r.Prompt[max(len(r.Prompt)-2, 0)]
	ask.Affinity = max(xxhash.Sum64String(shared.ID), 1)
	ask.Work = float64(r.Prompt[len(r.Prompt)-1].Tokens + r.Output + mixTokens)
	return ask
}

// candidates returns the upstreams of the pool that may get new work.
func (p *Passer) candidates(pool *mproute.Pool) []mpselect.Candidate {
	usable := p.cfg.State.Usable()
	var out []mpselect.Candidate
	for _, row := range usable.Rows(pool.Spec().Name) {
		out = append(out, mpselect.Candidate{Row: row, ColdUntil: usable.ColdUntil(row), ColdRate: pool.Spec().ColdRate})
	}
	return out
}

// run makes the stages and sends the request. Where results are gone by the
// time they are read, it does so once more.
func (f *flow) run(ctx context.Context) {
	for remade := 0; ; remade++ {
		err := f.makeStages(ctx)
		if errors.Is(err, mperror.ErrNotFound) && remade < remakes && ctx.Err() == nil {
			continue
		}
		if err != nil {
			f.refuseStages(ctx, err)
			return
		}
		if !f.attempts(ctx) {
			return
		}
		if remade == remakes {
			f.giveUp(ctx, "results of stages are gone")
			return
		}
		f.freeInputs()
	}
}

// refuseStages answers a request whose stages were not made: it has not run.
func (f *flow) refuseStages(ctx context.Context, err error) {
	if isGone(ctx) {
		f.abort("caller gone")
	}
	pause := refusePause
	var late *mpbatch.LateError
	if errors.As(err, &late) {
		pause = f.p.forecast.pause(f.p.cfg.Clock(), late.Wait)
	}
	cause := "stages not made"
	if late != nil {
		cause = "stages late"
	}
	f.refuse(http.StatusServiceUnavailable, pause, cause, err.Error())
}

// giveUp gives the final answer to a request that no upstream answered.
func (f *flow) giveUp(ctx context.Context, reason string) {
	switch {
	case f.started:
		f.abort(reason)
	case isGone(ctx):
		f.abort("caller gone")
	case !f.mayHaveRun:
		f.refuse(http.StatusServiceUnavailable, refusePause, "not run", reason)
	case ctx.Err() != nil:
		f.refuse(http.StatusGatewayTimeout, 0, "no answer in time", reason)
	default:
		f.refuse(http.StatusBadGateway, 0, "no answer", reason)
	}
}

// isGone reports whether the caller has left.
func isGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// abort breaks off the connection. A handler that returns without a word would
// send an empty answer, which a caller that only closed its sending side takes
// for the whole one.
func (f *flow) abort(reason string) {
	f.status, f.reason = statusAborted, reason
	panic(http.ErrAbortHandler)
}

// refuse answers for the system itself. The cause is one of a few; the detail is
// logged only: it may name addresses that are no business of callers.
func (f *flow) refuse(status int, retry time.Duration, cause, detail string) {
	f.status, f.cause, f.reason = status, cause, cause
	if detail != "" {
		f.reason += ": " + detail
	}
	h := f.w.Header()
	if retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	body := http.StatusText(status) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	f.w.WriteHeader(status)
	_, _ = f.w.Write([]byte(body))
}

// finish writes the line that tells how the request ended.
func (f *flow) finish() {
	route := ""
	if f.route != nil {
		route = f.route.Spec().Name
	}
	f.p.cfg.Metrics.Add("answers."+strconv.Itoa(f.status), 1)
	f.p.cfg.Metrics.Took("request", f.p.cfg.Clock().Sub(f.start))
	if f.firstTook > 0 {
		f.p.cfg.Metrics.Took("first", f.firstTook)
	}
	f.p.cfg.Metrics.Add("sends", int64(f.sends))
	if f.cause != "" && !f.p.unserved.Full(f.cause, f.r.ID) {
		return
	}
	_ = level.Info(f.p.cfg.Logger).Log("msg", "request", "id", f.r.ID, "route", route, "status", f.status,
		"reason", f.reason, "upstream", f.upstream, "sends", f.sends, "stages", f.stagesTook, "head", f.headTook, "first", f.firstTook,
		"pause", f.pause,
		"took", f.p.cfg.Clock().Sub(f.start), "plan", f.table.Version())
}

func (f *flow) freeInputs() {
	for _, in := range f.inputs {
		f.p.cfg.Maker.Free(in.pool, in.handles)
	}
	f.inputs = nil
}

// pick chooses an upstream that the request was not sent to yet.
func (f *flow) pick() (mplist.Row, bool) {
	return f.p.cfg.Selector.Pick(f.p.cfg.Clock(), f.p.candidates(f.pool), f.ask)
}

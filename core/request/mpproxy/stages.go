package mpproxy

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpbatch"
)

// largeResultBytes is the size from which a result is produced as late as its
// reader allows, since upstreams can store only a few results of this size.
const largeResultBytes = 1 << 20

// maxStagePieces limits the pieces of one stage, which take memory here and at the
// pool's owner. It is far above what requests need, and far below the numbers that
// a caller can put into a header.
const maxStagePieces = 4096

// stageRun is one run of the stages of a request.
type stageRun struct {
	exchange *exchange
	counts   []int
	graph    stageGraph
	// dc returns the data centre of the upstream to which the request will be sent, as far as that is
	// known. The owner of its engines is asked when the first stage with a large result starts.
	dc    func() string
	ready []chan struct{}

	mu                sync.Mutex
	results           [][]mpbatch.Result
	unfinishedReaders []int
}

// runStages produces the stage results that the request reads, if its route has
// stages.
func (e *exchange) runStages(ctx context.Context) error {
	spec := e.route.Spec()
	if len(spec.Stages) == 0 {
		return nil
	}
	if len(e.r.Pieces) != len(spec.Stages) {
		return mperror.Wrap(mperror.ErrInvalid, "route has %d stages, but request has piece counts for %d", len(spec.Stages), len(e.r.Pieces))
	}
	if count := slices.Max(e.r.Pieces); count > maxStagePieces {
		return mperror.Wrap(mperror.ErrInvalid, "stage has %d pieces, the limit is %d", count, maxStagePieces)
	}
	start := e.p.cfg.Clock()
	s := &stageRun{
		exchange:          e,
		counts:            e.r.Pieces,
		graph:             newStageGraph(e.route, e.r.Pieces),
		ready:             make([]chan struct{}, len(spec.Stages)),
		results:           make([][]mpbatch.Result, len(spec.Stages)),
		unfinishedReaders: make([]int, len(spec.Stages)),
	}
	if err := s.checkExpectedLatency(start); err != nil {
		return err
	}
	s.dc = sync.OnceValue(func() string { return s.chooseDC(ctx) })
	err := s.runAll(ctx)
	e.stagesDuration += e.p.cfg.Clock().Sub(start)
	return err
}

// runAll runs each stage once those that it comes after are done, and stores the results
// that the request itself reads in exchange.inputs. On failure it frees all results.
func (s *stageRun) runAll(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for i := range s.counts {
		s.ready[i] = make(chan struct{})
		s.unfinishedReaders[i] = len(s.graph.consumers[i])
	}
	for _, i := range s.graph.leaves {
		s.unfinishedReaders[i]++
	}
	var wg sync.WaitGroup
	// first is the error of the first stage that failed. It says which one that was, while the cause of ctx does not
	// if the time of the request has ended.
	var first error
	var failed sync.Once
	for i, n := range s.counts {
		if n == 0 {
			continue
		}
		wg.Go(func() {
			if err := s.runOne(ctx, i); err != nil {
				failed.Do(func() { first = err })
				cancel(err)
			}
		})
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		for i := range s.results {
			s.free(i)
		}
		return cmp.Or(first, err)
	}
	for _, i := range s.graph.leaves {
		s.exchange.inputs = append(s.exchange.inputs, input{s.pool(i), handles(s.results[i])})
	}
	return nil
}

// chooseDC returns the data centre near which large results are to be made. If the request itself reads
// them, its engine is chosen now.
func (s *stageRun) chooseDC(ctx context.Context) string {
	e, now := s.exchange, s.exchange.p.cfg.Clock()
	readsLarge := func(i int) bool { return e.route.Spec().Stages[i].ResultBytes >= largeResultBytes }
	if slices.ContainsFunc(s.graph.leaves, readsLarge) {
		e.assign(ctx, s.timeLeft(now))
	}
	if e.assignment != nil {
		if row, ok := e.p.cfg.State.Usable().Find(e.pool.Spec().Name, e.assignment.Engine); ok {
			return row.DC
		}
	}
	return e.p.cfg.Selector.PeekDC(now, e.likely(now, e.p.candidates(e.pool)), e.pickInfo)
}

// timeLeft returns the expected time until the stages that have not ended do.
func (s *stageRun) timeLeft(now time.Time) time.Duration {
	left := time.Duration(0)
	rest := s.remainingTimes(now)
	for i, n := range s.counts {
		select {
		case <-s.ready[i]:
			continue
		default:
		}
		if n > 0 {
			left = max(left, s.backlog(now, i)+s.batchDuration(i)+rest[i].expected)
		}
	}
	return max(left-s.exchange.p.forecast.firstTokenTime(s.exchange.pool.Spec().Name, s.exchange.r.Prompt), 0)
}

// checkExpectedLatency returns an error that wraps ErrDeadline if, judging by the
// queues of its stages, the request would both be late and wait long in them. Such a
// request should retry later rather than take capacity from others in the early stages.
func (s *stageRun) checkExpectedLatency(now time.Time) error {
	queues, rest := s.queueTimes(now), s.remainingTimes(now)
	for i, n := range s.counts {
		if n == 0 || len(s.graph.inputs[i]) > 0 {
			continue
		}
		end := now.Add(s.backlog(now, i) + s.batchDuration(i) + rest[i].expected)
		if queues[i].total > mpbatch.MaxLateWait && end.After(s.exchange.softDeadline) {
			return &mpbatch.LateError{Stage: queues[i].longestAt, Wait: queues[i].total}
		}
	}
	return nil
}

// queueTime is the expected queueing time of a request from one of its stages on, with the stage at which it
// waits longest.
type queueTime struct {
	total, own time.Duration
	longestAt  int
}

// queueTimes returns the queueing times from each stage on.
func (s *stageRun) queueTimes(now time.Time) []queueTime {
	out := make([]queueTime, len(s.counts))
	for i, n := range slices.Backward(s.counts) {
		if n == 0 {
			continue
		}
		q := queueTime{own: s.backlog(now, i), longestAt: i}
		for _, next := range s.graph.consumers[i] {
			if rest := out[next]; rest.total > q.total {
				q.total = rest.total
				if out[rest.longestAt].own > q.own {
					q.longestAt = rest.longestAt
				}
			}
		}
		q.total += q.own
		out[i] = q
	}
	return out
}

func (s *stageRun) backlog(now time.Time, i int) time.Duration {
	return s.exchange.p.cfg.StageExecutor.Backlog(now, s.pool(i), s.exchange.priority)
}

func (s *stageRun) pool(i int) string { return s.exchange.route.Spec().Stages[i].Pool }

func (s *stageRun) runOne(ctx context.Context, i int) error {
	for _, in := range s.graph.after[i] {
		select {
		case <-s.ready[in]:
		case <-ctx.Done():
			return mperror.Wrap(ctx.Err(), "stage %d waits for stage %d", i, in)
		}
	}
	start := s.exchange.p.cfg.Clock()
	results, err := s.exchange.p.cfg.StageExecutor.Make(ctx, s.pool(i), s.jobSpec(start, i))
	if err != nil {
		return err
	}
	s.exchange.p.forecast.recordStageWait(s.pool(i), s.exchange.p.cfg.Clock().Sub(start)-s.batchDuration(i))
	s.mu.Lock()
	s.results[i] = results
	s.mu.Unlock()
	close(s.ready[i])
	for _, in := range s.graph.inputs[i] {
		s.mu.Lock()
		s.unfinishedReaders[in]--
		last := s.unfinishedReaders[in] == 0
		s.mu.Unlock()
		if last {
			s.free(in)
		}
	}
	return nil
}

func (s *stageRun) free(i int) {
	s.mu.Lock()
	results := s.results[i]
	s.results[i] = nil
	s.mu.Unlock()
	if len(results) > 0 {
		s.exchange.p.cfg.StageExecutor.Free(s.pool(i), handles(results))
	}
}

func (s *stageRun) jobSpec(now time.Time, i int) mpbatch.JobSpec {
	rest := s.remainingTimes(now)[i]
	spec := mpbatch.JobSpec{
		Request:      s.exchange.r.ID,
		Stage:        i,
		Count:        s.counts[i],
		ResultBytes:  s.exchange.route.Spec().Stages[i].ResultBytes,
		Priority:     s.exchange.priority,
		SoftDeadline: s.exchange.softDeadline.Add(-rest.expected),
		Deadline:     s.exchange.startDeadline.Add(-rest.minimum),
		CrossDCBytes: s.exchange.route.Spec().Stages[i].ResultBytes,
	}
	if spec.CrossDCBytes >= largeResultBytes {
		spec.DC = s.dc()
	}
	inputs := s.graph.inputs[i]
	if len(inputs) == 0 {
		spec.Key = s.exchange.r.PieceKey
		return spec
	}
	s.addInputs(&spec, inputs)
	return spec
}

// addInputs adds the inputs of a stage to its job. Each piece reads all of them, so
// the preferred data centre is the one with most of their bytes, unless the result
// is larger than the inputs.
func (s *stageRun) addInputs(spec *mpbatch.JobSpec, inputs []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	totalBytes, bestBytes := 0, 0
	bytesByDC := map[string]int{}
	bestDC := ""
	for _, in := range inputs {
		size := s.exchange.route.Spec().Stages[in].ResultBytes
		for _, r := range s.results[in] {
			spec.Inputs = append(spec.Inputs, r.Handle)
			totalBytes += size
			if bytesByDC[r.DC] += size; bytesByDC[r.DC] > bestBytes {
				bestDC, bestBytes = r.DC, bytesByDC[r.DC]
			}
		}
	}
	if totalBytes > spec.CrossDCBytes {
		spec.DC, spec.CrossDCBytes = bestDC, bestBytes
	}
}

func handles(results []mpbatch.Result) []string {
	out := make([]string, len(results))
	for i, r := range results {
		out[i] = r.Handle
	}
	return out
}

// remainingTime is the minimum and the expected time that a request needs after one of its stages.
type remainingTime struct{ minimum, expected time.Duration }

// remainingTimes returns the times that the request needs after each stage.
func (s *stageRun) remainingTimes(now time.Time) []remainingTime {
	last := remainingTime{firstTokenOverhead, s.exchange.p.forecast.firstTokenTime(s.exchange.pool.Spec().Name, s.exchange.r.Prompt)}
	out := make([]remainingTime, len(s.counts))
	// with are the times that each stage takes itself beside those after it.
	with := make([]remainingTime, len(s.counts))
	for i, n := range slices.Backward(s.counts) {
		if n == 0 {
			continue
		}
		for _, next := range s.graph.consumers[i] {
			out[i].minimum, out[i].expected = max(out[i].minimum, with[next].minimum), max(out[i].expected, with[next].expected)
		}
		if len(s.graph.consumers[i]) == 0 {
			out[i] = last
		}
		wait := max(s.exchange.p.forecast.stageWait(s.pool(i)), s.backlog(now, i))
		with[i] = remainingTime{out[i].minimum + s.batchDuration(i), out[i].expected + s.batchDuration(i) + wait}
	}
	return out
}

func (s *stageRun) batchDuration(i int) time.Duration {
	b := s.exchange.table.Pool(s.pool(i)).Spec().Batch
	if b == nil {
		return 0
	}
	return b.CallDuration(s.counts[i])
}

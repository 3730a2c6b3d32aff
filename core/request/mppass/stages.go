package mppass

import (
	"context"
	"slices"
	"sync"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/request/mpbatch"
)

// largeResult is the size from which a result is made as late as its reader
// allows, since upstreams have room for a few of them only.
const largeResult = 1 << 20

// mostPieces bounds the pieces of one stage, which take memory here and at the
// owner: far more than a request needs, far less than a caller can write.
const mostPieces = 4096

// stageRun is the stages of one request while they are made.
type stageRun struct {
	f      *flow
	counts []int
	dc     string
	ready  []chan struct{}

	mu      sync.Mutex
	made    [][]mpbatch.Result
	readers []int
}

// makeStages makes the results that the request reads, if its route has stages.
func (f *flow) makeStages(ctx context.Context) error {
	spec := f.route.Spec()
	if len(spec.Stages) == 0 {
		return nil
	}
	if len(f.r.Pieces) != len(spec.Stages) {
		return mperror.Wrap(mperror.ErrInvalid, "%d stages, pieces of %d", len(spec.Stages), len(f.r.Pieces))
	}
	if most := slices.Max(f.r.Pieces); most > mostPieces {
		return mperror.Wrap(mperror.ErrInvalid, "%d pieces of a stage, %d at most", most, mostPieces)
	}
	begun := f.p.cfg.Clock()
	s := &stageRun{
		f:       f,
		counts:  f.r.Pieces,
		dc:      f.p.cfg.Selector.Peek(begun, f.p.candidates(f.pool), f.ask),
		ready:   make([]chan struct{}, len(spec.Stages)),
		made:    make([][]mpbatch.Result, len(spec.Stages)),
		readers: make([]int, len(spec.Stages)),
	}
	if err := s.checkTime(begun); err != nil {
		return err
	}
	err := s.makeAll(ctx)
	f.stagesTook += f.p.cfg.Clock().Sub(begun)
	return err
}

// makeAll makes each stage when what it reads is there, and leaves the results
// that the request itself reads in its flow.
func (s *stageRun) makeAll(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	leaves := s.f.route.Leaves(s.counts)
	for i := range s.counts {
		s.ready[i] = make(chan struct{})
		for _, in := range s.inputs(i) {
			s.readers[in]++
		}
	}
	for _, i := range leaves {
		s.readers[i]++
	}
	var wg sync.WaitGroup
	for i, n := range s.counts {
		if n == 0 {
			continue
		}
		wg.Go(func() {
			if err := s.makeOne(ctx, i, s.waitFor(i, leaves)); err != nil {
				cancel(err)
			}
		})
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		for i := range s.made {
			s.free(i)
		}
		return err
	}
	for _, i := range leaves {
		s.f.inputs = append(s.f.inputs, input{s.pool(i), handles(s.made[i])})
	}
	return nil
}

// checkTime returns an error that wraps ErrLate for a request that will be late, by
// what is known of the queues of its stages, and would wait long in them. It had
// better come back later than take places from others on the way.
func (s *stageRun) checkTime(now time.Time) error {
	for i, n := range s.counts {
		if n == 0 || len(s.inputs(i)) > 0 {
			continue
		}
		wait, at := s.waits(now, i)
		_, likely := s.rest(now, i)
		end := now.Add(s.backlog(now, i) + s.length(i) + likely)
		if wait > mpbatch.MaxLateWait && end.After(s.f.aim) {
			return &mpbatch.LateError{Stage: at, Wait: wait}
		}
	}
	return nil
}

// waits returns how long the request waits in queues from stage i on, and the stage
// where it waits longest.
func (s *stageRun) waits(now time.Time, i int) (sum time.Duration, longest int) {
	own := s.backlog(now, i)
	longest = i
	for _, next := range s.readBy(i) {
		if rest, at := s.waits(now, next); rest > sum {
			sum = rest
			if s.backlog(now, at) > own {
				longest = at
			}
		}
	}
	return own + sum, longest
}

func (s *stageRun) backlog(now time.Time, i int) time.Duration {
	return s.f.p.cfg.Maker.Backlog(now, s.pool(i), s.f.priority)
}

func (s *stageRun) pool(i int) string { return s.f.route.Spec().Stages[i].Pool }

func (s *stageRun) inputs(i int) []int {
	if s.counts[i] == 0 {
		return nil
	}
	return s.f.route.Inputs(i, s.counts)
}

// readBy returns the stages that read stage i.
func (s *stageRun) readBy(i int) []int {
	var out []int
	for next := i + 1; next < len(s.counts); next++ {
		if slices.Contains(s.inputs(next), i) {
			out = append(out, next)
		}
	}
	return out
}

// waitFor returns the stages that must be there before stage i starts: those
// it reads; for a large result that the request itself reads, those that the
// longest other branch needs for its last step.
func (s *stageRun) waitFor(i int, leaves []int) []int {
	own := s.inputs(i)
	if len(own) > 0 || s.f.route.Spec().Stages[i].Bytes < largeResult {
		return own
	}
	deepest, best := 0, []int(nil)
	for _, leaf := range leaves {
		if d := s.depth(leaf); leaf != i && d > deepest {
			deepest, best = d, s.inputs(leaf)
		}
	}
	return best
}

func (s *stageRun) depth(i int) int {
	d := 0
	for _, in := range s.inputs(i) {
		d = max(d, 1+s.depth(in))
	}
	return d
}

func (s *stageRun) makeOne(ctx context.Context, i int, after []int) error {
	for _, in := range after {
		select {
		case <-s.ready[in]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	inputs := s.inputs(i)
	begun := s.f.p.cfg.Clock()
	made, err := s.f.p.cfg.Maker.Make(ctx, s.pool(i), s.ask(begun, i))
	if err != nil {
		return err
	}
	s.f.p.forecast.waited(s.pool(i), s.f.p.cfg.Clock().Sub(begun)-s.length(i))
	s.mu.Lock()
	s.made[i] = made
	s.mu.Unlock()
	close(s.ready[i])
	for _, in := range inputs {
		s.mu.Lock()
		s.readers[in]--
		last := s.readers[in] == 0
		s.mu.Unlock()
		if last {
			s.free(in)
		}
	}
	return nil
}

func (s *stageRun) free(i int) {
	s.mu.Lock()
	made := s.made[i]
	s.made[i] = nil
	s.mu.Unlock()
	if len(made) > 0 {
		s.f.p.cfg.Maker.Free(s.pool(i), handles(made))
	}
}

func (s *stageRun) ask(now time.Time, i int) mpbatch.JobSpec {
	least, likely := s.rest(now, i)
	ask := mpbatch.JobSpec{
		Request:      s.f.r.ID,
		Stage:        i,
		Count:        s.counts[i],
		ResultBytes:  s.f.route.Spec().Stages[i].Bytes,
		Priority:     s.f.priority,
		SoftDeadline: s.f.aim.Add(-likely),
		Deadline:     s.f.begin.Add(-least),
		CrossDCBytes: s.f.route.Spec().Stages[i].Bytes,
	}
	if ask.CrossDCBytes >= largeResult {
		ask.DC = s.dc
	}
	inputs := s.inputs(i)
	if len(inputs) == 0 {
		ask.Key = s.f.r.PieceKey
		return ask
	}
	s.readFrom(&ask, inputs)
	return ask
}

// readFrom adds the inputs of a stage to its ask. Each of its pieces reads all
// of them, so it is best made where most of their bytes lie, unless its result
// is larger than what it reads.
func (s *stageRun) readFrom(ask *mpbatch.JobSpec, inputs []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, most := 0, 0
	bytes := map[string]int{}
	best := ""
	for _, in := range inputs {
		size := s.f.route.Spec().Stages[in].Bytes
		for _, m := range s.made[in] {
			ask.Inputs = append(ask.Inputs, m.Handle)
			total += size
			if bytes[m.DC] += size; bytes[m.DC] > most {
				best, most = m.DC, bytes[m.DC]
			}
		}
	}
	if total > ask.CrossDCBytes {
		ask.DC, ask.CrossDCBytes = best, most
	}
}

func handles(made []mpbatch.Result) []string {
	out := make([]string, len(made))
	for i, m := range made {
		out[i] = m.Handle
	}
	return out
}

// rest returns the least and the likely time that the request needs after stage i.
func (s *stageRun) rest(now time.Time, i int) (least, likely time.Duration) {
	for _, next := range s.readBy(i) {
		l, k := s.rest(now, next)
		wait := max(s.f.p.forecast.wait(s.pool(next)), s.backlog(now, next))
		l, k = l+s.length(next), k+s.length(next)+wait
		least, likely = max(least, l), max(likely, k)
	}
	if least == 0 {
		return firstBase, s.f.p.forecast.first(s.f.pool.Spec().Name, s.f.r.Prompt)
	}
	return least, likely
}

func (s *stageRun) length(i int) time.Duration {
	b := s.f.table.Pool(s.pool(i)).Spec().Batch
	if b == nil {
		return 0
	}
	return b.Length(s.counts[i])
}

// Package mpstage makes the pieces of stages. Each pool of upstreams that make
// pieces has one owner among the VMs, which batches the pieces of all requests;
// the other VMs ask it. Owners need no agreement: a piece may be made again, so
// two owners at once only cost work, and a silent one is passed over.
package mpstage

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// freeEvery gathers the results to free into one call an upstream.
	freeEvery  = 25 * time.Millisecond
	freeWithin = 500 * time.Millisecond
)

// BatchClient carries out calls to upstreams.
type BatchClient interface {
	// Run makes the pieces of one call.
	Run(ctx context.Context, now time.Time, call mpbatch.Call) mpbatch.Outcome
	// AddressOf returns the address of the upstream that made a result.
	AddressOf(handle string) string
	// Free tells the upstream at an address that nobody needs results of its.
	Free(ctx context.Context, maker string, handles []string) error
}

// OwnerConfig holds what an Owner needs from outside.
type OwnerConfig struct {
	Client  BatchClient
	Metrics *mpmetric.Set
	Logger  log.Logger
	Clock   func() time.Time
}

// Owner batches the pieces of the pools that this VM owns.
type Owner struct {
	cfg OwnerConfig
	ctx context.Context
	// sums bounds the lines about refused stages.
	sums *mplog.Sums

	mu     sync.Mutex
	lines  map[string]*line
	table  *mproute.Table
	usable *mplist.Usable
}

// line is one pool's group with its lock.
type line struct {
	o    *Owner
	pool string
	kick chan struct{}

	mu    sync.Mutex
	group *mpbatch.Batcher
	// freeing tells that a call of free is due.
	freeing atomic.Bool
}

// NewOwner returns an owner whose work ends with ctx.
func NewOwner(ctx context.Context, cfg OwnerConfig) *Owner {
	return &Owner{cfg: cfg, ctx: ctx, sums: mplog.NewSums(cfg.Logger, mplog.SumStages), lines: map[string]*line{}}
}

// Update replaces the plan and the upstreams that may get calls.
func (o *Owner) Update(table *mproute.Table, usable *mplist.Usable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table, o.usable = table, usable
	for pool, l := range o.lines {
		o.fill(l, pool)
	}
}

func (o *Owner) fill(l *line, pool string) {
	p := o.table.Pool(pool)
	l.mu.Lock()
	defer l.mu.Unlock()
	if p != nil && p.Spec().Batch != nil {
		l.group.SetSpec(*p.Spec().Batch)
	}
	var ups []mpbatch.Upstream
	for _, r := range o.usable.Rows(pool) {
		ups = append(ups, mpbatch.Upstream{ID: r.ID, Address: r.Address, DC: r.DC})
	}
	l.group.SetUpstreams(ups)
	l.wake()
}

func (o *Owner) line(pool string) (*line, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l, ok := o.lines[pool]; ok {
		return l, nil
	}
	if o.table == nil || o.table.Pool(pool) == nil || o.table.Pool(pool).Spec().Batch == nil {
		return nil, mperror.Wrap(mperror.ErrNotFound, "pool %s", pool)
	}
	spec := *o.table.Pool(pool).Spec().Batch
	l := &line{o: o, pool: pool, kick: make(chan struct{}, 1), group: mpbatch.New(mpbatch.Config{Spec: spec})}
	o.lines[pool] = l
	o.fill(l, pool)
	go l.run()
	return l, nil
}

// Make returns the results of ask once they are all made.
func (o *Owner) Make(ctx context.Context, pool string, ask mpbatch.JobSpec) ([]mpbatch.Result, error) {
	l, err := o.line(pool)
	if err != nil {
		return nil, err
	}
	begun := o.cfg.Clock()
	l.mu.Lock()
	j, err := l.group.Add(begun, ask)
	l.mu.Unlock()
	if err != nil {
		if !o.sums.Full("pool "+pool, ask.Request) {
			return nil, err
		}
		_ = level.Info(o.cfg.Logger).Log("msg", "stage refused", "id", ask.Request, "pool", pool, "stage", ask.Stage, "err", err)
		return nil, err
	}
	l.wake()
	select {
	case <-j.Done():
	case <-ctx.Done():
		l.mu.Lock()
		l.group.Cancel(j)
		l.mu.Unlock()
		l.wake()
		return nil, ctx.Err()
	}
	made, err := j.Results()
	o.cfg.Metrics.Took("stage", o.cfg.Clock().Sub(begun))
	first, last := j.Waits()
	_ = level.Info(o.cfg.Logger).Log("msg", "stage", "id", ask.Request, "pool", pool, "stage", ask.Stage, "pieces", ask.Count,
		"priority", ask.Priority, "first", first, "last", last, "took", o.cfg.Clock().Sub(begun), "calls", callList(j.Calls()), "err", err)
	return made, err
}

func callList(ids []uint64) string {
	words := make([]string, len(ids))
	for i, id := range ids {
		words[i] = strconv.FormatUint(id, 10)
	}
	return strings.Join(words, ",")
}

// Free gives up results that this owner or another one made.
func (o *Owner) Free(pool string, handles []string) {
	l, err := o.line(pool)
	if err != nil {
		_ = level.Warn(o.cfg.Logger).Log("msg", "results not freed", "pool", pool, "results", len(handles), "err", err)
		return
	}
	l.mu.Lock()
	l.group.Free(handles)
	l.mu.Unlock()
	l.wake()
}

// Backlog returns how long a new piece would wait in the queue of pool.
func (o *Owner) Backlog(now time.Time, pool string, priority int) time.Duration {
	l, err := o.line(pool)
	if err != nil {
		return 0 // The plan names no such pool, so nothing waits there.
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group.Backlog(now, priority)
}

// Waiting returns the number of pieces that wait in all queues of this VM.
func (o *Owner) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, l := range o.lines {
		l.mu.Lock()
		n += l.group.Waiting()
		l.mu.Unlock()
	}
	return n
}

func (l *line) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// run starts calls whenever something has changed, and frees results.
func (l *line) run() {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	for {
		select {
		case <-l.o.ctx.Done():
			return
		case <-l.kick:
		case <-wait.C:
		}
		now := l.o.cfg.Clock()
		l.mu.Lock()
		calls := l.group.Next(now)
		at := l.group.NextWake(now)
		l.mu.Unlock()
		for _, c := range calls {
			go l.call(c)
		}
		if !at.IsZero() {
			wait.Reset(max(at.Sub(now), time.Millisecond))
		}
		if l.freeing.CompareAndSwap(false, true) {
			time.AfterFunc(freeEvery, l.free)
		}
	}
}

func (l *line) call(c mpbatch.Call) {
	begun := l.o.cfg.Clock()
	ctx, cancel := context.WithTimeout(l.o.ctx, c.Timeout)
	defer cancel()
	out := l.o.cfg.Client.Run(ctx, begun, c)
	now := l.o.cfg.Clock()
	l.o.cfg.Metrics.Add("batch.calls", 1)
	l.o.cfg.Metrics.Add("batch.pieces", int64(len(c.Items)))
	l.o.cfg.Metrics.Took("batch", now.Sub(begun))
	_ = level.Info(l.o.cfg.Logger).Log("msg", "batch", "pool", l.pool, "upstream", c.Upstream.ID, "call", c.ID, "pieces", len(c.Items),
		"expected", c.Expected, "took", now.Sub(begun), "ending", out.Status, "missing", missing(out.Items), "err", out.Err)
	l.mu.Lock()
	l.group.Finish(now, c.ID, out)
	l.mu.Unlock()
	l.wake()
}

// missing lists the reasons for which items of a call were not made.
func missing(items []mpbatch.ItemOutcome) string {
	var reasons []string
	for _, m := range items {
		if m.Handle == "" {
			reasons = append(reasons, string(m.Reason))
		}
	}
	return strings.Join(reasons, ",")
}

// free tells the makers of results that nobody needs them.
func (l *line) free() {
	l.freeing.Store(false)
	l.mu.Lock()
	handles := l.group.TakePendingFrees()
	l.mu.Unlock()
	byMaker := map[string][]string{}
	for _, h := range handles {
		maker := l.o.cfg.Client.AddressOf(h)
		byMaker[maker] = append(byMaker[maker], h)
	}
	for maker, list := range byMaker {
		go l.freeAt(maker, list)
	}
}

// freeAt tells one maker. What it was not told takes up its memory until it
// drops the results by itself; the other makers are not concerned.
func (l *line) freeAt(maker string, handles []string) {
	ctx, cancel := context.WithTimeout(l.o.ctx, freeWithin)
	defer cancel()
	if err := l.o.cfg.Client.Free(ctx, maker, handles); err != nil {
		_ = level.Warn(l.o.cfg.Logger).Log("msg", "results not freed", "pool", l.pool, "maker", maker, "results", len(handles), "err", err)
		return
	}
	l.mu.Lock()
	l.group.ConfirmFreed(handles)
	l.mu.Unlock()
	l.wake()
}

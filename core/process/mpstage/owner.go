// Package mpstage runs the pieces of stages. Each pool of upstreams that make pieces is
// divided into shards, as many as their owners' processors call for. Each shard has one owner
// among the VMs, which batches the pieces of its requests; the other VMs forward theirs
// to it. Owners are chosen without consensus: making a piece twice is safe, so two
// concurrent owners only cost extra work, and an owner that does not respond is skipped.
package mpstage

import (
	"context"
	"errors"
	"slices"
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
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/request/mpspeed"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// freeInterval is how long results to free are collected, so that each upstream
	// gets one call for all of them.
	freeInterval = 25 * time.Millisecond
	freeTimeout  = 500 * time.Millisecond
)

// ErrForeignAnswer is the error of a call whose answer belongs to another call. It wraps
// mperror.ErrBadResponse.
var ErrForeignAnswer = mperror.Wrap(mperror.ErrBadResponse, "answer to another call")

// BatchClient runs calls to upstreams.
type BatchClient interface {
	// Run makes the pieces of one call.
	Run(ctx context.Context, now time.Time, call mpbatch.Call) mpbatch.Outcome
	// AddressOf returns the address of the upstream that holds a result.
	AddressOf(handle string) string
	// Free tells the upstream at address to free the given results. It returns what the answer
	// says of the upstream's load and speed.
	Free(ctx context.Context, address string, handles []string) (mpspeed.Load, error)
	// CloseIdle closes the connections that no call uses.
	CloseIdle()
}

// Quotas keeps the rates that upstreams set for all VMs together.
type Quotas interface {
	// Observe records what the answer to a call that was sent at sentAt says.
	Observe(sentAt time.Time, upstream string, s mpquota.Statement)
	// Rate returns the limit that an upstream has named, in requests per second. It returns
	// false if there is none.
	Rate(upstream string) (float64, bool)
	// Take asks for one call to an upstream at a rate that holds for all VMs together. It
	// returns 0 if it is granted, and otherwise when to ask again.
	Take(ctx context.Context, upstream string, rate float64) time.Duration
}

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Client BatchClient
	Quotas Quotas
	// Notices holds what upstreams said of themselves to this VM.
	Notices *mpnotice.Board
	// Versions holds the roll-outs of pools; nil if this VM does not act on versions.
	Versions *mpversion.Board
	Metrics  *mpmetric.Set
	Logger   log.Logger
	Clock    func() time.Time
}

// Owner batches the pieces of the shards that this VM owns.
type Owner struct {
	cfg OwnerConfig
	ctx context.Context
	// summaries limits the log lines about refused stages.
	summaries *mplog.Summarizer
	// speed holds how fast the upstreams of all shards are.
	speed *mpspeed.Board

	mu     sync.Mutex
	queues map[shard]*shardQueue
	table  *mproute.Table
	usable *mplist.Usable
	// known holds the results that calls returned.
	known *handleLedger
}

// shardQueue is the batcher of one shard and the lock that guards it.
type shardQueue struct {
	owner  *Owner
	shard  shard
	wakeup chan struct{}

	mu      sync.Mutex
	batcher *mpbatch.Batcher
	// freeScheduled is set while a call of flushFrees is pending.
	freeScheduled atomic.Bool
}

// NewOwner returns an Owner whose goroutines stop when ctx is done.
func NewOwner(ctx context.Context, cfg OwnerConfig) *Owner {
	return &Owner{
		cfg: cfg, ctx: ctx, summaries: mplog.NewSummarizer(cfg.Logger, mplog.MsgStagesRefused), speed: mpspeed.New(mpspeed.Config{ResponseWeight: 1}),
		queues: map[shard]*shardQueue{}, known: newHandleLedger(),
	}
}

// Update replaces the plan and the upstreams that may get calls.
func (o *Owner) Update(table *mproute.Table, usable *mplist.Usable) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table, o.usable = table, usable
	for _, q := range o.queues {
		o.refresh(q)
	}
}

func (o *Owner) refresh(q *shardQueue) {
	p := o.table.Pool(q.shard.pool)
	q.mu.Lock()
	defer q.mu.Unlock()
	if p != nil && p.Spec().Batch != nil {
		q.batcher.SetSpec(*p.Spec().Batch)
	}
	var upstreams []mpbatch.Upstream
	for _, r := range q.shard.upstreams(o.usable) {
		upstreams = append(upstreams, mpbatch.Upstream{ID: r.ID, Address: r.Address, DC: r.DC, Version: r.Version, ColdUntil: o.usable.ColdUntil(r)})
	}
	q.batcher.SetUpstreams(upstreams)
	q.wake()
}

func (o *Owner) queue(s shard) (*shardQueue, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q, ok := o.queues[s]; ok {
		return q, nil
	}
	if o.table == nil || o.table.Pool(s.pool) == nil || o.table.Pool(s.pool).Spec().Batch == nil {
		return nil, mperror.Wrap(mperror.ErrNotFound, "pool %s", s.pool)
	}
	spec := *o.table.Pool(s.pool).Spec().Batch
	q := &shardQueue{owner: o, shard: s, wakeup: make(chan struct{}, 1), batcher: mpbatch.New(mpbatch.Config{
		Spec: spec, Rate: o.cfg.Quotas.Rate, Speed: o.speed, Split: func() *mpversion.Split { return o.cfg.Versions.Split(s.pool) },
	})}
	o.queues[s] = q
	o.refresh(q)
	go q.run()
	return q, nil
}

// Make queues a job and returns its results once all of them are made. The job is
// cancelled when ctx is done.
func (o *Owner) Make(ctx context.Context, s shard, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	q, err := o.queue(s)
	if err != nil {
		return nil, err
	}
	start := o.cfg.Clock()
	q.mu.Lock()
	j, err := q.batcher.Add(start, spec)
	q.mu.Unlock()
	if err != nil {
		if !o.summaries.ShouldLog("pool "+s.pool, spec.Request) {
			return nil, err
		}
		_ = level.Info(o.cfg.Logger).Log("msg", "stage refused", "id", spec.Request, "pool", s.pool, "shard", s, "stage", spec.Stage, "err", err)
		return nil, err
	}
	q.wake()
	select {
	case <-j.Done():
	case <-ctx.Done():
		q.mu.Lock()
		q.batcher.Cancel(j)
		q.mu.Unlock()
		q.wake()
		return nil, ctx.Err()
	}
	results, err := j.Results()
	o.cfg.Metrics.ObserveDuration("stage", o.cfg.Clock().Sub(start))
	first, last := j.Waits()
	_ = level.Info(o.cfg.Logger).Log("msg", "stage", "id", spec.Request, "pool", s.pool, "shard", s, "stage", spec.Stage, "pieces", spec.Count,
		"priority", spec.Priority, "first", first, "last", last, "took", o.cfg.Clock().Sub(start), "calls", formatCallIDs(j.Calls()), "err", err)
	return results, err
}

func formatCallIDs(ids []uint64) string {
	words := make([]string, len(ids))
	for i, id := range ids {
		words[i] = strconv.FormatUint(id, 10)
	}
	return strings.Join(words, ",")
}

// Free marks results of s as no longer needed, whichever owner had them made.
func (o *Owner) Free(s shard, handles []string) {
	q, err := o.queue(s)
	if err != nil {
		_ = level.Warn(o.cfg.Logger).Log("msg", "results not freed", "pool", s.pool, "results", len(handles), "err", err)
		return
	}
	q.mu.Lock()
	q.batcher.Free(handles)
	q.mu.Unlock()
	q.wake()
}

// Backlog returns how long a new piece would wait in the queue of s.
func (o *Owner) Backlog(now time.Time, s shard, priority int) time.Duration {
	q, err := o.queue(s)
	if err != nil {
		return 0 // The plan has no such pool, so nothing is queued.
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.batcher.Backlog(now, priority)
}

// addressOf returns the address of the upstream that holds a result.
func (o *Owner) addressOf(handle string) string { return o.cfg.Client.AddressOf(handle) }

// Waiting returns the number of pieces in all queues of this VM.
func (o *Owner) Waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, q := range o.queues {
		q.mu.Lock()
		n += q.batcher.Waiting()
		q.mu.Unlock()
	}
	return n
}

// SpeedRange returns the least and the greatest factor by which work takes longer at an upstream
// than usual.
func (o *Owner) SpeedRange(now time.Time) (least, greatest float64) { return o.speed.Range(now) }

// Prune forgets the speed of upstreams that isListed does not report.
func (o *Owner) Prune(now time.Time, isListed func(upstream string) bool) {
	o.speed.Prune(now, isListed)
}

func (q *shardQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// run starts the calls that are due and schedules freeing, after each wake-up and
// when the batcher's timer expires.
func (q *shardQueue) run() {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	for {
		select {
		case <-q.owner.ctx.Done():
			return
		case <-q.wakeup:
		case <-wait.C:
		}
		now := q.owner.cfg.Clock()
		q.mu.Lock()
		calls := q.batcher.Next(now)
		at := q.batcher.NextWake(now)
		q.mu.Unlock()
		for _, c := range calls {
			go q.call(c)
		}
		if !at.IsZero() {
			wait.Reset(max(at.Sub(now), time.Millisecond))
		}
		if q.freeScheduled.CompareAndSwap(false, true) {
			time.AfterFunc(freeInterval, q.flushFrees)
		}
	}
}

func (q *shardQueue) call(c mpbatch.Call) {
	if wait := q.owner.cfg.Notices.Wait(q.owner.cfg.Clock(), c.Upstream.ID); wait > 0 {
		q.finish(c, mpbatch.Outcome{Status: mpbatch.Deferred, Wait: wait})
		return
	}
	if wait := q.takeLimit(c.Upstream.ID); wait > 0 {
		q.owner.cfg.Metrics.Add("quota.denied", 1)
		q.finish(c, mpbatch.Outcome{Status: mpbatch.Deferred, Wait: wait})
		return
	}
	start := q.owner.cfg.Clock()
	counted := q.beginCount(start, c)
	defer counted.End()
	ctx, cancel := context.WithTimeout(q.owner.ctx, c.Timeout)
	defer cancel()
	out := q.owner.cfg.Client.Run(ctx, start, c)
	now := q.owner.cfg.Clock()
	if !q.owner.known.add(now, out.Items) {
		out = mpbatch.Outcome{Status: mpbatch.Failed, Err: mperror.Wrap(ErrForeignAnswer, "it repeats results of an earlier call")}
	}
	if errors.Is(out.Err, ErrForeignAnswer) {
		// The answer to this call may still arrive on the same connection.
		q.owner.cfg.Client.CloseIdle()
		q.owner.cfg.Metrics.Add("batch.foreign", 1)
	}
	q.countOutcome(&counted, c, out, now.Sub(start))
	q.owner.cfg.Metrics.Add("batch.calls", 1)
	q.owner.cfg.Metrics.Add("batch.pieces", int64(len(c.Items)))
	q.owner.cfg.Metrics.ObserveDuration("batch", now.Sub(start))
	_ = level.Info(q.owner.cfg.Logger).Log("msg", "batch", "pool", q.shard.pool, "shard", q.shard, "upstream", c.Upstream.ID, "call", c.ID, "pieces", len(c.Items),
		"expected", c.Expected, "took", now.Sub(start), "percent", out.Load.Percent, "ending", out.Status, "missing", failureReasons(out.Items), "err", out.Err)
	q.owner.cfg.Quotas.Observe(start, c.Upstream.ID, out.RateLimit)
	q.owner.cfg.Notices.Observe(now, start, c.Upstream.ID, out.Notice)
	out.Load.Count(q.owner.cfg.Metrics.Add)
	q.finish(c, out)
}

// takeLimit asks for a call to an upstream if it has a limit. It returns when to ask again if
// the call is not granted. Other VMs may call the upstream too, while the owner changes.
func (q *shardQueue) takeLimit(upstream string) time.Duration {
	rate, ok := q.owner.cfg.Quotas.Rate(upstream)
	if !ok {
		return 0
	}
	return q.owner.cfg.Quotas.Take(q.owner.ctx, upstream, rate)
}

func (q *shardQueue) finish(c mpbatch.Call, out mpbatch.Outcome) {
	q.mu.Lock()
	q.batcher.Finish(q.owner.cfg.Clock(), c.ID, out)
	q.mu.Unlock()
	q.wake()
}

// failureReasons lists the reasons of the items that were not made, separated by commas.
func failureReasons(items []mpbatch.ItemOutcome) string {
	var reasons []string
	for _, item := range items {
		if item.Handle == "" {
			reasons = append(reasons, string(item.Reason))
		}
	}
	return strings.Join(reasons, ",")
}

// flushFrees tells upstreams to free the results that are no longer needed. Those of upstreams
// with a limit end by themselves, since a call for each takes one of a piece, and so do those of
// upstreams that accept nothing from this VM.
func (q *shardQueue) flushFrees() {
	q.freeScheduled.Store(false)
	q.mu.Lock()
	handles := q.batcher.TakePendingFrees()
	q.mu.Unlock()
	byAddress := map[string][]string{}
	for _, h := range handles {
		address := q.owner.cfg.Client.AddressOf(h)
		byAddress[address] = append(byAddress[address], h)
	}
	for address, list := range byAddress {
		if q.withholdsFrees(address) {
			q.owner.cfg.Metrics.Add("quota.frees_withheld", int64(len(list)))
			continue
		}
		go q.freeResults(address, list)
	}
}

// withholdsFrees reports whether the upstream at address is not told which results to free.
func (q *shardQueue) withholdsFrees(address string) bool {
	return slices.ContainsFunc(q.rowsAt(address), func(r mplist.Row) bool {
		_, ok := q.owner.cfg.Quotas.Rate(r.ID)
		return ok || q.owner.cfg.Notices.Wait(q.owner.cfg.Clock(), r.ID) > 0
	})
}

// rowsAt returns the upstreams of the pool that are listed at address.
func (q *shardQueue) rowsAt(address string) []mplist.Row {
	q.owner.mu.Lock()
	rows := q.owner.usable.Rows(q.shard.pool)
	q.owner.mu.Unlock()
	var out []mplist.Row
	for _, r := range rows {
		if r.Address == address {
			out = append(out, r)
		}
	}
	return out
}

// freeResults tells one upstream to free results. If that fails, they count as used
// memory until the upstream drops them by itself; other upstreams are not affected,
// since each has its own call.
func (q *shardQueue) freeResults(address string, handles []string) {
	ctx, cancel := context.WithTimeout(q.owner.ctx, freeTimeout)
	defer cancel()
	load, err := q.owner.cfg.Client.Free(ctx, address, handles)
	if err != nil {
		_ = level.Warn(q.owner.cfg.Logger).Log("msg", "results not freed", "pool", q.shard.pool, "maker", address, "results", len(handles), "err", err)
		return
	}
	load.Count(q.owner.cfg.Metrics.Add)
	for _, r := range q.rowsAt(address) {
		q.owner.speed.Record(q.owner.cfg.Clock(), r.ID, load)
	}
	q.mu.Lock()
	q.batcher.ConfirmFreed(handles)
	q.mu.Unlock()
	q.wake()
}

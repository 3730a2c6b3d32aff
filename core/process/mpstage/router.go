package mpstage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

const (
	// probeDelay, probeInterval and probeTimeout detect an owner that hangs or is
	// partitioned while it holds a job, well before the job's soft deadline. Most jobs are
	// done before the first probe, which would cost an owner as much as the job.
	probeDelay    = 400 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// maxMakeTime is longer than any job, so that only probeOwner probes the owner during one.
	maxMakeTime = time.Hour
	// unresponsivePeriod is how long an owner that did not answer is ranked last.
	unresponsivePeriod = 3 * time.Second
	// maxOwners limits the number of owners that one stage is sent to in turn.
	maxOwners = 3
	// freeRPCTimeout limits the call that tells an owner to free results.
	freeRPCTimeout = 500 * time.Millisecond
	// backlogTTL is how long a reported backlog is used: the duration of a few batches,
	// after which the queue has changed.
	backlogTTL = 1500 * time.Millisecond
)

var errOwnerUnresponsive = mperror.Wrap(mperror.ErrOutcomeUnknown, "owner did not answer a probe")

// RouterConfig configures a Router.
type RouterConfig struct {
	VM     string
	Local  *Owner
	Client *mppeer.Client
	View   func() *mpview.View
	// Table returns the plan in force. There is one whenever there are jobs.
	Table func() *mproute.Table
	// Usable returns the upstreams that may get new work.
	Usable func() *mplist.Usable
	// Versions holds the roll-outs of pools; nil if this VM does not act on versions.
	Versions *mpversion.Board
	Logger   log.Logger
	Clock    func() time.Time
}

// Router sends jobs to the owners of the shards of their pool. It is safe for concurrent use.
type Router struct {
	cfg RouterConfig

	mu                sync.Mutex
	unresponsiveUntil map[string]time.Time
	backlogs          map[backlogKey]backlogReport
	// divisions holds how the pools are divided under dividedTable and dividedUsable, and
	// ranks the owners of shards in rankedView.
	divisions     map[string]*division
	dividedTable  *mproute.Table
	dividedUsable *mplist.Usable
	ranks         map[shard][]mpview.VM
	rankedView    *mpview.View
}

// backlogKey identifies the queue for one priority of a pool.
type backlogKey struct {
	pool     string
	priority int
}

// backlogReport is the wait that an owner reported for a queue.
type backlogReport struct {
	wait time.Duration
	at   time.Time
}

// NewRouter returns a Router for cfg.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, unresponsiveUntil: map[string]time.Time{}, backlogs: map[backlogKey]backlogReport{}}
}

// owners returns the candidate owners of s in order of preference: the VMs that
// serve callers in rendezvous order, with unresponsive ones last.
func (r *Router) owners(now time.Time, view *mpview.View, s shard) []mpview.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out, unresponsive []mpview.VM
	for _, vm := range r.rank(view, s) {
		if now.Before(r.unresponsiveUntil[vm.Name]) {
			unresponsive = append(unresponsive, vm)
		} else {
			out = append(out, vm)
		}
		if len(out) == maxOwners {
			return out
		}
	}
	return append(out, unresponsive...)
}

// rank returns the VMs that serve callers in the rendezvous order of s. The caller holds r.mu.
func (r *Router) rank(view *mpview.View, s shard) []mpview.VM {
	if r.rankedView != view {
		r.rankedView, r.ranks = view, map[shard][]mpview.VM{}
	}
	if list, ok := r.ranks[s]; ok {
		return list
	}
	var names []string
	for _, vm := range view.Serving() {
		names = append(names, vm.Name)
	}
	list := make([]mpview.VM, 0, len(names))
	for _, name := range mprank.OfName(s.rankKey(), names) {
		vm, _ := view.VM(name)
		list = append(list, vm)
	}
	r.ranks[s] = list
	return list
}

func (r *Router) markUnresponsive(now time.Time, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsiveUntil[vm] = now.Add(unresponsivePeriod)
}

// Backlog estimates how long a new piece would wait in the queue of pool: the wait that
// its owner reported with its last reply, less the time that has passed since then. It
// returns 0 when there is no report or it is older than backlogTTL.
func (r *Router) Backlog(now time.Time, pool string, priority int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.backlogs[backlogKey{pool, priority}]
	age := now.Sub(b.at)
	if !ok || age > backlogTTL {
		return 0
	}
	return max(b.wait-age, 0)
}

func (r *Router) recordBacklog(now time.Time, pool string, priority int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backlogs[backlogKey{pool, priority}] = backlogReport{wait, now}
}

// makeLocal runs the job in this VM's own queue.
func (r *Router) makeLocal(ctx context.Context, s shard, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	results, err := r.cfg.Local.Make(ctx, s, spec)
	now := r.cfg.Clock()
	r.recordBacklog(now, s.pool, spec.Priority, r.cfg.Local.Backlog(now, s, spec.Priority))
	return results, err
}

// Make runs the job in a shard of pool, at its owner or at the next candidate when the
// owner does not answer, and returns its results.
func (r *Router) Make(ctx context.Context, pool string, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	view := r.cfg.View()
	s := r.division(pool).choose(spec.Request, spec.DC)
	err := mperror.Wrap(mperror.ErrNoUpstream, "no VM owns pool %s", pool)
	owners := r.owners(r.cfg.Clock(), view, s)
	if len(owners) == 0 {
		return r.makeLocal(ctx, s, spec)
	}
	for _, vm := range owners[:min(len(owners), maxOwners)] {
		if vm.Name == r.cfg.VM {
			return r.makeLocal(ctx, s, spec)
		}
		var results []mpbatch.Result
		results, err = r.makeRemote(ctx, vm, s, spec)
		if !errors.Is(err, mperror.ErrOutcomeUnknown) || ctx.Err() != nil {
			return results, err
		}
		r.markUnresponsive(r.cfg.Clock(), vm.Name)
		_ = level.Warn(r.cfg.Logger).Log("msg", "owner passed over", "pool", pool, "shard", s, "vm", vm.Name, "id", spec.Request, "err", err)
	}
	return nil, err
}

func (r *Router) makeRemote(ctx context.Context, vm mpview.VM, s shard, spec mpbatch.JobSpec) ([]mpbatch.Result, error) {
	peer, err := r.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return nil, mperror.Wrap(mperror.ErrOutcomeUnknown, "%v", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go r.probeOwner(ctx, peer, cancel)
	reply, err := peer.Make(mppeer.WithHold(ctx, maxMakeTime), encodeRequest(r.cfg.Clock(), s, spec))
	if err != nil {
		if errors.Is(context.Cause(ctx), errOwnerUnresponsive) {
			return nil, errOwnerUnresponsive
		}
		return nil, mperror.Wrap(mperror.ErrOutcomeUnknown, "%v", err)
	}
	r.recordBacklog(r.cfg.Clock(), s.pool, spec.Priority, mptime.FromMillis(reply.GetWaitMs()))
	return decodeReply(reply, spec.Stage)
}

// probeOwner probes the owner while it holds a job, and cancels the call when a probe
// times out.
func (r *Router) probeOwner(ctx context.Context, peer mpwire.PeerClient, cancel context.CancelCauseFunc) {
	if !mptime.Sleep(ctx, probeDelay-probeInterval) {
		return
	}
	mptime.Every(ctx, probeInterval, func(time.Time) {
		probe, stop := context.WithTimeout(ctx, probeTimeout)
		defer stop()
		// Any reply, even an error, shows that the owner is alive; only a timeout counts.
		_, _ = peer.Probe(probe, &mpwire.ProbeRequest{})
		if errors.Is(probe.Err(), context.DeadlineExceeded) {
			cancel(errOwnerUnresponsive)
		}
	})
}

// division returns how a pool is divided into shards.
func (r *Router) division(pool string) *division {
	table, usable := r.cfg.Table(), r.cfg.Usable()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dividedTable != table || r.dividedUsable != usable {
		r.dividedTable, r.dividedUsable, r.divisions = table, usable, map[string]*division{}
	}
	d, ok := r.divisions[pool]
	if !ok {
		count := 1
		if p := table.Pool(pool); p != nil && p.Spec().Batch != nil {
			count = shardCount(*p.Spec().Batch, usable.Listed(pool))
		}
		d = newDivision(pool, count, usable, r.cfg.Versions.ForStages(r.cfg.Clock(), pool, usable.Rows(pool)))
		r.divisions[pool] = d
	}
	return d
}

// Free tells the owners of pool that results are no longer needed. This VM frees those
// whose owner cannot be told.
func (r *Router) Free(pool string, handles []string) {
	view, division := r.cfg.View(), r.division(pool)
	byShard := map[shard][]string{}
	for _, h := range handles {
		s := division.ofMaker(r.cfg.Local.addressOf(h))
		byShard[s] = append(byShard[s], h)
	}
	for s, list := range byShard {
		r.freeAt(view, s, list)
	}
}

// freeAt tells the owner of s that results are no longer needed, or frees them itself.
func (r *Router) freeAt(view *mpview.View, s shard, handles []string) {
	owners := r.owners(r.cfg.Clock(), view, s)
	if len(owners) == 0 || owners[0].Name == r.cfg.VM {
		r.cfg.Local.Free(s, handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeRPCTimeout)
		defer cancel()
		peer, err := r.cfg.Client.Stub(owners[0].Peer)
		if err == nil {
			_, err = peer.Free(ctx, &mpwire.FreeRequest{Pool: s.pool, Handles: handles, Shard: uint32(s.number), Shards: uint32(s.count)})
		}
		if err != nil {
			_ = level.Warn(r.cfg.Logger).Log("msg", "results freed here", "pool", s.pool, "owner", owners[0].Name, "err", err)
			r.cfg.Local.Free(s, handles)
		}
	}()
}

func encodeRequest(now time.Time, s shard, spec mpbatch.JobSpec) *mpwire.MakeRequest {
	return &mpwire.MakeRequest{
		Pool:     s.pool,
		Request:  spec.Request,
		Stage:    uint32(spec.Stage),
		Pieces:   uint32(spec.Count),
		Key:      spec.Key,
		Inputs:   spec.Inputs,
		Bytes:    uint32(spec.ResultBytes),
		Priority: int32(spec.Priority),
		LeftMs:   mptime.Millis(spec.Deadline.Sub(now)),
		AimMs:    mptime.Millis(spec.SoftDeadline.Sub(now)),
		Dc:       spec.DC,
		Far:      uint32(spec.CrossDCBytes),
		Shard:    uint32(s.number),
		Shards:   uint32(s.count),
	}
}

// Serve handles a Make call from another VM.
func (o *Owner) Serve(ctx context.Context, r *mpwire.MakeRequest) *mpwire.MakeReply {
	now := o.cfg.Clock()
	s := decodeShard(r.GetPool(), r.GetShard(), r.GetShards())
	results, err := o.Make(ctx, s, mpbatch.JobSpec{
		Request:      r.GetRequest(),
		Stage:        int(r.GetStage()),
		Count:        int(r.GetPieces()),
		Key:          r.GetKey(),
		Inputs:       r.GetInputs(),
		ResultBytes:  int(r.GetBytes()),
		Priority:     int(r.GetPriority()),
		SoftDeadline: now.Add(mptime.FromMillis(r.GetAimMs())),
		Deadline:     now.Add(mptime.FromMillis(r.GetLeftMs())),
		DC:           r.GetDc(),
		CrossDCBytes: int(r.GetFar()),
	})
	reply := &mpwire.MakeReply{WaitMs: mptime.Millis(o.Backlog(o.cfg.Clock(), s, int(r.GetPriority())))}
	for _, result := range results {
		reply.Handles = append(reply.Handles, result.Handle)
		reply.Dcs = append(reply.Dcs, result.DC)
	}
	switch {
	case err == nil:
	case errors.Is(err, mperror.ErrDeadline):
		reply.Cause = mpwire.MakeReply_LATE
		var late *mpbatch.LateError
		if errors.As(err, &late) {
			reply.RetryMs = mptime.Millis(late.Wait)
		}
	case errors.Is(err, mperror.ErrNoUpstream):
		reply.Cause = mpwire.MakeReply_FULL
	case errors.Is(err, mperror.ErrNotFound):
		reply.Cause = mpwire.MakeReply_GONE
	default:
		reply.Cause = mpwire.MakeReply_FAILED
	}
	return reply
}

// ServeFree handles a Free call from another VM.
func (o *Owner) ServeFree(r *mpwire.FreeRequest) {
	o.Free(decodeShard(r.GetPool(), r.GetShard(), r.GetShards()), r.GetHandles())
}

// decodeShard returns the shard that a message names. A VM of an earlier version names
// none, and means the whole pool.
func decodeShard(pool string, number, count uint32) shard {
	if count == 0 {
		return shard{pool: pool, count: 1}
	}
	return shard{pool: pool, number: int(number % count), count: int(count)}
}

func decodeReply(r *mpwire.MakeReply, stage int) ([]mpbatch.Result, error) {
	switch r.GetCause() {
	case mpwire.MakeReply_MADE:
		if len(r.GetDcs()) != len(r.GetHandles()) {
			return nil, mperror.Wrap(mperror.ErrBadResponse, "owner: reply has %d results but %d data centres", len(r.GetHandles()), len(r.GetDcs()))
		}
		results := make([]mpbatch.Result, len(r.GetHandles()))
		for i, h := range r.GetHandles() {
			results[i] = mpbatch.Result{Handle: h, DC: r.GetDcs()[i]}
		}
		return results, nil
	case mpwire.MakeReply_LATE:
		wait := mptime.FromMillis(r.GetRetryMs())
		return nil, mperror.Wrap(&mpbatch.LateError{Stage: stage, Wait: wait}, "owner")
	case mpwire.MakeReply_FULL:
		return nil, mperror.Wrap(mperror.ErrNoUpstream, "owner")
	case mpwire.MakeReply_GONE:
		return nil, mperror.Wrap(mperror.ErrNotFound, "owner: an input no longer exists")
	}
	return nil, mperror.Wrap(mperror.ErrConnectionLost, "owner: pieces failed")
}

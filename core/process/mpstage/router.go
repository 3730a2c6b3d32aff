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
	"mustardpost.org/core/version/mpview"
)

const (
	// probeEvery and probeWithin find an owner that is frozen or cut off while
	// it holds a request: far sooner than the request's aim.
	probeEvery  = 200 * time.Millisecond
	probeWithin = 250 * time.Millisecond
	// silentFor is how long an owner that did not answer is passed over.
	silentFor = 3 * time.Second
	// mostOwners bounds how many owners one stage is asked of.
	mostOwners = 3
	// freeAnswer bounds the call that frees results.
	freeAnswer = 500 * time.Millisecond
	// toldFor is how long what an owner told of its queue is of use: a few of the
	// batches that the queue waits for.
	toldFor = 1500 * time.Millisecond
)

var errSilent = mperror.Wrap(mperror.ErrUnknown, "owner does not answer")

// RouterConfig holds what a Router needs from outside.
type RouterConfig struct {
	VM     string
	Local  *Owner
	Client *mppeer.Client
	View   func() *mpview.View
	Logger log.Logger
	Clock  func() time.Time
}

// Router asks the owner of each pool. It is safe for concurrent use.
type Router struct {
	cfg RouterConfig

	mu     sync.Mutex
	silent map[string]time.Time
	told   map[queue]backlog
}

// queue is what pieces of one priority wait in.
type queue struct {
	pool     string
	priority int
}

// backlog is what an owner told of a queue.
type backlog struct {
	wait time.Duration
	at   time.Time
}

// NewRouter returns a router.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, silent: map[string]time.Time{}, told: map[queue]backlog{}}
}

// owners returns the VMs that may own pool, best first: the rendezvous order
// of those that serve callers, silent ones last.
func (r *Router) owners(now time.Time, pool string) []mpview.VM {
	view := r.cfg.View()
	var names []string
	for _, vm := range view.Serving() {
		names = append(names, vm.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out, silent []mpview.VM
	for _, name := range mprank.OfName(pool, names) {
		vm, _ := view.VM(name)
		if now.Before(r.silent[name]) {
			silent = append(silent, vm)
		} else {
			out = append(out, vm)
		}
	}
	return append(out, silent...)
}

func (r *Router) noteSilent(now time.Time, vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[vm] = now.Add(silentFor)
}

// Backlog returns how long a new piece waits in the queue of pool, as its owner told
// with its last answer. Since then the queue has become shorter by the time that has
// passed, for all that is known here.
func (r *Router) Backlog(now time.Time, pool string, priority int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.told[queue{pool, priority}]
	age := now.Sub(b.at)
	if !ok || age > toldFor {
		return 0
	}
	return max(b.wait-age, 0)
}

func (r *Router) noteBacklog(now time.Time, pool string, priority int, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[queue{pool, priority}] = backlog{wait, now}
}

// makeHere returns the results of ask from this VM's own queue.
func (r *Router) makeHere(ctx context.Context, pool string, ask mpbatch.Ask) ([]mpbatch.Result, error) {
	made, err := r.cfg.Local.Make(ctx, pool, ask)
	now := r.cfg.Clock()
	r.noteBacklog(now, pool, ask.Priority, r.cfg.Local.Backlog(now, pool, ask.Priority))
	return made, err
}

// Make returns the results of ask from the owner of pool, or from the next VM
// in order when the owner does not answer.
func (r *Router) Make(ctx context.Context, pool string, ask mpbatch.Ask) ([]mpbatch.Result, error) {
	err := mperror.Wrap(mperror.ErrEmpty, "no owner for %s", pool)
	owners := r.owners(r.cfg.Clock(), pool)
	if len(owners) == 0 {
		return r.makeHere(ctx, pool, ask)
	}
	for _, vm := range owners[:min(len(owners), mostOwners)] {
		if vm.Name == r.cfg.VM {
			return r.makeHere(ctx, pool, ask)
		}
		var made []mpbatch.Result
		made, err = r.ask(ctx, vm, pool, ask)
		if !errors.Is(err, mperror.ErrUnknown) || ctx.Err() != nil {
			return made, err
		}
		r.noteSilent(r.cfg.Clock(), vm.Name)
		_ = level.Warn(r.cfg.Logger).Log("msg", "owner passed over", "pool", pool, "vm", vm.Name, "id", ask.Request, "err", err)
	}
	return nil, err
}

func (r *Router) ask(ctx context.Context, vm mpview.VM, pool string, ask mpbatch.Ask) ([]mpbatch.Result, error) {
	peer, err := r.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return nil, mperror.Wrap(mperror.ErrUnknown, "%v", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go r.watch(ctx, peer, cancel)
	reply, err := peer.Make(ctx, encode(r.cfg.Clock(), pool, ask))
	if err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			return nil, errSilent
		}
		return nil, mperror.Wrap(mperror.ErrUnknown, "%v", err)
	}
	r.noteBacklog(r.cfg.Clock(), pool, ask.Priority, mptime.FromMillis(reply.GetWaitMs()))
	return decode(reply, ask.Stage)
}

// watch probes the owner while it holds an ask, and cancels when it is silent.
func (r *Router) watch(ctx context.Context, peer mpwire.PeerClient, cancel context.CancelCauseFunc) {
	mptime.Every(ctx, probeEvery, func(time.Time) {
		probe, stop := context.WithTimeout(ctx, probeWithin)
		defer stop()
		// Any answer will do, so the call's own error says nothing.
		_, _ = peer.Probe(probe, &mpwire.ProbeRequest{})
		if errors.Is(probe.Err(), context.DeadlineExceeded) {
			cancel(errSilent)
		}
	})
}

// Free tells the owner of pool that results are not needed any more.
func (r *Router) Free(pool string, handles []string) {
	owners := r.owners(r.cfg.Clock(), pool)
	if len(owners) == 0 || owners[0].Name == r.cfg.VM {
		r.cfg.Local.Free(pool, handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeAnswer)
		defer cancel()
		peer, err := r.cfg.Client.Stub(owners[0].Peer)
		if err == nil {
			_, err = peer.Free(ctx, &mpwire.FreeRequest{Pool: pool, Handles: handles})
		}
		if err != nil {
			_ = level.Warn(r.cfg.Logger).Log("msg", "results freed here", "pool", pool, "owner", owners[0].Name, "err", err)
			r.cfg.Local.Free(pool, handles)
		}
	}()
}

func encode(now time.Time, pool string, a mpbatch.Ask) *mpwire.MakeRequest {
	return &mpwire.MakeRequest{
		Pool:     pool,
		Request:  a.Request,
		Stage:    uint32(a.Stage),
		Pieces:   uint32(a.Count),
		Key:      a.Key,
		Inputs:   a.Inputs,
		Bytes:    uint32(a.Bytes),
		Priority: int32(a.Priority),
		LeftMs:   mptime.Millis(a.Deadline.Sub(now)),
		AimMs:    mptime.Millis(a.Aim.Sub(now)),
		Dc:       a.DC,
		Far:      uint32(a.Far),
	}
}

// Serve answers another VM's call to make pieces.
func (o *Owner) Serve(ctx context.Context, r *mpwire.MakeRequest) *mpwire.MakeReply {
	now := o.cfg.Clock()
	made, err := o.Make(ctx, r.GetPool(), mpbatch.Ask{
		Request:  r.GetRequest(),
		Stage:    int(r.GetStage()),
		Count:    int(r.GetPieces()),
		Key:      r.GetKey(),
		Inputs:   r.GetInputs(),
		Bytes:    int(r.GetBytes()),
		Priority: int(r.GetPriority()),
		Aim:      now.Add(mptime.FromMillis(r.GetAimMs())),
		Deadline: now.Add(mptime.FromMillis(r.GetLeftMs())),
		DC:       r.GetDc(),
		Far:      int(r.GetFar()),
	})
	reply := &mpwire.MakeReply{WaitMs: mptime.Millis(o.Backlog(o.cfg.Clock(), r.GetPool(), int(r.GetPriority())))}
	for _, m := range made {
		reply.Handles = append(reply.Handles, m.Handle)
		reply.Dcs = append(reply.Dcs, m.DC)
	}
	switch {
	case err == nil:
	case errors.Is(err, mperror.ErrLate):
		reply.Cause = mpwire.MakeReply_LATE
		var late *mpbatch.LateError
		if errors.As(err, &late) {
			reply.RetryMs = mptime.Millis(late.Wait)
		}
	case errors.Is(err, mperror.ErrEmpty):
		reply.Cause = mpwire.MakeReply_FULL
	case errors.Is(err, mperror.ErrNotFound):
		reply.Cause = mpwire.MakeReply_GONE
	default:
		reply.Cause = mpwire.MakeReply_FAILED
	}
	return reply
}

func decode(r *mpwire.MakeReply, stage int) ([]mpbatch.Result, error) {
	switch r.GetCause() {
	case mpwire.MakeReply_MADE:
		if len(r.GetDcs()) != len(r.GetHandles()) {
			return nil, mperror.Wrap(mperror.ErrAnswer, "owner: %d results, %d data centres", len(r.GetHandles()), len(r.GetDcs()))
		}
		made := make([]mpbatch.Result, len(r.GetHandles()))
		for i, h := range r.GetHandles() {
			made[i] = mpbatch.Result{Handle: h, DC: r.GetDcs()[i]}
		}
		return made, nil
	case mpwire.MakeReply_LATE:
		wait := mptime.FromMillis(r.GetRetryMs())
		return nil, mperror.Wrap(&mpbatch.LateError{Stage: stage, Wait: wait}, "owner")
	case mpwire.MakeReply_FULL:
		return nil, mperror.Wrap(mperror.ErrEmpty, "owner")
	case mpwire.MakeReply_GONE:
		return nil, mperror.Wrap(mperror.ErrNotFound, "owner: an input is gone")
	}
	return nil, mperror.Wrap(mperror.ErrCrashed, "owner: pieces failed")
}

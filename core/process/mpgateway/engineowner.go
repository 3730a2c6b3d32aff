package mpgateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpassign"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
	"mustardpost.org/core/version/mpview"
)

// ownedRetention is how long the state of a pool is kept for which no VM asks any more, since it has
// another owner or no requests.
const ownedRetention = 30 * time.Second

// engineOwner assigns the engines of the pools that this VM owns, for the requests of all VMs. Its state
// is soft: it begins with what the VMs register, and two owners at once only balance less well.
type engineOwner struct {
	view    func() *mpview.View
	table   func() *mproute.Table
	usable  func() *mplist.Usable
	metrics *mpmetric.Set
	logger  log.Logger

	mu    sync.Mutex
	pools map[string]*ownedPool
}

// ownedPool is a pool that this VM owns.
type ownedPool struct {
	pool *mpassign.Pool
	boot uint64
	// table, usable and view are those from which the engines of pool were set.
	table  *mproute.Table
	usable *mplist.Usable
	view   *mpview.View
	usedAt time.Time
}

// assign answers a call for an engine.
func (o *engineOwner) assign(now time.Time, r *mpwire.AssignRequest) *mpwire.AssignReply {
	o.settle(now, r.GetSettlements())
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.owned(now, r.GetPool())
	if p == nil {
		o.reject("pool", r.GetVm(), nil)
		return &mpwire.AssignReply{Cause: mpwire.AssignReply_INVALID}
	}
	a, ok, err := p.pool.Assign(now, decodeAssign(now, r))
	reply := &mpwire.AssignReply{Boot: p.boot}
	switch {
	case err != nil:
		o.reject("request", r.GetVm(), err)
		reply.Cause = mpwire.AssignReply_INVALID
	case !ok:
		o.metrics.Add("assign.none", 1)
		reply.Cause = mpwire.AssignReply_NO_ENGINE
	default:
		o.metrics.Add("assign.given", 1)
		reply.Upstream, reply.ExpectedMs, reply.CachedTokens = a.Engine, mptime.Millis(a.Expected), uint32(a.CachedTokens)
	}
	return reply
}

// settle takes over what a VM reports about its assignments.
func (o *engineOwner) settle(now time.Time, list []*mpwire.AssignSettlement) {
	if len(list) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range list {
		p := o.pools[s.GetPool()]
		if p == nil {
			o.metrics.Add("assign.stale", 1)
			continue
		}
		outcome, ok := decodeOutcome(s)
		switch {
		case !ok:
			o.reject("settlement", "", nil)
		case !p.pool.Settle(now, s.GetToken(), outcome):
			o.metrics.Add("assign.stale", 1) // It has expired, or this VM has started again since.
		}
	}
}

// register takes over what a VM has in flight, and returns the boot of the pool.
func (o *engineOwner) register(now time.Time, r *mpwire.RegisterAssignmentsRequest) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.owned(now, r.GetPool())
	if p == nil {
		o.reject("pool", r.GetVm(), nil)
		return 0
	}
	if err := p.pool.Register(now, r.GetVm(), decodeHeld(now, r.GetHeld())); err != nil {
		o.reject("registration", r.GetVm(), err)
	}
	return p.boot
}

// reject counts a message that is implausible.
func (o *engineOwner) reject(what, vm string, err error) {
	o.metrics.Add("assign.rejected", 1)
	_ = level.Debug(o.logger).Log("msg", "assignment message rejected", "what", what, "vm", vm, "err", err)
}

// owned returns the state of a pool with the engines as of now, or nil if it is no pool of engines. The
// caller holds o.mu.
func (o *engineOwner) owned(now time.Time, name string) *ownedPool {
	table, usable, view := o.table(), o.usable(), o.view()
	if table == nil || usable == nil {
		return nil
	}
	pool := table.Pool(name)
	if pool == nil || pool.Spec().Engine == nil {
		return nil
	}
	p := o.pools[name]
	if p == nil {
		vms := len(view.Serving())
		p = &ownedPool{boot: rand.Uint64() | 1, pool: mpassign.New(now, vms, mpassign.Config{CacheTokens: pool.Spec().Engine.KVCacheTokens})}
		o.pools[name] = p
		o.metrics.Add("assign.owned", 1)
		_ = level.Info(o.logger).Log("msg", mplog.MsgEngineOwner, "pool", name, "vms", vms)
	}
	p.usedAt = now
	if p.table != table || p.usable != usable || p.view != view {
		p.table, p.usable, p.view = table, usable, view
		p.pool.SetEngines(now, engineRows(pool.Spec(), usable, vmNames(view.Serving())))
	}
	return p
}

// engineRows returns the engines of a pool. A cold one takes requests of the VMs that may choose it by
// themselves, at no higher rate, so that the owner adds nothing to what these send.
func engineRows(spec *mproute.PoolSpec, usable *mplist.Usable, vms []string) []mpassign.Row {
	rows := usable.Rows(spec.Name)
	out := make([]mpassign.Row, len(rows))
	for i, r := range rows {
		out[i] = mpassign.Row{ID: r.ID, Version: r.Version, Slots: r.Slots}
		if out[i].Slots == 0 {
			out[i].Slots = spec.Engine.Slots
		}
		if until := usable.ColdUntil(r); !until.IsZero() && spec.ColdRate > 0 {
			out[i].ColdUntil = until
			out[i].ColdVMs = mprank.OfName(r.ID, vms)[:min(int(spec.ColdRate), len(vms))]
		}
	}
	return out
}

// prune forgets the pools for which no VM asks any more.
func (o *engineOwner) prune(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, p := range o.pools {
		if n := p.pool.Expire(now); n > 0 {
			o.metrics.Add("assign.expired", int64(n))
		}
		if now.Sub(p.usedAt) > ownedRetention && p.pool.Len() == 0 {
			delete(o.pools, name)
		}
	}
}

// held returns the number of assignments that have not ended.
func (o *engineOwner) held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, p := range o.pools {
		n += p.pool.Len()
	}
	return n
}

func decodeAssign(now time.Time, r *mpwire.AssignRequest) mpassign.Request {
	return mpassign.Request{
		Token: r.GetToken(), VM: r.GetVm(), Parts: decodeParts(r.GetParts()), OwnTokens: int(r.GetOwnTokens()), OutputTokens: int(r.GetOutputTokens()),
		Arrival: now.Add(mptime.FromMillis(r.GetArrivesMs())), Deadline: now.Add(mptime.FromMillis(r.GetLeftMs())),
		Exclude: r.GetExclude(), Versions: r.GetVersions(),
	}
}

func decodeParts(list []*mpwire.PromptPart) []mpassign.Part {
	out := make([]mpassign.Part, len(list))
	for i, p := range list {
		out[i] = mpassign.Part{Hash: p.GetHash(), Tokens: int(p.GetTokens())}
	}
	return out
}

func decodeHeld(now time.Time, list []*mpwire.AssignHeld) []mpassign.Held {
	out := make([]mpassign.Held, len(list))
	for i, h := range list {
		out[i] = mpassign.Held{
			Token: h.GetToken(), Engine: h.GetUpstream(), Parts: decodeParts(h.GetParts()), OwnTokens: int(h.GetOwnTokens()), OutputTokens: int(h.GetOutputTokens()),
			Arrival: now.Add(mptime.FromMillis(h.GetArrivesMs())), Deadline: now.Add(mptime.FromMillis(h.GetLeftMs())), HasStarted: h.GetStarted(), Ended: h.GetEnded(),
		}
	}
	return out
}

// decodeOutcome returns false for a settlement that no VM of this version sends. The ends have the same
// numbers in messages.
func decodeOutcome(s *mpwire.AssignSettlement) (mpassign.Outcome, bool) {
	end := mpassign.End(s.GetEnd())
	return mpassign.Outcome{End: end, FirstToken: mptime.FromMillis(s.GetFirstMs()), Pace: float64(s.GetPace()) / 100}, end >= mpassign.Done && end <= mpassign.Gone
}

// Assign chooses an engine for a request of another VM.
func (p peer) Assign(_ context.Context, r *mpwire.AssignRequest) (*mpwire.AssignReply, error) {
	return p.gateway.engineOwner.assign(time.Now(), r), nil
}

// SettleAssignments records how assigned requests go on and end.
func (p peer) SettleAssignments(_ context.Context, r *mpwire.SettleAssignmentsRequest) (*mpwire.SettleAssignmentsReply, error) {
	p.gateway.engineOwner.settle(time.Now(), r.GetSettlements())
	return &mpwire.SettleAssignmentsReply{}, nil
}

// RegisterAssignments records what another VM has in flight at engines.
func (p peer) RegisterAssignments(_ context.Context, r *mpwire.RegisterAssignmentsRequest) (*mpwire.RegisterAssignmentsReply, error) {
	return &mpwire.RegisterAssignmentsReply{Boot: p.gateway.engineOwner.register(time.Now(), r)}, nil
}

// Package mpowner manages the groups that a VM owns. It passes calls from other VMs to
// mppermit and delivers its decisions. Groups are divided into shards, each with its own
// lock.
package mpowner

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpview"
)

const (
	shardCount   = 32
	tickInterval = 25 * time.Millisecond
	graceMargin  = 100 * time.Millisecond
)

// Config holds the settings and dependencies of an Owner.
type Config struct {
	VM string
	// MaxStaleness is the longest time for which another VM can act on an older view,
	// including the drift margin of its lease.
	MaxStaleness time.Duration
	// HasLease reports whether this VM holds a lease and may grant permits at now.
	HasLease func(now time.Time) bool
	Metrics  *mpmetric.Set
	Logger   log.Logger
	// Strict makes the process panic on a violated invariant.
	Strict bool
}

type ownedGroup struct {
	group   *mppermit.Group
	waiting map[mppermit.Attempt]chan mppermit.Decision
}

type shard struct {
	mu     sync.Mutex
	groups map[string]*ownedGroup
}

// Owner manages the groups that this VM owns. It is safe for concurrent use.
type Owner struct {
	cfg    Config
	shards [shardCount]shard

	mu       sync.RWMutex
	revision uint64
	view     *mpview.View
	departed map[string]time.Time
}

// New returns an owner without groups.
func New(cfg Config) *Owner {
	o := &Owner{cfg: cfg, view: mpview.Empty(), departed: map[string]time.Time{}}
	for i := range o.shards {
		o.shards[i].groups = map[string]*ownedGroup{}
	}
	return o
}

func (o *Owner) shard(group string) *shard {
	return &o.shards[xxhash.Sum64String(group)%shardCount]
}

// OnView applies a new view: it opens groups that this VM now owns, reconfigures
// those that it still owns and closes those that it has lost.
func (o *Owner) OnView(now time.Time, old, next *mpview.View) {
	o.trackDeparted(now, old, next)
	for i := range o.shards {
		o.closeLost(&o.shards[i], next)
	}
	for _, name := range next.Catalogue().Groups() {
		own, ok := next.Owner(name)
		if ok && own.VM == o.cfg.VM {
			o.openOrConfigure(now, name, own, old, next)
		}
	}
	o.mu.Lock()
	o.revision = next.Revision()
	o.view = next
	o.mu.Unlock()
}

func (o *Owner) closeLost(s *shard, next *mpview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, g := range s.groups {
		own, ok := next.Owner(name)
		if ok && own.VM == o.cfg.VM && own.Epoch == g.group.Epoch() {
			continue
		}
		g.deliver(g.group.Close())
		delete(s.groups, name)
	}
}

func (o *Owner) openOrConfigure(now time.Time, name string, own mpview.Ownership, old, next *mpview.View) {
	s := o.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := o.groupConfig(now, name, own, next)
	g, ok := s.groups[name]
	if !ok {
		group := mppermit.NewGroup(now, cfg)
		s.groups[name] = &ownedGroup{
			group:   group,
			waiting: map[mppermit.Attempt]chan mppermit.Decision{},
		}
		level.Info(o.cfg.Logger).Log("msg", "group ownership acquired", "group", name, "epoch", own.Epoch)
		return
	}
	for _, vm := range next.VMs() {
		if previous, ok := old.VM(vm.Name); ok && previous.Boot != vm.Boot {
			g.deliver(g.group.ReleaseVM(now, vm.Name))
		}
	}
	g.deliver(g.group.Configure(now, cfg))
}

func (o *Owner) groupConfig(now time.Time, name string, own mpview.Ownership, v *mpview.View) mppermit.Config {
	pool, _ := v.Catalogue().PoolAndDC(name)
	cfg := mppermit.Config{
		Epoch:       own.Epoch,
		GracePeriod: o.cfg.MaxStaleness + graceMargin,
		QuietUntil:  o.quietUntil(now, pool, v),
		Fresh:       own.FirstOwner,
	}
	for _, u := range v.Catalogue().GroupUpstreams(name) {
		up, _ := v.Catalogue().Upstream(u)
		pool, _ := v.Catalogue().Pool(up.Pool)
		cfg.Upstreams = append(cfg.Upstreams, mppermit.UpstreamSpec{
			Name:      up.Name,
			Limit:     up.Limit,
			ColdLimit: up.ColdLimit,
			Ramp:      max(pool.RampSuccesses, 1),
			Usable:    v.Usable(up),
		})
	}
	for _, vm := range v.VMs() {
		cfg.VMs = append(cfg.VMs, vm.Name)
	}
	return cfg
}

// Acquire requests a permit in group and waits for the decision. It returns ErrNotOwner
// if this VM does not own the group in that epoch, ErrNoLease if it has no lease to grant
// permits, and the error of ctx if ctx ends first.
func (o *Owner) Acquire(ctx context.Context, group string, epoch uint64, req mppermit.Request) (mppermit.Decision, error) {
	now := time.Now()
	if !o.cfg.HasLease(now) {
		return nil, mperror.ErrNoLease
	}
	answer, err := o.submit(now, group, epoch, req)
	if err != nil {
		return nil, err
	}
	select {
	case d := <-answer:
		return o.withdrawWithoutLease(group, req, d)
	case <-ctx.Done():
		o.Settle(time.Now(), group, mppermit.Settlement{Attempt: req.Attempt, Outcome: mppermit.Unused})
		return nil, ctx.Err()
	}
}

// withdrawWithoutLease withdraws a grant if this VM's lease ended while the request was
// queued.
func (o *Owner) withdrawWithoutLease(group string, req mppermit.Request, d mppermit.Decision) (mppermit.Decision, error) {
	now := time.Now()
	if _, ok := d.(mppermit.Grant); ok && !o.cfg.HasLease(now) {
		o.Settle(now, group, mppermit.Settlement{Attempt: req.Attempt, Outcome: mppermit.Unused})
		return nil, mperror.ErrNoLease
	}
	return d, nil
}

func (o *Owner) submit(now time.Time, group string, epoch uint64, req mppermit.Request) (chan mppermit.Decision, error) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[group]
	if !ok || g.group.Epoch() != epoch {
		return nil, mperror.Wrap(mperror.ErrNotOwner, "group %s epoch %d", group, epoch)
	}
	answer := make(chan mppermit.Decision, 1)
	g.waiting[req.Attempt] = answer
	g.deliver(g.group.Acquire(now, req))
	o.checkLimit(group, g)
	return answer, nil
}

// deliver sends each decision to the call that waits for it.
func (g *ownedGroup) deliver(decisions []mppermit.Decision) {
	for _, d := range decisions {
		var a mppermit.Attempt
		switch d := d.(type) {
		case mppermit.Grant:
			a = d.Attempt
		case mppermit.Refusal:
			a = d.Attempt
		}
		if answer, ok := g.waiting[a]; ok {
			answer <- d
			delete(g.waiting, a)
		}
	}
}

// Settle records the outcome of an attempt. It does nothing if this VM does not own the
// group.
func (o *Owner) Settle(now time.Time, group string, e mppermit.Settlement) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[group]
	if !ok {
		return
	}
	delete(g.waiting, e.Attempt)
	g.deliver(g.group.Settle(now, e))
	o.checkLimit(group, g)
}

// Register records the permits that vm holds in groups as of a revision. It returns
// ErrNotOwner if this VM has not reached that revision.
func (o *Owner) Register(now time.Time, vm string, revision uint64, groups []string, registrations map[string]mppermit.Registration) error {
	o.mu.RLock()
	current := o.revision
	o.mu.RUnlock()
	if current < revision {
		return mperror.Wrap(mperror.ErrNotOwner, "revision %d not seen yet", revision)
	}
	for _, name := range groups {
		s := o.shard(name)
		s.mu.Lock()
		// A registration older than the epoch does not cover permits granted by
		// an owner in between.
		if g, ok := s.groups[name]; ok && g.group.Epoch() <= revision {
			g.deliver(g.group.Register(now, vm, registrations[name]))
		}
		s.mu.Unlock()
	}
	return nil
}

// ReportLoad applies an upstream's load report.
func (o *Owner) ReportLoad(now time.Time, group, upstream string, r mppermit.LoadReport) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[group]; ok {
		g.deliver(g.group.ReportLoad(now, upstream, r))
	}
}

// Run ticks all groups at a fixed interval until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	mptime.Every(ctx, tickInterval, func(now time.Time) {
		o.forEachGroup(func(_ string, g *ownedGroup) { g.deliver(g.group.Tick(now)) })
	})
}

func (o *Owner) forEachGroup(f func(name string, g *ownedGroup)) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for name, g := range s.groups {
			f(name, g)
		}
		s.mu.Unlock()
	}
}

// Groups returns the names of the groups that this VM owns.
func (o *Owner) Groups() []string {
	var out []string
	o.forEachGroup(func(name string, _ *ownedGroup) { out = append(out, name) })
	return out
}

// Status describes one owned group for operators.
type Status struct {
	Group     string                   `json:"group"`
	Counts    mppermit.Counts          `json:"counts"`
	Upstreams []mppermit.UpstreamState `json:"upstreams"`
}

// Status returns the status of the owned groups and their upstreams.
func (o *Owner) Status(now time.Time) []Status {
	var out []Status
	o.forEachGroup(func(name string, g *ownedGroup) {
		out = append(out, Status{name, g.group.Counts(now), g.group.UpstreamStates(now)})
	})
	return out
}

// checkLimit verifies the invariant that no attempt is granted beyond an upstream's
// capacity or in breach of exclusive use.
func (o *Owner) checkLimit(group string, g *ownedGroup) {
	o.cfg.Metrics.Add("invariant.limit.checked", 1)
	name := g.group.LimitViolation()
	if name == "" {
		return
	}
	o.cfg.Metrics.Add("invariant.limit.breached", 1)
	level.Error(o.cfg.Logger).Log("msg", "attempt granted beyond the capacity of an upstream or in breach of exclusive use", "group", group, "upstream", name)
	if o.cfg.Strict {
		panic("mpowner: attempt granted beyond capacity or in breach of exclusive use at upstream " + name)
	}
}

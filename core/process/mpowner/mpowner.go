// Package mpowner runs the groups that a VM owns: it feeds calls from other
// VMs to mppermit and delivers its decisions. Groups lie in shards, each under
// its own lock.
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
	shardCount = 32
	tickEvery  = 25 * time.Millisecond
	graceExtra = 100 * time.Millisecond
)

// Config holds what an Owner needs from outside.
type Config struct {
	VM string
	// LeaseDuration is the longest that another VM can act on an older view, with the margin.
	LeaseDuration time.Duration
	// HasLease reports whether this VM may grant at the given time.
	HasLease func(now time.Time) bool
	Metrics  *mpmetric.Set
	Logger   log.Logger
	// Strict stops the process on a breach of an invariant.
	Strict bool
}

type cell struct {
	group   *mppermit.Group
	waiting map[mppermit.Attempt]chan mppermit.Decision
}

type shard struct {
	mu    sync.Mutex
	cells map[string]*cell
}

// Owner holds the groups that this VM owns. It is safe for concurrent use.
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
		o.shards[i].cells = map[string]*cell{}
	}
	return o
}

func (o *Owner) shard(group string) *shard {
	return &o.shards[xxhash.Sum64String(group)%shardCount]
}

// OnView takes over a new view: it opens groups that became this VM's, adapts
// those that stay, and closes those that went.
func (o *Owner) OnView(now time.Time, old, next *mpview.View) {
	o.noteDeparted(now, old, next)
	for i := range o.shards {
		o.closeLost(&o.shards[i], next)
	}
	for _, name := range next.Catalogue().Groups() {
		own, ok := next.Owner(name)
		if ok && own.VM == o.cfg.VM {
			o.adapt(now, name, own, old, next)
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
	for name, c := range s.cells {
		own, ok := next.Owner(name)
		if ok && own.VM == o.cfg.VM && own.Epoch == c.group.Epoch() {
			continue
		}
		c.deliver(c.group.Close())
		delete(s.cells, name)
	}
}

func (o *Owner) adapt(now time.Time, name string, own mpview.Ownership, old, next *mpview.View) {
	s := o.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := o.describe(now, name, own, next)
	c, ok := s.cells[name]
	if !ok {
		group := mppermit.NewGroup(now, cfg)
		s.cells[name] = &cell{
			group:   group,
			waiting: map[mppermit.Attempt]chan mppermit.Decision{},
		}
		level.Info(o.cfg.Logger).Log("msg", "owns group", "group", name, "epoch", own.Epoch)
		return
	}
	for _, vm := range next.VMs() {
		if was, ok := old.VM(vm.Name); ok && was.Boot != vm.Boot {
			c.deliver(c.group.ReleaseVM(now, vm.Name))
		}
	}
	c.deliver(c.group.Configure(now, cfg))
}

func (o *Owner) describe(now time.Time, name string, own mpview.Ownership, v *mpview.View) mppermit.Config {
	pool, _ := v.Catalogue().Place(name)
	cfg := mppermit.Config{
		Epoch:       own.Epoch,
		GracePeriod: o.cfg.LeaseDuration + graceExtra,
		QuietUntil:  o.quietUntil(now, pool, v),
		Fresh:       own.Fresh,
	}
	for _, u := range v.Catalogue().Group(name) {
		up, _ := v.Catalogue().Upstream(u)
		pool, _ := v.Catalogue().Pool(up.Pool)
		cfg.Upstreams = append(cfg.Upstreams, mppermit.UpstreamSpec{
			Name:      up.Name,
			Limit:     up.Limit,
			ColdLimit: up.Cold,
			Ramp:      max(pool.Ramp, 1),
			Usable:    v.Usable(up),
		})
	}
	for _, vm := range v.VMs() {
		cfg.VMs = append(cfg.VMs, vm.Name)
	}
	return cfg
}

// Acquire asks for a permit in group and waits for the decision. It returns
// ErrNotOwner when this VM does not own the group in that epoch, ErrNoLease
// when it may not grant, and the error of ctx.
func (o *Owner) Acquire(ctx context.Context, group string, epoch uint64, a mppermit.Request) (mppermit.Decision, error) {
	now := time.Now()
	if !o.cfg.HasLease(now) {
		return nil, mperror.ErrNoLease
	}
	answer, err := o.ask(now, group, epoch, a)
	if err != nil {
		return nil, err
	}
	select {
	case d := <-answer:
		return o.checked(group, a, d)
	case <-ctx.Done():
		o.Settle(time.Now(), group, mppermit.Settlement{Attempt: a.Attempt, Outcome: mppermit.Unused})
		return nil, ctx.Err()
	}
}

// checked withdraws a grant that waited beyond the end of this VM's lease.
func (o *Owner) checked(group string, a mppermit.Request, d mppermit.Decision) (mppermit.Decision, error) {
	now := time.Now()
	if _, ok := d.(mppermit.Grant); ok && !o.cfg.HasLease(now) {
		o.Settle(now, group, mppermit.Settlement{Attempt: a.Attempt, Outcome: mppermit.Unused})
		return nil, mperror.ErrNoLease
	}
	return d, nil
}

func (o *Owner) ask(now time.Time, group string, epoch uint64, a mppermit.Request) (chan mppermit.Decision, error) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.cells[group]
	if !ok || c.group.Epoch() != epoch {
		return nil, mperror.Wrap(mperror.ErrNotOwner, "group %s epoch %d", group, epoch)
	}
	answer := make(chan mppermit.Decision, 1)
	c.waiting[a.Attempt] = answer
	c.deliver(c.group.Acquire(now, a))
	o.check(group, c)
	return answer, nil
}

// deliver hands each decision to the call that waits for it.
func (c *cell) deliver(decisions []mppermit.Decision) {
	for _, d := range decisions {
		var a mppermit.Attempt
		switch d := d.(type) {
		case mppermit.Grant:
			a = d.Attempt
		case mppermit.Refusal:
			a = d.Attempt
		}
		if answer, ok := c.waiting[a]; ok {
			answer <- d
			delete(c.waiting, a)
		}
	}
}

// Settle ends an attempt of a group; it is ignored where the group is not owned.
func (o *Owner) Settle(now time.Time, group string, e mppermit.Settlement) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.cells[group]
	if !ok {
		return
	}
	delete(c.waiting, e.Attempt)
	c.deliver(c.group.Settle(now, e))
	o.check(group, c)
}

// Register notes which permits of the groups vm holds, as of a revision. It
// returns ErrNotOwner while this VM has not seen that revision itself.
func (o *Owner) Register(now time.Time, vm string, revision uint64, groups []string, known map[string]mppermit.Registration) error {
	o.mu.RLock()
	seen := o.revision
	o.mu.RUnlock()
	if seen < revision {
		return mperror.Wrap(mperror.ErrNotOwner, "revision %d not seen yet", revision)
	}
	for _, name := range groups {
		s := o.shard(name)
		s.mu.Lock()
		// A registration older than the epoch says nothing about permits of
		// the owner in between.
		if c, ok := s.cells[name]; ok && c.group.Epoch() <= revision {
			c.deliver(c.group.Register(now, vm, known[name]))
		}
		s.mu.Unlock()
	}
	return nil
}

// ReportLoad takes in an upstream's load report.
func (o *Owner) ReportLoad(now time.Time, group, upstream string, r mppermit.LoadReport) {
	s := o.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.cells[group]; ok {
		c.deliver(c.group.ReportLoad(now, upstream, r))
	}
}

// Run lets time pass for all groups until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	mptime.Every(ctx, tickEvery, func(now time.Time) {
		o.each(func(_ string, c *cell) { c.deliver(c.group.Tick(now)) })
	})
}

func (o *Owner) each(f func(name string, c *cell)) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for name, c := range s.cells {
			f(name, c)
		}
		s.mu.Unlock()
	}
}

// Groups returns the names of the groups owned now.
func (o *Owner) Groups() []string {
	var out []string
	o.each(func(name string, _ *cell) { out = append(out, name) })
	return out
}

// Status describes one owned group for operators.
type Status struct {
	Group     string                   `json:"group"`
	Counts    mppermit.Counts          `json:"counts"`
	Upstreams []mppermit.UpstreamState `json:"upstreams"`
}

// Status returns the owned groups and their upstreams.
func (o *Owner) Status(now time.Time) []Status {
	var out []Status
	o.each(func(name string, c *cell) {
		out = append(out, Status{name, c.group.Counts(now), c.group.UpstreamStates(now)})
	})
	return out
}

// check asserts that no upstream holds more attempts than it bears.
func (o *Owner) check(group string, c *cell) {
	o.cfg.Metrics.Add("invariant.limit.checked", 1)
	name := c.group.LimitViolation()
	if name == "" {
		return
	}
	o.cfg.Metrics.Add("invariant.limit.breached", 1)
	level.Error(o.cfg.Logger).Log("msg", "upstream over its limit", "group", group, "upstream", name)
	if o.cfg.Strict {
		panic("mpowner: upstream over its limit: " + name)
	}
}

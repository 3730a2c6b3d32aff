// Package mpversion divides the requests of a pool between the versions of its upstreams' software,
// while a roll-out of the pool runs and after it. It uses only what this VM knows: the roll-outs
// of its view, whether it has a lease, and what it sent. It counts the outcomes by which the leader
// judges a roll-out.
package mpversion

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
)

// Config configures a Board.
type Config struct {
	// HasLease reports whether the roll-outs that this VM knows are those in force.
	HasLease func(now time.Time) bool
	// Random returns a number that is uniformly distributed over [0, 1).
	Random  func() float64
	Metrics *mpmetric.Set
	Logger  log.Logger
}

// software is one version of the software of a pool's upstreams.
type software struct{ pool, version string }

// Board holds the roll-outs that a VM acts on, and the attempts that it runs. It is safe for
// concurrent use. A nil Board is that of a VM that does not act on versions.
type Board struct {
	cfg Config
	// splits holds those of the pools that had a roll-out; nil if none had.
	splits atomic.Pointer[map[string]*Split]
	// wakeup receives a value when there is something to report at once.
	wakeup chan struct{}

	mu sync.Mutex
	// running counts attempts, also those of pools without a roll-out: a roll-out that is
	// ordered later must know which attempts run on the old versions.
	running map[software]int
	// reverted holds the targets of reverted roll-outs that no later one uses. The view has only
	// the latest roll-out of a pool.
	reverted map[software]bool
	// listed holds the versions in the list, apart from upstreams that are leaving, and known those
	// that were listed while the VM had a lease. Without one, it may not know of a roll-out whose
	// target it finds in the list.
	listed, known map[software]bool
	// isConfirmed is set if known equals listed.
	isConfirmed bool
}

// New returns a Board without roll-outs.
func New(cfg Config) *Board {
	return &Board{
		cfg: cfg, wakeup: make(chan struct{}, 1),
		running: map[software]int{}, reverted: map[software]bool{}, listed: map[software]bool{}, known: map[software]bool{},
	}
}

// Split returns how the requests of a pool are divided, or nil if any of its upstreams may get them.
func (b *Board) Split(pool string) *Split {
	if b == nil {
		return nil
	}
	splits := b.splits.Load()
	if splits == nil {
		return nil
	}
	return (*splits)[pool]
}

// SetRollouts replaces the roll-outs by those of a newer view, which has at most one for each pool.
func (b *Board) SetRollouts(rollouts []mprollout.Rollout) {
	if b == nil || len(rollouts) == 0 && b.splits.Load() == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var old map[string]*Split
	if p := b.splits.Load(); p != nil {
		old = *p
	}
	next := make(map[string]*Split, len(rollouts))
	for _, r := range rollouts {
		next[r.Pool] = b.update(old[r.Pool], r)
	}
	for pool, s := range old {
		if next[pool] != s {
			s.recorder = nil
		}
	}
	b.splits.Store(&next)
	b.updateUnknown()
}

// update returns the split for r, which replaces old, the split of its pool. The caller holds b.mu.
func (b *Board) update(old *Split, r mprollout.Rollout) *Split {
	var was *mprollout.Rollout
	if old != nil {
		was = old.row.Load()
	}
	if was != nil && was.ID == r.ID && was.State == r.State && was.Phase == r.Phase && was.Share == r.Share {
		return old
	}
	if was != nil && was.State == mprollout.StateReverted {
		b.reverted[software{r.Pool, was.Target}] = true
	}
	for _, version := range append([]string{r.Target}, r.Base...) {
		delete(b.reverted, software{r.Pool, version})
	}
	s := old
	if was == nil || was.ID != r.ID {
		s = b.newSplit(r)
		was = nil
	}
	s.row.Store(&r)
	switch {
	case !r.Running():
		s.recorder = nil
	case s.recorder == nil:
		s.recorder = mprollout.NewRecorder(r)
		for key, n := range b.running {
			if key.pool == r.Pool {
				s.countEarly(key.version, n)
			}
		}
	default:
		s.recorder.SetPhase(r.Phase)
	}
	s.logChange(was)
	b.wake()
	return s
}

// newSplit returns a split for a roll-out that this VM did not know. The caller holds b.mu.
func (b *Board) newSplit(r mprollout.Rollout) *Split {
	s := &Split{board: b, names: map[string]metricNames{}, early: map[string][]*mprollout.Attempt{}}
	for key := range b.reverted {
		if key.pool == r.Pool {
			s.barred = append(s.barred, key.version)
		}
	}
	s.hasLease.Store(true)
	s.hasBase.Store(b.lists(r.Pool, r.Base))
	random := b.cfg.Random()
	s.calls, s.pieces = newAccount(random, r.Share), newAccount(random, r.Share)
	return s
}

// lists reports whether one of the versions is listed. The caller holds b.mu.
func (b *Board) lists(pool string, versions []string) bool {
	return slices.ContainsFunc(versions, func(v string) bool { return b.listed[software{pool, v}] })
}

// SetList replaces the list of upstreams at now.
func (b *Board) SetList(now time.Time, list *mplist.List) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.listed)
	for _, r := range list.Rows() {
		if !r.Leaving {
			b.listed[software{r.Pool, r.Version}] = true
		}
	}
	maps.DeleteFunc(b.reverted, func(key software, _ bool) bool { return !b.listed[key] })
	if b.isConfirmed = b.cfg.HasLease(now) || len(b.known) == 0; b.isConfirmed {
		b.known = maps.Clone(b.listed)
	}
	b.updateUnknown()
	if splits := b.splits.Load(); splits != nil {
		for pool, s := range *splits {
			s.hasBase.Store(b.lists(pool, s.row.Load().Base))
		}
	}
}

// Confirm records that the list is the newest one if the VM has a lease at now.
func (b *Board) Confirm(now time.Time) {
	if b == nil || !b.cfg.HasLease(now) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isConfirmed {
		b.known, b.isConfirmed = maps.Clone(b.listed), true
		b.updateUnknown()
	}
}

// updateUnknown updates which versions of each pool are listed and not known, besides some that are
// known. The caller holds b.mu.
func (b *Board) updateUnknown() {
	unknown, hasKnown := map[string][]string{}, map[string]bool{}
	for key := range b.listed {
		if b.known[key] {
			hasKnown[key.pool] = true
		} else {
			unknown[key.pool] = append(unknown[key.pool], key.version)
		}
	}
	maps.DeleteFunc(unknown, func(pool string, _ []string) bool { return !hasKnown[pool] })
	next := map[string]*Split{}
	if splits := b.splits.Load(); splits != nil {
		maps.Copy(next, *splits)
	}
	maps.DeleteFunc(next, func(pool string, s *Split) bool { return s.row.Load().ID == "" && unknown[pool] == nil })
	for pool := range unknown {
		if next[pool] == nil {
			// The versions of this pool differ in nothing else.
			next[pool] = &Split{board: b}
			next[pool].row.Store(&mprollout.Rollout{Pool: pool, State: mprollout.StateComplete})
		}
	}
	for pool, s := range next {
		versions := unknown[pool]
		slices.Sort(versions)
		if was := s.unknown.Swap(&versions); len(versions) > 0 && (was == nil || !slices.Equal(*was, versions)) {
			_ = level.Info(b.cfg.Logger).Log("msg", "versions used with a lease only", "pool", pool, "versions", strings.Join(versions, ","))
		}
	}
	if len(next) > 0 {
		b.splits.Store(&next)
	} else {
		b.splits.Store(nil)
	}
}

// ForStages returns the upstreams of a pool, out of rows, for which jobs are divided between owners.
// They are those of the versions that most calls go to, so that no job comes to an owner that may
// send it nowhere.
func (b *Board) ForStages(now time.Time, pool string, rows []mplist.Row) []mplist.Row {
	s := b.Split(pool)
	if s == nil {
		return rows
	}
	r := s.row.Load()
	var target, old []mplist.Row
	for _, row := range rows {
		switch {
		case !s.Admits(now, row.Version):
		case row.Version == r.Target:
			target = append(target, row)
		default:
			old = append(old, row)
		}
	}
	switch {
	case !r.Running():
		return append(target, old...)
	case len(old) == 0 || r.Phase == mprollout.PhaseShift && len(target) > 0:
		return target
	}
	return old
}

// IsRunning reports whether a roll-out runs.
func (b *Board) IsRunning() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isRunning()
}

func (b *Board) isRunning() bool {
	splits := b.splits.Load()
	if splits == nil {
		return false
	}
	for _, s := range *splits {
		if s.recorder != nil {
			return true
		}
	}
	return false
}

// Wakeup returns a channel that receives a value when a report is due at once.
func (b *Board) Wakeup() <-chan struct{} { return b.wakeup }

func (b *Board) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// Report returns all that was counted of the roll-outs that run, as of now, and whether any of it is
// new since the last call.
func (b *Board) Report(now time.Time) (counts []mprollout.Counts, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.splits.Load() == nil {
		return nil, false
	}
	for _, s := range *b.splits.Load() {
		if s.recorder != nil {
			changed = changed || s.recorder.Changed()
			counts = append(counts, s.recorder.Report(now)...)
		}
	}
	for i := range counts {
		if counts[i].Route == "" {
			// How long a call with pieces should take depends on their number, so that the time for
			// which one waits cannot be compared.
			counts[i].Waiting = mprollout.Histogram{}
		}
	}
	return counts, changed
}

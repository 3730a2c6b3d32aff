// Package mpattempt gets permits for a VM's attempts from the owners of the
// groups, keeps the table of permits that the VM holds, returns them, and
// tells a new owner which of them are still out.
package mpattempt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpowner"
	"mustardpost.org/core/request/mppermit"
	"mustardpost.org/core/version/mpview"
)

const (
	retryPause    = 20 * time.Millisecond
	replyExtra    = 250 * time.Millisecond
	callDeadline  = time.Second
	settleFor     = 10 * time.Second
	settleBatch   = 128
	settleBacklog = 8192
)

// Config holds what a Broker needs from outside.
type Config struct {
	VM      string
	Local   *mpowner.Owner
	Client  *mppeer.Client
	Metrics *mpmetric.Set
	Clock   func() time.Time
}

// Permit allows one attempt on one upstream.
type Permit struct {
	attempt  mppermit.Attempt
	group    string
	upstream string
	hedge    time.Duration
	limit    int
	instance string
}

// NewPermit returns a permit for attempt a on an upstream of group, with the
// time after which a second attempt is worth its cost.
func NewPermit(a mppermit.Attempt, group, upstream string, hedge time.Duration) Permit {
	return Permit{attempt: a, group: group, upstream: upstream, hedge: hedge}
}

// Attempt returns the id under which the attempt must travel.
func (p Permit) Attempt() mppermit.Attempt { return p.attempt }

// Upstream returns the name of the upstream.
func (p Permit) Upstream() string { return p.upstream }

// Hedge returns when a second attempt is worth its cost; 0 for never.
func (p Permit) Hedge() time.Duration { return p.hedge }

// Refusal is a denied permit. It wraps ErrFull, ErrLate, ErrEmpty or
// ErrStarting, or ErrNotOwner when the owner could not be asked.
type Refusal struct {
	Retry time.Duration
	Err   error
}

func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

type heldRow struct {
	group    string
	upstream string
	deadline time.Time
	alone    bool
}

// seenRow is what this VM remembers of an upstream, for its next owner.
type seenRow struct {
	group    string
	limit    int
	instance string
	at       time.Time
}

// Broker is one VM's source of permits. It is safe for concurrent use.
type Broker struct {
	cfg Config
	ctx context.Context

	mu          sync.Mutex
	view        *mpview.View
	held        map[mppermit.Attempt]heldRow
	seen        map[string]seenRow
	registering map[string]int
	lines       map[string]chan settlement
}

type settlement struct {
	group string
	end   mppermit.Settlement
	until time.Time
}

// New returns a broker that works until ctx ends.
func New(ctx context.Context, cfg Config) *Broker {
	return &Broker{
		cfg:         cfg,
		ctx:         ctx,
		view:        mpview.Empty(),
		held:        map[mppermit.Attempt]heldRow{},
		seen:        map[string]seenRow{},
		registering: map[string]int{},
		lines:       map[string]chan settlement{},
	}
}

// Held returns the number of permits held now.
func (b *Broker) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Acquire gets a permit in group or a Refusal. It sets the ask's Attempt and VM.
func (b *Broker) Acquire(ctx context.Context, group string, ask mppermit.Ask) (Permit, *Refusal) {
	ask.Attempt = mppermit.Attempt(rand.Uint64())
	ask.VM = b.cfg.VM
	own, vm, ok := b.owner(group)
	if !ok {
		return Permit{}, &Refusal{retryPause, mperror.Wrap(mperror.ErrNotOwner, "group %s", group)}
	}
	deadline := b.cfg.Clock().Add(ask.Left)
	d, err := b.ask(ctx, own, vm, group, ask)
	if err != nil {
		b.queue(group, mppermit.Settlement{Attempt: ask.Attempt, End: mppermit.Unused})
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Permit{}, &Refusal{retryPause, err}
	}
	switch d := d.(type) {
	case mppermit.Grant:
		row := heldRow{group: group, upstream: d.Upstream, deadline: deadline, alone: ask.Alone}
		if !b.take(ask.Attempt, own.Epoch, row) {
			b.queue(group, mppermit.Settlement{Attempt: ask.Attempt, End: mppermit.Unused})
			return Permit{}, &Refusal{retryPause, mperror.Wrap(mperror.ErrNotOwner, "group %s changed owner", group)}
		}
		return Permit{
			attempt:  ask.Attempt,
			group:    group,
			upstream: d.Upstream,
			hedge:    d.Hedge,
			limit:    d.Limit,
			instance: d.Instance,
		}, nil
	case mppermit.Refuse:
		return Permit{}, &Refusal{d.Retry, causeError(d.Cause)}
	}
	return Permit{}, &Refusal{retryPause, mperror.ErrNotOwner}
}

func causeError(c mppermit.Cause) error {
	switch c {
	case mppermit.Late:
		return mperror.ErrLate
	case mppermit.Empty:
		return mperror.ErrEmpty
	case mppermit.Starting:
		return mperror.ErrStarting
	case mppermit.Full:
	}
	return mperror.ErrFull
}

func (b *Broker) owner(group string) (mpview.Ownership, mpview.VM, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.view.Owner(group)
	if !ok {
		return own, mpview.VM{}, false
	}
	vm, ok := b.view.VM(own.VM)
	return own, vm, ok
}

func (b *Broker) ask(
	ctx context.Context, own mpview.Ownership, vm mpview.VM, group string, ask mppermit.Ask,
) (mppermit.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, ask.Left+replyExtra)
	defer cancel()
	if own.VM == b.cfg.VM {
		return b.cfg.Local.Acquire(ctx, group, own.Epoch, ask)
	}
	peer, err := b.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return nil, err
	}
	b.cfg.Metrics.Add("permit.remote", 1)
	reply, err := peer.Acquire(ctx, EncodeAsk(group, own.Epoch, ask))
	if err != nil {
		return nil, mperror.Wrap(mperror.ErrNotOwner, "%v", err)
	}
	return decodeReply(ask.Attempt, reply)
}

// take notes a granted permit, unless the group has passed to another epoch:
// its new owner was or will be told of the permits held without this one.
func (b *Broker) take(a mppermit.Attempt, epoch uint64, row heldRow) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.view.Owner(row.group)
	if !ok || own.Epoch != epoch {
		return false
	}
	b.held[a] = row
	return true
}

// Settle returns a permit with what its attempt saw.
func (b *Broker) Settle(p Permit, e mppermit.Settlement) {
	e.Attempt = p.attempt
	b.mu.Lock()
	delete(b.held, p.attempt)
	// A limit is worth remembering only for the process that it was known of.
	if e.End == mppermit.Done && e.Instance != "" && e.Instance == p.instance {
		b.seen[p.upstream] = seenRow{p.group, p.limit, p.instance, b.cfg.Clock()}
	}
	b.mu.Unlock()
	b.queue(p.group, e)
}

// OnView takes over a new view and registers with the owners that it names anew.
func (b *Broker) OnView(_ time.Time, _, next *mpview.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byOwner := map[string][]string{}
	for group, own := range next.Owners() {
		was, ok := b.view.Owner(group)
		if ok && was.Epoch == own.Epoch {
			continue
		}
		byOwner[own.VM] = append(byOwner[own.VM], group)
		b.registering[group]++
	}
	b.view = next
	for name := range b.seen {
		if _, ok := next.Catalogue().Upstream(name); !ok {
			delete(b.seen, name)
		}
	}
	for vm, groups := range byOwner {
		go b.register(vm, next.Revision(), groups)
	}
}

// register tells vm which permits of the groups are held, until it has heard
// or no longer owns them.
func (b *Broker) register(vm string, revision uint64, groups []string) {
	defer b.registered(groups)
	for b.ctx.Err() == nil {
		known, row, ok := b.known(vm, groups)
		if !ok || b.tryRegister(row, revision, groups, known) == nil {
			return
		}
		mptime.Pause(b.ctx, retryPause)
	}
}

func (b *Broker) registered(groups []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range groups {
		b.registering[g]--
		if b.registering[g] <= 0 {
			delete(b.registering, g)
		}
	}
}

// known returns what vm must hear as the new owner of groups, and false when it
// no longer owns any of them.
func (b *Broker) known(vm string, groups []string) (map[string]mppermit.Known, mpview.VM, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row, up := b.view.VM(vm)
	if !up {
		return nil, row, false
	}
	known := map[string]mppermit.Known{}
	owned := false
	for _, g := range groups {
		own, ok := b.view.Owner(g)
		owned = owned || ok && own.VM == vm
		known[g] = mppermit.Known{}
	}
	now := b.cfg.Clock()
	for a, h := range b.held {
		if k, ok := known[h.group]; ok {
			k.Held = append(k.Held, mppermit.Held{Attempt: a, Upstream: h.upstream, Left: h.deadline.Sub(now), Alone: h.alone})
			known[h.group] = k
		}
	}
	for name, s := range b.seen {
		if k, ok := known[s.group]; ok {
			k.Seen = append(k.Seen, mppermit.Seen{Upstream: name, Limit: s.limit, Instance: s.instance, Age: now.Sub(s.at)})
			known[s.group] = k
		}
	}
	return known, row, owned
}

func (b *Broker) tryRegister(
	vm mpview.VM, revision uint64, groups []string, known map[string]mppermit.Known,
) error {
	if vm.Name == b.cfg.VM {
		return b.cfg.Local.Register(b.cfg.Clock(), vm.Name, revision, groups, known)
	}
	peer, err := b.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, callDeadline)
	defer cancel()
	_, err = peer.Register(ctx, encodeRegister(b.cfg.VM, revision, groups, known))
	return err
}

// queue passes a settlement on to the line of the group's present owner.
func (b *Broker) queue(group string, e mppermit.Settlement) {
	b.forward(settlement{group, e, b.cfg.Clock().Add(settleFor)})
}

func (b *Broker) forward(s settlement) {
	b.mu.Lock()
	own, ok := b.view.Owner(s.group)
	busy := b.registering[s.group] > 0
	var line chan settlement
	if ok && (own.VM != b.cfg.VM || busy) {
		line = b.line(own.VM)
	}
	b.mu.Unlock()
	switch {
	case !ok:
		return
	case line == nil:
		b.cfg.Local.Settle(b.cfg.Clock(), s.group, s.end)
	default:
		select {
		case line <- s:
		default:
			b.cfg.Metrics.Add("settle.dropped", 1)
		}
	}
}

// line returns the queue for owner vm; b.mu must be held.
func (b *Broker) line(vm string) chan settlement {
	l, ok := b.lines[vm]
	if !ok {
		l = make(chan settlement, settleBacklog)
		b.lines[vm] = l
		go b.runLine(vm, l)
	}
	return l
}

func (b *Broker) runLine(vm string, line chan settlement) {
	for {
		select {
		case <-b.ctx.Done():
			return
		case s := <-line:
			b.flush(vm, gather(s, line))
		}
	}
}

func gather(first settlement, line chan settlement) []settlement {
	batch := []settlement{first}
	for len(batch) < settleBatch {
		select {
		case s := <-line:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// flush sends what vm still owns and is not being told about by a
// registration; the rest goes back into a queue.
func (b *Broker) flush(vm string, batch []settlement) {
	ready, later := b.split(vm, batch)
	if len(ready) > 0 && !b.send(vm, ready) {
		later = append(later, ready...)
	}
	if len(later) == 0 {
		return
	}
	mptime.Pause(b.ctx, retryPause)
	now := b.cfg.Clock()
	for _, s := range later {
		if now.Before(s.until) {
			b.forward(s)
		}
	}
}

func (b *Broker) split(vm string, batch []settlement) (ready, later []settlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range batch {
		own, ok := b.view.Owner(s.group)
		if ok && own.VM == vm && b.registering[s.group] == 0 {
			ready = append(ready, s)
		} else {
			later = append(later, s)
		}
	}
	return ready, later
}

func (b *Broker) send(vm string, batch []settlement) bool {
	if vm == b.cfg.VM {
		for _, s := range batch {
			b.cfg.Local.Settle(b.cfg.Clock(), s.group, s.end)
		}
		return true
	}
	b.mu.Lock()
	row, up := b.view.VM(vm)
	b.mu.Unlock()
	if !up {
		return false
	}
	peer, err := b.cfg.Client.Stub(row.Peer)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(b.ctx, callDeadline)
	defer cancel()
	_, err = peer.Settle(ctx, encodeSettle(b.cfg.VM, batch))
	return err == nil
}

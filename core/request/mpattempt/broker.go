// Package mpattempt acquires permits for a VM's attempts from the group owners,
// tracks the permits that the VM holds, settles them, and reports the outstanding
// ones to a new owner.
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
	retryInterval  = 20 * time.Millisecond
	replyGrace     = 250 * time.Millisecond // for the owner's reply, beyond the request's deadline
	callTimeout    = time.Second
	settleTimeout  = 10 * time.Second // undelivered settlements are dropped after this
	maxSettleBatch = 128
	maxSettleQueue = 8192
)

// Config configures a Broker.
type Config struct {
	VM         string
	LocalOwner *mpowner.Owner
	Client     *mppeer.Client
	Metrics    *mpmetric.Set
	Clock      func() time.Time
}

// Permit allows one attempt on one upstream.
type Permit struct {
	attempt    mppermit.Attempt
	group      string
	upstream   string
	hedgeDelay time.Duration
	limit      int
	instance   string
}

// NewPermit returns a permit for attempt a on an upstream of group. See
// [Permit.HedgeDelay] for hedgeDelay.
func NewPermit(a mppermit.Attempt, group, upstream string, hedgeDelay time.Duration) Permit {
	return Permit{attempt: a, group: group, upstream: upstream, hedgeDelay: hedgeDelay}
}

// Attempt returns the id that must be sent with the attempt.
func (p Permit) Attempt() mppermit.Attempt { return p.attempt }

// Upstream returns the name of the upstream.
func (p Permit) Upstream() string { return p.upstream }

// HedgeDelay returns the time without a response after which a hedged attempt is
// worth its cost, or 0 if it never is.
func (p Permit) HedgeDelay() time.Duration { return p.hedgeDelay }

// Refusal is the error for a permit that was not granted. It wraps ErrFull,
// ErrDeadline, ErrNoUpstream or ErrOwnerStarting, ErrNotOwner when the owner could not
// be asked or has changed, ErrNoLease when this VM has no lease, or the error of a context
// that ended first.
type Refusal struct {
	RetryAfter time.Duration
	Err        error
}

func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }

// heldPermit is a permit that has been granted and not settled.
type heldPermit struct {
	group     string
	upstream  string
	deadline  time.Time
	exclusive bool
}

// observation is the last known state of an upstream, kept so that it can be
// reported to the group's next owner.
type observation struct {
	group    string
	limit    int
	instance string
	at       time.Time
}

// Broker acquires and settles the permits of one VM. It is safe for concurrent use.
type Broker struct {
	cfg Config
	ctx context.Context

	mu          sync.Mutex
	view        *mpview.View
	held        map[mppermit.Attempt]heldPermit
	observed    map[string]observation
	registering map[string]int
	queues      map[string]chan queuedSettlement
}

// queuedSettlement is a settlement that has not been delivered to its owner.
type queuedSettlement struct {
	group      string
	settlement mppermit.Settlement
	expiry     time.Time
}

// New returns a Broker whose background work stops when ctx is done.
func New(ctx context.Context, cfg Config) *Broker {
	return &Broker{
		cfg:         cfg,
		ctx:         ctx,
		view:        mpview.Empty(),
		held:        map[mppermit.Attempt]heldPermit{},
		observed:    map[string]observation{},
		registering: map[string]int{},
		queues:      map[string]chan queuedSettlement{},
	}
}

// Held returns the number of permits currently held.
func (b *Broker) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// Acquire requests a permit from the owner of group. It sets Attempt and VM of req.
func (b *Broker) Acquire(ctx context.Context, group string, req mppermit.Request) (Permit, *Refusal) {
	req.Attempt = mppermit.Attempt(rand.Uint64())
	req.VM = b.cfg.VM
	ownership, vm, ok := b.ownerOf(group)
	if !ok {
		return Permit{}, &Refusal{retryInterval, mperror.Wrap(mperror.ErrNotOwner, "group %s", group)}
	}
	deadline := b.cfg.Clock().Add(req.Remaining)
	d, err := b.requestPermit(ctx, ownership, vm, group, req)
	if err != nil {
		b.enqueue(group, mppermit.Settlement{Attempt: req.Attempt, Outcome: mppermit.Unused})
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return Permit{}, &Refusal{retryInterval, err}
	}
	switch d := d.(type) {
	case mppermit.Grant:
		held := heldPermit{group: group, upstream: d.Upstream, deadline: deadline, exclusive: req.Exclusive}
		if !b.recordHeld(req.Attempt, ownership.Epoch, held) {
			b.enqueue(group, mppermit.Settlement{Attempt: req.Attempt, Outcome: mppermit.Unused})
			return Permit{}, &Refusal{retryInterval, mperror.Wrap(mperror.ErrNotOwner, "group %s changed owner", group)}
		}
		return Permit{
			attempt:    req.Attempt,
			group:      group,
			upstream:   d.Upstream,
			hedgeDelay: d.HedgeDelay,
			limit:      d.Limit,
			instance:   d.Instance,
		}, nil
	case mppermit.Refusal:
		return Permit{}, &Refusal{d.RetryAfter, refusalError(d.Cause)}
	}
	return Permit{}, &Refusal{retryInterval, mperror.ErrNotOwner}
}

func refusalError(c mppermit.Cause) error {
	switch c {
	case mppermit.Late:
		return mperror.ErrDeadline
	case mppermit.NoUpstream:
		return mperror.ErrNoUpstream
	case mppermit.OwnerStarting:
		return mperror.ErrOwnerStarting
	case mppermit.Full:
	}
	return mperror.ErrFull
}

// ownerOf returns the current ownership of group and the owner VM, and false if the
// group has no owner that is up.
func (b *Broker) ownerOf(group string) (mpview.Ownership, mpview.VM, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ownership, ok := b.view.Owner(group)
	if !ok {
		return ownership, mpview.VM{}, false
	}
	vm, ok := b.view.VM(ownership.VM)
	return ownership, vm, ok
}

func (b *Broker) requestPermit(
	ctx context.Context, ownership mpview.Ownership, vm mpview.VM, group string, req mppermit.Request,
) (mppermit.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Remaining+replyGrace)
	defer cancel()
	if ownership.VM == b.cfg.VM {
		return b.cfg.LocalOwner.Acquire(ctx, group, ownership.Epoch, req)
	}
	peer, err := b.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return nil, err
	}
	b.cfg.Metrics.Add("permit.remote", 1)
	reply, err := peer.Acquire(ctx, EncodeAcquire(group, ownership.Epoch, req))
	if err != nil {
		return nil, mperror.Wrap(mperror.ErrNotOwner, "%v", err)
	}
	return decodeDecision(req.Attempt, reply)
}

// recordHeld records a granted permit and returns true. It returns false if the
// group has moved to another epoch, since the registration with the new owner does
// not include this permit.
func (b *Broker) recordHeld(a mppermit.Attempt, epoch uint64, held heldPermit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ownership, ok := b.view.Owner(held.group)
	if !ok || ownership.Epoch != epoch {
		return false
	}
	b.held[a] = held
	return true
}

// Settle returns a permit to its group's owner, with the result of the attempt.
func (b *Broker) Settle(p Permit, s mppermit.Settlement) {
	s.Attempt = p.attempt
	b.mu.Lock()
	delete(b.held, p.attempt)
	// A limit is valid only for the upstream process to which it applied.
	if s.Outcome == mppermit.Done && s.Instance != "" && s.Instance == p.instance {
		b.observed[p.upstream] = observation{p.group, p.limit, p.instance, b.cfg.Clock()}
	}
	b.mu.Unlock()
	b.enqueue(p.group, s)
}

// OnView switches to a new view and registers with the owner of each group whose
// epoch has changed.
func (b *Broker) OnView(_ time.Time, _, next *mpview.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byOwner := map[string][]string{}
	for group, ownership := range next.Owners() {
		prev, ok := b.view.Owner(group)
		if ok && prev.Epoch == ownership.Epoch {
			continue
		}
		byOwner[ownership.VM] = append(byOwner[ownership.VM], group)
		b.registering[group]++
	}
	b.view = next
	for name := range b.observed {
		if _, ok := next.Catalogue().Upstream(name); !ok {
			delete(b.observed, name)
		}
	}
	for vm, groups := range byOwner {
		go b.register(vm, next.Revision(), groups)
	}
}

// register reports the held permits of the groups to their new owner vm. It
// retries until vm has received them or no longer owns any of the groups.
func (b *Broker) register(vm string, revision uint64, groups []string) {
	defer b.endRegistration(groups)
	for b.ctx.Err() == nil {
		registrations, target, ok := b.registration(vm, groups)
		if !ok || b.tryRegister(target, revision, groups, registrations) == nil {
			return
		}
		mptime.Sleep(b.ctx, retryInterval)
	}
}

func (b *Broker) endRegistration(groups []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range groups {
		b.registering[g]--
		if b.registering[g] <= 0 {
			delete(b.registering, g)
		}
	}
}

// registration returns the state to report to vm as the new owner of groups, and
// false if vm is down or no longer owns any of them.
func (b *Broker) registration(vm string, groups []string) (map[string]mppermit.Registration, mpview.VM, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	target, up := b.view.VM(vm)
	if !up {
		return nil, target, false
	}
	registrations := map[string]mppermit.Registration{}
	owned := false
	for _, g := range groups {
		ownership, ok := b.view.Owner(g)
		owned = owned || ok && ownership.VM == vm
		registrations[g] = mppermit.Registration{}
	}
	now := b.cfg.Clock()
	for a, h := range b.held {
		if reg, ok := registrations[h.group]; ok {
			reg.Held = append(reg.Held, mppermit.HeldPermit{Attempt: a, Upstream: h.upstream, Remaining: h.deadline.Sub(now), Exclusive: h.exclusive})
			registrations[h.group] = reg
		}
	}
	for name, o := range b.observed {
		if reg, ok := registrations[o.group]; ok {
			reg.Observations = append(reg.Observations, mppermit.Observation{Upstream: name, Limit: o.limit, Instance: o.instance, Age: now.Sub(o.at)})
			registrations[o.group] = reg
		}
	}
	return registrations, target, owned
}

func (b *Broker) tryRegister(
	vm mpview.VM, revision uint64, groups []string, registrations map[string]mppermit.Registration,
) error {
	if vm.Name == b.cfg.VM {
		return b.cfg.LocalOwner.Register(b.cfg.Clock(), vm.Name, revision, groups, registrations)
	}
	peer, err := b.cfg.Client.Stub(vm.Peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	_, err = peer.Register(ctx, encodeRegister(b.cfg.VM, revision, groups, registrations))
	return err
}

// enqueue queues a settlement for the current owner of the group.
func (b *Broker) enqueue(group string, s mppermit.Settlement) {
	b.forward(queuedSettlement{group, s, b.cfg.Clock().Add(settleTimeout)})
}

func (b *Broker) forward(s queuedSettlement) {
	b.mu.Lock()
	ownership, ok := b.view.Owner(s.group)
	busy := b.registering[s.group] > 0
	var queue chan queuedSettlement
	if ok && (ownership.VM != b.cfg.VM || busy) {
		queue = b.queueTo(ownership.VM)
	}
	b.mu.Unlock()
	switch {
	case !ok:
		return
	case queue == nil:
		b.cfg.LocalOwner.Settle(b.cfg.Clock(), s.group, s.settlement)
	default:
		select {
		case queue <- s:
		default:
			b.cfg.Metrics.Add("settle.dropped", 1)
		}
	}
}

// queueTo returns the queue for owner vm, starting its worker on first use. b.mu
// must be held.
func (b *Broker) queueTo(vm string) chan queuedSettlement {
	queue, ok := b.queues[vm]
	if !ok {
		queue = make(chan queuedSettlement, maxSettleQueue)
		b.queues[vm] = queue
		go b.runQueue(vm, queue)
	}
	return queue
}

func (b *Broker) runQueue(vm string, queue chan queuedSettlement) {
	for {
		select {
		case <-b.ctx.Done():
			return
		case s := <-queue:
			b.flush(vm, collectBatch(s, queue))
		}
	}
}

func collectBatch(first queuedSettlement, queue chan queuedSettlement) []queuedSettlement {
	batch := []queuedSettlement{first}
	for len(batch) < maxSettleBatch {
		select {
		case s := <-queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// flush sends the settlements of groups that vm still owns and that have no
// registration in progress. The others, and those that could not be sent, are
// queued again until they expire.
func (b *Broker) flush(vm string, batch []queuedSettlement) {
	ready, deferred := b.splitReady(vm, batch)
	if len(ready) > 0 && !b.send(vm, ready) {
		deferred = append(deferred, ready...)
	}
	if len(deferred) == 0 {
		return
	}
	mptime.Sleep(b.ctx, retryInterval)
	now := b.cfg.Clock()
	for _, s := range deferred {
		if now.Before(s.expiry) {
			b.forward(s)
		}
	}
}

func (b *Broker) splitReady(vm string, batch []queuedSettlement) (ready, deferred []queuedSettlement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range batch {
		ownership, ok := b.view.Owner(s.group)
		if ok && ownership.VM == vm && b.registering[s.group] == 0 {
			ready = append(ready, s)
		} else {
			deferred = append(deferred, s)
		}
	}
	return ready, deferred
}

func (b *Broker) send(vm string, batch []queuedSettlement) bool {
	if vm == b.cfg.VM {
		for _, s := range batch {
			b.cfg.LocalOwner.Settle(b.cfg.Clock(), s.group, s.settlement)
		}
		return true
	}
	b.mu.Lock()
	target, up := b.view.VM(vm)
	b.mu.Unlock()
	if !up {
		return false
	}
	peer, err := b.cfg.Client.Stub(target.Peer)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	_, err = peer.Settle(ctx, encodeSettle(b.cfg.VM, batch))
	return err == nil
}

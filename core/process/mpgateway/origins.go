package mpgateway

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mporigin"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mpview"
)

const (
	// originCopies is the number of voters that have an origin before the first event of its
	// stream leaves, so that it outlives all entry VMs and a voter.
	originCopies = 2
	// noteTimeout limits a call to a voter, and noteWait how long a first event waits for all of
	// them. An event is late a tenth of a second after its upstream wrote it.
	noteTimeout = 500 * time.Millisecond
	noteWait    = 60 * time.Millisecond
	// spareDelay is when a further voter is asked if one has not answered. It is above the round
	// trip between data centres.
	spareDelay = 25 * time.Millisecond
	// findTimeout limits the wait for the voters if none of them has an origin.
	findTimeout = 150 * time.Millisecond
	// confirmInterval is how often a VM with a lease takes its list of upstreams for the newest.
	confirmInterval = 250 * time.Millisecond
)

// origins keeps which software began the streams of callers. The voters have the origins of all
// VMs in memory, each voter those of its share of streams, since they are not killed together
// with the VMs that serve callers.
type origins struct {
	vm      string
	view    func() *mpview.View
	dial    func(address string) (mpwire.PeerClient, error)
	ledger  *mporigin.Ledger
	history *mporigin.History
	silence *silence
	metrics *mpmetric.Set
	logger  log.Logger
}

var _ mpproxy.Origins = (*origins)(nil)

// keepers returns the voters in the order in which they are asked to keep the origin of a
// stream. Those that did not answer lately come last.
func (o *origins) keepers(now time.Time, key mporigin.Key) []mpview.VM {
	view := o.view()
	var voters []string
	for _, vm := range view.VMs() {
		if vm.Voter {
			voters = append(voters, vm.Name)
		}
	}
	var answering, silent []mpview.VM
	for _, name := range mprank.OfName(string(key[:]), voters) {
		if vm, _ := view.VM(name); o.silence.includes(now, name) {
			silent = append(silent, vm)
		} else {
			answering = append(answering, vm)
		}
	}
	return append(answering, silent...)
}

// Note implements mpproxy.Origins.
func (o *origins) Note(ctx context.Context, key mporigin.Key, origin mporigin.Origin, ttl time.Duration) {
	now := time.Now()
	o.ledger.Note(now, key, origin, ttl)
	kept := o.spread(context.WithoutCancel(ctx), key, origin, ttl)
	timer := time.NewTimer(noteWait)
	defer timer.Stop()
	select {
	case ok := <-kept:
		o.metrics.ObserveDuration("origins.note", time.Since(now))
		if !ok {
			o.metrics.Add("origins.unkept", 1)
		}
	case <-timer.C:
		o.metrics.Add("origins.unkept", 1)
	case <-ctx.Done():
	}
}

// spread asks voters, one after another while too few have answered, to keep an origin. The
// channel receives whether originCopies of them do.
func (o *origins) spread(ctx context.Context, key mporigin.Key, origin mporigin.Origin, ttl time.Duration) <-chan bool {
	keepers := o.keepers(time.Now(), key)
	done := make(chan bool, 1)
	answers := make(chan bool, len(keepers))
	next, pending, copies := 0, 0, 0
	ask := func() {
		if next < len(keepers) {
			vm := keepers[next]
			go func() { answers <- o.noteAt(ctx, vm, key, origin, ttl) }()
			next++
			pending++
		}
	}
	go func() {
		for range originCopies {
			ask()
		}
		spare := time.NewTicker(spareDelay)
		defer spare.Stop()
		for pending > 0 && copies < originCopies {
			select {
			case ok := <-answers:
				pending--
				if ok {
					copies++
				} else {
					ask()
				}
			case <-spare.C:
				ask()
			}
		}
		done <- copies >= min(originCopies, len(keepers)) && copies > 0
	}()
	return done
}

// noteAt asks a voter to keep an origin, and reports whether it does.
func (o *origins) noteAt(ctx context.Context, vm mpview.VM, key mporigin.Key, origin mporigin.Origin, ttl time.Duration) bool {
	if vm.Name == o.vm {
		return o.ledger.Note(time.Now(), key, origin, ttl)
	}
	peer, err := o.dial(vm.Peer)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	reply, err := peer.Note(ctx, &mpwire.NoteRequest{Stream: key[:], Pool: origin.Pool, Version: origin.Version, LeftMs: mptime.Millis(ttl)})
	if err != nil {
		if o.silence.add(time.Now(), vm.Name) {
			_ = level.Warn(o.logger).Log("msg", "origin not kept", "vm", vm.Name, "err", err)
		}
		return false
	}
	return reply.GetKept()
}

// Find implements mpproxy.Origins.
func (o *origins) Find(ctx context.Context, key mporigin.Key) (mporigin.Origin, bool) {
	if origin, ok := o.ledger.Find(time.Now(), key); ok {
		return origin, true
	}
	origin, found, _ := o.ask(ctx, key)
	if found {
		o.metrics.Add("origins.found", 1)
	}
	return origin, found
}

// ask asks all voters for an origin until one has it. If none has it, rulesOut is set if that is
// so, since too few voters did not answer for all copies of it to be at these.
func (o *origins) ask(ctx context.Context, key mporigin.Key) (origin mporigin.Origin, found, rulesOut bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		origin mporigin.Origin
		ok     bool
		err    error
	}
	keepers := o.keepers(time.Now(), key)
	answers := make(chan answer, len(keepers))
	answered := 0
	var lastErr error
	for _, vm := range keepers {
		go func() {
			origin, ok, err := o.findAt(ctx, vm, key)
			answers <- answer{origin, ok, err}
		}()
	}
	for range keepers {
		switch a := <-answers; {
		case a.ok:
			return a.origin, true, false
		case a.err != nil:
			lastErr = a.err
		default:
			answered++
		}
	}
	_ = level.Info(o.logger).Log("msg", "origin not found", "voters", len(keepers), "answered", answered, "err", lastErr)
	return mporigin.Origin{}, false, answered > 0 && len(keepers)-answered < originCopies
}

// findAt asks a voter for an origin. It returns false without an error if the voter has none.
func (o *origins) findAt(ctx context.Context, vm mpview.VM, key mporigin.Key) (mporigin.Origin, bool, error) {
	if vm.Name == o.vm {
		return mporigin.Origin{}, false, nil // Find has looked here.
	}
	peer, err := o.dial(vm.Peer)
	if err != nil {
		return mporigin.Origin{}, false, err
	}
	reply, err := peer.Find(ctx, &mpwire.FindRequest{Stream: key[:]})
	if err != nil || !reply.GetFound() {
		return mporigin.Origin{}, false, err
	}
	return mporigin.Origin{Pool: reply.GetPool(), Version: reply.GetVersion()}, true, nil
}

// Sole implements mpproxy.Origins. A lease outlives the contact to the other VMs, so that the
// list may be out of date although it counts as the newest one. The voters know of streams that
// began at upstreams that it lacks.
func (o *origins) Sole(ctx context.Context, key mporigin.Key, pool string, span time.Duration) (string, bool) {
	if _, ok := o.history.Sole(time.Now(), pool, span); !ok {
		return "", false
	}
	if _, _, rulesOut := o.ask(ctx, key); !rulesOut {
		return "", false
	}
	return o.history.Sole(time.Now(), pool, span)
}

// serveNote answers a call of another VM.
func (o *origins) serveNote(now time.Time, r *mpwire.NoteRequest) *mpwire.NoteReply {
	key, ok := decodeStream(r.GetStream())
	origin := mporigin.Origin{Pool: r.GetPool(), Version: r.GetVersion()}
	return &mpwire.NoteReply{Kept: ok && o.ledger.Note(now, key, origin, mptime.FromMillis(r.GetLeftMs()))}
}

// serveFind answers a call of another VM.
func (o *origins) serveFind(now time.Time, r *mpwire.FindRequest) *mpwire.FindReply {
	key, ok := decodeStream(r.GetStream())
	if !ok {
		return &mpwire.FindReply{}
	}
	origin, found := o.ledger.Find(now, key)
	return &mpwire.FindReply{Found: found, Pool: origin.Pool, Version: origin.Version}
}

func decodeStream(b []byte) (mporigin.Key, bool) {
	if len(b) != len(mporigin.Key{}) {
		return mporigin.Key{}, false
	}
	return mporigin.Key(b), true
}

// observe records a list of upstreams.
func (o *origins) observe(now time.Time, list *mplist.List) { o.history.Observe(now, list) }

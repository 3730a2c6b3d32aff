package mpgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mpview"
)

// arbiterTimeout limits a call to an arbiter. It is far above the round trip between data
// centres, and the caller of the request waits meanwhile.
const arbiterTimeout = 150 * time.Millisecond

// trials asks the arbiters of features for trials. The arbiter of a feature is the first VM
// that serves callers in the feature's order, so that all VMs name the same one without
// agreement. What both VMs know of the feature goes along, since it may have no leader to
// reach the other one.
type trials struct {
	vm      string
	view    func() *mpview.View
	dial    func(address string) (mpwire.PeerClient, error)
	ledger  *mpquarantine.Ledger
	arbiter *mpquarantine.Arbiter
	logger  log.Logger
}

var _ mpproxy.Trials = (*trials)(nil)

// Begin implements mpproxy.Trials.
func (t *trials) Begin(ctx context.Context, known mpquarantine.Finding) (mpquarantine.Permission, func(lost bool), error) {
	f, token := known.Feature, rand.Uint64()|1
	vm, ok := t.arbiterOf(f)
	if !ok {
		return t.beginHere(known, token)
	}
	p, err := t.call(ctx, vm, f, &mpwire.TryRequest{Token: token})
	switch {
	case status.Code(err) == codes.Unimplemented:
		return t.beginHere(known, token) // An earlier version, where each VM tries on its own.
	case err != nil:
		_ = level.Warn(t.logger).Log("msg", "no answer about a trial", "feature", f, "vm", vm.Name, "err", err)
		return mpquarantine.Permission{}, nil, mperror.Wrap(err, "ask %s for a trial", vm.Name)
	}
	return p, func(lost bool) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
			defer cancel()
			if _, err := t.call(ctx, vm, f, &mpwire.TryRequest{Token: token, Ended: true, Lost: lost}); err != nil {
				_ = level.Warn(t.logger).Log("msg", "end of a trial not told", "feature", f, "vm", vm.Name, "err", err)
			}
		}()
	}, nil
}

func (t *trials) beginHere(known mpquarantine.Finding, token uint64) (mpquarantine.Permission, func(lost bool), error) {
	return t.arbiter.Begin(time.Now(), known, token), func(lost bool) { t.arbiter.End(time.Now(), known.Feature, token, lost) }, nil
}

// arbiterOf returns the VM that permits the trials of f. It returns false if that is this one.
func (t *trials) arbiterOf(f mpquarantine.Feature) (mpview.VM, bool) {
	view := t.view()
	names := vmNames(view.Serving())
	if len(names) == 0 {
		return mpview.VM{}, false
	}
	vm, _ := view.VM(mprank.Of(uint64(f), names)[0])
	return vm, vm.Name != t.vm
}

func vmNames(vms []mpview.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// call sends r, completed with the feature and its level, and learns the level in the reply.
func (t *trials) call(ctx context.Context, vm mpview.VM, f mpquarantine.Feature, r *mpwire.TryRequest) (mpquarantine.Permission, error) {
	peer, err := t.dial(vm.Peer)
	if err != nil {
		return mpquarantine.Permission{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, arbiterTimeout)
	defer cancel()
	r.Feature, r.Level = uint64(f), uint32(t.ledger.LevelOf(time.Now(), f))
	reply, err := peer.Try(ctx, r)
	if err != nil {
		return mpquarantine.Permission{}, err
	}
	t.ledger.Learn(time.Now(), f, decodeLevel(reply.GetLevel()))
	return mpquarantine.Permission{Granted: reply.GetGranted(), Wait: mptime.FromMillis(reply.GetWaitMs())}, nil
}

// serve answers a call of another VM.
func (t *trials) serve(now time.Time, r *mpwire.TryRequest) *mpwire.TryReply {
	f := mpquarantine.Feature(r.GetFeature())
	level := decodeLevel(r.GetLevel())
	t.ledger.Learn(now, f, level)
	reply := &mpwire.TryReply{Level: uint32(t.ledger.LevelOf(now, f))}
	if r.GetEnded() {
		t.arbiter.End(now, f, r.GetToken(), r.GetLost())
		return reply
	}
	p := t.arbiter.Begin(now, mpquarantine.Finding{Feature: f, Level: level}, r.GetToken())
	reply.Granted, reply.WaitMs = p.Granted, mptime.Millis(p.Wait)
	return reply
}

// decodeLevel returns the level that a message names. A VM of a later version may have more.
func decodeLevel(n uint32) mpquarantine.Level {
	return mpquarantine.Level(min(n, uint32(mpquarantine.Convicted)))
}

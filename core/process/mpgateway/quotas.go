package mpgateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mprank"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mplog"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpstage"
	"mustardpost.org/core/request/mpproxy"
	"mustardpost.org/core/request/mpquota"
	"mustardpost.org/core/version/mpview"
)

const (
	// keeperTimeout limits a call to a keeper. It is far above the round trip between data
	// centres, and the caller of the request waits meanwhile.
	keeperTimeout = 150 * time.Millisecond
	// ownShareDivisor is how many times smaller than an equal share of a rate the share is that
	// a VM uses on its own: other VMs may still have the whole rate from the keeper.
	ownShareDivisor = 3
)

// newOwnShare returns the grants that a VM makes itself, which begin at a random moment of the
// first interval.
func newOwnShare() *mpquota.Grants {
	return mpquota.NewGrants(mpquota.GrantsConfig{FirstDelay: func(interval time.Duration) time.Duration {
		return time.Duration(rand.Float64() * float64(interval))
	}})
}

// quotas keeps the rates that upstreams set for all VMs together. The VMs tell each other of
// limits with their leases. The keeper of an upstream's rate is the first VM that serves
// callers in the upstream's order, so that all VMs name the same one without agreement; it
// grants each request, wherever it comes from. While it does not answer, each VM uses a part
// of its equal share.
type quotas struct {
	vm     string
	view   func() *mpview.View
	dial   func(address string) (mpwire.PeerClient, error)
	limits *mpquota.Limits
	// grants are those that this VM makes as a keeper, ownShare those that it makes itself while
	// the keeper does not answer.
	grants, ownShare *mpquota.Grants
	metrics          *mpmetric.Set
	logger           log.Logger
	// silent are keepers that did not answer.
	silent *silence
}

var (
	_ mpproxy.Quotas = (*quotas)(nil)
	_ mpstage.Quotas = (*quotas)(nil)
)

// Observe implements mpproxy.Quotas and mpstage.Quotas.
func (q *quotas) Observe(sentAt time.Time, upstream string, s mpquota.Statement) {
	if c, changed := q.limits.Observe(time.Now(), sentAt, upstream, s); changed {
		q.logChange(c, "answer")
	}
}

// learn records a limit that another VM told.
func (q *quotas) learn(c mpquota.Change) { q.logChange(c, "peer") }

func (q *quotas) logChange(c mpquota.Change, source string) {
	_ = level.Info(q.logger).Log("msg", mplog.MsgLimit, "upstream", c.Upstream, "was", c.Was, "rate", c.Rate, "from", source)
}

// Rate implements mpproxy.Quotas and mpstage.Quotas.
func (q *quotas) Rate(upstream string) (float64, bool) { return q.limits.Rate(upstream) }

// Take implements mpproxy.Quotas.
func (q *quotas) Take(ctx context.Context, upstream string, rate float64) time.Duration {
	view := q.view()
	serving := view.Serving()
	if len(serving) == 0 {
		return q.grants.Take(time.Now(), upstream, rate)
	}
	vm, _ := view.VM(mprank.OfName(upstream, vmNames(serving))[0])
	if vm.Name == q.vm {
		return q.grants.Take(time.Now(), upstream, rate)
	}
	if !q.silent.includes(time.Now(), vm.Name) {
		reply, err := q.call(ctx, vm, &mpwire.TakeRequest{Upstream: upstream, Rate: rate})
		switch {
		case err == nil:
			return mptime.FromMillis(reply.GetWaitMs())
		case ctx.Err() != nil:
			return silentPeriod // The request has ended, which says nothing about the keeper.
		}
		q.recordSilence(vm.Name, err)
	}
	wait := q.ownShare.Take(time.Now(), upstream, rate/float64(ownShareDivisor*len(serving)))
	return min(wait, silentPeriod) // Then the keeper is asked again.
}

func (q *quotas) recordSilence(vm string, err error) {
	_ = level.Warn(q.logger).Log("msg", "no answer about a limit", "vm", vm, "err", err)
	q.silent.add(time.Now(), vm)
}

// prune forgets the upstreams that have left the list.
func (q *quotas) prune(now time.Time, isListed func(upstream string) bool) {
	q.limits.Prune(now, isListed)
	q.grants.Prune(isListed)
	q.ownShare.Prune(isListed)
}

func (q *quotas) call(ctx context.Context, vm mpview.VM, r *mpwire.TakeRequest) (*mpwire.TakeReply, error) {
	peer, err := q.dial(vm.Peer)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	return peer.Take(ctx, r)
}

// serve answers a call of another VM. What this VM knows of the limit goes before what the
// other one does, as VMs may learn of a change at different times.
func (q *quotas) serve(now time.Time, r *mpwire.TakeRequest) *mpwire.TakeReply {
	rate := r.GetRate()
	if known, ok := q.limits.Rate(r.GetUpstream()); ok {
		rate = min(rate, known)
	}
	if !(rate > 0) {
		return &mpwire.TakeReply{WaitMs: mptime.Millis(time.Second)} // No VM sends such a rate.
	}
	wait := q.grants.Take(now, r.GetUpstream(), rate)
	if wait > 0 {
		wait = max(wait, time.Millisecond)
	}
	return &mpwire.TakeReply{WaitMs: mptime.Millis(wait)}
}

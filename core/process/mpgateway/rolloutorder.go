package mpgateway

import (
	"context"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpid"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
)

// OrderRollout orders the roll-out of a pool to the version target, and returns once that is durable. An
// order that repeats one that was accepted is accepted again. The error wraps ErrInvalid, ErrNotFound
// if the newest plan has no such pool, or ErrConflict if a roll-out of the pool to another target
// runs. After any other error the order may have taken effect or not, and should be repeated.
func (g *Gateway) OrderRollout(ctx context.Context, who, pool, target string, duration time.Duration) error {
	o := mpstate.RolloutOrder{
		ID:         mpid.New(),
		Who:        who,
		Pool:       pool,
		Target:     target,
		DurationMs: duration.Milliseconds(),
		AckMs:      g.cfg.Rollouts.AckTime.Milliseconds(),
		Share:      g.cfg.Rollouts.ExposeShare,
	}
	// An order that is invalid whatever runs is refused also without a leader.
	if _, _, err := mprollout.Order(time.Now(), nil, o.Request()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := g.checkPool(ctx, pool); err != nil {
		return err
	}
	reply, err := g.proposer.Propose(ctx, o, 0)
	if err != nil {
		return err
	}
	return reply.Result.Err()
}

// checkPool returns an error unless the plan has the pool. The plan of this VM may be older than one
// that was acknowledged at another VM, so that only the newest one tells that a pool does not exist.
func (g *Gateway) checkPool(ctx context.Context, pool string) error {
	if t := g.Table(); t != nil && t.Pool(pool) != nil {
		return nil
	}
	routing, err := g.ReadPlan(ctx)
	switch {
	case err != nil:
		return err
	case routing.Version == 0:
		return mperror.ErrNoPlan
	}
	table, err := g.cfg.DecodePlan(routing)
	if err != nil {
		// Not expected, since a plan is validated before it is accepted.
		return mperror.Wrap(mperror.ErrNoPlan, "decode plan %d: %v", routing.Version, err)
	}
	if table.Pool(pool) == nil {
		return mperror.Wrap(mperror.ErrNotFound, "pool %q", pool)
	}
	return nil
}

// Rollout returns the latest roll-out of a pool, ordered after every change that was acknowledged
// before the call. The error wraps ErrNotFound if the pool has had none.
func (g *Gateway) Rollout(ctx context.Context, pool string) (mprollout.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := g.proposer.Propose(ctx, mpstate.Read{Pool: pool}, 0)
	if err == nil {
		err = reply.Result.Err()
	}
	if err != nil {
		return mprollout.Rollout{}, err
	}
	if reply.Result.Rollout == nil {
		return mprollout.Rollout{}, mperror.Wrap(mperror.ErrNotLeader, "the leader is of an earlier build, without roll-outs")
	}
	return *reply.Result.Rollout, nil
}

func (g *Gateway) runningRollouts() int {
	n := 0
	for _, r := range g.member.Current().Rollouts() {
		if r.Running() {
			n++
		}
	}
	return n
}

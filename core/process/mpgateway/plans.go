package mpgateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

// adoptPlan takes a plan into use. An error is not expected, since a plan is validated before it is
// accepted.
func (g *Gateway) adoptPlan(_ time.Time, plan mpview.Routing) error {
	table, err := g.cfg.DecodePlan(plan)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Store(table)
	_ = level.Info(g.cfg.Logger).Log("msg", "plan in force", "plan", plan.Version, "revision", g.view.Revision(),
		"routes", table.RouteCount(), "accounts", table.AccountCount(), "keys", table.KeyCount())
	g.updateUsable()
	return nil
}

// PublishPlan replaces the operators' plan, unless a newer one is in force. If it returns
// an error that wraps ErrOutcomeUnknown, the plan may still take effect.
func (g *Gateway) PublishPlan(ctx context.Context, r mpview.Routing) error {
	if r.Version == 0 {
		// It is not above the version of no plan, so it would be acknowledged without effect.
		current, err := g.ReadPlan(ctx)
		if err := checkFirstVersion(current, err); err != nil {
			return err
		}
	}
	return g.propose(ctx, operatorName, mpview.Publish{Routing: r})
}

// checkFirstVersion returns an error for a plan of version 0 unless a plan is in force, which it
// would not replace. err is that of reading the plan in force.
func checkFirstVersion(current mpview.Routing, err error) error {
	if err != nil || current.Version > 0 {
		return err
	}
	return mperror.Wrap(mperror.ErrInvalid, "the version of the first plan must be above 0")
}

// ReadPlan returns the newest published plan. Its version is 0 if there is none.
func (g *Gateway) ReadPlan(ctx context.Context) (mpview.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := g.proposer.Propose(ctx, mpstate.Read{}, 0)
	if err != nil || reply.Result.Routing == nil {
		return mpview.Routing{}, err
	}
	return *reply.Result.Routing, nil
}

package mpgateway

import (
	"time"

	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/request/mpquarantine"
)

// publishMetrics registers the gauges that show this VM's health.
func (g *Gateway) publishMetrics() {
	g.metrics.Gauge("lease", func() any { return g.member.HasLease(time.Now()) })
	g.metrics.Gauge("lease.without", func() any { return g.member.TimeWithoutLease(time.Now()) })
	g.metrics.Gauge("revision", func() any { return g.member.Current().Revision() })
	g.metrics.Gauge("plan", func() any { return g.Table().Version() })
	g.metrics.Gauge("plan.lag", func() any { return g.plans.Lag(time.Now()) })
	g.metrics.Gauge("plan.confirmed", func() any { return g.plans.State(time.Now()) == mpplan.InForce })
	g.metrics.Gauge("vms", func() any { return len(g.member.Current().VMs()) })
	g.metrics.Gauge("upstreams", func() any { return len(g.List().Rows()) })
	g.metrics.Gauge("upstreams.age", func() any {
		if list := g.List(); list != nil {
			return time.Since(list.ReceivedAt())
		}
		return time.Duration(0)
	})
	g.metrics.Gauge("leads", func() any {
		voter := g.voterService.Voter()
		return voter != nil && voter.Replica().Status().Leading
	})
	if g.cfg.IsVoter {
		g.publishVoterMetrics()
	}
	g.metrics.Gauge("quarantine.suspects", func() any { return g.quarantine.Count(mpquarantine.Suspect, mpquarantine.StrongSuspect) })
	g.metrics.Gauge("quarantine.convicted", func() any { return g.quarantine.Count(mpquarantine.Convicted, mpquarantine.Convicted) })
	g.metrics.Gauge("upstreams.limited", func() any { return g.quotas.limits.Count() })
	g.metrics.Gauge("assign.held", func() any { return g.engineOwner.held() })
	g.metrics.Gauge("origins", func() any { return g.origins.ledger.Count() })
	if g.cfg.Rollouts.Enabled() {
		g.metrics.Gauge("rollout.running", func() any { return g.runningRollouts() })
	}
	g.metrics.Gauge("relay.tunnels", func() any { return g.cfg.Relay.Tunnels() })
	g.publishSpeedMetrics()
	g.metrics.Gauge("pieces.waiting", func() any { return g.owner.Waiting() })
}

// publishSpeedMetrics registers the gauges that show by which factor work takes longer at the
// fastest and at the slowest upstream than usual, among those that this VM sends requests to and
// among those that it batches the pieces of.
func (g *Gateway) publishSpeedMetrics() {
	for name, bounds := range map[string]func(time.Time) (least, greatest float64){"requests": g.selector.SpeedRange, "pieces": g.owner.SpeedRange} {
		g.metrics.Gauge("speed."+name+".min", func() any {
			least, _ := bounds(time.Now())
			return least
		})
		g.metrics.Gauge("speed."+name+".max", func() any {
			_, greatest := bounds(time.Now())
			return greatest
		})
	}
}

// publishVoterMetrics registers the gauges that show the health of this VM's voter and of
// the quorum.
func (g *Gateway) publishVoterMetrics() {
	g.metrics.Gauge("voter", func() any { return g.voterService.Voter() != nil })
	g.metrics.Gauge("voters", func() any {
		if voter := g.voterService.Voter(); voter != nil {
			return len(voter.Replica().Status().Members.Voters())
		}
		return 0
	})
	g.metrics.Gauge("quorum.lost", func() any {
		voter := g.voterService.Voter()
		if voter == nil {
			return time.Duration(0)
		}
		if lostAt := voter.Replica().Status().LostAt; !lostAt.IsZero() {
			return time.Since(lostAt)
		}
		return time.Duration(0)
	})
}

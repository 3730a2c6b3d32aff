package mpproxy

import (
	"net/http"
	"time"

	"mustardpost.org/core/connection/mpplan"
	"mustardpost.org/core/version/mproute"
)

// resolution is the route and the account of a request.
type resolution struct {
	table   *mproute.Table
	route   *mproute.Route
	account *mproute.Account
}

// refusal is the response to a request that has no route or no valid account.
type refusal struct {
	status     int
	retryAfter time.Duration
	cause      string
}

// resolve returns the route and the account of r, or why r is refused without a look at its body.
func (p *Proxy) resolve(r *Request) (resolution, *refusal) {
	// The state is read first: a plan that is adopted in between is newer than the state says.
	state := mpplan.InForce
	if p.cfg.PlanState != nil {
		state = p.cfg.PlanState(p.cfg.Clock())
	}
	out := resolution{table: p.cfg.State.Table()}
	if out.table == nil {
		return out, &refusal{http.StatusServiceUnavailable, minRetryAfter, "no plan yet"}
	}
	if state == mpplan.Replaced {
		return out, &refusal{http.StatusServiceUnavailable, minRetryAfter, "plan replaced"}
	}
	out.route = out.table.Find(r.Host, r.Path)
	if out.route == nil {
		return out, refuseByPlan(state, http.StatusNotFound, "no route")
	}
	if out.table.HasAccounts() && !out.route.Spec().Public {
		out.account = out.table.Account(r.APIKey)
		if out.account == nil {
			return out, refuseByPlan(state, http.StatusUnauthorized, "unknown key")
		}
	}
	return out, nil
}

// refuseByPlan returns the refusal of a request that the plan does not allow. The plan in force may allow
// it if this VM's is unconfirmed; what a VM's plan allows is still served then, or an outage of the
// voters would be one of all requests.
func refuseByPlan(state mpplan.State, status int, cause string) *refusal {
	if state == mpplan.InForce {
		return &refusal{status, 0, cause}
	}
	return &refusal{http.StatusServiceUnavailable, minRetryAfter, cause + ", plan not confirmed"}
}

// Check looks for the route and the account of a request whose body has not been read yet. It returns
// the name of the account, which is empty if the route needs none. If the request is refused, refuse
// answers it as Serve would, and must be called instead of Serve.
func (p *Proxy) Check(r *Request) (account string, refuse func(w http.ResponseWriter)) {
	found, refused := p.resolve(r)
	if refused == nil {
		if found.account != nil {
			account = found.account.Name()
		}
		return account, nil
	}
	return "", func(w http.ResponseWriter) {
		e := &exchange{p: p, r: r, w: w, start: p.cfg.Clock(), table: found.table, route: found.route}
		defer e.finish()
		e.refuse(refused.status, refused.retryAfter, refused.cause, "")
	}
}

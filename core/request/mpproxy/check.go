package mpproxy

import (
	"net/http"
	"time"

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
	out := resolution{table: p.cfg.State.Table()}
	if out.table == nil {
		return out, &refusal{http.StatusServiceUnavailable, minRetryAfter, "no plan yet"}
	}
	out.route = out.table.Find(r.Host, r.Path)
	if out.route == nil {
		return out, &refusal{http.StatusNotFound, 0, "no route"}
	}
	if out.table.HasAccounts() && !out.route.Spec().Public {
		out.account = out.table.Account(r.APIKey)
		if out.account == nil {
			return out, &refusal{http.StatusUnauthorized, 0, "unknown key"}
		}
	}
	return out, nil
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

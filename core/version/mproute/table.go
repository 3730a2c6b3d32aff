package mproute

import (
	"cmp"
	"slices"
	"strings"

	"mustardpost.org/core/common/mperror"
)

// Table is a validated routing plan.
type Table struct {
	spec     Spec
	hosts    map[string][]*Route
	pools    map[string]*Pool
	accounts map[string]*Account
}

// Route is a validated route.
type Route struct {
	spec        RouteSpec
	totalWeight float64
}

// Pool is a validated pool.
type Pool struct{ spec PoolSpec }

// Account is a validated account.
type Account struct{ spec AccountSpec }

// Spec returns the specification of the route. The caller must not modify it.
func (r *Route) Spec() *RouteSpec { return &r.spec }

// Spec returns the specification of the pool. The caller must not modify it.
func (p *Pool) Spec() *PoolSpec { return &p.spec }

// Name returns the account's name.
func (a *Account) Name() string { return a.spec.Name }

// Priority returns the priority of the account's requests on route r. A nil
// account has the priority of the route.
func (a *Account) Priority(r *Route) int {
	if a == nil || a.spec.Priority == nil {
		return r.spec.Priority
	}
	return *a.spec.Priority
}

// New validates s and returns its table, or an error that wraps ErrInvalid.
func New(s Spec) (*Table, error) {
	t := &Table{
		spec:     s,
		hosts:    map[string][]*Route{},
		pools:    map[string]*Pool{},
		accounts: map[string]*Account{},
	}
	if s.Version == 0 {
		return nil, invalid("version is 0")
	}
	for _, p := range s.Pools {
		if _, ok := t.pools[p.Name]; ok || p.Name == "" {
			return nil, invalid("pool %q is named twice or empty", p.Name)
		}
		t.pools[p.Name] = &Pool{p}
	}
	for _, r := range s.Routes {
		if err := t.addRoute(r); err != nil {
			return nil, err
		}
	}
	for host := range t.hosts {
		slices.SortFunc(t.hosts[host], func(a, b *Route) int {
			return cmp.Compare(len(b.spec.Prefix), len(a.spec.Prefix))
		})
	}
	for _, a := range s.Accounts {
		account := &Account{a}
		for _, k := range a.Keys {
			if other, ok := t.accounts[k]; ok {
				return nil, invalid("accounts %q and %q share a key", other.Name(), a.Name)
			}
			t.accounts[k] = account
		}
	}
	return t, nil
}

func invalid(format string, args ...any) error {
	return mperror.Wrap(mperror.ErrInvalid, format, args...)
}

func (t *Table) addRoute(s RouteSpec) error {
	r := &Route{spec: s}
	switch s.Kind {
	case Idempotent, NonIdempotent, Stream:
	default:
		return invalid("route %q: unknown kind %q", s.Name, s.Kind)
	}
	if s.Host == "" || !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return invalid("route %q: host %q, prefix %q", s.Name, s.Host, s.Prefix)
	}
	if s.Timeout <= 0 {
		return invalid("route %q: timeout is %v", s.Name, s.Timeout)
	}
	for _, share := range s.Shares {
		if _, ok := t.pools[share.Pool]; !ok {
			return invalid("route %q: unknown pool %q", s.Name, share.Pool)
		}
		if share.Weight < 0 {
			return invalid("route %q: negative weight", s.Name)
		}
		r.totalWeight += share.Weight
	}
	if r.totalWeight <= 0 {
		return invalid("route %q: weights add up to 0", s.Name)
	}
	if err := t.checkStages(r); err != nil {
		return err
	}
	for _, other := range t.hosts[s.Host] {
		if other.spec.Prefix == s.Prefix {
			return invalid("routes %q and %q share host and prefix", other.spec.Name, s.Name)
		}
	}
	t.hosts[s.Host] = append(t.hosts[s.Host], r)
	return nil
}

// checkStages requires each stage to read only from earlier stages, which rules
// out cycles.
func (t *Table) checkStages(r *Route) error {
	for i, st := range r.spec.Stages {
		if _, ok := t.pools[st.Pool]; !ok {
			return invalid("route %q: unknown pool %q", r.spec.Name, st.Pool)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return invalid("route %q: stage %d after %d", r.spec.Name, i, a)
			}
		}
	}
	return nil
}

// Version returns the version that operators gave the plan, or 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.spec.Version
}

// Limits returns the limits on requests from callers.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Find returns the route of host with the longest prefix that matches path, or
// nil.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.spec.Prefix) {
			return r
		}
	}
	return nil
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.spec.Routes) }

// AccountCount returns the number of accounts, also of those without a key.
func (t *Table) AccountCount() int { return len(t.spec.Accounts) }

// KeyCount returns the number of keys of all accounts.
func (t *Table) KeyCount() int { return len(t.accounts) }

// HasAccounts reports whether the plan lists accounts, so that requests need a key. It does so even
// if the list is empty or no account in it has a key: no request has a valid key then.
func (t *Table) HasAccounts() bool { return t.spec.Accounts != nil }

// Account returns the account that the key belongs to, or nil. The empty key, which requests without
// a key have, belongs to none.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accounts[key]
}

// Pool returns the named pool, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// PickPool returns a pool of the route, chosen by weight. x must be uniformly
// distributed over [0, 1).
func (r *Route) PickPool(x float64) string {
	remaining := x * r.totalWeight
	last := ""
	for _, s := range r.spec.Shares {
		if s.Weight <= 0 {
			continue
		}
		last = s.Pool
		if remaining -= s.Weight; remaining < 0 {
			break
		}
	}
	return last
}

// HasPool reports whether requests of the route may go to the named pool.
func (r *Route) HasPool(name string) bool {
	return slices.ContainsFunc(r.spec.Shares, func(s Share) bool { return s.Pool == name && s.Weight > 0 })
}

// IsRepeatable reports whether requests of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.spec.Kind == Idempotent || r.spec.Kind == Stream && r.spec.Resumable
}

package mpcatalogue

import (
	"slices"
)

// Catalogue is an immutable revision of the operators' configuration.
type Catalogue struct {
	classes   table[Class]
	dcs       table[DC]
	pools     table[Pool]
	upstreams table[Upstream]
	accounts  table[Account]
	entries   table[Entry]
	byKey     map[string]string
	byGroup   map[string][]string
}

// Empty returns a catalogue with no rows.
func Empty() *Catalogue { return &Catalogue{} }

// Apply returns a new catalogue with e applied, or an error that wraps
// ErrInvalid and names the first invalid row.
func (c *Catalogue) Apply(e Edit) (*Catalogue, error) {
	next := c.ApplyUnchecked(e)
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

// ApplyUnchecked returns a new catalogue with e applied. It skips validation:
// the caller guarantees that e has already been validated.
func (c *Catalogue) ApplyUnchecked(e Edit) *Catalogue {
	next := &Catalogue{
		classes:   c.classes.with(e.Put.Classes, e.Drop.Classes),
		dcs:       c.dcs.with(e.Put.DCs, e.Drop.DCs),
		pools:     c.pools.with(e.Put.Pools, e.Drop.Pools),
		upstreams: c.upstreams.with(e.Put.Upstreams, e.Drop.Upstreams),
		accounts:  c.accounts.with(e.Put.Accounts, e.Drop.Accounts),
		entries:   c.entries.with(e.Put.Entries, e.Drop.Entries),
		byKey:     c.byKey,
		byGroup:   c.byGroup,
	}
	if len(e.Put.Accounts)+len(e.Drop.Accounts) > 0 {
		next.indexAccounts()
	}
	if len(e.Put.Upstreams)+len(e.Drop.Upstreams) > 0 {
		next.indexUpstreams()
	}
	return next
}

func (c *Catalogue) indexAccounts() {
	c.byKey = make(map[string]string, len(c.accounts))
	for _, a := range c.accounts {
		c.byKey[a.KeyHash] = a.Name
	}
}

func (c *Catalogue) indexUpstreams() {
	c.byGroup = map[string][]string{}
	for _, u := range c.upstreams {
		g := GroupName(u.Pool, u.DC)
		c.byGroup[g] = append(c.byGroup[g], u.Name)
	}
	for _, names := range c.byGroup {
		slices.Sort(names)
	}
}

// Document returns all rows, sorted by name within each kind.
func (c *Catalogue) Document() Document {
	return Document{
		Classes:   c.classes.sorted(),
		DCs:       c.dcs.sorted(),
		Pools:     c.pools.sorted(),
		Upstreams: c.upstreams.sorted(),
		Accounts:  c.accounts.sorted(),
		Entries:   c.entries.sorted(),
	}
}

// Diff returns the edit that turns one document into another.
func Diff(from, to Document) Edit {
	var e Edit
	e.Put.Classes, e.Drop.Classes = newTable(from.Classes).diff(newTable(to.Classes))
	e.Put.DCs, e.Drop.DCs = newTable(from.DCs).diff(newTable(to.DCs))
	e.Put.Pools, e.Drop.Pools = newTable(from.Pools).diff(newTable(to.Pools))
	e.Put.Upstreams, e.Drop.Upstreams = newTable(from.Upstreams).diff(newTable(to.Upstreams))
	e.Put.Accounts, e.Drop.Accounts = newTable(from.Accounts).diff(newTable(to.Accounts))
	e.Put.Entries, e.Drop.Entries = newTable(from.Entries).diff(newTable(to.Entries))
	return e
}

// AffectedRows returns the current rows that e would replace or drop.
func (c *Catalogue) AffectedRows(e Edit) Document {
	return Document{
		Classes:   c.classes.selectRows(e.Put.Classes, e.Drop.Classes),
		DCs:       c.dcs.selectRows(e.Put.DCs, e.Drop.DCs),
		Pools:     c.pools.selectRows(e.Put.Pools, e.Drop.Pools),
		Upstreams: c.upstreams.selectRows(e.Put.Upstreams, e.Drop.Upstreams),
		Accounts:  c.accounts.selectRows(e.Put.Accounts, e.Drop.Accounts),
		Entries:   c.entries.selectRows(e.Put.Entries, e.Drop.Entries),
	}
}

// Keys returns the keys, in the form kind/name, of the rows that e changes.
func (e Edit) Keys() []string {
	var keys []string
	keys = appendKeys(keys, "class/", e.Put.Classes, e.Drop.Classes)
	keys = appendKeys(keys, "dc/", e.Put.DCs, e.Drop.DCs)
	keys = appendKeys(keys, "pool/", e.Put.Pools, e.Drop.Pools)
	keys = appendKeys(keys, "upstream/", e.Put.Upstreams, e.Drop.Upstreams)
	keys = appendKeys(keys, "account/", e.Put.Accounts, e.Drop.Accounts)
	keys = appendKeys(keys, "entry/", e.Put.Entries, e.Drop.Entries)
	return keys
}

func appendKeys[T row](keys []string, kind string, put []T, drop []string) []string {
	for _, r := range put {
		keys = append(keys, kind+r.key())
	}
	for _, name := range drop {
		keys = append(keys, kind+name)
	}
	return keys
}

// Class returns the named class.
func (c *Catalogue) Class(name string) (Class, bool) {
	r, ok := c.classes[name]
	return r, ok
}

// DC returns the named data centre.
func (c *Catalogue) DC(name string) (DC, bool) {
	r, ok := c.dcs[name]
	return r, ok
}

// DCs returns the data centres sorted by name.
func (c *Catalogue) DCs() []DC { return c.dcs.sorted() }

// Pool returns the named pool.
func (c *Catalogue) Pool(name string) (Pool, bool) {
	r, ok := c.pools[name]
	return r, ok
}

// Upstream returns the named upstream, with unset limits taken from its pool.
func (c *Catalogue) Upstream(name string) (Upstream, bool) {
	u, ok := c.upstreams[name]
	if !ok {
		return Upstream{}, false
	}
	p := c.pools[u.Pool]
	if u.Limit == 0 {
		u.Limit = p.Limit
	}
	if u.ColdLimit == 0 {
		u.ColdLimit = max(p.ColdLimit, 1)
	}
	u.ColdLimit = min(u.ColdLimit, u.Limit)
	return u, true
}

// Upstreams returns the upstreams sorted by name, without defaults from their pools.
func (c *Catalogue) Upstreams() []Upstream { return c.upstreams.sorted() }

// Entry returns the named entry.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	r, ok := c.entries[name]
	return r, ok
}

// Entries returns the entries sorted by name.
func (c *Catalogue) Entries() []Entry { return c.entries.sorted() }

// Account returns the named account.
func (c *Catalogue) Account(name string) (Account, bool) {
	r, ok := c.accounts[name]
	return r, ok
}

// AccountByKeyHash returns the account whose key has the hex SHA-256 digest sum.
func (c *Catalogue) AccountByKeyHash(sum string) (Account, bool) {
	return c.Account(c.byKey[sum])
}

// Groups returns the names of all groups, sorted. A group is the part of a pool
// in one data centre and the unit of ownership.
func (c *Catalogue) Groups() []string {
	names := make([]string, 0, len(c.byGroup))
	for g := range c.byGroup {
		names = append(names, g)
	}
	slices.Sort(names)
	return names
}

// GroupUpstreams returns the sorted names of the upstreams in a group.
func (c *Catalogue) GroupUpstreams(name string) []string { return c.byGroup[name] }

// PoolAndDC returns the pool and the data centre of a group. Both are empty if
// the group has no upstreams.
func (c *Catalogue) PoolAndDC(group string) (pool, dc string) {
	names := c.byGroup[group]
	if len(names) == 0 {
		return "", ""
	}
	u := c.upstreams[names[0]]
	return u.Pool, u.DC
}

// GroupsByCost returns the pool's groups in order of preference from data
// centre dc: the local group first, then by link cost, then by name.
func (c *Catalogue) GroupsByCost(pool, dc string) []string {
	type ranked struct {
		group string
		cost  float64
	}
	var groups []ranked
	for _, d := range c.dcs.sorted() {
		g := GroupName(pool, d.Name)
		if len(c.byGroup[g]) > 0 {
			groups = append(groups, ranked{g, c.Cost(dc, d.Name)})
		}
	}
	slices.SortStableFunc(groups, func(a, b ranked) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	names := make([]string, len(groups))
	for i, r := range groups {
		names[i] = r.group
	}
	return names
}

const defaultLinkCost = 1.0

// Cost returns the relative cost of a byte sent between two data centres. It is
// 0 within a data centre and defaultLinkCost if no link is declared.
func (c *Catalogue) Cost(from, to string) float64 {
	if from == to {
		return 0
	}
	for _, l := range c.dcs[from].Links {
		if l.To == to {
			return l.Cost
		}
	}
	return defaultLinkCost
}

// GroupName returns the name of the group of pool in data centre dc.
func GroupName(pool, dc string) string { return pool + "@" + dc }

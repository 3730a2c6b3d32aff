package mpcatalogue

import (
	"slices"
)

// Catalogue is one immutable revision of what operators declared.
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

// Empty returns a catalogue without rows.
func Empty() *Catalogue { return &Catalogue{} }

// Apply returns the catalogue after e, or an error that wraps ErrInvalid and
// names the first row that does not fit.
func (c *Catalogue) Apply(e Edit) (*Catalogue, error) {
	next := c.ApplyUnchecked(e)
	if err := next.check(); err != nil {
		return nil, err
	}
	return next, nil
}

// ApplyUnchecked returns the catalogue after e, which was checked elsewhere.
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

// Document returns all rows, each kind in the order of its names.
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

// Diff returns the edit that leads from one document to another.
func Diff(from, to Document) Edit {
	var e Edit
	e.Put.Classes, e.Drop.Classes = tableOf(from.Classes).changes(tableOf(to.Classes))
	e.Put.DCs, e.Drop.DCs = tableOf(from.DCs).changes(tableOf(to.DCs))
	e.Put.Pools, e.Drop.Pools = tableOf(from.Pools).changes(tableOf(to.Pools))
	e.Put.Upstreams, e.Drop.Upstreams = tableOf(from.Upstreams).changes(tableOf(to.Upstreams))
	e.Put.Accounts, e.Drop.Accounts = tableOf(from.Accounts).changes(tableOf(to.Accounts))
	e.Put.Entries, e.Drop.Entries = tableOf(from.Entries).changes(tableOf(to.Entries))
	return e
}

// AffectedRows returns the rows as they stand that e would replace or drop.
func (c *Catalogue) AffectedRows(e Edit) Document {
	return Document{
		Classes:   c.classes.only(e.Put.Classes, e.Drop.Classes),
		DCs:       c.dcs.only(e.Put.DCs, e.Drop.DCs),
		Pools:     c.pools.only(e.Put.Pools, e.Drop.Pools),
		Upstreams: c.upstreams.only(e.Put.Upstreams, e.Drop.Upstreams),
		Accounts:  c.accounts.only(e.Put.Accounts, e.Drop.Accounts),
		Entries:   c.entries.only(e.Put.Entries, e.Drop.Entries),
	}
}

// Keys returns the rows that e touches, as kind/name.
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

// Class returns the class called name.
func (c *Catalogue) Class(name string) (Class, bool) {
	r, ok := c.classes[name]
	return r, ok
}

// DC returns the data centre called name.
func (c *Catalogue) DC(name string) (DC, bool) {
	r, ok := c.dcs[name]
	return r, ok
}

// DCs returns the data centres in the order of their names.
func (c *Catalogue) DCs() []DC { return c.dcs.sorted() }

// Pool returns the pool called name.
func (c *Catalogue) Pool(name string) (Pool, bool) {
	r, ok := c.pools[name]
	return r, ok
}

// Upstream returns the upstream called name with the pool's numbers filled in.
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

// Upstreams returns the upstreams in the order of their names.
func (c *Catalogue) Upstreams() []Upstream { return c.upstreams.sorted() }

// Entry returns the entry called name.
func (c *Catalogue) Entry(name string) (Entry, bool) {
	r, ok := c.entries[name]
	return r, ok
}

// Entries returns the entries in the order of their names.
func (c *Catalogue) Entries() []Entry { return c.entries.sorted() }

// Account returns the account called name.
func (c *Catalogue) Account(name string) (Account, bool) {
	r, ok := c.accounts[name]
	return r, ok
}

// AccountByKeyHash returns the account whose key hashes to the hex string sum.
func (c *Catalogue) AccountByKeyHash(sum string) (Account, bool) {
	return c.Account(c.byKey[sum])
}

// Groups returns the names of all groups in ascending order. A group is the
// part of a pool in one data centre, and the unit of ownership.
func (c *Catalogue) Groups() []string {
	names := make([]string, 0, len(c.byGroup))
	for g := range c.byGroup {
		names = append(names, g)
	}
	slices.Sort(names)
	return names
}

// GroupUpstreams returns the names of the upstreams in a group.
func (c *Catalogue) GroupUpstreams(name string) []string { return c.byGroup[name] }

// PoolAndDC returns the pool and the data centre of a group, or "" for a group
// without upstreams.
func (c *Catalogue) PoolAndDC(group string) (pool, dc string) {
	names := c.byGroup[group]
	if len(names) == 0 {
		return "", ""
	}
	u := c.upstreams[names[0]]
	return u.Pool, u.DC
}

// GroupsByCost returns the pool's groups as seen from data centre dc: its own first,
// then by link cost, then by name.
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

const unstatedCost = 1.0

// Cost returns the price of a byte between two data centres, 0 within one.
func (c *Catalogue) Cost(from, to string) float64 {
	if from == to {
		return 0
	}
	for _, l := range c.dcs[from].Links {
		if l.To == to {
			return l.Cost
		}
	}
	return unstatedCost
}

// GroupName returns the name of a pool's group in a data centre.
func GroupName(pool, dc string) string { return pool + "@" + dc }

package mpcatalogue

import (
	"net/netip"
	"strings"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpname"
)

const (
	maxDeadlineMs = 600_000
	maxStages     = 16
	maxLimit      = 100_000
	maxWeight     = 1000
)

func invalid(row, format string, args ...any) error {
	return mperror.Wrap(mperror.Wrap(mperror.ErrInvalid, format, args...), "%s", row)
}

// check validates all rows and returns an error that names the first invalid one.
func (c *Catalogue) check() error {
	checks := []func() error{
		c.checkClasses, c.checkDCs, c.checkPools, c.checkUpstreams, c.checkAccounts, c.checkEntries,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func checkName(kind, name string) error {
	if !mpname.IsValid(name) {
		return invalid(kind+"/"+name, "a name has %s", mpname.Allowed)
	}
	return nil
}

func checkRange(row, field string, value, low, high int) error {
	if value < low || value > high {
		return invalid(row, "%s %d is not within %d to %d", field, value, low, high)
	}
	return nil
}

func (c *Catalogue) checkClasses() error {
	for _, r := range c.classes.sorted() {
		if err := checkName("class", r.Name); err != nil {
			return err
		}
		if err := checkRange("class/"+r.Name, "deadline", r.Deadline, 1, maxDeadlineMs); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalogue) checkDCs() error {
	for _, r := range c.dcs.sorted() {
		if err := checkName("dc", r.Name); err != nil {
			return err
		}
		for _, l := range r.Links {
			if _, ok := c.dcs[l.To]; !ok {
				return invalid("dc/"+r.Name, "link to unknown data centre %q", l.To)
			}
			if l.Cost < 0 || l.Delay < 0 {
				return invalid("dc/"+r.Name, "link to %q has a negative cost or delay", l.To)
			}
		}
	}
	return nil
}

func (c *Catalogue) checkPools() error {
	for _, r := range c.pools.sorted() {
		if err := checkName("pool", r.Name); err != nil {
			return err
		}
		switch r.Kind {
		case Encode, Retrieve, Rerank, Generate, Plain:
		default:
			return invalid("pool/"+r.Name, "kind %q is not encode, retrieve, rerank, generate or plain", r.Kind)
		}
		if err := checkRange("pool/"+r.Name, "limit", r.Limit, 1, maxLimit); err != nil {
			return err
		}
		if err := checkRange("pool/"+r.Name, "cold", r.ColdLimit, 0, r.Limit); err != nil {
			return err
		}
		if err := checkRange("pool/"+r.Name, "ramp", r.RampSuccesses, 0, maxLimit); err != nil {
			return err
		}
		if r.Report != "" && !strings.HasPrefix(r.Report, "/") {
			return invalid("pool/"+r.Name, "report %q does not start with /", r.Report)
		}
	}
	return nil
}

func (c *Catalogue) checkUpstreams() error {
	for _, r := range c.upstreams.sorted() {
		name := "upstream/" + r.Name
		if err := checkName("upstream", r.Name); err != nil {
			return err
		}
		if _, ok := c.pools[r.Pool]; !ok {
			return invalid(name, "unknown pool %q", r.Pool)
		}
		if _, ok := c.dcs[r.DC]; !ok {
			return invalid(name, "unknown data centre %q", r.DC)
		}
		if _, err := netip.ParseAddrPort(r.Address); err != nil {
			return invalid(name, "address %q is not an IP number and a port", r.Address)
		}
		if err := checkRange(name, "limit", r.Limit, 0, maxLimit); err != nil {
			return err
		}
		if err := checkRange(name, "cold", r.ColdLimit, 0, maxLimit); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalogue) checkAccounts() error {
	keys := map[string]string{}
	for _, r := range c.accounts.sorted() {
		name := "account/" + r.Name
		if err := checkName("account", r.Name); err != nil {
			return err
		}
		if !mpname.IsHash(r.KeyHash) {
			return invalid(name, "key is not a hex SHA-256")
		}
		if other, ok := keys[r.KeyHash]; ok {
			return invalid(name, "same key as account %q", other)
		}
		keys[r.KeyHash] = r.Name
		if err := checkRange(name, "weight", r.Weight, 0, maxWeight); err != nil {
			return err
		}
		if err := checkRange(name, "limit", r.Limit, 0, maxLimit); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalogue) checkEntries() error {
	for _, r := range c.entries.sorted() {
		name := "entry/" + r.Name
		if err := checkName("entry", r.Name); err != nil {
			return err
		}
		if r.Owner == "" {
			return invalid(name, "owner is missing")
		}
		if _, ok := c.classes[r.Class]; !ok {
			return invalid(name, "unknown class %q", r.Class)
		}
		for _, a := range r.Accounts {
			if _, ok := c.accounts[a]; !ok {
				return invalid(name, "unknown account %q", a)
			}
		}
		if err := checkRange(name, "limit", r.Limit, 0, maxLimit); err != nil {
			return err
		}
		if err := checkRange(name, "number of stages", len(r.Stages), 1, maxStages); err != nil {
			return err
		}
		for i, s := range r.Stages {
			if err := c.checkStage(name, i, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Catalogue) checkStage(name string, i int, s Stage) error {
	p, ok := c.pools[s.Pool]
	if !ok {
		return invalid(name, "stage %d: unknown pool %q", i, s.Pool)
	}
	if p.Kind == Plain && !strings.HasPrefix(s.Path, "/") {
		return invalid(name, "stage %d: path %q does not start with /", i, s.Path)
	}
	if p.Kind != Plain && (s.Path != "" || s.Method != "" || s.Once) {
		return invalid(name, "stage %d: path, method and once are for plain pools", i)
	}
	if s.Once && s.Hedge {
		return invalid(name, "stage %d: once and hedge exclude each other", i)
	}
	return nil
}

// Package mpadmit decides at the door whether a VM takes a request at all. It
// bounds what the VM holds in memory and keeps one account from taking the
// whole of it; the upstreams' capacity is guarded by the owners of groups.
package mpadmit

import (
	"sync"

	"mustardpost.org/core/common/mperror"
)

// Config sets a Door.
type Config struct {
	// MaxRequests bounds the requests in flight at this VM.
	MaxRequests int
}

// Request is what the door must know of a request.
type Request struct {
	Account string
	// Weight is the account's share against others; at least 1.
	Weight int
	// AccountLimit and EntryLimit bound what is in flight; 0 does not.
	AccountLimit int
	Entry        string
	EntryLimit   int
}

// Controller counts requests in flight. It is safe for concurrent use.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	total    int
	accounts map[string]*load
	entries  map[string]int
}

type load struct {
	running int
	weight  int
}

// New returns an empty door.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, accounts: map[string]*load{}, entries: map[string]int{}}
}

// InFlight returns the number of requests in flight.
func (d *Controller) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.total
}

// Admit admits c until the returned function is called, or returns an error
// that wraps ErrFull and tells which bound was met.
func (d *Controller) Admit(c Request) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.account(c)
	if err := d.check(c, a); err != nil {
		d.forget(c.Account)
		return nil, err
	}
	d.total++
	a.running++
	d.entries[c.Entry]++
	return func() { d.leave(c) }, nil
}

func (d *Controller) account(c Request) *load {
	a, ok := d.accounts[c.Account]
	if !ok {
		a = &load{}
		d.accounts[c.Account] = a
	}
	a.weight = max(c.Weight, 1)
	return a
}

func (d *Controller) check(c Request, a *load) error {
	switch {
	case c.AccountLimit > 0 && a.running >= c.AccountLimit:
		return mperror.Wrap(mperror.ErrFull, "account %s has %d in flight here", c.Account, a.running)
	case c.EntryLimit > 0 && d.entries[c.Entry] >= c.EntryLimit:
		return mperror.Wrap(mperror.ErrFull, "entry %s has %d in flight here", c.Entry, d.entries[c.Entry])
	case d.total >= d.cfg.MaxRequests:
		return mperror.Wrap(mperror.ErrFull, "%d requests in flight here", d.total)
	case 2*d.total >= d.cfg.MaxRequests && a.running >= d.share(a):
		return mperror.Wrap(mperror.ErrFull, "account %s has its share of %d in flight here", c.Account, a.running)
	}
	return nil
}

// share returns what a may have in flight once half of the places are taken,
// so that accounts that come later still find room.
func (d *Controller) share(a *load) int {
	total := 1
	for _, other := range d.accounts {
		total += other.weight
	}
	return max(d.cfg.MaxRequests*a.weight/total, 1)
}

func (d *Controller) leave(c Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total--
	d.accounts[c.Account].running--
	d.forget(c.Account)
	d.entries[c.Entry]--
	if d.entries[c.Entry] == 0 {
		delete(d.entries, c.Entry)
	}
}

func (d *Controller) forget(account string) {
	if d.accounts[account].running == 0 {
		delete(d.accounts, account)
	}
}

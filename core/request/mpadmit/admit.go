// Package mpadmit implements admission control for a VM. It limits the number of
// requests held in memory and prevents one account from using the whole limit.
// The capacity of the upstreams is enforced separately, by the group owners.
package mpadmit

import (
	"sync"

	"mustardpost.org/core/common/mperror"
)

// Config configures a Controller.
type Config struct {
	// MaxRequests is the maximum number of requests in flight at this VM.
	MaxRequests int
}

// Request describes a request to be admitted.
type Request struct {
	Account string
	// Weight is the account's weight in fair sharing. Values below 1 count as 1.
	Weight int
	// AccountLimit and EntryLimit limit the requests in flight; 0 means no limit.
	AccountLimit int
	Entry        string
	EntryLimit   int
}

// Controller admits requests and counts those in flight. It is safe for
// concurrent use.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	inFlight int
	accounts map[string]*accountLoad
	entries  map[string]int
}

type accountLoad struct {
	inFlight int
	weight   int
}

// New returns a Controller with no requests in flight.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, accounts: map[string]*accountLoad{}, entries: map[string]int{}}
}

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// Admit admits req and returns a function that releases it. If a limit has been
// reached, the error wraps ErrFull and names that limit.
func (c *Controller) Admit(req Request) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(req)
	if err := c.check(req, a); err != nil {
		c.removeIfIdle(req.Account)
		return nil, err
	}
	c.inFlight++
	a.inFlight++
	c.entries[req.Entry]++
	return func() { c.release(req) }, nil
}

func (c *Controller) account(req Request) *accountLoad {
	a, ok := c.accounts[req.Account]
	if !ok {
		a = &accountLoad{}
		c.accounts[req.Account] = a
	}
	a.weight = max(req.Weight, 1)
	return a
}

func (c *Controller) check(req Request, a *accountLoad) error {
	switch {
	case req.AccountLimit > 0 && a.inFlight >= req.AccountLimit:
		return mperror.Wrap(mperror.ErrFull, "account %s has %d in flight here", req.Account, a.inFlight)
	case req.EntryLimit > 0 && c.entries[req.Entry] >= req.EntryLimit:
		return mperror.Wrap(mperror.ErrFull, "entry %s has %d in flight here", req.Entry, c.entries[req.Entry])
	case c.inFlight >= c.cfg.MaxRequests:
		return mperror.Wrap(mperror.ErrFull, "%d requests in flight here", c.inFlight)
	case 2*c.inFlight >= c.cfg.MaxRequests && a.inFlight >= c.fairShare(a):
		return mperror.Wrap(mperror.ErrFull, "account %s has its share of %d in flight here", req.Account, a.inFlight)
	}
	return nil
}

// fairShare returns the number of requests that a may have in flight once half
// of the capacity is in use. It reserves room for accounts that arrive later.
func (c *Controller) fairShare(a *accountLoad) int {
	total := 1
	for _, other := range c.accounts {
		total += other.weight
	}
	return max(c.cfg.MaxRequests*a.weight/total, 1)
}

func (c *Controller) release(req Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.accounts[req.Account].inFlight--
	c.removeIfIdle(req.Account)
	c.entries[req.Entry]--
	if c.entries[req.Entry] == 0 {
		delete(c.entries, req.Entry)
	}
}

func (c *Controller) removeIfIdle(account string) {
	if c.accounts[account].inFlight == 0 {
		delete(c.accounts, account)
	}
}

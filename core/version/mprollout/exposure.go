package mprollout

import "math/rand/v2"

// Exposure admits requests of one VM and pool to the target of a roll-out. Apart from what is granted, it never
// admits more than the share of the requests, so neither do all VMs together. The zero value is ready to use; it is not
// safe for concurrent use.
type Exposure struct {
	credit float64
	// threshold is the credit at which the next request is admitted, from 1 to 2; 0 if it is to be drawn.
	threshold float64
	random    rand.PCG
}

// maxCredit bounds what accumulates while the target cannot take requests.
const maxCredit = 4

// NewExposure returns an exposure whose choice of requests depends on seed.
func NewExposure(seed uint64) *Exposure {
	e := &Exposure{}
	e.random.Seed(seed, 0)
	return e
}

// Grant allows that many requests more than the share, so that a VM with few requests admits its first one
// sooner. What is granted to all VMs must be within Settings.ExposeSlack.
func (e *Exposure) Grant(requests float64) { e.credit = min(e.credit+requests, maxCredit) }

// Admit counts a request of the pool and reports whether it goes to the target.
func (e *Exposure) Admit(share float64) bool {
	if share >= 1 {
		return true
	}
	if e.threshold == 0 {
		// Requests are chosen at random: if every tenth were, one that differs from the others, such
		// as in its route, could be always or never among them.
		e.threshold = 1 + rand.New(&e.random).Float64()
	}
	e.credit = min(e.credit+max(share, 0), maxCredit)
	if e.credit < e.threshold {
		return false
	}
	e.credit--
	e.threshold = 0
	return true
}

// Refund takes back an admission whose request went to an old version after all.
func (e *Exposure) Refund() { e.credit = min(e.credit+1, maxCredit) }

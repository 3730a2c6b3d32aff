package mprollout

import "math/rand/v2"

// Exposure admits requests of one VM and pool to the target of a roll-out. It never admits more than the
// share of the requests, so neither do all VMs together. The zero value is ready to use; it is not
// safe for concurrent use.
type Exposure struct {
	credit float64
	random rand.PCG
}

// maxCredit bounds what accumulates while the target cannot take requests.
const maxCredit = 4

// NewExposure returns an exposure whose choice of requests depends on seed.
func NewExposure(seed uint64) *Exposure {
	e := &Exposure{}
	e.random.Seed(seed, 0)
	return e
}

// Admit counts a request of the pool and reports whether it goes to the target.
func (e *Exposure) Admit(share float64) bool {
	if share >= 1 {
		return true
	}
	e.credit = min(e.credit+max(share, 0), maxCredit)
	// Requests are chosen at random: if every tenth were, one that differs from the others, such
	// as in its route, could be always or never among them.
	if e.credit < 1 || e.credit < 2 && e.random.Uint64()%2 == 0 {
		return false
	}
	e.credit--
	return true
}

// Refund takes back an admission whose request went to an old version after all.
func (e *Exposure) Refund() { e.credit = min(e.credit+1, maxCredit) }

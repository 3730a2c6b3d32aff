package mprollout

// Exposure admits requests of one VM and pool to the target of a roll-out. It never admits
// more than the share of the requests, so neither do all VMs together. The zero value is ready to use; it is not
// safe for concurrent use.
type Exposure struct {
	credit float64
}

// maxCredit bounds what accumulates while the target cannot take requests.
const maxCredit = 4

// Admit counts a request of the pool and reports whether it goes to the target.
func (e *Exposure) Admit(share float64) bool {
	if share >= 1 {
		return true
	}
	e.credit = min(e.credit+max(share, 0), maxCredit)
	if e.credit < 1 {
		return false
	}
	e.credit--
	return true
}

// Refund takes back an admission whose request went to an old version after all.
func (e *Exposure) Refund() { e.credit = min(e.credit+1, maxCredit) }

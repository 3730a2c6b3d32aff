package mpgateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a fleet without a leader that exhausts the rate of the platform's list, which the
// next leader needs: 191 VMs read a list of five pages every two seconds, 480 pages a second where
// 44 are served.
func TestReadsOfAFleetWithoutLeader(t *testing.T) {
	const (
		outage       = 30 * time.Second
		ratePerS     = 44
		steadyLeases = 10 * time.Second
	)
	for name, c := range map[string]struct {
		vms, upstreams int
		// least is the number of reads of each VM in the outage that keep its list fresh.
		least int
	}{
		"9 VMs": {9, 27, 10}, "76 VMs": {76, 142, 1}, "191 VMs": {191, 217, 0}, "340 VMs": {340, 1900, 0},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(191, uint64(c.vms)))
			vms := make([]fallbackReads, c.vms)
			reads, perSecond := make([]int, c.vms), map[int]int{}
			for at := time.Duration(0); at < steadyLeases+outage; at += fallbackCheckInterval {
				for i := range vms {
					if vms[i].isDue(time.Unix(1000, 0).Add(at), at < steadyLeases, c.vms, c.upstreams, random.Float64()) {
						reads[i]++
						perSecond[int(at.Seconds())]++
					}
				}
			}
			pages := 1 + c.upstreams/fallbackPageRows
			for second, n := range perSecond {
				// One list more than fits, since VMs read whole ones.
				if n*pages > ratePerS+pages {
					t.Errorf("%d pages are read in second %d, want at most %d", n*pages, second, ratePerS+pages)
				}
				if second < int(steadyLeases.Seconds()) {
					t.Errorf("%d VMs with a lease read the list", n)
				}
			}
			for i, n := range reads {
				if n < c.least {
					t.Errorf("VM %d read the list %d times in %v, want at least %d", i, n, outage, c.least)
				}
			}
		})
	}
}

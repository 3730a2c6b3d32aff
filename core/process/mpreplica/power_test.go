package mpreplica

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"mustardpost.org/core/process/mpdisk"
)

// aimAfterPower is when service is to be back after all voters lost power, as
// docs/incidents/config-recover.md states.
const aimAfterPower = 2 * time.Second

// TestPowerLostAtAllVoters guards against a quorum that is gone for good after a loss of power:
// records that were being written then were taken for corruption, each at a voter of its own,
// while another voter lost its disk.
func TestPowerLostAtAllVoters(t *testing.T) {
	for _, wiped := range []int{0, 1} {
		for torn := range 5 {
			t.Run(fmt.Sprintf("%d disks lost, %d records torn", wiped, torn), func(t *testing.T) {
				runCluster(t, 5, 1<<20, func(c *cluster) {
					for i := range 10 {
						if !c.propose(fmt.Sprintf("change %d", i), time.Second) {
							t.Fatal("not accepted")
						}
					}
					hosts := c.all()
					slices.SortFunc(hosts, func(a, b *host) int { return int(a.id) - int(b.id) })
					for _, h := range hosts {
						h.stop()
					}
					for _, h := range hosts[wiped : wiped+min(torn, 5-wiped)] {
						appendTorn(t, h.dir)
					}
					for _, h := range hosts[:wiped] {
						c.replaceDisk(h)
					}
					for _, h := range hosts {
						h.start()
					}
					c.await("the last change is read back", aimAfterPower, func() bool { return c.read() == "change 9" })
					c.await("a change is accepted", aimAfterPower, func() bool { return c.propose("last", time.Second) })
					c.await("all VMs vote", 4*time.Second, func() bool { return len(c.voters()) == 5 })
				})
			})
		}
	}
}

// appendTorn adds a record to the newest log in dir of which the first sector was lost.
func appendTorn(t *testing.T, dir string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(logs) == 0 {
		t.Fatalf("no log in %s: %v", dir, err)
	}
	slices.Sort(logs)
	f, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(append(make([]byte, 300), bytes.Repeat([]byte{0xa5}, 400)...)); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// replaceDisk gives h an empty disk, with which it joins as a new member.
func (c *cluster) replaceDisk(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	h.id, h.dir = c.nextID, c.t.TempDir()
	store, _, err := mpdisk.Open(h.dir)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = store.Close()
}

// TestLongLogAfterPowerLoss guards against a deployment that takes many elections to come back
// after all voters restarted: a new leader applied its whole log at once and sent no heartbeats
// meanwhile, so that another one was elected; its followers, busy with the same, did not answer
// it, so that it stepped down.
func TestLongLogAfterPowerLoss(t *testing.T) {
	for _, entries := range []int{100, 500, 1500} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			runCluster(t, 5, 1<<30, func(c *cluster) {
				for i := range entries {
					if !c.propose(fmt.Sprintf("change %d", i), time.Second) {
						t.Fatal("not accepted")
					}
				}
				term := c.leader().Status().Term
				hosts := c.all()
				for _, h := range hosts {
					h.stop()
				}
				c.applyTime = 2 * time.Millisecond
				for _, h := range hosts {
					h.start()
				}
				limit := aimAfterPower + time.Duration(entries)*c.applyTime
				c.await("a change is accepted", limit, func() bool { return c.propose("last", limit) })
				// A split vote may need a second one.
				if elections := c.leader().Status().Term - term; elections > 2 {
					t.Errorf("%d elections, want 2 at most", elections)
				}
			})
		})
	}
}

package mpreplica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testCatchUp is the time after which a machine that is back, or new, may be followed by the
// loss of another one.
const testCatchUp = 4 * time.Second

// TestReplacedMachinesDoNotVote guards against voters that are gone for good and still count,
// so that the loss of one data centre costs the quorum. After two machines were replaced
// within a few seconds there were seven voters; the number was odd, and none was removed.
func TestReplacedMachinesDoNotVote(t *testing.T) {
	for _, gap := range []time.Duration{0, time.Second, 3 * time.Second, testCatchUp + time.Second, 9 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			runCluster(t, 5, 1<<20, func(c *cluster) {
				c.replaceMachine("vm1", "vm6", time.Second)
				<-time.After(gap)
				c.replaceMachine("vm2", "vm7", time.Second)
				<-time.After(testCatchUp)
				c.checkVoters("vm3", "vm4", "vm5", "vm6", "vm7")
				// A data centre with two of them is lost.
				c.host("vm3").stop()
				c.host("vm6").stop()
				if !c.propose("last", 3*time.Second) {
					t.Error("no change is accepted without two of five voters")
				}
				c.host("vm3").start()
				c.host("vm6").start()
			})
		})
	}
}

// maxRecovery is the time after which service must be back once all machines are.
const maxRecovery = 12 * time.Second

// TestVotersAfterLosses guards against orders of losses after which fewer running voters remain
// than it takes to lose a data centre, or the last change accepted is lost. It replaces
// machines, loses and fills disks, stops data centres and lets all voters lose power, also
// beside a lost disk and torn records, at random, with testCatchUp between them.
func TestVotersAfterLosses(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			runCluster(t, 5, 4000, func(c *cluster) {
				random := rand.New(rand.NewPCG(seed, 1))
				names := []string{"vm1", "vm2", "vm3", "vm4", "vm5"}
				next := len(names)
				var history []string
				slowest := map[string]time.Duration{}
				accepted := ""
				for n := range 12 {
					i := random.IntN(len(names))
					step := []string{"replace", "planned", "wipe", "restart", "lose two", "fill", "power", "power and wipe"}[random.IntN(8)]
					history = append(history, step+" "+names[i])
					switch step {
					case "replace":
						next++
						vm := fmt.Sprintf("vm%d", next)
						c.replaceMachine(names[i], vm, time.Second)
						names[i] = vm
					case "planned":
						next++
						vm := fmt.Sprintf("vm%d", next)
						c.newHost(vm).start()
						<-time.After(2 * time.Second)
						c.remove(names[i])
						names[i] = vm
					case "wipe":
						h := c.host(names[i])
						h.stop()
						c.replaceDisk(h)
						h.start()
					case "restart":
						h := c.host(names[i])
						h.stop()
						<-time.After(time.Duration(random.IntN(3000)) * time.Millisecond)
						h.start()
					case "fill":
						h := c.host(names[i])
						h.full.Store(true)
						<-time.After(time.Duration(random.IntN(6000)) * time.Millisecond)
						h.full.Store(false)
					case "power", "power and wipe":
						for _, vm := range names {
							c.host(vm).stop()
						}
						for _, vm := range names {
							if random.IntN(2) == 0 {
								appendTorn(t, c.host(vm).dir)
							}
						}
						if step == "power and wipe" {
							c.replaceDisk(c.host(names[i]))
						}
						for _, vm := range names {
							c.host(vm).start()
						}
					case "lose two":
						down := []*host{c.host(names[i]), c.host(names[(i+1)%len(names)])}
						for _, h := range down {
							h.stop()
						}
						if accepted = "without two"; !c.propose(accepted, 3*time.Second) {
							c.t.Errorf("no change is accepted without two of five voters after %v", history)
						}
						<-time.After(time.Duration(random.IntN(9000)) * time.Millisecond)
						for _, h := range down {
							h.start()
						}
					}
					back := time.Now()
					c.await("the leader is found", maxRecovery, func() bool { return c.leader() != nil })
					if got := c.read(); got != accepted {
						c.t.Errorf("read back %q, want %q after %v", got, accepted, history)
					}
					if accepted = fmt.Sprintf("change %d", n); !c.propose(accepted, maxRecovery) {
						c.t.Errorf("no change is accepted after %v", history)
					}
					slowest[step] = max(slowest[step], time.Since(back))
					<-time.After(testCatchUp)
				}
				t.Logf("slowest service after each: %v", slowest)
				if !c.checkVoters(names...) {
					t.Logf("after %v", history)
				}
			})
		})
	}
}

// replaceMachine removes a VM for good, and after a pause adds another one with an empty disk.
func (c *cluster) replaceMachine(gone, added string, pause time.Duration) {
	c.remove(gone)
	<-time.After(pause)
	c.newHost(added).start()
}

// remove removes a VM for good.
func (c *cluster) remove(vm string) {
	h := c.host(vm)
	h.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, vm)
}

// checkVoters checks that exactly the named VMs vote.
func (c *cluster) checkVoters(want ...string) bool {
	c.t.Helper()
	got := c.voters()
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		c.t.Errorf("voters %v, want %v", got, want)
		return false
	}
	return true
}

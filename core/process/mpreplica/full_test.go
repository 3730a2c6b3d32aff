package mpreplica

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpquorum"
)

// TestFailedWriteOfMembership guards against voters whose memory is ahead of their disk. The
// error of a write was returned to the member that asked to be enrolled, while the leader went
// on: its next record left a gap in the log, which was refused as corrupt at the next start.
func TestFailedWriteOfMembership(t *testing.T) {
	runCluster(t, 3, 1<<20, func(c *cluster) {
		if !c.propose("before", time.Second) {
			t.Fatal("not accepted")
		}
		leader := c.leader()
		var h *host
		for _, x := range c.all() {
			if x.running() == leader {
				h = x
			}
		}
		h.full.Store(true)
		newcomer := mpquorum.MemberInfo{Member: 99, VM: "vm9", Address: "vm9"}
		if _, err := leader.Enroll(newcomer); !errors.Is(err, errNoSpace) {
			t.Fatalf("Enroll on a full disk = %v, want %v", err, errNoSpace)
		}
		h.full.Store(false)
		if !c.propose("after", 5*time.Second) {
			t.Error("no change was accepted within 5s after the disk had room")
		}
		<-time.After(2 * time.Second)
		h.stop()
		if _, _, err := mpdisk.Open(h.dir); err != nil {
			t.Error(err)
		}
		h.start()
		<-time.After(time.Second)
		if h.running() == nil {
			t.Errorf("the voter does not start again: %v", h.err)
		}
	})
}

// TestFullDisksInTurn guards against disks that ran full for a few seconds each, one after
// another, after which changes were refused for good although all voters ran again.
func TestFullDisksInTurn(t *testing.T) {
	for _, leaders := range []bool{false, true} {
		for _, length := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 4 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprintf("leaders %t, %s each", leaders, length), func(t *testing.T) {
				runCluster(t, 5, 2000, func(c *cluster) {
					n := 0
					stop := make(chan struct{})
					done := make(chan struct{})
					go func() {
						defer close(done)
						for {
							select {
							case <-stop:
								return
							case <-time.After(50 * time.Millisecond):
							}
							n++
							c.propose(fmt.Sprintf("change %d", n), 3*time.Second)
						}
					}()
					for i := range 10 {
						h := c.host(fmt.Sprintf("vm%d", i%5+1))
						if leaders {
							c.await("a leader", 10*time.Second, func() bool { return c.leader() != nil })
							for _, x := range c.all() {
								if r := x.running(); r != nil && r == c.leader() {
									h = x
								}
							}
						}
						h.full.Store(true)
						<-time.After(length)
						h.full.Store(false)
					}
					<-time.After(2 * time.Second)
					close(stop)
					<-done
					if !c.propose("last", 2*time.Second) {
						t.Error("no change was accepted 2s after the last disk had room")
					}
					c.await("all VMs vote", 2*time.Second, func() bool { return len(c.voters()) == 5 })
					for _, h := range c.all() {
						if h.running() == nil {
							t.Errorf("%s has no voter: %v", h.vm, h.err)
						}
					}
				})
			})
		}
	}
}

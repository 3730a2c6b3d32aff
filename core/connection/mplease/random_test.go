package mplease

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const (
	testDuration = 2000 * time.Millisecond
	testMargin   = 100 * time.Millisecond
	// testMaxHold is in ms.
	testMaxHold = 800
)

// vm is a VM whose clock runs up to 2 % fast or slow.
type vm struct {
	name     string
	rate     float64
	revision uint64
	lease    Holder
}

func (v *vm) clock(now time.Time) time.Time {
	return time.Unix(0, int64(float64(now.UnixNano())*v.rate))
}

// reply is a renewal reply in flight; it may be delayed or lost.
type reply struct {
	vm       *vm
	sent     time.Time
	held     time.Duration
	revision uint64
}

type deployment struct {
	now      time.Time
	vms      []*vm
	names    []string
	tracker  *Tracker
	revision uint64
	inFlight []reply
	inForce  uint64
	checked  int
}

func newDeployment(t *rapid.T) *deployment {
	d := &deployment{now: time.Unix(100, 0), revision: 1}
	for i := range 4 {
		rate := 1 + float64(rapid.IntRange(-20, 20).Draw(t, "drift"))/1000
		d.vms = append(d.vms, &vm{name: fmt.Sprintf("vm%d", i), rate: rate})
		d.names = append(d.names, d.vms[i].name)
	}
	d.elect(t)
	return d
}

func (d *deployment) elect(*rapid.T) {
	d.tracker = NewTracker(Config{Duration: testDuration, DriftMargin: testMargin, ElectedAt: d.now})
}

func (d *deployment) randomVM(t *rapid.T) *vm {
	return d.vms[rapid.IntRange(0, len(d.vms)-1).Draw(t, "vm")]
}

// renew sends a renewal, which reaches the leader after a random delay. The leader holds it for a
// while, which the VM adds to its lease.
func (d *deployment) renew(t *rapid.T) {
	v := d.randomVM(t)
	sent := v.clock(d.now)
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond)
	d.tracker.Confirm(v.name, v.revision)
	held := time.Duration(rapid.IntRange(0, testMaxHold).Draw(t, "held")) * time.Millisecond
	d.now = d.now.Add(held)
	d.tracker.Grant(d.now, v.name, d.revision)
	d.inFlight = append(d.inFlight, reply{v, sent, held, d.revision})
}

func (d *deployment) deliver(t *rapid.T) {
	if len(d.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.inFlight)-1).Draw(t, "reply")
	r := d.inFlight[i]
	d.inFlight = append(d.inFlight[:i:i], d.inFlight[i+1:]...)
	if r.revision < r.vm.revision {
		return
	}
	r.vm.revision = r.revision
	r.vm.lease.Extend(r.sent.Add(r.held), testDuration)
}

// check asserts that every VM with a valid lease acts on the highest revision that
// the leader has reported in force or a newer one, and that no such VM is reported
// as expired.
func (d *deployment) check(t *rapid.T) {
	for rev := d.revision; rev > d.inForce; rev-- {
		if d.tracker.InForce(d.now, rev, d.names) {
			d.inForce = rev
		}
	}
	for _, v := range d.vms {
		if !v.lease.IsValid(v.clock(d.now)) {
			continue
		}
		d.checked++
		if v.revision < d.inForce {
			t.Fatalf("%s acts on revision %d while %d is in force", v.name, v.revision, d.inForce)
		}
		for _, name := range d.tracker.Expired(d.now, d.names) {
			if name == v.name {
				t.Fatalf("%s is reported as expired while it holds a valid lease", v.name)
			}
		}
	}
}

func TestRandom(t *testing.T) {
	checked := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        d.check,
			"renew":   d.renew,
			"renew2":  d.renew,
			"arrive":  d.deliver,
			"arrive2": d.deliver,
			"lose":    func(*rapid.T) { d.inFlight = nil },
			"change":  func(*rapid.T) { d.revision++ },
			"elect":   d.elect,
			"wait": func(t *rapid.T) {
				d.now = d.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
		})
		// Without renewals a change is in force after the lease duration plus the margin.
		d.revision++
		d.now = d.now.Add(testDuration + testMargin)
		if !d.tracker.InForce(d.now, d.revision, d.names) {
			t.Fatalf("revision %d not in force after the lease duration plus the margin", d.revision)
		}
		checked += d.checked
	})
	t.Logf("%d leases checked", checked)
}

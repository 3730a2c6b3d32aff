package mpgateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestResumeAtVMOutOfStep guards against streams that go on at another version at a VM that was
// out of touch while upstreams of a new version joined: it reached no voter that knew where the
// stream began, and its lease, which outlives its contact, let it take its old list, with one
// version, for the newest one.
func TestResumeAtVMOutOfStep(t *testing.T) {
	// join lets upstreams of another version join at second 4 of 8 and leave at second 7, and calls
	// the others when the VM loses step and when it is back in step.
	join := func(lostAt int, lose, regain func(vm *resumeVM)) func(second int, d *resumeDeployment) {
		return func(second int, d *resumeDeployment) {
			if second%8 == lostAt {
				lose(d.vms[0])
			}
			switch second % 8 {
			case 4:
				d.setVersions("v1", "v1", "v2", "v2", "v2", "v2")
			case 7:
				regain(d.vms[0])
				d.setVersions("v1", "v1")
			}
		}
	}
	cut := func(vm *resumeVM) {
		now := time.Now()
		vm.cutAt.Store(&now)
	}
	heal := func(vm *resumeVM) { vm.cutAt.Store(nil) }
	for name, disturb := range map[string]func(second int, d *resumeDeployment){
		"cut off as they join":     join(4, cut, heal),
		"cut off before they join": join(3, cut, heal),
		"woken after they have joined": join(4, func(vm *resumeVM) { vm.hasOldList.Store(true) },
			func(vm *resumeVM) { vm.hasOldList.Store(false) }),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				synctest.Test(t, func(t *testing.T) {
					d := newResumeDeployment(t, seed, resumeLoad{
						entries: 3, voters: 5, versions: []string{"v1", "v1"}, breaking: 0.05, mayRefuse: true, disturb: disturb, warmUp: 30 * time.Second,
					})
					d.run()
					d.check(seed)
				})
			}
		})
	}
}

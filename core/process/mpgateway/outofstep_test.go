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
	cut := func(vm *resumeVM) {
		now := time.Now()
		vm.cutAt.Store(&now)
	}
	for name, disturb := range map[string]func(second int, d *resumeDeployment){
		"cut off as they join": func(second int, d *resumeDeployment) {
			switch second % 8 {
			case 4:
				cut(d.vms[0])
				d.setVersions("v1", "v1", "v2", "v2", "v2", "v2")
			case 7:
				d.vms[0].cutAt.Store(nil)
				d.setVersions("v1", "v1")
			}
		},
		"woken after they have joined": func(second int, d *resumeDeployment) {
			switch second % 8 {
			case 4:
				d.vms[0].hasOldList.Store(true)
				d.setVersions("v1", "v1", "v2", "v2", "v2", "v2")
			case 7:
				d.vms[0].hasOldList.Store(false)
				d.setVersions("v1", "v1")
			}
		},
		"cut off before they join": func(second int, d *resumeDeployment) {
			switch second % 8 {
			case 3:
				cut(d.vms[0])
			case 4:
				d.setVersions("v1", "v1", "v2", "v2", "v2", "v2")
			case 7:
				d.vms[0].cutAt.Store(nil)
				d.setVersions("v1", "v1")
			}
		},
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

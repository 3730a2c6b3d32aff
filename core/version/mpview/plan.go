package mpview

import "mustardpost.org/core/common/mprank"

// PlanAssignments returns the assignments that v lacks: groups without an owner that is
// up and staying, groups owned from another data centre although a VM of their
// own could, and groups that are gone. The choice follows rendezvous hashing,
// so that a VM's loss moves no group but its own.
func PlanAssignments(v *View) Assign {
	owners := map[string]string{}
	groups := v.Catalogue().Groups()
	byDC, all := candidates(v)
	for _, g := range groups {
		_, dc := v.Catalogue().PoolAndDC(g)
		if len(all) == 0 || settled(v, g, dc, len(byDC[dc]) > 0) {
			continue
		}
		names := byDC[dc]
		if len(names) == 0 {
			names = all
		}
		owners[g] = mprank.OfName(g, names)[0]
	}
	for g := range v.Owners() {
		if len(v.Catalogue().GroupUpstreams(g)) == 0 {
			owners[g] = ""
		}
	}
	return Assign{Owners: owners}
}

// candidates returns the VMs that may own groups. VMs of a data centre that is
// out still own its groups when no other VM is left to do so.
func candidates(v *View) (byDC map[string][]string, all []string) {
	byDC = map[string][]string{}
	for _, vm := range v.VMs() {
		if v.Serves(vm) {
			byDC[vm.DC] = append(byDC[vm.DC], vm.Name)
			all = append(all, vm.Name)
		}
	}
	return byDC, all
}

func settled(v *View, group, dc string, local bool) bool {
	o, ok := v.Owner(group)
	if !ok {
		return false
	}
	vm, up := v.VM(o.VM)
	if !up || !v.Serves(vm) {
		return false
	}
	return vm.DC == dc || !local
}

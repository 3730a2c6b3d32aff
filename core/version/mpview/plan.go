package mpview

import "mustardpost.org/core/common/mprank"

// PlanAssignments returns the assignments that are due in v: groups whose owner
// is missing, down or leaving, groups owned from another data centre although a
// VM in their own is eligible, and the removal of groups that no longer exist.
// Owners are chosen by rendezvous hashing, so that the loss of a VM moves only
// the groups that it owned.
func PlanAssignments(v *View) Assign {
	owners := map[string]string{}
	groups := v.Catalogue().Groups()
	byDC, all := eligibleOwners(v)
	for _, g := range groups {
		_, dc := v.Catalogue().PoolAndDC(g)
		if len(all) == 0 || isWellPlaced(v, g, dc, len(byDC[dc]) > 0) {
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

// eligibleOwners returns the VMs that may own groups. VMs of a data centre that
// is out of service are not eligible, but keep the groups that they own if no
// other VM is left.
func eligibleOwners(v *View) (byDC map[string][]string, all []string) {
	byDC = map[string][]string{}
	for _, vm := range v.VMs() {
		if v.Serves(vm) {
			byDC[vm.DC] = append(byDC[vm.DC], vm.Name)
			all = append(all, vm.Name)
		}
	}
	return byDC, all
}

func isWellPlaced(v *View, group, dc string, local bool) bool {
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

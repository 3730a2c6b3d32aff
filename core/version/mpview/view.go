// Package mpview holds the state that every VM needs: the catalogue, what is
// out of service, which VMs are up, who owns which group, and strikes against
// requests that crash upstreams. A View is immutable; revisions grow by one
// with each change, and the same Apply runs at the voters and at every VM.
package mpview

import (
	"encoding/json"
	"maps"
	"slices"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
)

// maxTouched bounds the rows whose last change is remembered.
const maxTouched = 20_000

// StrikeLimit is the number of upstreams that one request may crash
// before it is refused for good.
const StrikeLimit = 2

// VM is the row of a VM that is up.
type VM struct {
	Name string `json:"name"`
	DC   string `json:"dc"`
	// Boot differs for each start of the VM's process.
	Boot uint64 `json:"boot"`
	// Address is where callers connect; Peer where other VMs do.
	Address string `json:"address"`
	Peer    string `json:"peer"`
	// Leaving VMs own nothing and are not named to callers.
	Leaving bool `json:"leaving,omitempty"`
	// Voter VMs hold replicated state and can name the leader.
	Voter bool `json:"voter,omitempty"`
}

// Routing is a routing plan that operators hand over whole, under a version of
// their own. Source is the document as they sent it; the VMs decode it, and it
// is returned unchanged to whoever reads the plan back.
type Routing struct {
	Version uint64          `json:"version"`
	Source  json.RawMessage `json:"source"`
}

// Ownership tells who grants permits for a group, since which epoch.
type Ownership struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"`
	// FirstOwner tells that the group never had an owner before.
	FirstOwner bool `json:"fresh,omitempty"`
}

// StrikeCount counts the upstreams that crashed under one request.
type StrikeCount struct {
	Count int   `json:"count"`
	Until int64 `json:"until"`
}

// View is one immutable revision.
type View struct {
	revision  uint64
	catalogue *mpcatalogue.Catalogue
	out       map[string]uint64
	touched   map[string]uint64
	oldest    uint64
	vms       map[string]VM
	owners    map[string]Ownership
	strikes   map[uint64]StrikeCount
	routing   Routing
}

// Empty returns revision 0.
func Empty() *View { return &View{catalogue: mpcatalogue.Empty()} }

// Revision returns the number of changes that led to v.
func (v *View) Revision() uint64 { return v.revision }

// Catalogue returns the catalogue of this revision.
func (v *View) Catalogue() *mpcatalogue.Catalogue { return v.catalogue }

// Routing returns the published plan; its version is 0 where there is none.
func (v *View) Routing() Routing { return v.routing }

// IsOut reports whether operators took the target out of service.
func (v *View) IsOut(t Target, name string) bool {
	_, ok := v.out[markKey(t, name)]
	return ok
}

// VM returns the row of the VM called name, if it is up.
func (v *View) VM(name string) (VM, bool) {
	r, ok := v.vms[name]
	return r, ok
}

// VMs returns the VMs that are up, in the order of their names.
func (v *View) VMs() []VM {
	names := slices.Sorted(maps.Keys(v.vms))
	rows := make([]VM, len(names))
	for i, n := range names {
		rows[i] = v.vms[n]
	}
	return rows
}

// Owner returns who owns group.
func (v *View) Owner(group string) (Ownership, bool) {
	o, ok := v.owners[group]
	return o, ok
}

// Owners returns all ownerships by group. The caller must not change it.
func (v *View) Owners() map[string]Ownership { return v.owners }

// Strikes returns how often print crashed an upstream.
func (v *View) Strikes(print uint64) int { return v.strikes[print].Count }

// AllStrikes returns all strikes. The caller must not change it.
func (v *View) AllStrikes() map[uint64]StrikeCount { return v.strikes }

// Serves reports whether callers may be sent to vm.
func (v *View) Serves(vm VM) bool {
	return !vm.Leaving && !v.IsOut(TargetVM, vm.Name) && !v.IsOut(TargetDC, vm.DC)
}

// Serving returns the VMs that callers may be sent to, in the order of their
// names. VMs that only vote have no address for callers.
func (v *View) Serving() []VM {
	return slices.DeleteFunc(v.VMs(), func(vm VM) bool { return vm.Address == "" || !v.Serves(vm) })
}

// Usable reports whether new attempts may go to upstream u.
func (v *View) Usable(u mpcatalogue.Upstream) bool {
	leaving := u.VM != "" && v.IsOut(TargetMachine, u.VM)
	return !leaving && !v.IsOut(TargetUpstream, u.Name) && !v.IsOut(TargetDC, u.DC)
}

// CheckConflict returns ErrConflict when op touches a row that changed after
// revision base. A base of 0 is not checked.
func (v *View) CheckConflict(base uint64, op Op) error {
	if base == 0 {
		return nil
	}
	if base < v.oldest {
		return mperror.Wrap(mperror.ErrConflict, "revision %d is too old to compare with", base)
	}
	for _, key := range keys(op) {
		if at := v.touched[key]; at > base {
			return mperror.Wrap(mperror.ErrConflict, "%s changed at revision %d, after %d", key, at, base)
		}
	}
	return nil
}

func keys(op Op) []string {
	switch op := op.(type) {
	case Edit:
		return op.Edit.Keys()
	case Mark:
		return []string{markKey(op.Target, op.Name)}
	}
	return nil
}

func markKey(t Target, name string) string { return "mark/" + string(t) + "/" + name }

// Apply returns the next revision, or an error that wraps ErrInvalid or
// ErrNotFound and leaves v in force.
func (v *View) Apply(op Op) (*View, error) {
	return v.apply(op, (*mpcatalogue.Catalogue).Apply)
}

// ApplyUnchecked returns the next revision after a change that the voters have accepted,
// whose rows need no second check.
func (v *View) ApplyUnchecked(op Op) (*View, error) {
	return v.apply(op, func(c *mpcatalogue.Catalogue, e mpcatalogue.Edit) (*mpcatalogue.Catalogue, error) {
		return c.ApplyUnchecked(e), nil
	})
}

type editFunc func(*mpcatalogue.Catalogue, mpcatalogue.Edit) (*mpcatalogue.Catalogue, error)

func (v *View) apply(op Op, edit editFunc) (*View, error) {
	next := *v
	next.revision++
	var err error
	switch op := op.(type) {
	case Edit:
		next.catalogue, err = edit(v.catalogue, op.Edit)
	case Mark:
		err = next.mark(op)
	case Join:
		next.vms = cloned(v.vms)
		next.vms[op.VM.Name] = op.VM
	case Leave:
		next.leave(op)
	case Assign:
		next.assign(op)
	case Strike:
		next.strike(op)
	case ClearStrikes:
		next.strikes = cloned(v.strikes)
		for _, p := range op.Fingerprints {
			delete(next.strikes, p)
		}
	case Publish:
		if op.Routing.Version > v.routing.Version {
			next.routing = op.Routing
		}
	case Note:
	default:
		err = mperror.Wrap(mperror.ErrInvalid, "unknown op %T", op)
	}
	if err != nil {
		return nil, err
	}
	if touched := keys(op); len(touched) > 0 {
		next.touched = cloned(v.touched)
		for _, key := range touched {
			next.touched[key] = next.revision
		}
		next.forget()
	}
	return &next, nil
}

// forget drops the oldest notes of touched rows, which may be gone, when many
// have gathered. A base that old is taken for a conflict.
func (v *View) forget() {
	if len(v.touched) <= maxTouched {
		return
	}
	for key, at := range v.touched {
		if at+maxTouched < v.revision {
			delete(v.touched, key)
		}
	}
	v.oldest = max(v.oldest, v.revision-min(v.revision, maxTouched))
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func (v *View) mark(op Mark) error {
	if err := v.checkTarget(op); err != nil {
		return err
	}
	v.out = cloned(v.out)
	key := markKey(op.Target, op.Name)
	if op.Out {
		v.out[key] = v.revision
	} else {
		delete(v.out, key)
	}
	return nil
}

func (v *View) checkTarget(op Mark) error {
	known := false
	switch op.Target {
	case TargetDC:
		// The platform lists the upstreams of a published plan, with data
		// centres that the catalogue does not name.
		_, known = v.catalogue.DC(op.Name)
		known = known || v.routing.Version > 0
	case TargetUpstream:
		_, known = v.catalogue.Upstream(op.Name)
	case TargetMachine:
		known = true
	case TargetVM:
		_, known = v.vms[op.Name]
		known = known || !op.Out && v.IsOut(TargetVM, op.Name)
	default:
		return mperror.Wrap(mperror.ErrInvalid, "mark of unknown target %q", op.Target)
	}
	if !known {
		return mperror.Wrap(mperror.ErrNotFound, "%s/%s", op.Target, op.Name)
	}
	return nil
}

func (v *View) leave(op Leave) {
	v.vms = cloned(v.vms)
	for _, name := range op.VMs {
		delete(v.vms, name)
	}
}

func (v *View) assign(op Assign) {
	v.owners = cloned(v.owners)
	for group, vm := range op.Owners {
		if vm == "" {
			delete(v.owners, group)
			continue
		}
		_, had := v.owners[group]
		v.owners[group] = Ownership{VM: vm, Epoch: v.revision, FirstOwner: !had}
	}
}

func (v *View) strike(op Strike) {
	v.strikes = cloned(v.strikes)
	for _, p := range op.Fingerprints {
		s := v.strikes[p]
		v.strikes[p] = StrikeCount{Count: s.Count + 1, Until: max(s.Until, op.Until)}
	}
}

type wireView struct {
	Revision  uint64                 `json:"revision"`
	Catalogue mpcatalogue.Document   `json:"catalogue"`
	Out       map[string]uint64      `json:"out"`
	Touched   map[string]uint64      `json:"touched"`
	Oldest    uint64                 `json:"oldest,omitempty"`
	VMs       map[string]VM          `json:"vms"`
	Owners    map[string]Ownership   `json:"owners"`
	Strikes   map[uint64]StrikeCount `json:"strikes"`
	Routing   *Routing               `json:"routing,omitempty"`
}

// MarshalJSON encodes the whole view.
func (v *View) MarshalJSON() ([]byte, error) {
	var routing *Routing
	if v.routing.Version > 0 {
		routing = &v.routing
	}
	return json.Marshal(wireView{
		Routing:   routing,
		Revision:  v.revision,
		Catalogue: v.catalogue.Document(),
		Out:       v.out,
		Touched:   v.touched,
		Oldest:    v.oldest,
		VMs:       v.vms,
		Owners:    v.owners,
		Strikes:   v.strikes,
	})
}

// UnmarshalJSON decodes what MarshalJSON wrote.
func (v *View) UnmarshalJSON(data []byte) error {
	var w wireView
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*v = View{
		revision:  w.Revision,
		catalogue: mpcatalogue.Empty().ApplyUnchecked(mpcatalogue.Edit{Put: w.Catalogue}),
		out:       w.Out,
		touched:   w.Touched,
		oldest:    w.Oldest,
		vms:       w.VMs,
		owners:    w.Owners,
		strikes:   w.Strikes,
	}
	if w.Routing != nil {
		v.routing = *w.Routing
	}
	return nil
}

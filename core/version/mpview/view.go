// Package mpview holds the state that is replicated to every VM: the catalogue,
// what is out of service, which VMs are up, which VM owns which group, the
// routing plan, the roll-outs of pools to other versions, and strikes against
// requests that crash upstreams. A View is immutable. Each change increments the
// revision by one, and voters and all other VMs apply changes with the same code.
package mpview

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mprollout"
)

// maxChangeRecords bounds the number of rows whose last change is kept.
const maxChangeRecords = 20_000

// StrikeLimit is the number of upstreams that a request may crash before it is
// refused permanently.
const StrikeLimit = 2

// VM describes a VM that is up.
type VM struct {
	Name string `json:"name"`
	DC   string `json:"dc"`
	// Boot is different for each start of the VM's process.
	Boot uint64 `json:"boot"`
	// Address is the address for callers, Peer the address for other VMs.
	Address string `json:"address"`
	Peer    string `json:"peer"`
	// Leaving VMs own no groups and are not advertised to callers.
	Leaving bool `json:"leaving,omitempty"`
	// Voter VMs hold the replicated state and can identify the leader.
	Voter bool `json:"voter,omitempty"`
	// CPU is the VM's share of processors, in thousandths of a core; 0 if it is unknown.
	CPU uint32 `json:"cpu,omitempty"`
}

// Routing is a routing plan, which operators publish as a whole under a version
// that they choose. Source is the document as published; each VM decodes it, and
// reading the plan returns it unchanged.
type Routing struct {
	Version uint64          `json:"version"`
	Source  json.RawMessage `json:"source,omitempty"`
	// Sum identifies the source where that is left out; it is 0 otherwise.
	Sum uint64 `json:"sum,omitempty"`
}

// PlanID identifies a plan by its version and the checksum of its source.
type PlanID struct{ Version, Sum uint64 }

// Checksum returns the number that identifies the source, or 0 if there is no plan. Where there is a source,
// Sum does not count.
func (r Routing) Checksum() uint64 {
	if len(r.Source) == 0 {
		return r.Sum
	}
	return xxhash.Sum64(r.Source)
}

// ID returns the version and the checksum of the plan.
func (r Routing) ID() PlanID { return PlanID{r.Version, r.Checksum()} }

// WithoutSource returns the plan with the checksum in place of the source.
func (r Routing) WithoutSource() Routing {
	return Routing{Version: r.Version, Sum: r.Checksum()}
}

// Ownership identifies the VM that grants permits for a group, and the epoch in
// which it became the owner.
type Ownership struct {
	VM    string `json:"vm"`
	Epoch uint64 `json:"epoch"`
	// FirstOwner is set if the group had no owner before.
	FirstOwner bool `json:"fresh,omitempty"`
}

// StrikeCount counts the upstreams that crashed while running a request.
type StrikeCount struct {
	Count int   `json:"count"`
	Until int64 `json:"until"`
}

// View is an immutable revision of the state.
type View struct {
	revision     uint64
	catalogue    *mpcatalogue.Catalogue
	outOfService map[string]uint64
	changedAt    map[string]uint64
	oldestBase   uint64
	vms          map[string]VM
	owners       map[string]Ownership
	strikes      map[uint64]StrikeCount
	routing      Routing
	// rollouts has the latest roll-out of each pool that had one.
	rollouts map[string]mprollout.Rollout
}

// Empty returns an empty view at revision 0.
func Empty() *View { return &View{catalogue: mpcatalogue.Empty()} }

// Revision returns the number of changes applied so far.
func (v *View) Revision() uint64 { return v.revision }

// Catalogue returns the catalogue of this revision.
func (v *View) Catalogue() *mpcatalogue.Catalogue { return v.catalogue }

// Routing returns the published plan. Its version is 0 if none is published.
func (v *View) Routing() Routing { return v.routing }

// Replaces reports whether a published plan takes effect. Otherwise the plan in force stays, whatever the
// content of the published one.
func (v *View) Replaces(p Publish) bool { return p.Routing.Version > v.routing.Version }

// IsOut reports whether the named target is marked as out of service.
func (v *View) IsOut(t Target, name string) bool {
	_, ok := v.outOfService[markKey(t, name)]
	return ok
}

// VM returns the named VM, if it is up.
func (v *View) VM(name string) (VM, bool) {
	r, ok := v.vms[name]
	return r, ok
}

// Size returns the number of VMs that are up.
func (v *View) Size() int { return len(v.vms) }

// VMs returns the VMs that are up, sorted by name.
func (v *View) VMs() []VM {
	names := slices.Sorted(maps.Keys(v.vms))
	rows := make([]VM, len(names))
	for i, n := range names {
		rows[i] = v.vms[n]
	}
	return rows
}

// Owner returns the ownership of group.
func (v *View) Owner(group string) (Ownership, bool) {
	o, ok := v.owners[group]
	return o, ok
}

// Owners returns all ownerships by group. The caller must not modify the map.
func (v *View) Owners() map[string]Ownership { return v.owners }

// Strikes returns how many upstreams the request with this fingerprint crashed.
func (v *View) Strikes(fingerprint uint64) int { return v.strikes[fingerprint].Count }

// AllStrikes returns all strikes by fingerprint. The caller must not modify the
// map.
func (v *View) AllStrikes() map[uint64]StrikeCount { return v.strikes }

// Rollout returns the latest roll-out of pool, which may have ended.
func (v *View) Rollout(pool string) (mprollout.Rollout, bool) {
	r, ok := v.rollouts[pool]
	return r, ok
}

// Rollouts returns the latest roll-out of each pool that had one, sorted by pool.
func (v *View) Rollouts() []mprollout.Rollout {
	out := make([]mprollout.Rollout, 0, len(v.rollouts))
	for _, pool := range slices.Sorted(maps.Keys(v.rollouts)) {
		out = append(out, v.rollouts[pool])
	}
	return out
}

// Serves reports whether callers may be directed to vm.
func (v *View) Serves(vm VM) bool {
	return !vm.Leaving && !v.IsOut(TargetVM, vm.Name) && !v.IsOut(TargetDC, vm.DC)
}

// Serving returns the VMs that callers may be directed to, sorted by name. VMs
// that are only voters have no address for callers and are left out.
func (v *View) Serving() []VM {
	return slices.DeleteFunc(v.VMs(), func(vm VM) bool { return vm.Address == "" || !v.Serves(vm) })
}

// Usable reports whether new attempts may be sent to upstream u.
func (v *View) Usable(u mpcatalogue.Upstream) bool {
	machineOut := u.VM != "" && v.IsOut(TargetMachine, u.VM)
	return !machineOut && !v.IsOut(TargetUpstream, u.Name) && !v.IsOut(TargetDC, u.DC)
}

// CheckConflict returns an error that wraps ErrConflict if op modifies a row that
// was changed after revision base. A base of 0 skips the check.
func (v *View) CheckConflict(base uint64, op Op) error {
	if base == 0 {
		return nil
	}
	if base < v.oldestBase {
		return mperror.Wrap(mperror.ErrConflict, "revision %d is too old to compare with", base)
	}
	for _, key := range rowKeys(op) {
		if at := v.changedAt[key]; at > base {
			return mperror.Wrap(mperror.ErrConflict, "%s changed at revision %d, after %d", key, at, base)
		}
	}
	return nil
}

func rowKeys(op Op) []string {
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
// ErrNotFound. v itself never changes.
func (v *View) Apply(op Op) (*View, error) {
	return v.apply(op, (*mpcatalogue.Catalogue).Apply)
}

// ApplyUnchecked returns the next revision. It does not validate the rows of the
// catalogue again, because the voters have already accepted the change.
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
		next.vms = cloneMap(v.vms)
		next.vms[op.VM.Name] = op.VM
	case Leave:
		next.leave(op)
	case Assign:
		next.assign(op)
	case Strike:
		next.strike(op)
	case ClearStrikes:
		next.strikes = cloneMap(v.strikes)
		for _, p := range op.Fingerprints {
			delete(next.strikes, p)
		}
	case Publish:
		if v.Replaces(op) {
			next.routing = op.Routing
		}
	case Roll:
		err = next.roll(op.Rollout)
	case Note:
	default:
		err = mperror.Wrap(mperror.ErrInvalid, "unknown op %T", op)
	}
	if err != nil {
		return nil, err
	}
	if changed := rowKeys(op); len(changed) > 0 {
		next.changedAt = cloneMap(v.changedAt)
		for _, key := range changed {
			next.changedAt[key] = next.revision
		}
		next.pruneChangeRecords()
	}
	return &next, nil
}

// pruneChangeRecords drops the oldest change records if there are more than
// maxChangeRecords, because they may belong to rows that no longer exist. A base
// older than the remaining records is treated as a conflict.
func (v *View) pruneChangeRecords() {
	if len(v.changedAt) <= maxChangeRecords {
		return
	}
	for key, at := range v.changedAt {
		if at+maxChangeRecords < v.revision {
			delete(v.changedAt, key)
		}
	}
	v.oldestBase = max(v.oldestBase, v.revision-min(v.revision, maxChangeRecords))
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func (v *View) mark(op Mark) error {
	if err := v.checkTarget(op); err != nil {
		return err
	}
	v.outOfService = cloneMap(v.outOfService)
	key := markKey(op.Target, op.Name)
	if op.Out {
		v.outOfService[key] = v.revision
	} else {
		delete(v.outOfService, key)
	}
	return nil
}

func (v *View) checkTarget(op Mark) error {
	known := false
	switch op.Target {
	case TargetDC:
		// Upstreams of a published plan are listed by the platform and may be
		// in data centres that are not in the catalogue.
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
	v.vms = cloneMap(v.vms)
	for _, name := range op.VMs {
		delete(v.vms, name)
	}
}

func (v *View) assign(op Assign) {
	v.owners = cloneMap(v.owners)
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
	v.strikes = cloneMap(v.strikes)
	for _, p := range op.Fingerprints {
		s := v.strikes[p]
		v.strikes[p] = StrikeCount{Count: s.Count + 1, Until: max(s.Until, op.Until)}
	}
}

func (v *View) roll(r mprollout.Rollout) error {
	if err := mprollout.Advance(v.rollouts[r.Pool], r); err != nil {
		return err
	}
	v.rollouts = cloneMap(v.rollouts)
	v.rollouts[r.Pool] = r
	return nil
}

type wireView struct {
	Revision     uint64                 `json:"revision"`
	Catalogue    mpcatalogue.Document   `json:"catalogue"`
	OutOfService map[string]uint64      `json:"out"`
	ChangedAt    map[string]uint64      `json:"touched"`
	OldestBase   uint64                 `json:"oldest,omitempty"`
	VMs          map[string]VM          `json:"vms"`
	Owners       map[string]Ownership   `json:"owners"`
	Strikes      map[uint64]StrikeCount `json:"strikes"`
	Routing      *Routing               `json:"routing,omitempty"`
	// Rollouts is absent from the views of earlier builds.
	Rollouts map[string]mprollout.Rollout `json:"rollouts,omitempty"`
}

// WithoutPlan returns the view with the checksum of the plan in place of its source.
func (v *View) WithoutPlan() *View {
	if v.routing.Version == 0 {
		return v
	}
	out := *v
	out.routing = v.routing.WithoutSource()
	return &out
}

// MarshalJSON encodes the complete view.
func (v *View) MarshalJSON() ([]byte, error) {
	var routing *Routing
	if v.routing.Version > 0 {
		routing = &v.routing
	}
	return json.Marshal(wireView{
		Routing:      routing,
		Revision:     v.revision,
		Catalogue:    v.catalogue.Document(),
		OutOfService: v.outOfService,
		ChangedAt:    v.changedAt,
		OldestBase:   v.oldestBase,
		VMs:          v.vms,
		Owners:       v.owners,
		Strikes:      v.strikes,
		Rollouts:     v.rollouts,
	})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (v *View) UnmarshalJSON(data []byte) error {
	var w wireView
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*v = View{
		revision:     w.Revision,
		catalogue:    mpcatalogue.Empty().ApplyUnchecked(mpcatalogue.Edit{Put: w.Catalogue}),
		outOfService: w.OutOfService,
		changedAt:    w.ChangedAt,
		oldestBase:   w.OldestBase,
		vms:          w.VMs,
		owners:       w.Owners,
		strikes:      w.Strikes,
		rollouts:     w.Rollouts,
	}
	if w.Routing != nil {
		v.routing = *w.Routing
	}
	return nil
}

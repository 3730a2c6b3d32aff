package mpview

import (
	"encoding/json"
	"fmt"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mprollout"
)

// Op is an operation that changes a View.
type Op interface{ op() }

// Edit applies an edit to the catalogue.
type Edit struct {
	Edit mpcatalogue.Edit `json:"edit"`
}

// Target is the kind of object that a Mark applies to.
type Target string

const (
	// TargetDC is a data centre.
	TargetDC Target = "dc"
	// TargetVM is a VM of this system.
	TargetVM Target = "vm"
	// TargetUpstream is an upstream.
	TargetUpstream Target = "upstream"
	// TargetMachine is a machine of the platform, with all its upstreams.
	TargetMachine Target = "machine"
)

// Mark takes a data centre, VM, upstream or machine out of service, or puts it
// back into service.
type Mark struct {
	Target Target `json:"target"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
}

// Join adds a VM, or replaces its row after a restart.
type Join struct {
	VM VM `json:"vm"`
}

// Leave removes VMs whose leases have expired or that have left gracefully.
type Leave struct {
	VMs []string `json:"vms"`
}

// Assign maps groups to their owners. Each assignment starts a new epoch. An
// empty owner removes the group's ownership.
type Assign struct {
	Owners map[string]string `json:"owners"`
}

// Strike records that upstreams crashed while running the given requests.
type Strike struct {
	Fingerprints []uint64 `json:"prints"`
	// Until is when the strike expires, in ms since the Unix epoch.
	Until int64 `json:"until"`
}

// ClearStrikes removes strikes that have expired, or whose requests have since
// run alone without crashing an upstream.
type ClearStrikes struct {
	Fingerprints []uint64 `json:"prints"`
}

// Note adds a message to the audit trail and changes nothing else.
type Note struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Publish replaces the routing plan. The published plan stays in force unless the
// new version is higher.
type Publish struct {
	Routing Routing `json:"routing"`
}

// Roll sets the roll-out of a pool. It is refused unless mprollout.Advance accepts the
// step from the pool's present roll-out.
type Roll struct {
	Rollout mprollout.Rollout `json:"rollout"`
}

func (Edit) op()         {}
func (Mark) op()         {}
func (Join) op()         {}
func (Leave) op()        {}
func (Assign) op()       {}
func (Strike) op()       {}
func (ClearStrikes) op() {}
func (Note) op()         {}
func (Publish) op()      {}
func (Roll) op()         {}

type wireOp struct {
	Edit    *Edit         `json:"edit,omitempty"`
	Mark    *Mark         `json:"mark,omitempty"`
	Join    *Join         `json:"join,omitempty"`
	Leave   *Leave        `json:"leave,omitempty"`
	Assign  *Assign       `json:"assign,omitempty"`
	Strike  *Strike       `json:"strike,omitempty"`
	Clear   *ClearStrikes `json:"clear,omitempty"`
	Note    *Note         `json:"note,omitempty"`
	Publish *Publish      `json:"publish,omitempty"`
	Roll    *Roll         `json:"roll,omitempty"`
}

// Change is the step from one revision to the next.
type Change struct {
	// Revision is the revision that results from the change; 0 until the
	// change is accepted.
	Revision uint64
	Op       Op
}

type wireChange struct {
	Revision uint64 `json:"revision"`
	wireOp
}

// MarshalJSON encodes the change, with the op under a key that names its type.
func (c Change) MarshalJSON() ([]byte, error) {
	w := wireChange{Revision: c.Revision}
	switch op := c.Op.(type) {
	case Edit:
		w.Edit = &op
	case Mark:
		w.Mark = &op
	case Join:
		w.Join = &op
	case Leave:
		w.Leave = &op
	case Assign:
		w.Assign = &op
	case Strike:
		w.Strike = &op
	case ClearStrikes:
		w.Clear = &op
	case Note:
		w.Note = &op
	case Publish:
		w.Publish = &op
	case Roll:
		w.Roll = &op
	default:
		return nil, fmt.Errorf("mpview: cannot encode op %T", c.Op)
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (c *Change) UnmarshalJSON(data []byte) error {
	var w wireChange
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	c.Revision = w.Revision
	switch {
	case w.Edit != nil:
		c.Op = *w.Edit
	case w.Mark != nil:
		c.Op = *w.Mark
	case w.Join != nil:
		c.Op = *w.Join
	case w.Leave != nil:
		c.Op = *w.Leave
	case w.Assign != nil:
		c.Op = *w.Assign
	case w.Strike != nil:
		c.Op = *w.Strike
	case w.Clear != nil:
		c.Op = *w.Clear
	case w.Note != nil:
		c.Op = *w.Note
	case w.Publish != nil:
		c.Op = *w.Publish
	case w.Roll != nil:
		c.Op = *w.Roll
	default:
		return mperror.Wrap(mperror.ErrInvalid, "change without a known op")
	}
	return nil
}

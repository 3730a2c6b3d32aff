package mpview

import (
	"encoding/json"
	"fmt"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
)

// Op is one kind of change to a View.
type Op interface{ op() }

// Edit changes the catalogue.
type Edit struct {
	Edit mpcatalogue.Edit `json:"edit"`
}

// Target tells what a Mark applies to.
type Target string

const (
	// TargetDC marks a data centre.
	TargetDC Target = "dc"
	// TargetVM marks a VM of the system.
	TargetVM Target = "vm"
	// TargetUpstream marks an upstream.
	TargetUpstream Target = "upstream"
	// TargetMachine marks a machine of the platform, with all its upstreams.
	TargetMachine Target = "machine"
)

// Mark takes a data centre, VM or upstream out of service or back in.
type Mark struct {
	Target Target `json:"target"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
}

// Join adds a VM or replaces its row after a restart.
type Join struct {
	VM VM `json:"vm"`
}

// Leave removes VMs whose leases have run out or that said goodbye.
type Leave struct {
	VMs []string `json:"vms"`
}

// Assign gives groups to owners. Each assignment starts a new epoch.
type Assign struct {
	Owners map[string]string `json:"owners"`
}

// Strike records that upstreams crashed while they ran the given requests.
type Strike struct {
	Fingerprints []uint64 `json:"prints"`
	// Until is when the strike lapses, in ms since the Unix epoch.
	Until int64 `json:"until"`
}

// ClearStrikes forgets strikes: requests that ran alone without harm, or old ones.
type ClearStrikes struct {
	Fingerprints []uint64 `json:"prints"`
}

// Note records something in the audit trail and changes nothing else.
type Note struct {
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// Publish replaces the operators' plan. A plan whose version is not higher
// than the published one leaves the state as it is.
type Publish struct {
	Routing Routing `json:"routing"`
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
}

// Change is one step from a revision to the next.
type Change struct {
	// Revision is the revision that the change leads to; 0 until accepted.
	Revision uint64
	Op       Op
}

type wireChange struct {
	Revision uint64 `json:"revision"`
	wireOp
}

// MarshalJSON encodes the change with its op under the name of its kind.
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
	default:
		return nil, fmt.Errorf("mpview: cannot encode op %T", c.Op)
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes what MarshalJSON wrote.
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
	default:
		return mperror.Wrap(mperror.ErrInvalid, "change without a known op")
	}
	return nil
}

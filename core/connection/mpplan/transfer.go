package mpplan

import (
	"time"

	"mustardpost.org/core/common/mpdelta"
	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mpview"
)

const (
	// maxPlanBytes bounds a plan, and maxEncodedBytes its encoding.
	maxPlanBytes    = 64 << 20
	maxEncodedBytes = 64 << 20
	// Parts begin with startPartBytes, and are sized so that each takes between fastPart and slowPart
	// on the link, which renewals and requests use too.
	startPartBytes = 16 << 10
	minPartBytes   = 4 << 10
	maxPartBytes   = 512 << 10
	fastPart       = 100 * time.Millisecond
	slowPart       = 400 * time.Millisecond
	// lateDivisor makes parts smaller after one that did not arrive in time.
	lateDivisor = 4
)

// transfer is a plan that arrives in parts. What has arrived stays when calls fail or the plan is
// replaced: a plan that is complete leads to the next one by a difference. The zero value is none.
type transfer struct {
	version, sum, base uint64
	size               int
	data               []byte
}

// isRunning reports whether parts have arrived.
func (t *transfer) isRunning() bool { return t.size > 0 }

// request returns the request for the next part, for a VM that has the plan with sum held.
func (t *transfer) request(held uint64) *mpwire.FetchRequest {
	if !t.isRunning() {
		return &mpwire.FetchRequest{Base: held}
	}
	return &mpwire.FetchRequest{Base: t.base, Sum: t.sum, Offset: uint32(len(t.data))}
}

// add adds a part. A part of another encoding replaces what has arrived, if it is the first one. It
// reports whether the part was used.
func (t *transfer) add(p *mpwire.PlanPart) bool {
	size, offset := int(p.GetSize()), int(p.GetOffset())
	isNext := t.isRunning() && t.sum == p.GetSum() && t.base == p.GetBase() && t.size == size && offset == len(t.data)
	if !isNext && offset != 0 || size > maxEncodedBytes || offset+len(p.GetData()) > size || len(p.GetData()) == 0 {
		return false
	}
	if !isNext {
		*t = transfer{version: p.GetVersion(), sum: p.GetSum(), base: p.GetBase(), size: size}
	}
	t.data = append(t.data, p.GetData()...)
	return true
}

// isComplete reports whether all parts have arrived.
func (t *transfer) isComplete() bool { return t.isRunning() && len(t.data) == t.size }

// plan returns the plan that has arrived, for a VM that has the plan held. The plan in force is known by the
// replicated view, so its checksum goes before the one that a voter announced for that version.
func (t *transfer) plan(held mpview.Routing, inForce mpview.PlanID) (mpview.Routing, error) {
	source, err := mpflate.Unpack(t.data, maxPlanBytes)
	if err == nil && t.base != 0 {
		source, err = mpdelta.Apply(held.Source, source, maxPlanBytes)
	}
	plan := mpview.Routing{Version: t.version, Source: source}
	want := mpview.PlanID{Version: t.version, Sum: t.sum}
	if t.version == inForce.Version {
		want = inForce
	}
	if got := plan.ID(); err == nil && got != want {
		err = mperror.Wrap(errMismatch, "checksum %x, want %x", got.Sum, want.Sum)
	}
	return plan, mperror.Wrap(err, "plan %d from base %x", t.version, t.base)
}

// pace decides how large the next part is.
type pace struct{ bytes int }

func newPace() pace { return pace{bytes: startPartBytes} }

// arrived records how long a part took.
func (p *pace) arrived(took time.Duration) {
	switch {
	case took < fastPart:
		p.bytes = min(2*p.bytes, maxPartBytes)
	case took > slowPart:
		p.bytes = max(p.bytes/2, minPartBytes)
	}
}

// late records that a part did not arrive in time.
func (p *pace) late() { p.bytes = max(p.bytes/lateDivisor, minPartBytes) }

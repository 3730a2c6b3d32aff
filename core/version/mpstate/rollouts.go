package mpstate

import (
	"errors"
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpview"
)

// RolloutOrder orders the roll-out of a pool to another version. Whether it starts one or repeats an
// order that was accepted before is decided when it is applied, since an order whose acknowledgement
// was lost may arrive again by way of another VM.
type RolloutOrder struct {
	// ID is chosen by the proposer and becomes that of the roll-out.
	ID     string `json:"id"`
	Who    string `json:"who"`
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// DurationMs is the time until the deadline, and AckMs that for which operators repeat an order.
	DurationMs int64 `json:"duration"`
	AckMs      int64 `json:"ack"`
	// Share is the target's initial share of the requests.
	Share float64 `json:"share"`
	// Versions are those of the pool's upstreams in the platform's list. The leader sets them, and
	// Listed if it has a list.
	Versions []string `json:"versions,omitempty"`
	Listed   bool     `json:"listed,omitempty"`
}

func (RolloutOrder) command() {}

// repeatMargin is the time that a repeated order may spend on its way.
const repeatMargin = time.Second

// acceptedOrder is an order that started a roll-out and may be repeated until UntilMs. The pool's row
// does not tell of it once another roll-out has replaced that one.
type acceptedOrder struct {
	Pool       string `json:"pool"`
	Target     string `json:"target"`
	DurationMs int64  `json:"duration"`
	UntilMs    int64  `json:"until"`
}

// Request returns the order as mprollout takes it, without the versions.
func (c RolloutOrder) Request() mprollout.Request {
	return mprollout.Request{
		Pool:     c.Pool,
		Target:   c.Target,
		Duration: time.Duration(c.DurationMs) * time.Millisecond,
		Who:      c.Who,
		ID:       c.ID,
		Share:    c.Share,
		AckTime:  time.Duration(c.AckMs) * time.Millisecond,
	}
}

func (m *Machine) applyRolloutOrder(c RolloutOrder) Result {
	if r, ok := m.resultByID[c.ID]; ok && c.ID != "" {
		return r
	}
	r := m.tryRolloutOrder(c)
	if r.Code != CodeUnlisted {
		m.recordResult(c.ID, r)
	}
	return r
}

func (m *Machine) tryRolloutOrder(c RolloutOrder) Result {
	var current *mprollout.Rollout
	req := c.Request()
	req.Listed = c.Versions
	if latest, ok := m.view.Rollout(c.Pool); ok {
		current = &latest
		req.Listed = baseVersions(c.Versions, c.Target, latest)
	}
	if m.repeatsAccepted(c) {
		return Result{Code: CodeDone, Revision: m.view.Revision(), Rollout: current}
	}
	next, repeated, err := mprollout.Order(time.UnixMilli(m.clockMs), current, req)
	switch {
	case errors.Is(err, mperror.ErrConflict):
		return Result{Code: CodeConflict, Text: err.Error(), Revision: m.view.Revision()}
	case err != nil:
		return Result{Code: CodeInvalid, Text: err.Error()}
	case repeated:
		return Result{Code: CodeDone, Revision: m.view.Revision(), Rollout: current}
	case !c.Listed:
		return Result{Code: CodeUnlisted}
	}
	r := m.tryChange(Change{ID: c.ID, Who: c.Who, Change: mpview.Change{Op: mpview.Roll{Rollout: next}}})
	if r.Code == CodeDone {
		r.Rollout = &next
		m.recordAccepted(c)
	}
	return r
}

// repeatsAccepted reports whether the same order was accepted so lately that c may repeat it.
func (m *Machine) repeatsAccepted(c RolloutOrder) bool {
	return slices.ContainsFunc(m.accepted, func(o acceptedOrder) bool {
		return o.Pool == c.Pool && o.Target == c.Target && o.DurationMs == c.DurationMs && m.clockMs < o.UntilMs
	})
}

// recordAccepted records an accepted order, and drops those that are not repeated any more. It makes a
// new slice, since a snapshot may be encoding the present one.
func (m *Machine) recordAccepted(c RolloutOrder) {
	kept := []acceptedOrder{{c.Pool, c.Target, c.DurationMs, m.clockMs + c.AckMs + repeatMargin.Milliseconds()}}
	for _, o := range m.accepted {
		if m.clockMs < o.UntilMs {
			kept = append(kept, o)
		}
	}
	m.accepted = kept
}

// baseVersions returns the listed versions that serve beside the target of a new roll-out. Versions
// that get nothing since the latest roll-out ended are no such ones, though their upstreams stay in
// the list until they have stopped. They are if nothing else can serve.
func baseVersions(listed []string, target string, latest mprollout.Rollout) []string {
	serves := slices.DeleteFunc(slices.Clone(listed), func(v string) bool {
		switch latest.State {
		case mprollout.StateComplete:
			return latest.IsBase(v)
		case mprollout.StateReverted:
			return v == latest.Target
		case mprollout.StateRunning:
		}
		return false
	})
	hasBase := slices.ContainsFunc(serves, func(v string) bool { return v != "" && v != target })
	// A target that was completed before and is ordered again serves alone.
	isAlone := target == latest.Target && slices.Contains(serves, target)
	if hasBase || isAlone {
		return serves
	}
	return listed
}

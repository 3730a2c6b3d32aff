package mplead

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mpdelta"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	// inlinePlanBytes is up to what size an encoded plan comes with a renewal. It is little beside what
	// a link carries in the time of one.
	inlinePlanBytes = 16 << 10
	// maxPlanPartBytes bounds what one call for a part of a plan returns.
	maxPlanPartBytes = 1 << 20
	// maxKeptPlans and maxKeptPlanBytes bound the earlier plans from which VMs get the difference.
	maxKeptPlans     = 8
	maxKeptPlanBytes = 8 << 20
	// planEncodingAge is how long an encoding stays while no VM reads it. One that a VM has begun to
	// read must outlast the plans that replace it, or the VM would begin anew with each of them.
	planEncodingAge = 10 * time.Second
	// maxPlanEncodingBytes bounds all encodings together; the one in use is kept in any case.
	maxPlanEncodingBytes = 32 << 20
)

// planKey names the encoding that leads from the plan with sum base to the one with the given sum. The
// encoding of the whole plan has base 0.
type planKey struct{ sum, base uint64 }

type planEncoding struct {
	version uint64
	data    []byte
	readAt  time.Time
}

// plans encodes the plans that VMs get, each once for all of them. Encodings are the same at all voters,
// so that a VM can read the parts of one from several. It is safe for concurrent use.
type plans struct {
	mu sync.Mutex
	// kept are the newest plan and earlier ones, oldest first.
	kept      []mpstate.Plan
	encodings map[planKey]*planEncoding
	// conflict is the last plan that isNewConflict got.
	conflict mpview.PlanID
}

func newPlans() *plans { return &plans{encodings: map[planKey]*planEncoding{}} }

// part returns the part of a plan that a VM asks for, while the given plan is in force.
func (p *plans) part(now time.Time, inForce mpstate.Plan, r *mpwire.FetchRequest) *mpwire.PlanPart {
	if inForce.Version() == 0 {
		return &mpwire.PlanPart{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.keep(inForce)
	if r.GetSum() == 0 && r.GetBase() == newest.Sum() {
		return &mpwire.PlanPart{Version: newest.Version(), Sum: newest.Sum()}
	}
	key, offset := planKey{r.GetSum(), r.GetBase()}, int(r.GetOffset())
	e, ok := p.encodings[key]
	if target, isKept := p.find(r.GetSum()); isKept && ok {
		e.version = target.Version()
	} else if isKept {
		var found planKey
		found, e = p.encode(target, r.GetBase())
		ok = found == key
	}
	if !ok || offset > len(e.data) {
		offset = 0
		key, e = p.encode(newest, r.GetBase())
	}
	e.readAt = now
	p.prune(now)
	end := min(offset+min(int(r.GetMost()), maxPlanPartBytes), len(e.data))
	return &mpwire.PlanPart{
		Version: e.version, Sum: key.sum, Base: key.base, Size: uint32(len(e.data)), Offset: uint32(offset), Data: e.data[offset:end],
	}
}

// observe keeps the plan in force, since VMs have it when the next one is published.
func (p *plans) observe(inForce mpstate.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inForce.Version() > 0 {
		p.keep(inForce)
	}
}

// keep adds the plan in force to those that are kept, and returns it.
func (p *plans) keep(inForce mpstate.Plan) mpstate.Plan {
	if n := len(p.kept); n > 0 && (p.kept[n-1].Version() > inForce.Version() || p.kept[n-1].ID() == inForce.ID()) {
		return p.kept[n-1]
	}
	p.kept = append(p.kept, inForce)
	bytes := 0
	for i := len(p.kept) - 1; i >= 0; i-- {
		bytes += len(p.kept[i].Source())
		if i < len(p.kept)-1 && (len(p.kept)-i > maxKeptPlans || bytes > maxKeptPlanBytes) {
			p.kept = append([]mpstate.Plan(nil), p.kept[i+1:]...)
			break
		}
	}
	return inForce
}

// isNewConflict reports whether it was last called with another plan.
func (p *plans) isNewConflict(published mpview.PlanID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.conflict != published
	p.conflict = published
	return isNew
}

// find returns the newest kept plan with the given sum. Plans of several versions may have the same source.
func (p *plans) find(sum uint64) (mpstate.Plan, bool) {
	for _, k := range slices.Backward(p.kept) {
		if k.Sum() == sum {
			return k, true
		}
	}
	return mpstate.Plan{}, false
}

// encode returns the encoding of a plan for a VM that has the one with sum base: the whole one, unless
// that plan is kept.
func (p *plans) encode(target mpstate.Plan, base uint64) (planKey, *planEncoding) {
	old, isKept := p.find(base)
	key := planKey{sum: target.Sum()}
	if isKept {
		key.base = base
	}
	if e, ok := p.encodings[key]; ok {
		e.version = target.Version()
		return key, e
	}
	encoded := target.Source()
	if isKept {
		encoded = mpdelta.Make(old.Source(), target.Source())
	}
	e := &planEncoding{version: target.Version(), data: mpflate.Pack(encoded)}
	p.encodings[key] = e
	return key, e
}

// prune drops the encodings that were not read for planEncodingAge, and those that were read longest ago
// while all together are too large.
func (p *plans) prune(now time.Time) {
	bytes := 0
	for key, e := range p.encodings {
		if now.Sub(e.readAt) > planEncodingAge {
			delete(p.encodings, key)
			continue
		}
		bytes += len(e.data)
	}
	for bytes > maxPlanEncodingBytes && len(p.encodings) > 1 {
		var oldest planKey
		var at time.Time
		for key, e := range p.encodings {
			if at.IsZero() || e.readAt.Before(at) {
				oldest, at = key, e.readAt
			}
		}
		bytes -= len(p.encodings[oldest].data)
		delete(p.encodings, oldest)
	}
}

// answerSuperseded returns the result of a command that publishes a plan which cannot take effect any more. It
// takes no entry of the log and wakes no VM. It returns false for every other command.
func (l *Leader) answerSuperseded(c mpstate.Command) (mpstate.Result, bool) {
	if !l.IsLeader() || !l.hasMinVoters() {
		return mpstate.Result{}, false
	}
	result, published, inForce, ok := l.cfg.StateMachine.Superseded(c)
	if !ok {
		return mpstate.Result{}, false
	}
	l.cfg.Metrics.Add("plan.superseded", 1)
	if published.Version == inForce.Version && published != inForce && l.plans.isNewConflict(published) {
		_ = level.Warn(l.cfg.Logger).Log("msg", "published plan has other content than the plan in force with this version; keeping that one",
			"plan", inForce.Version, "sum", inForce.Sum, "published", published.Sum)
	}
	return result, true
}

// Fetch returns the part of a plan that a VM asks for. Each voter serves it, from what it has applied.
func (l *Leader) Fetch(now time.Time, r *mpwire.FetchRequest) *mpwire.PlanPart {
	part := l.plans.part(now, l.cfg.StateMachine.Plan(), r)
	l.cfg.Metrics.Add("plan.served", 1)
	l.cfg.Metrics.Add("plan.served.bytes", int64(len(part.GetData())))
	return part
}

// lacksPlan reports whether the VM that renews takes over plans by themselves, and has another one than
// that in force.
func lacksPlan(r *mpwire.RenewRequest, plan mpstate.Plan) bool {
	return r.GetPlans() && plan.Version() > 0 && r.GetPlan() != plan.Sum()
}

// holdsPlan reports whether a part of an encoded plan is all of the given one.
func holdsPlan(part *mpwire.PlanPart, plan mpstate.Plan) bool {
	return part.GetSum() == plan.Sum() && part.GetOffset() == 0 && int(part.GetSize()) == len(part.GetData())
}

// inlinePlan returns the plan that a VM learns of by its renewal, or nil if it is too large to come with
// the reply.
func (l *Leader) inlinePlan(now time.Time, r *mpwire.RenewRequest) *mpwire.PlanPart {
	plan := l.cfg.StateMachine.Plan()
	if !lacksPlan(r, plan) || r.GetRevision() >= plan.PublishedAt() {
		return nil
	}
	part := l.plans.part(now, plan, &mpwire.FetchRequest{Base: r.GetPlan(), Most: inlinePlanBytes})
	if int(part.GetSize()) > len(part.GetData()) {
		return nil
	}
	return part
}

package mpstate

import "mustardpost.org/core/version/mpview"

// Plan is the plan in force at a revision. Its checksum is always that of its source. The zero value is none.
type Plan struct {
	routing     mpview.Routing
	id          mpview.PlanID
	publishedAt uint64
}

// NewPlan returns the plan that came into force at the given revision, or at an earlier one.
func NewPlan(r mpview.Routing, publishedAt uint64) Plan {
	return Plan{routing: r, id: r.ID(), publishedAt: publishedAt}
}

// Version returns the version, or 0 if there is no plan.
func (p Plan) Version() uint64 { return p.id.Version }

// Source returns the plan as it was published. The caller must not modify it.
func (p Plan) Source() []byte { return p.routing.Source }

// Sum returns the checksum of the source, or 0 if there is no plan.
func (p Plan) Sum() uint64 { return p.id.Sum }

// ID returns the version and the checksum.
func (p Plan) ID() mpview.PlanID { return p.id }

// PublishedAt returns the revision of the change that published the plan, or a later one.
func (p Plan) PublishedAt() uint64 { return p.publishedAt }

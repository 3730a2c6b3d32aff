package mproute

import "slices"

// Inputs returns the stages whose results stage i reads. counts holds the number
// of pieces for each stage of a request. A stage without pieces is omitted and
// replaced by its own inputs.
func (r *Route) Inputs(i int, counts []int) []int {
	return r.resolveOmitted(r.spec.Stages[i].After, counts, nil)
}

func (r *Route) resolveOmitted(stages, counts, out []int) []int {
	for _, s := range stages {
		if counts[s] == 0 {
			out = r.resolveOmitted(r.spec.Stages[s].After, counts, out)
			continue
		}
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Leaves returns the stages with pieces whose results no other stage with pieces
// reads. The request itself reads these results.
func (r *Route) Leaves(counts []int) []int {
	read := map[int]bool{}
	for i := range r.spec.Stages {
		if counts[i] == 0 {
			continue
		}
		for _, in := range r.Inputs(i, counts) {
			read[in] = true
		}
	}
	var out []int
	for i := range r.spec.Stages {
		if counts[i] > 0 && !read[i] {
			out = append(out, i)
		}
	}
	return out
}

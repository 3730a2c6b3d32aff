package mproute

import "slices"

// Inputs returns the stages whose results stage i reads, where counts holds
// the number of pieces of each stage of a request. An omitted stage passes on
// what it would have read.
func (r *Route) Inputs(i int, counts []int) []int {
	return r.present(r.spec.Stages[i].After, counts, nil)
}

func (r *Route) present(stages, counts, out []int) []int {
	for _, s := range stages {
		if counts[s] == 0 {
			out = r.present(r.spec.Stages[s].After, counts, out)
			continue
		}
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// Leaves returns the stages with pieces whose results no other stage with
// pieces reads: the request itself reads them.
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

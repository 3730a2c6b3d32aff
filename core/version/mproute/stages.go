package mproute

// Inputs returns the stages whose results stage i reads. counts holds the number
// of pieces for each stage of a request. A stage without pieces is omitted and
// replaced by its own inputs.
func (r *Route) Inputs(i int, counts []int) []int {
	return r.resolveOmitted(r.spec.Stages[i].After, counts, make([]bool, len(counts)), nil)
}

// resolveOmitted appends the stages with pieces, and those that an omitted one reads. It visits no stage twice,
// since there may be very many ways to one.
func (r *Route) resolveOmitted(stages, counts []int, visited []bool, out []int) []int {
	for _, s := range stages {
		if visited[s] {
			continue
		}
		visited[s] = true
		if counts[s] == 0 {
			out = r.resolveOmitted(r.spec.Stages[s].After, counts, visited, out)
			continue
		}
		out = append(out, s)
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

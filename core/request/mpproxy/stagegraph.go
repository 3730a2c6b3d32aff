package mpproxy

import "mustardpost.org/core/version/mproute"

// stageGraph tells in which order the stages of one request run. Stages are numbered as in the route, and read
// only from stages with lower numbers.
type stageGraph struct {
	// inputs are the stages whose results each stage reads, and consumers the stages that read its own.
	// Stages without pieces have none.
	inputs, consumers [][]int
	// leaves are the stages whose results the request itself reads.
	leaves []int
	// after are the stages that must be done before each stage starts.
	after [][]int
}

// newStageGraph returns the graph of a request with the given numbers of pieces.
func newStageGraph(route *mproute.Route, counts []int) stageGraph {
	n := len(counts)
	g := stageGraph{inputs: make([][]int, n), consumers: make([][]int, n), leaves: route.Leaves(counts)}
	for i, count := range counts {
		if count == 0 {
			continue
		}
		g.inputs[i] = route.Inputs(i, counts)
		for _, in := range g.inputs[i] {
			g.consumers[in] = append(g.consumers[in], i)
		}
	}
	g.addDelays(route)
	return g
}

// addDelays sets after: the inputs of each stage, and for a leaf without inputs whose results are large the
// inputs of the last stage of the deepest other branch, so that its results do not wait for that branch.
//
// Only leaves are delayed, and they are delayed by stages that others read. So no stage that a leaf waits for
// waits for a leaf, and the graph has no cycle.
func (g *stageGraph) addDelays(route *mproute.Route) {
	g.after = append([][]int(nil), g.inputs...)
	depths := g.depths()
	for _, i := range g.leaves {
		if len(g.inputs[i]) > 0 || route.Spec().Stages[i].ResultBytes < largeResultBytes {
			continue
		}
		deepest := 0
		for _, leaf := range g.leaves {
			if leaf != i && depths[leaf] > deepest {
				deepest = depths[leaf]
				g.after[i] = g.inputs[leaf]
			}
		}
	}
}

// depths returns the number of stages before each stage on the longest way to it.
func (g *stageGraph) depths() []int {
	out := make([]int, len(g.inputs))
	for i, inputs := range g.inputs {
		for _, in := range inputs {
			out[i] = max(out[i], 1+out[in])
		}
	}
	return out
}

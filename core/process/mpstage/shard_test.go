package mpstage

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/version/mplist"
)

// newRows returns perDC[i] upstreams in the i-th data centre.
func newRows(perDC ...int) []mplist.Row {
	var rows []mplist.Row
	for dc, n := range perDC {
		for i := range n {
			rows = append(rows, mplist.Row{ID: fmt.Sprintf("u%d-%d", dc, i), Pool: "first", DC: fmt.Sprint("dc", dc)})
		}
	}
	return rows
}

func TestShardCount(t *testing.T) {
	for name, c := range map[string]struct{ vms, upstreams, want int }{
		"a small deployment":             {8, 5, 1},
		"no VM is known":                 {0, 5, 1},
		"a large deployment":             {76, 15, 2},
		"a sixth of its VMs is lost":     {64, 15, 2},
		"a third of its upstreams, too":  {64, 10, 2},
		"hundreds of VMs":                {300, 60, 8},
		"fewer upstreams than it needs":  {300, 6, 2},
		"a single upstream":              {300, 1, 1},
		"no upstream":                    {300, 0, 1},
		"so many VMs as one owner bears": {32, 15, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, shardCount(c.vms, c.upstreams)); diff != "" {
				t.Errorf("shards (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a shard that depends on one data centre: with it, all of the shard's
// upstreams would be lost.
func TestShardsHaveUpstreamsOfEachDC(t *testing.T) {
	for name, rows := range map[string][]mplist.Row{"even": newRows(4, 4, 4, 4), "uneven": newRows(4, 4, 4, 3), "one each": newRows(1, 1, 1, 1)} {
		t.Run(name, func(t *testing.T) {
			seen, sizes := map[mplist.Row]int{}, map[string]int{}
			for number := range 2 {
				for _, r := range (shard{pool: "first", number: number, count: 2}).upstreams(rows) {
					seen[r]++
					sizes[fmt.Sprint(r.DC, " in ", number)]++
				}
			}
			for _, r := range rows {
				if seen[r] != 1 {
					t.Errorf("%s is in %d shards", r.ID, seen[r])
				}
				if a, b := sizes[r.DC+" in 0"], sizes[r.DC+" in 1"]; a-b > 1 || b-a > 1 {
					t.Errorf("shards have %d and %d upstreams of %s", a, b, r.DC)
				}
			}
		})
	}
}

// Guards against owners that change with each change of the list: an upstream that moves
// to another owner gets calls from both, and its results are counted at neither.
func TestLostUpstreamMovesOnlyItsDC(t *testing.T) {
	rows := newRows(4, 4, 4, 3)
	before := assign(rows, 2)
	for i, lost := range rows {
		after := assign(append(append([]mplist.Row(nil), rows[:i]...), rows[i+1:]...), 2)
		for r, number := range after {
			if r.DC != lost.DC && before[r] != number {
				t.Errorf("the loss of %s moves %s", lost.ID, r.ID)
			}
		}
	}
}

// Guards against a VM of an earlier version, which names no shard: its jobs use the whole
// pool, as they did.
func TestDecodeShard(t *testing.T) {
	for name, c := range map[string]struct {
		number, count uint32
		want          string
	}{
		"from an earlier version":       {0, 0, "0/1"},
		"a pool that is not divided":    {0, 1, "0/1"},
		"one of two shards":             {1, 2, "1/2"},
		"a shard that the pool has not": {5, 2, "1/2"},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, decodeShard("p", c.number, c.count).String()); diff != "" {
				t.Errorf("shard (-want +got):\n%s", diff)
			}
		})
	}
}

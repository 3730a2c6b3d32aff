package mpstage

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/version/mplist"
)

const (
	// vmsPerShard is the number of VMs whose pieces pass through the processor and the
	// link of one owner, for each pool.
	vmsPerShard = 32
	// minShardUpstreams is the least number of upstreams in a shard, since calls are
	// filled from the queue that the upstreams of a shard have in common.
	minShardUpstreams = 2
)

// shard identifies one of the count parts of a pool, each of which has an owner of its own.
type shard struct {
	pool string
	// number is from 0 to count-1.
	number, count int
}

// shardCount returns into how many shards a pool is divided. The count is rounded to a
// power of two, so that it stays the same while some VMs are added or lost.
func shardCount(vms, upstreams int) int {
	exact := float64(max(vms, 1)) / vmsPerShard
	count := 1 << max(int(math.Round(math.Log2(exact))), 0)
	for count > 1 && upstreams < count*minShardUpstreams {
		count /= 2
	}
	return count
}

// assign returns the shard number of each row of a pool. Each shard gets its part of each
// data centre: its jobs then find upstreams near their inputs, and the loss of a data
// centre leaves no shard without upstreams. A row that is added or removed moves only rows
// of its data centre.
func assign(rows []mplist.Row, count int) map[mplist.Row]int {
	byDC := map[string][]mplist.Row{}
	for _, r := range rows {
		byDC[r.DC] = append(byDC[r.DC], r)
	}
	numbers := map[mplist.Row]int{}
	for i, dc := range slices.Sorted(maps.Keys(byDC)) {
		list := byDC[dc]
		slices.SortFunc(list, func(a, b mplist.Row) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.Address, b.Address))
		})
		for j, r := range list {
			// Starting at another shard for each data centre spreads the upstreams left
			// over where count does not divide their number.
			numbers[r] = (i + j) % count
		}
	}
	return numbers
}

// upstreams returns those of rows that belong to s.
func (s shard) upstreams(rows []mplist.Row) []mplist.Row {
	numbers := assign(rows, s.count)
	return slices.DeleteFunc(slices.Clone(rows), func(r mplist.Row) bool { return numbers[r] != s.number })
}

// rankKey is the key by which VMs are ranked as owners of s. An undivided pool is ranked by
// its name alone, as in earlier versions.
func (s shard) rankKey() string {
	if s.count == 1 {
		return s.pool
	}
	return s.pool + " " + s.String()
}

// String returns the name of s in logs.
func (s shard) String() string { return fmt.Sprintf("%d/%d", s.number, s.count) }

package mpstage

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

const (
	// ownerCallTime is the processor time of an owner for a call with two jobs, and
	// ownerPieceTime that for each of its pieces.
	ownerCallTime  = 1350 * time.Microsecond
	ownerPieceTime = 50 * time.Microsecond
	// maxOwnerLoad is the share of a core that an owner may need: half of a small VM's, since
	// calls may have more jobs. The pieces that it allows take half of a link of 10 Mbit/s.
	maxOwnerLoad = 0.1
	// minShardUpstreams is the least number of upstreams in a shard, since calls are
	// filled from the queue that the upstreams of a shard have in common.
	minShardUpstreams = 7
	// minShardDCs is the least number of data centres that a shard has upstreams in, as far as
	// there are as many, so that it outlives one of them.
	minShardDCs = 2
)

// shard identifies one of the count parts of a pool, each of which has an owner of its own.
type shard struct {
	pool string
	// number is from 0 to count-1.
	number, count int
}

// shardCount returns into how many shards a pool with the given upstreams is divided: as few
// as their owners bear, since only a shard with many upstreams in a data centre can make results
// near their readers. What the owners have to bear is what the upstreams can make, so that
// VMs with the same plan and list agree on the count, and it is the same in a burst as before it.
// The counts are far enough apart to stay the same while some upstreams are added or lost.
func shardCount(spec mproute.BatchSpec, listed []mplist.Row) int {
	load := float64(len(listed)) * ownerLoad(spec)
	count := 1
	for next := 2; float64(count)*maxOwnerLoad < load && len(listed) >= next*minShardUpstreams; next = nextCount(count) {
		count = next
	}
	return count
}

// nextCount returns the count after one of 1, 2, 3, 4, 6, 8, 12 and so on.
func nextCount(count int) int {
	if count <= 3 {
		return count + 1
	}
	if count&(count-1) == 0 {
		return count + count/2
	}
	return count + count/3
}

// ownerLoad returns the share of a core that an owner needs for an upstream that is never idle.
// Its calls are half full on average, as there is one whenever pieces wait.
func ownerLoad(spec mproute.BatchSpec) float64 {
	pieces := (spec.MaxPieces + 1) / 2
	work := ownerCallTime + time.Duration(pieces)*ownerPieceTime
	return work.Seconds() / max(spec.CallDuration(pieces), time.Millisecond).Seconds()
}

// assign returns the shard number of each row of a pool. The data centres are dealt out to
// groups of shards, so that all upstreams of a data centre have few queues, and each group has
// minShardDCs of them: the loss of one leaves no shard without upstreams. The shards of a group get
// their part of each of its data centres. A row that is added or removed moves only rows of its
// data centre.
func assign(rows []mplist.Row, count int) map[mplist.Row]int {
	byDC := map[string][]mplist.Row{}
	for _, r := range rows {
		byDC[r.DC] = append(byDC[r.DC], r)
	}
	groups := groupCount(count, len(byDC))
	shards := count / groups
	numbers := map[mplist.Row]int{}
	for i, dc := range slices.Sorted(maps.Keys(byDC)) {
		list := byDC[dc]
		slices.SortFunc(list, func(a, b mplist.Row) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.Address, b.Address))
		})
		for j, r := range list {
			// Starting at another shard for each data centre spreads the upstreams left
			// over where their number is not a multiple of that of the shards.
			numbers[r] = i%groups*shards + (i/groups+j)%shards
		}
	}
	return numbers
}

// groupCount returns into how many groups the shards of a pool are divided: the largest divisor of
// count that leaves minShardDCs to each group.
func groupCount(count, dcs int) int {
	for groups := min(count, dcs/minShardDCs); groups > 1; groups-- {
		if count%groups == 0 {
			return groups
		}
	}
	return 1
}

// division is how a pool is divided into shards.
type division struct {
	pool  string
	count int
	// numbers holds the shard of each usable upstream, by its address.
	numbers map[string]int
	// all holds the shard of each upstream for which jobs are divided, and byDC those in each data
	// centre.
	all  []int
	byDC map[string][]int
}

// newDivision divides a pool into count shards. Jobs go to the shards of the upstreams in chosen,
// some of the usable ones.
func newDivision(pool string, count int, usable *mplist.Usable, chosen []mplist.Row) *division {
	d := &division{pool: pool, count: count, numbers: map[string]int{}, byDC: map[string][]int{}}
	// Upstreams that are leaving or out of service count too, so that queues do not move with
	// them.
	numbers := assign(usable.Listed(pool), count)
	for _, r := range usable.Rows(pool) {
		d.numbers[r.Address] = numbers[r]
	}
	for _, r := range chosen {
		d.all = append(d.all, numbers[r])
		d.byDC[r.DC] = append(d.byDC[r.DC], numbers[r])
	}
	return d
}

// choose returns the shard for a job of a request: one with upstreams in the preferred data
// centre, if there are any, in proportion to their number.
func (d *division) choose(request, dc string) shard {
	numbers := d.byDC[dc]
	if len(numbers) == 0 {
		numbers = d.all
	}
	s := shard{pool: d.pool, count: d.count}
	if len(numbers) > 0 {
		s.number = numbers[xxhash.Sum64String(request)%uint64(len(numbers))]
	}
	return s
}

// ofMaker returns the shard of the upstream at address. Any will do for one that is no longer
// usable: none counts its results.
func (d *division) ofMaker(address string) shard {
	return shard{pool: d.pool, number: d.numbers[address], count: d.count}
}

// upstreams returns the usable upstreams of s.
func (s shard) upstreams(usable *mplist.Usable) []mplist.Row {
	numbers := assign(usable.Listed(s.pool), s.count)
	return slices.DeleteFunc(slices.Clone(usable.Rows(s.pool)), func(r mplist.Row) bool { return numbers[r] != s.number })
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

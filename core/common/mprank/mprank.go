// Package mprank ranks names by rendezvous hashing.
package mprank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of returns names ranked for key. Each key has its own stable ranking: adding or
// removing a name does not change the relative order of the others.
func Of(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{n, fmix64(key ^ xxhash.Sum64String(n))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// OfName is like Of for a string key.
func OfName(key string, names []string) []string { return Of(xxhash.Sum64String(key), names) }

// OfNameWeighted is like OfName, but names with a higher weight come first in more of the rankings,
// in proportion to their weights (weighted rendezvous hashing, Schindelhauer and Schomaker 2005).
// Equal weights give the ranking of OfName. Weights must be positive.
func OfNameWeighted(key string, names []string, weight func(name string) float64) []string {
	type scored struct {
		name  string
		hash  uint64
		score float64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		hash := fmix64(xxhash.Sum64String(key) ^ xxhash.Sum64String(n))
		// The hash as a number between 0 and 1, both excluded.
		list[i] = scored{n, hash, -weight(n) / math.Log((float64(hash>>11)+0.5)/(1<<53))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.hash, a.hash)) })
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// fmix64 is the finalizer of MurmurHash3 (Appleby). Each input bit affects all output bits.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

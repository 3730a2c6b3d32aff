// Package mprank ranks names by rendezvous hashing.
package mprank

import (
	"cmp"
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

// fmix64 is the finalizer of MurmurHash3 (Appleby). Each input bit affects all output bits.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

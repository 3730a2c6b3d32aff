// Package mprank orders names by rendezvous hashing.
package mprank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Of orders names for key: each key has its own stable order, of which little
// changes when a name comes or goes.
func Of(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{n, mix(key ^ xxhash.Sum64String(n))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// OfName orders names for a key that is a name itself.
func OfName(key string, names []string) []string { return Of(xxhash.Sum64String(key), names) }

// mix is the finalizer of MurmurHash3 (Appleby), which spreads each input bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

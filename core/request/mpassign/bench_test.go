package mpassign

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAssign assigns and settles requests at 194 engines, with 220 requests a second of which
// each takes about a second.
func BenchmarkAssign(b *testing.B) {
	f := newFleet(1, fleetLoad{engines: 194, vms: 81, kinds: usualKinds})
	r := rand.New(rand.NewPCG(1, 1))
	var requests []Request
	for range 4096 {
		q := f.newRequest()
		requests = append(requests, Request{
			VM: fmt.Sprint("vm", r.IntN(81)), Parts: q.parts, OwnTokens: q.own, OutputTokens: q.output, Exclude: []string{"e7"},
		})
	}
	now := f.now()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Second / 220)
		q := requests[i%len(requests)]
		q.Token, q.Arrival, q.Deadline = uint64(i+1), now, now.Add(10*time.Second)
		if _, ok, err := f.pools[0].Assign(now, q); !ok || err != nil {
			b.Fatal(ok, err)
		}
		f.pools[0].Settle(now, uint64(i-20), Outcome{End: Started, FirstToken: 90 * time.Millisecond})
		f.pools[0].Settle(now, uint64(i-200), Outcome{End: Done})
	}
}

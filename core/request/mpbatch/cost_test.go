package mpbatch

import (
	"fmt"
	"testing"
	"time"
)

// newLongQueue returns a Batcher whose upstreams are busy and in which jobs wait.
func newLongQueue(tb testing.TB, now time.Time, jobs int) *Batcher {
	tb.Helper()
	b := New(Config{Spec: spec()})
	b.SetUpstreams([]Upstream{{ID: "u1", DC: "a"}, {ID: "u2", DC: "b"}})
	for i := range jobs {
		at := now.Add(time.Hour)
		if _, err := b.Add(now, JobSpec{Request: fmt.Sprint("r", i), Count: 8, Priority: i % 3, SoftDeadline: at, Deadline: at}); err != nil {
			tb.Fatal(err)
		}
	}
	b.Next(now)
	return b
}

// shedTime returns the shortest time that a search of a queue of jobs takes in a few tries.
func shedTime(t *testing.T, jobs int) time.Duration {
	t.Helper()
	now := time.Unix(1000, 0)
	b := newLongQueue(t, now, jobs)
	shortest := time.Hour
	for range 20 {
		start := time.Now()
		b.shedLate(now)
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// Guards against an owner whose work grows with the square of its queue: each search for
// late jobs compared every job with every other one, which kept the owner's processor from
// the calls that would have shortened the queue.
func TestSheddingTimeGrowsWithTheQueue(t *testing.T) {
	const jobs, factor = 100, 16
	short, long := shedTime(t, jobs), shedTime(t, jobs*factor)
	// Sorting adds less than a factor of 2, and the square would add one of 16.
	if long > 4*factor*short {
		t.Errorf("%d jobs take %v and %d take %v", jobs, short, jobs*factor, long)
	}
}

// BenchmarkNextWhileBusy measures the cost of a wake-up that can start no call.
func BenchmarkNextWhileBusy(b *testing.B) {
	now := time.Unix(1000, 0)
	batcher := newLongQueue(b, now, 200)
	for b.Loop() {
		batcher.Next(now)
	}
}

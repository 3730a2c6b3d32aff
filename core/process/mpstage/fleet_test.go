package mpstage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mproute"
)

// fleetPool is a pool of a deployment with 191 VMs in six data centres.
type fleetPool struct {
	spec  mproute.BatchSpec
	perDC []int
}

var (
	// fleetFirst makes large results for its readers, the engines, and small ones for fleetSecond.
	fleetFirst = fleetPool{batchSpec(8, 16*time.Millisecond, 43_000_000), []int{3, 3, 3, 3, 3, 3}}
	// fleetSecond and fleetThird make many small results.
	fleetSecond = fleetPool{batchSpec(16, 8*time.Millisecond, 2_800_000), []int{6, 6, 6, 6, 5, 5}}
	fleetThird  = fleetPool{batchSpec(26, 4900*time.Microsecond, 460_000), []int{7, 7, 7, 7, 7, 7}}
)

func batchSpec(pieces int, pieceTime time.Duration, memory int) mproute.BatchSpec {
	return mproute.BatchSpec{MaxPieces: pieces, CallTime: 150 * time.Millisecond, PieceTime: pieceTime, ResultMemoryBytes: memory, ResultRetention: 4 * time.Second}
}

// The load of fleetFirst: pieces of 3 MB for the engine of their request, and pieces of 8 kB, in
// jobs per second.
const (
	largeJobs       = 76
	largeBytes      = 3_000_000
	maxLargePieces  = 4
	smallJobs       = 125
	smallBytes      = 8_000
	largeReadAfter  = 500 * time.Millisecond
	fleetSoftLimit  = 950 * time.Millisecond
	fleetDeadline   = 4 * time.Second
	fleetSimulation = 20 * time.Second
)

// fleetJob is a job of the simulated fleet, and where its results should be made.
type fleetJob struct {
	job   *mpbatch.Job
	queue *fleetQueue
	dc    string
	until time.Time
	large bool
}

// fleetQueue is the batcher of one shard with its running calls.
type fleetQueue struct {
	batcher *mpbatch.Batcher
	calls   map[uint64]mpbatch.Call
	endAt   map[uint64]time.Time
	freeAt  map[string]time.Time
}

// fleetOutcome counts the results of large jobs, those that were made in another data centre
// than the one of their reader, and jobs that were refused or late.
type fleetOutcome struct {
	large, elsewhere int
	jobs, missed     int
}

func (q *fleetQueue) step(now time.Time) {
	for id, at := range q.endAt {
		if now.Before(at) {
			continue
		}
		var out mpbatch.Outcome
		for i, it := range q.calls[id].Items {
			handle := fmt.Sprint(it.Request, "/", it.Number, "-", id, "-", i)
			out.Items = append(out.Items, mpbatch.ItemOutcome{Handle: handle})
			q.freeAt[handle] = now.Add(largeReadAfter)
		}
		q.batcher.Finish(now, id, out)
		delete(q.endAt, id)
		delete(q.calls, id)
	}
	for handle, at := range q.freeAt {
		if !now.Before(at) {
			delete(q.freeAt, handle)
			q.batcher.Free([]string{handle})
		}
	}
	q.batcher.ConfirmFreed(q.batcher.TakePendingFrees())
	for _, c := range q.batcher.Next(now) {
		q.calls[c.ID], q.endAt[c.ID] = c, now.Add(c.Expected)
	}
}

// playFleet plays the load of fleetFirst in virtual time, with the pool divided into count
// shards.
func playFleet(seed uint64, rows []mplist.Row, count int) fleetOutcome {
	usable := usableRows(rows, "")
	division := newDivision("first", count, usable, usable.Rows("first"))
	var out fleetOutcome
	random := rand.New(rand.NewPCG(seed, 191))
	queues := make([]*fleetQueue, count)
	for i := range queues {
		queues[i] = &fleetQueue{
			batcher: mpbatch.New(mpbatch.Config{Spec: fleetFirst.spec}), calls: map[uint64]mpbatch.Call{}, endAt: map[uint64]time.Time{}, freeAt: map[string]time.Time{},
		}
		var upstreams []mpbatch.Upstream
		for _, r := range (shard{pool: "first", number: i, count: count}).upstreams(usable) {
			upstreams = append(upstreams, mpbatch.Upstream{ID: r.ID, DC: r.DC})
		}
		queues[i].batcher.SetUpstreams(upstreams)
	}
	var running []fleetJob
	add := func(now time.Time, pieces, bytes int) {
		spec := mpbatch.JobSpec{
			Request: fmt.Sprintf("%016x", random.Uint64()), Count: pieces, Key: "k", ResultBytes: bytes, CrossDCBytes: bytes,
			SoftDeadline: now.Add(fleetSoftLimit), Deadline: now.Add(fleetDeadline),
		}
		dc := fmt.Sprint("dc", random.IntN(len(fleetFirst.perDC)))
		if bytes == largeBytes {
			spec.DC = dc
		}
		out.jobs++
		q := queues[division.choose(spec.Request, spec.DC).number]
		j, err := q.batcher.Add(now, spec)
		if err != nil {
			out.missed++
			return
		}
		running = append(running, fleetJob{j, q, dc, spec.SoftDeadline, bytes == largeBytes})
	}
	start := time.Unix(1000, 0)
	for now := start; now.Before(start.Add(fleetSimulation)); now = now.Add(time.Millisecond) {
		if random.Float64() < largeJobs/1000.0 {
			add(now, 1+random.IntN(maxLargePieces), largeBytes)
		}
		if random.Float64() < smallJobs/1000.0 {
			add(now, 1, smallBytes)
		}
		for _, q := range queues {
			q.step(now)
		}
		running = out.collect(now, running)
	}
	return out
}

// collect counts the jobs that are done, and returns the others.
func (o *fleetOutcome) collect(now time.Time, running []fleetJob) []fleetJob {
	var rest []fleetJob
	for _, j := range running {
		select {
		case <-j.job.Done():
		default:
			rest = append(rest, j)
			continue
		}
		results, err := j.job.Results()
		if err != nil || now.After(j.until) {
			o.missed++
		}
		for _, r := range results {
			if j.large {
				o.large++
				if r.DC != j.dc {
					o.elsewhere++
				}
			}
		}
	}
	return rest
}

// Guards against pools that are divided by the number of VMs, and into shards with a part of each
// data centre: with a shard for each 32 of 191 VMs, the 18 upstreams in six data centres left two
// to a queue. Large results were made far from their readers, and jobs waited at full upstreams
// while others were idle.
func TestLargeFleetMakesResultsNearTheirReaders(t *testing.T) {
	const (
		maxElsewhere = 0.1
		maxMissed    = 0.01
	)
	rows := newRows(fleetFirst.perDC...)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			out := playFleet(seed+1, rows, shardCount(fleetFirst.spec, rows))
			if share := float64(out.elsewhere) / float64(out.large); share > maxElsewhere {
				t.Errorf("%d of %d large results were made in another data centre than their reader's, want at most %v", out.elsewhere, out.large, maxElsewhere)
			}
			if share := float64(out.missed) / float64(out.jobs); share > maxMissed {
				t.Errorf("%d of %d jobs were late or refused, want at most %v", out.missed, out.jobs, maxMissed)
			}
		})
	}
}

package mpbatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mustardpost.org/core/version/mproute"
)

// A shard of the second stage of a deployment with 191 VMs, whose upstreams are partly slow.
const (
	slowUpstreams   = 12
	slowCount       = 4
	slowFactor      = 4
	slowJobPieces   = 8
	slowWarmUp      = 2 * time.Second
	slowPlay        = 6 * time.Second
	slowSoftTimeout = 900 * time.Millisecond
)

// playSlow plays jobsPerSecond jobs while some upstreams are slow, and returns the share of the jobs
// that were on time.
func playSlow(t *testing.T, seed uint64, jobsPerSecond float64) float64 {
	t.Helper()
	s := mproute.BatchSpec{MaxPieces: 16, CallTime: 150 * time.Millisecond, PieceTime: 8 * time.Millisecond, ResultRetention: 4 * time.Second}
	var ups []Upstream
	for i := range slowUpstreams {
		ups = append(ups, Upstream{ID: fmt.Sprint("u", i), DC: fmt.Sprint("dc", i%2)})
	}
	m := newSim(t, s, ups...)
	for i := range slowCount {
		m.slow[ups[i*slowUpstreams/slowCount].ID] = slowFactor
	}
	random := rand.New(rand.NewPCG(seed, 4))
	type added struct {
		job *Job
		at  time.Time
	}
	var jobs []added
	onTime, total := 0, 0
	for m.now.Before(m.start.Add(slowWarmUp + slowPlay)) {
		if random.Float64() < jobsPerSecond/1000 {
			counts := m.now.After(m.start.Add(slowWarmUp))
			if counts {
				total++
			}
			spec := JobSpec{Request: fmt.Sprint("r", len(jobs)), Stage: 1, Count: slowJobPieces, Inputs: []string{"in"}, SoftDeadline: m.now.Add(slowSoftTimeout), Deadline: m.now.Add(5 * time.Second)}
			if j, err := m.batcher.Add(m.now, spec); err == nil && counts {
				jobs = append(jobs, added{j, m.now})
			}
			m.step()
		}
		m.run(time.Millisecond)
		var rest []added
		for _, a := range jobs {
			if !a.job.isDone() {
				rest = append(rest, a)
			} else if _, err := a.job.Results(); err == nil && m.now.Sub(a.at) <= slowSoftTimeout {
				onTime++
			}
		}
		jobs = rest
	}
	return float64(onTime) / float64(total)
}

// Guards against slow upstreams that get pieces whenever they are idle: a third of the upstreams took
// four times as long for some seconds, and each job with a piece there was late, although the others
// would have made it in time.
func TestSlowUpstreamsGetOnlyWhatOthersCannotTake(t *testing.T) {
	const (
		// jobsPerSecond loads the sound upstreams to about 0.8 in full calls.
		jobsPerSecond = 45
		minOnTime     = 0.9
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			if got := playSlow(t, seed+1, jobsPerSecond); got < minOnTime {
				t.Errorf("%.3f of the jobs are on time, want at least %v", got, minOnTime)
			}
		})
	}
}

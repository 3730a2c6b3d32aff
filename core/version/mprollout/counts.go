package mprollout

import (
	"math"
	"sync"
	"time"
)

// Buckets is the number of buckets of a Histogram.
const Buckets = 36

// Histogram counts latencies in buckets a factor of sqrt(2) apart. Bucket 0 holds latencies up to
// 1 ms, bucket i those up to 2^(i/2) ms, and the last one all longer ones too.
type Histogram [Buckets]uint32

// Bucket returns the index of the bucket of a latency.
func Bucket(latency time.Duration) int {
	ms := latency.Seconds() * 1000
	if ms <= 1 {
		return 0
	}
	// The tolerance keeps exact bounds in their bucket in spite of rounding.
	return min(int(math.Ceil(2*math.Log2(ms)-1e-9)), Buckets-1)
}

// upperBound returns the greatest latency of a bucket but the last.
func upperBound(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket)/2) * float64(time.Millisecond))
}

// Add counts a latency.
func (h *Histogram) Add(latency time.Duration) { h[Bucket(latency)]++ }

// Counts holds what one process of a VM has counted of one version and route of a pool since it first
// acted on a roll-out. Except for Running and Waiting, counts only grow, so a later report makes good the loss of an earlier one.
type Counts struct {
	// ID is that of the roll-out.
	ID   string `msgpack:"id"`
	Pool string `msgpack:"pool"`
	// Version and Route are empty in the row that only reports the phase of the VM.
	Version string `msgpack:"version"`
	Route   string `msgpack:"route"`
	// Serial grows with each report of the process.
	Serial uint64 `msgpack:"serial"`
	// Phase is the phase in which the attempts began; in the row without a version that which the VM acts on.
	Phase Phase `msgpack:"phase"`
	// Answers counts the attempts with an outcome, Failures those that failed.
	Answers  uint32 `msgpack:"answers"`
	Failures uint32 `msgpack:"failures"`
	// Lost counts those of the failures whose connection was lost.
	Lost uint32 `msgpack:"lost"`
	// Latency holds the attempts that succeeded on warm upstreams.
	Latency Histogram `msgpack:"latency"`
	// Waiting holds the attempts on warm upstreams that have not been answered yet, by the time since they
	// began. An attempt that takes long is known to be slow before it is answered.
	Waiting Histogram `msgpack:"waiting"`
	// Running is the number of attempts that have not ended.
	Running uint32 `msgpack:"running"`
}

// Outcome is what became of an attempt.
type Outcome interface{ outcome() }

// Answered is the outcome of an attempt that succeeded, or of a stream whose first event has arrived.
type Answered struct {
	// Latency is the time to the first event of a stream, or to the end of any other response.
	Latency time.Duration
}

// Failed is the outcome of an attempt whose response was lost, invalid, or a 5xx of a request that ran. A
// stream may fail after it was recorded as answered. An attempt that could not be sent, such as one whose connection was
// refused, has no outcome.
type Failed struct {
	// Lost is set if the connection was lost. A crash loses all attempts of an upstream at once, so
	// losses that come together count less as evidence than other failures.
	Lost bool
}

func (Answered) outcome() {}
func (Failed) outcome()   {}

// Recorder counts the outcomes of the attempts of one process of a VM for one roll-out. It lives as long
// as the roll-out or the process, since its counts must not begin again. It is safe for concurrent use.
type Recorder struct {
	id, pool string
	mu       sync.Mutex
	phase    Phase
	serial   uint64
	changed  bool
	rows     map[recordKey]*Counts
	waiting  map[*Attempt]struct{}
}

type recordKey struct {
	version, route string
	phase          Phase
}

// NewRecorder returns a recorder for the running roll-out r. It is changed, so that the first
// report tells the leader that this VM acts on the roll-out.
func NewRecorder(r Rollout) *Recorder {
	return &Recorder{
		id: r.ID, pool: r.Pool, phase: r.Phase, changed: true,
		rows: map[recordKey]*Counts{}, waiting: map[*Attempt]struct{}{},
	}
}

// SetPhase records that the VM now acts on the phase p.
func (c *Recorder) SetPhase(p Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p {
		c.phase, c.changed = p, true
	}
}

// Attempt is an attempt that a Recorder counts. It is safe for concurrent use.
type Attempt struct {
	recorder                *Recorder
	row                     *Counts
	began                   time.Time
	cold                    bool
	answered, failed, ended bool
}

// Begin counts an attempt that is sent at now. On an upstream in its cold start, which is slow whatever its version,
// cold is set and the latency is not counted.
func (c *Recorder) Begin(now time.Time, version, route string, cold bool) *Attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := recordKey{version: version, route: route, phase: c.phase}
	row, ok := c.rows[key]
	if !ok {
		row = &Counts{ID: c.id, Pool: c.pool, Version: version, Route: route, Phase: c.phase}
		c.rows[key] = row
	}
	row.Running++
	c.changed = true
	a := &Attempt{recorder: c, row: row, began: now, cold: cold}
	if !cold {
		c.waiting[a] = struct{}{}
	}
	return a
}

// Record counts the outcome of the attempt. Attempts that were rejected without having run, and those
// whose caller disconnected, have none.
func (a *Attempt) Record(o Outcome) {
	c := a.recorder
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o := o.(type) {
	case Answered:
		if a.answered || a.failed {
			return
		}
		a.answered = true
		a.row.Answers++
		if !a.cold {
			a.row.Latency.Add(o.Latency)
		}
	case Failed:
		if a.failed {
			return
		}
		a.failed = true
		if !a.answered {
			a.row.Answers++
		}
		a.row.Failures++
		if o.Lost {
			a.row.Lost++
		}
	}
	c.changed = true
	delete(c.waiting, a)
}

// End counts the attempt as no longer running.
func (a *Attempt) End() {
	c := a.recorder
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, c.changed = true, true
	a.row.Running--
	delete(c.waiting, a)
}

// Changed reports whether anything changed since the last Report. Attempts that wait are a change.
func (c *Recorder) Changed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed || len(c.waiting) > 0
}

// Report returns all rows for the leader, as of now. The first only reports the phase of the VM.
func (c *Recorder) Report(now time.Time) []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = false
	c.serial++
	for _, row := range c.rows {
		row.Waiting = Histogram{}
	}
	for a := range c.waiting {
		a.row.Waiting.Add(now.Sub(a.began))
	}
	rows := []Counts{{ID: c.id, Pool: c.pool, Serial: c.serial, Phase: c.phase}}
	for _, row := range c.rows {
		row.Serial = c.serial
		rows = append(rows, *row)
	}
	return rows
}

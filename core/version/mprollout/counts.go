package mprollout

import (
	"math"
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

// Add counts a latency.
func (h *Histogram) Add(latency time.Duration) { h[Bucket(latency)]++ }

// Counts holds what one process of a VM has counted of one version and route of a pool since it first
// acted on a roll-out. Counters only grow, so a later report makes good the loss of an earlier one.
type Counts struct {
	// ID is that of the roll-out.
	ID   string `msgpack:"id"`
	Pool string `msgpack:"pool"`
	// Version and Route are empty in the row that only reports the phase.
	Version string `msgpack:"version"`
	Route   string `msgpack:"route"`
	// Serial grows with each report of the process.
	Serial uint64 `msgpack:"serial"`
	// Phase is the phase that the VM acted on when it reported.
	Phase Phase `msgpack:"phase"`
	// Answers counts the attempts with an outcome, Failures those that failed.
	Answers  uint32 `msgpack:"answers"`
	Failures uint32 `msgpack:"failures"`
	// Lost counts those of the failures whose connection was lost.
	Lost uint32 `msgpack:"lost"`
	// Latency holds the attempts that succeeded on warm upstreams.
	Latency Histogram `msgpack:"latency"`
	// Running is the number of attempts that have not ended; it does not only grow.
	Running uint32 `msgpack:"running"`
}

// Outcome is what became of an attempt.
type Outcome interface{ outcome() }

// Answered is the outcome of an attempt that succeeded, or of a stream whose first event has arrived.
type Answered struct {
	// Latency is the time to the first event of a stream, or to the end of any other response.
	Latency time.Duration
	// Cold is set if the upstream was in its cold start, which makes it slow whatever its version. The
	// latency is then not counted.
	Cold bool
}

// Failed is the outcome of an attempt whose response was lost, invalid, or a 5xx of a request that ran. An
// attempt that could not be sent, such as one whose connection was refused, has no outcome.
type Failed struct {
	// Lost is set if the connection was lost. A crash loses all attempts of an upstream at once, so
	// losses that come together count less as evidence than other failures.
	Lost bool
	// Answered is set if the attempt is a stream that has been recorded as Answered before.
	Answered bool
}

func (Answered) outcome() {}
func (Failed) outcome()   {}

type recordKey struct{ version, route string }

// Recorder counts the outcomes of the attempts of one VM for one roll-out. It is not safe for
// concurrent use.
type Recorder struct {
	id, pool string
	phase    Phase
	serial   uint64
	changed  bool
	rows     map[recordKey]*Counts
}

// NewRecorder returns a recorder for the running roll-out r. It is changed, so that the first
// report tells the leader that this VM acts on the roll-out.
func NewRecorder(r Rollout) *Recorder {
	return &Recorder{
		id: r.ID, pool: r.Pool, phase: r.Phase, changed: true,
		rows: map[recordKey]*Counts{},
	}
}

// SetPhase records that the VM now acts on the phase p.
func (c *Recorder) SetPhase(p Phase) {
	if c.phase != p {
		c.phase, c.changed = p, true
	}
}

func (c *Recorder) row(version, route string) *Counts {
	key := recordKey{version, route}
	row, ok := c.rows[key]
	if !ok {
		row = &Counts{ID: c.id, Pool: c.pool, Version: version, Route: route}
		c.rows[key] = row
	}
	c.changed = true
	return row
}

// Begin counts an attempt as running.
func (c *Recorder) Begin(version, route string) { c.row(version, route).Running++ }

// End counts an attempt as no longer running, once for each Begin.
func (c *Recorder) End(version, route string) {
	if row := c.row(version, route); row.Running > 0 {
		row.Running--
	}
}

// Record counts the outcome of an attempt. Attempts that were rejected without having run, and those
// whose caller disconnected, are not recorded.
func (c *Recorder) Record(version, route string, o Outcome) {
	row := c.row(version, route)
	switch o := o.(type) {
	case Answered:
		row.Answers++
		if !o.Cold {
			row.Latency.Add(o.Latency)
		}
	case Failed:
		if !o.Answered {
			row.Answers++
		}
		row.Failures++
		if o.Lost {
			row.Lost++
		}
	}
}

// Changed reports whether anything changed since the last Report.
func (c *Recorder) Changed() bool { return c.changed }

// Report returns all rows for the leader, the first of which only reports the phase.
func (c *Recorder) Report() []Counts {
	c.changed = false
	c.serial++
	rows := []Counts{{ID: c.id, Pool: c.pool, Serial: c.serial, Phase: c.phase}}
	for _, row := range c.rows {
		row.Serial, row.Phase = c.serial, c.phase
		rows = append(rows, *row)
	}
	return rows
}

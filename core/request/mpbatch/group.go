package mpbatch

import (
	"cmp"
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mproute"
)

// mostTries bounds how often the pieces of a job go to another upstream.
const mostTries = 4

// Config sets a Group.
type Config struct {
	Spec mproute.BatchSpec
}

type kept struct {
	server string
	bytes  int
	until  time.Time
}

// Batcher is the queue and the upstreams of one pool. It is not safe for
// concurrent use.
type Batcher struct {
	cfg     Config
	servers map[string]*server
	order   []*server
	queue   []*Job
	flights map[uint64]*flight
	results map[string]kept
	freed   []string
	next    uint64
	jobs    uint64
	again   float64
	// checked is when hopeless jobs were last looked for.
	checked time.Time
	// promised counts the pieces that wait for each busy upstream in this round.
	promised map[string]int
}

// New returns a group without upstreams.
func New(cfg Config) *Batcher {
	return &Batcher{
		cfg:     cfg,
		servers: map[string]*server{},
		flights: map[uint64]*flight{},
		results: map[string]kept{},
		again:   againBurst,
	}
}

// SetSpec replaces the configured sizes and times.
func (g *Batcher) SetSpec(spec mproute.BatchSpec) { g.cfg.Spec = spec }

// SetUpstreams replaces the upstreams that may get calls. Calls that are being
// made at others go on.
func (g *Batcher) SetUpstreams(list []Upstream) {
	for _, s := range g.servers {
		s.listed = false
	}
	for _, up := range list {
		s, ok := g.servers[up.ID]
		if !ok {
			s = &server{pace: 1}
			g.servers[up.ID] = s
		}
		s.up = up
		s.listed = true
	}
	g.order = g.order[:0]
	for id, s := range g.servers {
		if !s.listed && s.call == nil {
			delete(g.servers, id)
			continue
		}
		g.order = append(g.order, s)
	}
	slices.SortFunc(g.order, func(a, b *server) int { return cmp.Compare(a.up.ID, b.up.ID) })
}

func (g *Batcher) end(j *Job, err error) {
	if j.isDone() {
		return
	}
	j.err = err
	if err != nil {
		g.freeMade(j)
	}
	g.queue = slices.DeleteFunc(g.queue, func(o *Job) bool { return o == j })
	close(j.done)
}

// Next returns the calls to start now.
func (g *Batcher) Next(now time.Time) []Call {
	g.expire(now)
	g.remake(now)
	slices.SortFunc(g.queue, func(a, b *Job) int { return a.compare(now, b) })
	var open []*flight
	g.promised = map[string]int{}
	for _, j := range g.queue {
		for i := range j.pieces {
			if j.pieces[i].state != waiting {
				continue
			}
			f := g.place(now, j, &open)
			if f == nil {
				break
			}
			g.put(f, j, i)
		}
	}
	calls := make([]Call, 0, len(open))
	for _, f := range open {
		s := g.servers[f.call.Upstream.ID]
		f.used = s.used
		f.call.Expected = g.length(s, len(f.call.Items))
		f.call.Timeout = giveUpTimes*f.call.Expected + giveUpSlack
		calls = append(calls, f.call)
	}
	return calls
}

// Finish takes in how a call ended. Jobs that are complete are ended.
func (g *Batcher) Finish(now time.Time, id uint64, out Outcome) {
	f, ok := g.flights[id]
	if !ok {
		return
	}
	delete(g.flights, id)
	s := g.servers[f.call.Upstream.ID]
	s.call = nil
	switch out.Status {
	case Answered:
		s.breaks = 0
		s.observe(now.Sub(f.started), g.cfg.Spec.Length(len(f.jobs)))
	case Refused:
		s.until = now.Add(avoidFull)
	case Broken:
		s.broke(now)
	}
	if !s.listed {
		delete(g.servers, s.up.ID)
		g.order = slices.DeleteFunc(g.order, func(o *server) bool { return o == s })
	}
	missed := 0
	for i, j := range f.jobs {
		m := ItemOutcome{Reason: ReasonError}
		if out.Status == Answered && i < len(out.Items) {
			m = out.Items[i]
		}
		if m.Reason == ReasonNoMemory {
			missed += j.ask.ResultBytes
		}
		g.settle(now, s, j, f.call.Items[i].Number, m, out.Status)
	}
	if missed > 0 {
		s.noRoom(now, f, missed, g.cfg.Spec.Room)
	}
}

func (g *Batcher) settle(now time.Time, s *server, j *Job, n int, m ItemOutcome, e CallStatus) {
	p := &j.pieces[n]
	p.copies--
	if m.Handle != "" {
		g.results[m.Handle] = kept{s.up.ID, j.ask.ResultBytes, now.Add(g.cfg.Spec.Keep)}
		if j.isDone() || p.state == made {
			g.free(m.Handle)
			return
		}
		p.state, p.handle, p.dc = made, m.Handle, s.up.DC
		if j.left--; j.left == 0 {
			g.end(j, nil)
		}
		return
	}
	s.used -= j.ask.ResultBytes
	if j.isDone() || p.state != running || p.copies > 0 {
		return
	}
	p.state = waiting
	switch {
	case m.Reason == ReasonLate:
		g.end(j, mperror.Wrap(mperror.ErrLate, "stage %d: late at its upstream", j.ask.Stage))
	case m.Reason == ReasonInputGone:
		g.end(j, mperror.Wrap(mperror.ErrNotFound, "stage %d: an input is gone", j.ask.Stage))
	case m.Reason == ReasonNoMemory:
		// The upstream's memory is counted anew; the piece goes elsewhere or waits.
	case e != Refused:
		if j.tries++; j.tries > mostTries*len(j.pieces) {
			g.end(j, mperror.Wrap(mperror.ErrCrashed, "stage %d: failed %d times", j.ask.Stage, j.tries))
		}
	}
}

// NextWake returns when Next must be called again at the latest though nothing
// else happens; the zero time when that is not needed.
func (g *Batcher) NextWake(now time.Time) time.Time {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, f := range g.flights {
		if !f.overdue {
			sooner(f.overdueAt())
		}
	}
	for _, j := range g.queue {
		sooner(j.ask.Deadline)
	}
	if len(g.queue) > 0 {
		for _, s := range g.order {
			sooner(s.until)
			if now.Before(s.foreignUntil) {
				sooner(now.Add(lookEvery))
			}
		}
		for _, k := range g.results {
			sooner(k.until)
		}
	}
	return at
}

// Waiting returns the number of pieces in the queue.
func (g *Batcher) Waiting() int {
	n := 0
	for _, j := range g.queue {
		for _, p := range j.pieces {
			if isWaiting(p) {
				n++
			}
		}
	}
	return n
}

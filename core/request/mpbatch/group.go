package mpbatch

import (
	"cmp"
	"slices"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mproute"
)

const (
	// mostTries bounds how often the pieces of a job go to another upstream.
	mostTries = 4
	// againShare of the pieces may be made a second time because a call is
	// overdue, and againBurst at once.
	againShare = 0.08
	againBurst = 24.0
	// lateMost is how long a job that will be late may still have to wait.
	lateMost = 800 * time.Millisecond
	// checkEvery bounds the work of looking for jobs without hope.
	checkEvery = 50 * time.Millisecond
	// shortShare of an upstream's memory is taken when it is short of it: the
	// rest has room for about one more call.
	shortShare = 0.5
	// fetchWithin is the time in which an idle upstream has fetched the inputs of
	// a call: a round trip between data centres and the transfer, several times.
	fetchWithin = 70 * time.Millisecond
	// farBytes is the traffic between data centres from which a piece should
	// rather wait for a near upstream: that traffic is slow and costly.
	farBytes = 100_000
)

// Config sets a Group.
type Config struct {
	Spec mproute.BatchSpec
}

type kept struct {
	server string
	bytes  int
	until  time.Time
}

// Group is the queue and the upstreams of one pool. It is not safe for
// concurrent use.
type Group struct {
	cfg     Config
	servers map[string]*server
	order   []*server
	queue   []*Job
	flights map[uint64]*flight
	results map[string]kept
	freed   []string
	// spare results are given up when their maker is short of memory.
	spare []string
	next  uint64
	jobs  uint64
	again float64
	// checked is when hopeless jobs were last looked for.
	checked time.Time
	// promised counts the pieces that wait for each busy upstream in this round.
	promised map[string]int
}

// New returns a group without upstreams.
func New(cfg Config) *Group {
	return &Group{
		cfg:     cfg,
		servers: map[string]*server{},
		flights: map[uint64]*flight{},
		results: map[string]kept{},
		again:   againBurst,
	}
}

// SetSpec replaces the configured sizes and times.
func (g *Group) SetSpec(spec mproute.BatchSpec) { g.cfg.Spec = spec }

// SetUpstreams replaces the upstreams that may get calls. Calls that are being
// made at others go on.
func (g *Group) SetUpstreams(list []Upstream) {
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

// Add queues ask, or returns an error that wraps ErrLate when it cannot end
// before its deadline, or ErrEmpty when there is no upstream.
func (g *Group) Add(now time.Time, ask Ask) (*Job, error) {
	if len(g.order) == 0 {
		return nil, mperror.Wrap(mperror.ErrEmpty, "stage %d", ask.Stage)
	}
	g.jobs++
	j := &Job{seq: g.jobs, ask: ask, arrived: now, pieces: make([]piece, ask.Count), left: ask.Count, done: make(chan struct{})}
	j.least = g.cfg.Spec.Call + time.Duration(min(ask.Count, g.cfg.Spec.Size))*g.cfg.Spec.Item
	if wait := g.Estimate(now, j); now.Add(wait).After(ask.Deadline) || g.isHopeless(now, j) {
		return nil, mperror.Wrap(mperror.ErrLate, "stage %d: expected to take %v", ask.Stage, wait)
	}
	g.queue = append(g.queue, j)
	g.again = min(g.again+againShare*float64(ask.Count), againBurst)
	return j, nil
}

// Estimate returns how long j, which need not be queued yet, is expected to take.
func (g *Group) Estimate(now time.Time, j *Job) time.Duration {
	ahead := j.left
	for _, o := range g.queue {
		if o != j && o.isBefore(now, j) {
			ahead += o.left
		}
	}
	var rate float64
	soonest := time.Duration(-1)
	for _, s := range g.order {
		if !s.listed || s.until.Sub(now) > avoidFirst {
			continue
		}
		full := g.length(s, g.cfg.Spec.Size)
		rate += float64(g.cfg.Spec.Size) / full.Seconds()
		wait := time.Duration(0)
		if s.call != nil {
			wait = max(s.call.started.Add(s.call.call.Expected).Sub(now), 0)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	if rate == 0 {
		return g.cfg.Spec.Keep
	}
	own := g.cfg.Spec.Call + time.Duration(min(j.left, g.cfg.Spec.Size))*g.cfg.Spec.Item
	behind := max(ahead-g.cfg.Spec.Size, 0)
	return soonest + time.Duration(float64(behind)/rate*float64(time.Second)) + own
}

// isHopeless reports whether j will be late and would wait long behind work that
// can be on time. Its caller is better served by a refusal now.
func (g *Group) isHopeless(now time.Time, j *Job) bool {
	if !j.begun.IsZero() {
		return false
	}
	wait := g.Estimate(now, j)
	return now.Add(wait).After(j.ask.Aim) && wait > lateMost
}

// Rate returns the number of pieces a second that the group can make in full calls.
func (g *Group) Rate() float64 {
	var rate float64
	for _, s := range g.order {
		if s.listed {
			rate += float64(g.cfg.Spec.Size) / g.length(s, g.cfg.Spec.Size).Seconds()
		}
	}
	return rate
}

func (g *Group) length(s *server, pieces int) time.Duration {
	plain := g.cfg.Spec.Call + time.Duration(pieces)*g.cfg.Spec.Item
	return time.Duration(float64(plain) * s.pace)
}

// Cancel ends a job whose request has gone. Pieces that are being made are freed
// when they are done.
func (g *Group) Cancel(j *Job) { g.end(j, mperror.ErrLate) }

func (g *Group) end(j *Job, err error) {
	if j.isDone() {
		return
	}
	j.err = err
	if err != nil {
		for _, p := range j.pieces {
			if p.handle != "" {
				g.free(p.handle)
			}
		}
	}
	g.queue = slices.DeleteFunc(g.queue, func(o *Job) bool { return o == j })
	close(j.done)
}

// Next returns the calls to start now.
func (g *Group) Next(now time.Time) []Call {
	g.expire(now)
	g.remake(now)
	slices.SortStableFunc(g.queue, func(a, b *Job) int {
		switch {
		case a.isBefore(now, b):
			return -1
		case b.isBefore(now, a):
			return 1
		}
		return 0
	})
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
		f.call.Expected = g.length(s, len(f.call.Items))
		f.call.Most = giveUpTimes*f.call.Expected + giveUpSlack
		calls = append(calls, f.call)
	}
	return calls
}

// expire ends the jobs that cannot be done in time, and forgets results that
// their makers have dropped.
func (g *Group) expire(now time.Time) {
	least := g.cfg.Spec.Call + g.cfg.Spec.Item
	for _, j := range slices.Clone(g.queue) {
		untouched := !slices.ContainsFunc(j.pieces, func(p piece) bool { return p.state == running })
		if now.After(j.ask.Deadline) || untouched && now.Add(least).After(j.ask.Deadline) {
			g.end(j, mperror.Wrap(mperror.ErrLate, "stage %d: waited %v", j.ask.Stage, now.Sub(j.arrived)))
		}
	}
	if now.Sub(g.checked) >= checkEvery {
		g.checked = now
		g.dropHopeless(now)
	}
	for h, k := range g.results {
		if now.After(k.until) {
			g.forget(h)
		}
	}
}

// dropHopeless refuses the jobs that will be late and wait long, the last in
// order first, since each that goes shortens the wait of those behind it.
func (g *Group) dropHopeless(now time.Time) {
	queue := slices.Clone(g.queue)
	slices.SortStableFunc(queue, func(a, b *Job) int {
		if a.isBefore(now, b) {
			return 1
		}
		return -1
	})
	for _, j := range queue {
		if g.isHopeless(now, j) {
			g.end(j, mperror.Wrap(mperror.ErrLate, "stage %d: late, and others are not", j.ask.Stage))
		}
	}
}

// remake gives the pieces of overdue calls to other upstreams as well.
func (g *Group) remake(now time.Time) {
	for _, f := range g.flights {
		limit := time.Duration(overdueTimes*float64(f.call.Expected)) + overdueSlack
		if f.overdue || now.Sub(f.started) < limit || g.again < float64(len(f.jobs)) {
			continue
		}
		f.overdue = true
		for i, j := range f.jobs {
			p := &j.pieces[f.call.Items[i].Number]
			if p.state == running && !j.isDone() {
				p.state = waiting
				g.again--
			}
		}
	}
}

// place returns the call that the next piece of j goes into: one that is being
// filled, or a new one for an idle upstream.
func (g *Group) place(now time.Time, j *Job, open *[]*flight) *flight {
	var best *flight
	for _, f := range *open {
		s := g.servers[f.call.Upstream.ID]
		if len(f.jobs) >= g.cfg.Spec.Size || !g.hasRoom(now, s, j) {
			continue
		}
		if best == nil || s.up.DC == j.dc() && best.call.Upstream.DC != j.dc() {
			best = f
		}
	}
	if best != nil && (best.call.Upstream.DC == j.dc() || !g.awaitsNear(now, j)) {
		return best
	}
	var pick *server
	for _, s := range g.order {
		if !s.isFree(now) {
			continue
		}
		if !g.hasRoom(now, s, j) {
			continue
		}
		if pick == nil || g.isBetter(s, pick, j) {
			pick = s
		}
	}
	if pick == nil || pick.up.DC != j.dc() && g.awaitsNear(now, j) {
		return nil
	}
	g.next++
	f := &flight{call: Call{ID: g.next, Upstream: pick.up}, started: now}
	pick.call = f
	g.flights[f.call.ID] = f
	*open = append(*open, f)
	return f
}

// awaitsNear reports whether the next piece of j should wait for a busy upstream
// in the data centre where its result is read. Large results are worth the wait,
// as long as the request stays on time.
func (g *Group) awaitsNear(now time.Time, j *Job) bool {
	if j.ask.Far < farBytes {
		return false
	}
	for _, s := range g.order {
		if s.up.DC != j.dc() || !s.listed || s.call == nil || s.call.overdue || !g.hasRoom(now, s, j) {
			continue
		}
		if g.promised[s.up.ID] >= g.cfg.Spec.Size {
			continue
		}
		free := s.call.started.Add(s.call.call.Expected)
		if free.Before(now) {
			free = now
		}
		if free.Add(g.length(s, g.cfg.Spec.Size)).Before(j.ask.Aim) {
			g.promised[s.up.ID]++
			return true
		}
	}
	return false
}

// hasRoom reports whether s can keep one more result of j. A result larger
// than the whole memory is tried at an empty upstream.
func (g *Group) hasRoom(now time.Time, s *server, j *Job) bool {
	taken := s.taken(now)
	return g.cfg.Spec.Room == 0 || taken == 0 || taken+j.ask.Bytes <= g.cfg.Spec.Room
}

func (g *Group) isBetter(a, b *server, j *Job) bool {
	if (a.up.DC == j.dc()) != (b.up.DC == j.dc()) {
		return a.up.DC == j.dc()
	}
	if a.pace > 1.5*b.pace || b.pace > 1.5*a.pace {
		return a.pace < b.pace
	}
	return a.used < b.used
}

func (g *Group) put(f *flight, j *Job, i int) {
	s := g.servers[f.call.Upstream.ID]
	s.used += j.ask.Bytes
	if j.begun.IsZero() {
		j.begun = f.started
	}
	j.full = f.started
	if len(j.calls) == 0 || j.calls[len(j.calls)-1] != f.call.ID {
		j.calls = append(j.calls, f.call.ID)
	}
	if j.near == "" {
		j.near = s.up.DC
	}
	j.pieces[i].state = running
	j.pieces[i].copies++
	f.jobs = append(f.jobs, j)
	f.call.Items = append(f.call.Items, Item{
		Request:  j.ask.Request,
		Stage:    j.ask.Stage,
		Number:   i,
		Key:      j.ask.Key,
		Inputs:   j.ask.Inputs,
		Deadline: j.ask.Deadline,
	})
}

// Finish takes in how a call ended. Jobs that are complete are ended.
func (g *Group) Finish(now time.Time, id uint64, out Outcome) {
	f, ok := g.flights[id]
	if !ok {
		return
	}
	delete(g.flights, id)
	s := g.servers[f.call.Upstream.ID]
	s.call = nil
	took := now.Sub(f.started)
	switch out.Ending {
	case Answered:
		s.breaks = 0
		s.observe(took, g.cfg.Spec.Call+time.Duration(len(f.jobs))*g.cfg.Spec.Item)
	case Refused:
		s.until = now.Add(avoidFull)
	case Broken:
		s.broke(now)
	}
	if !s.listed {
		delete(g.servers, s.up.ID)
		g.order = slices.DeleteFunc(g.order, func(o *server) bool { return o == s })
	}
	for i, j := range f.jobs {
		m := Made{Reason: ReasonError}
		if out.Ending == Answered && i < len(out.Made) {
			m = out.Made[i]
		}
		g.settle(now, s, j, f.call.Items[i].Number, m, out.Ending)
	}
}

func (g *Group) settle(now time.Time, s *server, j *Job, n int, m Made, e Ending) {
	p := &j.pieces[n]
	p.copies--
	if m.Handle != "" {
		g.results[m.Handle] = kept{s.up.ID, j.ask.Bytes, now.Add(g.cfg.Spec.Keep)}
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
	s.used -= j.ask.Bytes
	if j.isDone() || p.state != running || p.copies > 0 {
		return
	}
	p.state = waiting
	switch {
	case m.Reason == ReasonLate:
		g.end(j, mperror.Wrap(mperror.ErrLate, "stage %d: late at its upstream", j.ask.Stage))
	case m.Reason == ReasonGone:
		g.end(j, mperror.Wrap(mperror.ErrNotFound, "stage %d: an input is gone", j.ask.Stage))
	case m.Reason == ReasonRoom:
		s.noRoom(now, g.cfg.Spec.Room)
	case e != Refused:
		if j.tries++; j.tries > mostTries*len(j.pieces) {
			g.end(j, mperror.Wrap(mperror.ErrCrashed, "stage %d: failed %d times", j.ask.Stage, j.tries))
		}
	}
}

// Free notes results that are not needed any more. They take up memory until
// their makers have been told.
func (g *Group) Free(handles []string) { g.freed = append(g.freed, handles...) }

func (g *Group) free(handle string) { g.freed = append(g.freed, handle) }

// FreeIfShort notes results that their readers have fetched but may need again
// if a call fails. They are given up only while pieces wait for memory.
func (g *Group) FreeIfShort(handles []string) { g.spare = append(g.spare, handles...) }

// Freed takes in that the makers of results have dropped them.
func (g *Group) Freed(handles []string) {
	for _, h := range handles {
		g.forget(h)
	}
}

func (g *Group) forget(handle string) {
	k, ok := g.results[handle]
	if !ok {
		return
	}
	delete(g.results, handle)
	if s, ok := g.servers[k.server]; ok {
		s.used -= k.bytes
	}
}

// TakeFreed returns the handles that their makers may drop. Freed must follow
// when they have been told.
func (g *Group) TakeFreed() []string {
	out := g.freed
	g.freed = nil
	for i, h := range g.spare {
		k, ok := g.results[h]
		switch {
		case !ok:
			g.spare[i] = ""
		case g.isShort(k.server) && !slices.Contains(out, h):
			out = append(out, h)
			g.spare[i] = ""
		}
	}
	g.spare = slices.DeleteFunc(g.spare, func(h string) bool { return h == "" })
	return out
}

// Wake returns when Next must be called again at the latest though nothing
// else happens; the zero time when that is not needed.
func (g *Group) Wake(now time.Time) time.Time {
	var at time.Time
	sooner := func(t time.Time) {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	for _, f := range g.flights {
		if !f.overdue {
			sooner(f.started.Add(time.Duration(overdueTimes*float64(f.call.Expected)) + overdueSlack))
		}
	}
	for _, j := range g.queue {
		if j.ask.Reads != "" && !j.freed {
			sooner(j.full.Add(fetchWithin))
		}
		sooner(j.ask.Deadline)
	}
	if len(g.queue) > 0 {
		for _, s := range g.order {
			sooner(s.until)
		}
		for _, k := range g.results {
			sooner(k.until)
		}
		for _, s := range g.order {
			if now.Before(s.foreignUntil) {
				sooner(now.Add(avoidRoom))
			}
		}
	}
	return at
}

// TakeRead returns the jobs whose pieces have all had time to fetch their
// inputs, and that free them. Each job is returned once.
func (g *Group) TakeRead(now time.Time) []Ask {
	var out []Ask
	for _, j := range g.queue {
		if j.ask.Reads == "" || j.freed || now.Sub(j.full) < fetchWithin || slices.ContainsFunc(j.pieces, isWaiting) {
			continue
		}
		j.freed = true
		out = append(out, j.ask)
	}
	return out
}

func isWaiting(p piece) bool { return p.state == waiting }

// isShort reports whether the results at an upstream leave little memory.
func (g *Group) isShort(id string) bool {
	s, ok := g.servers[id]
	return ok && float64(s.used) > shortShare*float64(g.cfg.Spec.Room)
}

// Waiting returns the number of pieces in the queue.
func (g *Group) Waiting() int {
	n := 0
	for _, j := range g.queue {
		for _, p := range j.pieces {
			if p.state == waiting {
				n++
			}
		}
	}
	return n
}

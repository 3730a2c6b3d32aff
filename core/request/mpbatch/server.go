package mpbatch

import "time"

const (
	// A call is overdue when it takes this many times as long as expected.
	overdueTimes = 1.7
	overdueSlack = 120 * time.Millisecond
	// A call is given up after this many times its expected length.
	giveUpTimes = 5
	giveUpSlack = time.Second

	// avoidFirst doubles with each broken call in a row, up to avoidMost.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// avoidFull is about one round trip between data centres.
	avoidFull = 20 * time.Millisecond
	// lookEvery is how often the memory that other owners' results take is looked
	// at again while it shrinks.
	lookEvery = 50 * time.Millisecond
	// foreignFor is about how long a result lives until its reader has it.
	foreignFor = 700 * time.Millisecond
	// roomShare is how much of an upstream's memory pieces with inputs may fill: the
	// sizes of results are approximate, and all results of earlier stages wait for a
	// piece that finds no room.
	roomShare = 0.95

	// paceWeight is the weight of the newest call in an upstream's pace.
	paceWeight = 0.3
	paceMost   = 8.0
)

// server is one upstream as the owner sees it.
type server struct {
	up     Upstream
	call   *flight
	listed bool
	// until is when the server may get calls again after a failure.
	until  time.Time
	breaks int
	// used is the memory that results take, in bytes.
	used int
	// foreign is memory that results of other owners seem to take, until foreignUntil.
	foreign      int
	foreignUntil time.Time
	// pace is the measured length of a call over the configured one.
	pace float64
}

// flight is a call that is being made.
type flight struct {
	call    Call
	jobs    []*Job
	started time.Time
	// used is the memory that the upstream's results took when the call began,
	// with those of the call itself.
	used int
	// overdue tells that the pieces were given to other upstreams as well.
	overdue bool
}

// left returns how long the call is expected to go on, 0 when it should have ended.
func (f *flight) left(now time.Time) time.Duration {
	return max(f.started.Add(f.call.Expected).Sub(now), 0)
}

// overdueAt returns when the call has taken too long.
func (f *flight) overdueAt() time.Time {
	return f.started.Add(time.Duration(overdueTimes*float64(f.call.Expected)) + overdueSlack)
}

func (s *server) isFree(now time.Time) bool {
	return s.listed && s.call == nil && !now.Before(s.until)
}

func (s *server) observe(took, configured time.Duration) {
	if configured <= 0 {
		return
	}
	x := min(float64(took)/float64(configured), paceMost)
	s.pace += paceWeight * (x - s.pace)
}

// noRoom notes that pieces of f, whose results would have taken missed bytes,
// found no memory. What this owner's results left when the call began is taken by
// those of a former owner.
func (s *server) noRoom(now time.Time, f *flight, missed, room int) {
	s.foreign = max(room-(f.used-missed), 0)
	s.foreignUntil = now.Add(foreignFor)
}

// taken returns the memory that is not to be had.
func (s *server) taken(now time.Time) int {
	if now.Before(s.foreignUntil) {
		left := float64(s.foreignUntil.Sub(now)) / float64(foreignFor)
		return s.used + int(left*float64(s.foreign))
	}
	return s.used
}

func (s *server) broke(now time.Time) {
	s.until = now.Add(min(avoidFirst<<min(s.breaks, 10), avoidMost))
	s.breaks++
}

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
	avoidRoom = 100 * time.Millisecond

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
	// pace is the measured length of a call over the configured one.
	pace float64
}

// flight is a call that is being made.
type flight struct {
	call    Call
	jobs    []*Job
	started time.Time
	// overdue tells that the pieces were given to other upstreams as well.
	overdue bool
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

func (s *server) broke(now time.Time) {
	s.until = now.Add(min(avoidFirst<<min(s.breaks, 10), avoidMost))
	s.breaks++
}

package mplog

import (
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// sumEvery is the time that one line of a sum covers.
	sumEvery = time.Second
	// fullLines are written in each such time before lines of one cause are summed.
	fullLines = 5
	// sumIDs bounds the ids that a sum names, so that its line stays below 2 kB.
	sumIDs = 64
)

// Summarizer bounds the lines about requests that end for the same cause, as refusals do
// under overload: the first few of a second are written in full, the others as one
// line with their number and ids. It is safe for concurrent use.
type Summarizer struct {
	logger log.Logger
	msg    string

	mu     sync.Mutex
	causes map[string]*sum
}

type sum struct {
	full  int
	count int
	ids   []string
}

// NewSummarizer returns sums that are written to logger with the message msg, which is
// SumRequests, SumStages or SumAttempts.
func NewSummarizer(logger log.Logger, msg string) *Summarizer {
	return &Summarizer{logger: logger, msg: msg, causes: map[string]*sum{}}
}

// ShouldLog reports whether the line about request id, which ended for cause, should be
// written. Otherwise it becomes part of a sum.
func (s *Summarizer) ShouldLog(cause, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.causes[cause]
	if !ok {
		c = &sum{}
		s.causes[cause] = c
		time.AfterFunc(sumEvery, func() { s.end(cause) })
	}
	if c.full < fullLines {
		c.full++
		return true
	}
	c.count++
	if len(c.ids) < sumIDs {
		c.ids = append(c.ids, id)
	}
	return false
}

func (s *Summarizer) end(cause string) {
	s.mu.Lock()
	c := s.causes[cause]
	delete(s.causes, cause)
	s.mu.Unlock()
	if c.count > 0 {
		_ = level.Info(s.logger).Log("msg", s.msg, "cause", cause, "requests", c.count, "ids", strings.Join(c.ids, ","))
	}
}

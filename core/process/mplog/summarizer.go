package mplog

import (
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// summaryInterval is the time that one summary line covers.
	summaryInterval = time.Second
	// maxFullLines is how many lines with the same cause are written in full per
	// summaryInterval. Further ones are only counted in the summary line.
	maxFullLines = 5
	// maxSummaryIDs limits the IDs in a summary line, so that it stays below 2 kB.
	maxSummaryIDs = 64
)

// Summarizer limits the log lines about requests that end for the same cause, such as
// refusals under overload: the first few in each second are logged in full, the others as
// one line with their number and IDs. It is safe for concurrent use.
type Summarizer struct {
	logger log.Logger
	msg    string

	mu     sync.Mutex
	causes map[string]*causeSummary
}

type causeSummary struct {
	fullLines  int
	suppressed int
	ids        []string
}

// NewSummarizer returns a Summarizer that logs its summary lines to logger with the message
// msg, which is MsgRequestsNotServed, MsgStagesRefused, MsgAttemptsFailed or MsgClientsLimited.
func NewSummarizer(logger log.Logger, msg string) *Summarizer {
	return &Summarizer{logger: logger, msg: msg, causes: map[string]*causeSummary{}}
}

// ShouldLog reports whether to log a line about the request with the given ID, which ended
// for cause. If not, the request is included in the next summary line.
func (s *Summarizer) ShouldLog(cause, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.causes[cause]
	if !ok {
		c = &causeSummary{}
		s.causes[cause] = c
		time.AfterFunc(summaryInterval, func() { s.logSummary(cause) })
	}
	if c.fullLines < maxFullLines {
		c.fullLines++
		return true
	}
	c.suppressed++
	if len(c.ids) < maxSummaryIDs {
		c.ids = append(c.ids, id)
	}
	return false
}

func (s *Summarizer) logSummary(cause string) {
	s.mu.Lock()
	c := s.causes[cause]
	delete(s.causes, cause)
	s.mu.Unlock()
	if c.suppressed > 0 {
		_ = level.Info(s.logger).Log("msg", s.msg, "cause", cause, "requests", c.suppressed, "ids", strings.Join(c.ids, ","))
	}
}

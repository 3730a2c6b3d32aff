package mpconsensus

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
)

// reopenDelay is how long a voter waits after a disk failure before it reopens the data
// directory. It is about the time that the other voters take to elect a leader without it.
const reopenDelay = 500 * time.Millisecond

// supervisor starts and stops voters.
type supervisor struct {
	cfg   Config
	start func(ctx, leave context.Context, cfg Config, failed chan<- error) (*Voter, error)
	stop  func(*Voter)
	// setVoter is called with the running voter, or with nil when it stops.
	setVoter func(*Voter)
}

// Supervise runs a voter until ctx ends and calls setVoter with the running voter, or
// with nil when there is none. If the disk of the voter fails, for example because it is
// full, the process continues without a voter and tries again to open the data directory.
// Supervise returns an error only if the directory is corrupt, which requires an
// operator, or if the voter cannot start or fails after leave has ended.
func Supervise(ctx, leave context.Context, cfg Config, setVoter func(*Voter)) error {
	s := supervisor{cfg: cfg, start: Start, stop: (*Voter).Stop, setVoter: setVoter}
	return s.run(ctx, leave)
}

func (s *supervisor) run(ctx, leave context.Context) error {
	for {
		err := s.runOne(ctx, leave)
		switch {
		case ctx.Err() != nil:
			return nil
		case leave.Err() != nil, errors.Is(err, mperror.ErrCorrupt):
			return err
		}
		_ = level.Error(s.cfg.Voter.Logger).Log("msg", "voter steps aside", "pause", reopenDelay, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

// runOne runs one voter until its disk fails or ctx ends.
func (s *supervisor) runOne(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	voter, err := s.start(ctx, leave, s.cfg, failed)
	if err != nil {
		return err
	}
	s.setVoter(voter)
	defer s.stop(voter)
	defer s.setVoter(nil)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

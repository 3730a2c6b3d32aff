package mpconsensus

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpdisk"
	"mustardpost.org/core/process/mpvoter"
)

// reopenDelay is how long a voter waits after a disk failure before it reopens the data
// directory. It is about the time that the other voters take to elect a leader without it.
const reopenDelay = 500 * time.Millisecond

// supervisor starts and stops voters.
type supervisor struct {
	cfg   Config
	start func(ctx, leave context.Context, cfg Config, failed chan<- error) (*Voter, error)
	stop  func(*Voter)
	// hasLeader reports whether the other voters have a leader. setAside makes the voter join
	// as a new member at its next start.
	hasLeader func(ctx context.Context, cfg mpvoter.Config) bool
	setAside  func(dir string) error
	// setVoter is called with the running voter, or with nil when it stops.
	setVoter func(*Voter)
}

// Supervise runs a voter until ctx ends and calls setVoter with the running voter, or
// with nil when there is none. If the disk of the voter fails, for example because it is
// full, the process continues without a voter and tries again to open the data directory.
//
// If the directory is corrupt while the other voters have a leader, they hold all that was
// committed. The files are then set aside, and the voter joins as a new member, as after the
// loss of its disk. Without a leader the directory may hold what the others lack, and Supervise
// returns the error, since an operator must decide. It also returns an error if the voter
// cannot start or fails after leave has ended.
func Supervise(ctx, leave context.Context, cfg Config, setVoter func(*Voter)) error {
	s := supervisor{cfg: cfg, start: Start, stop: (*Voter).Stop, hasLeader: mpvoter.HasLeader, setAside: mpdisk.SetAside, setVoter: setVoter}
	return s.run(ctx, leave)
}

func (s *supervisor) run(ctx, leave context.Context) error {
	for {
		err := s.runOne(ctx, leave)
		switch {
		case ctx.Err() != nil:
			return nil
		case leave.Err() != nil:
			return err
		case errors.Is(err, mperror.ErrCorrupt):
			if !s.hasLeader(ctx, s.cfg.Voter) {
				return err
			}
			if err := s.rejoin(err); err != nil {
				return err
			}
		}
		_ = level.Error(s.cfg.Voter.Logger).Log("msg", "voter steps aside", "pause", reopenDelay, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

// rejoin sets the corrupt data directory aside. The voter must not bootstrap a deployment with
// the empty one.
func (s *supervisor) rejoin(cause error) error {
	_ = level.Error(s.cfg.Voter.Logger).Log("msg", "corrupt data set aside", "err", cause)
	s.cfg.Voter.ShouldBootstrap = func() bool { return false }
	return s.setAside(s.cfg.Voter.DataDir)
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

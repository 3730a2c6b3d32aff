package mpseat

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"mustardpost.org/core/common/mperror"
)

// reopenPause is how long a voter whose disk failed waits before it tries again:
// about as long as the others take to elect a leader without it.
const reopenPause = 500 * time.Millisecond

// keeper starts and stops seats.
type keeper struct {
	cfg   Config
	start func(ctx, leave context.Context, cfg Config, failed chan<- error) (*Voter, error)
	stop  func(*Voter)
	// set is told which seat is up.
	set func(*Voter)
}

// Supervise runs a seat until ctx ends, and tells set which one is up, nil for none. A
// seat whose disk fails, as one that is full does, steps aside: the process goes on
// without it and opens the data folder again. Supervise returns an error only when the
// folder is damaged, which takes an operator, or when leave ends before the first start.
func Supervise(ctx, leave context.Context, cfg Config, set func(*Voter)) error {
	k := keeper{cfg: cfg, start: Start, stop: (*Voter).Stop, set: set}
	return k.run(ctx, leave)
}

func (k *keeper) run(ctx, leave context.Context) error {
	for {
		err := k.runOne(ctx, leave)
		switch {
		case ctx.Err() != nil:
			return nil
		case leave.Err() != nil, errors.Is(err, mperror.ErrCorrupt):
			return err
		}
		_ = level.Error(k.cfg.Voter.Logger).Log("msg", "voter steps aside", "pause", reopenPause, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenPause):
		}
	}
}

// runOne runs one seat until its disk fails or ctx ends.
func (k *keeper) runOne(ctx, leave context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	seat, err := k.start(ctx, leave, k.cfg, failed)
	if err != nil {
		return err
	}
	k.set(seat)
	defer k.stop(seat)
	defer k.set(nil)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

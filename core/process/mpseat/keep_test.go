package mpseat

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/process/mpvoter"
)

var errFull = errors.New("no space left on device")

// disk plays seats whose disk fails or not, one outcome a start.
type disk struct {
	// starts holds what each start returns; later ones run until they are stopped.
	starts []error
	// fails is how long each seat runs until its disk fails.
	fails   []time.Duration
	stopped int
	began   int
}

func (d *disk) start(_, _ context.Context, _ Config, failed chan<- error) (*Voter, error) {
	i := d.began
	d.began++
	if i < len(d.starts) && d.starts[i] != nil {
		return nil, d.starts[i]
	}
	if i < len(d.fails) {
		time.AfterFunc(d.fails[i], func() { failed <- errFull })
	}
	return &Voter{}, nil
}

// play keeps seats on d for length and returns what the keeper ended with.
func (d *disk) play(t *testing.T, length time.Duration) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		k := keeper{
			cfg: Config{Voter: mpvoter.Config{Logger: log.NewNopLogger()}}, start: d.start,
			stop: func(*Voter) { d.stopped++ }, set: func(*Voter) {},
		}
		ended := make(chan error, 1)
		go func() { ended <- k.run(ctx, ctx) }()
		select {
		case err = <-ended:
		case <-time.After(length):
			cancel()
			err = <-ended
		}
	})
	return err
}

// A voter's process ended when its disk was full, was started again and ended again,
// six times in five seconds, and with it what it did beside voting.
func TestVoterStepsAside(t *testing.T) {
	t.Run("its disk fails, and takes bytes again later", func(t *testing.T) {
		d := &disk{starts: []error{nil, errFull, errFull}, fails: []time.Duration{time.Second}}
		if err := d.play(t, 10*time.Second); err != nil {
			t.Errorf("the process ended: %v", err)
		}
		if diff := cmp.Diff([]int{4, 2}, []int{d.began, d.stopped}); diff != "" {
			t.Errorf("starts and stops (-want +got):\n%s", diff)
		}
	})
	t.Run("it fails again and again", func(t *testing.T) {
		d := &disk{fails: []time.Duration{time.Second, time.Second, time.Second}}
		if err := d.play(t, 10*time.Second); err != nil {
			t.Errorf("the process ended: %v", err)
		}
		if diff := cmp.Diff([]int{4, 4}, []int{d.began, d.stopped}); diff != "" {
			t.Errorf("starts and stops (-want +got):\n%s", diff)
		}
	})
	t.Run("a damaged data folder takes an operator", func(t *testing.T) {
		d := &disk{starts: []error{mperror.Wrap(mperror.ErrCorrupt, "log")}}
		if err := d.play(t, 10*time.Second); !errors.Is(err, mperror.ErrCorrupt) {
			t.Errorf("got %v, want ErrCorrupt", err)
		}
	})
}

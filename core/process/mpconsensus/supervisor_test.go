package mpconsensus

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

var errNoSpace = errors.New("no space left on device")

// faultyDisk starts voters with a simulated disk that can fail, with one outcome per start.
type faultyDisk struct {
	// startErrors holds the error of each start; later starts succeed.
	startErrors []error
	// failAfter is how long each voter runs until its disk fails; later voters run until
	// they are stopped.
	failAfter []time.Duration
	stops     int
	starts    int
	// hasLeader is set if the other voters have a leader.
	hasLeader bool
	// setAside counts how often the data directory was set aside.
	setAside int
}

func (d *faultyDisk) start(_, _ context.Context, _ Config, failed chan<- error) (*Voter, error) {
	i := d.starts
	d.starts++
	if i < len(d.startErrors) && d.startErrors[i] != nil {
		return nil, d.startErrors[i]
	}
	if i < len(d.failAfter) {
		time.AfterFunc(d.failAfter[i], func() { failed <- errNoSpace })
	}
	return &Voter{}, nil
}

// supervise runs a supervisor on d for ten seconds and returns its error.
func (d *faultyDisk) supervise(t *testing.T) (err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := supervisor{
			cfg: Config{Voter: mpvoter.Config{Logger: log.NewNopLogger()}}, start: d.start,
			stop: func(*Voter) { d.stops++ }, setVoter: func(*Voter) {},
			hasLeader: func(context.Context, mpvoter.Config) bool { return d.hasLeader },
			setAside:  func(string) error { d.setAside++; return nil },
		}
		done := make(chan error, 1)
		go func() { done <- s.run(ctx, ctx) }()
		select {
		case err = <-done:
		case <-time.After(10 * time.Second):
			cancel()
			err = <-done
		}
	})
	return err
}

// TestVoterRestartsAfterDiskFailure guards against a disk failure that ends the process.
// With a full disk, the process of a voter ended and was restarted six times in five
// seconds, which also interrupted its work other than voting.
func TestVoterRestartsAfterDiskFailure(t *testing.T) {
	t.Run("disk fails and recovers", func(t *testing.T) {
		d := &faultyDisk{startErrors: []error{nil, errNoSpace, errNoSpace}, failAfter: []time.Duration{time.Second}}
		if err := d.supervise(t); err != nil {
			t.Errorf("supervisor ended with error: %v", err)
		}
		if diff := cmp.Diff([]int{4, 2}, []int{d.starts, d.stops}); diff != "" {
			t.Errorf("starts and stops (-want +got):\n%s", diff)
		}
	})
	t.Run("disk fails repeatedly", func(t *testing.T) {
		d := &faultyDisk{failAfter: []time.Duration{time.Second, time.Second, time.Second}}
		if err := d.supervise(t); err != nil {
			t.Errorf("supervisor ended with error: %v", err)
		}
		if diff := cmp.Diff([]int{4, 4}, []int{d.starts, d.stops}); diff != "" {
			t.Errorf("starts and stops (-want +got):\n%s", diff)
		}
	})
	t.Run("corrupt data directory ends supervision", func(t *testing.T) {
		d := &faultyDisk{startErrors: []error{mperror.Wrap(mperror.ErrCorrupt, "log")}}
		if err := d.supervise(t); !errors.Is(err, mperror.ErrCorrupt) {
			t.Errorf("got %v, want ErrCorrupt", err)
		}
		if d.setAside > 0 {
			t.Error("the data directory was set aside, though the other voters have no leader")
		}
	})
}

// TestVoterRejoinsWithCorruptData guards against voters that are gone for good since their data
// is corrupt, on a fleet without an operator at hand. Their processes ended at each start.
func TestVoterRejoinsWithCorruptData(t *testing.T) {
	d := &faultyDisk{startErrors: []error{mperror.Wrap(mperror.ErrCorrupt, "log")}, hasLeader: true}
	if err := d.supervise(t); err != nil {
		t.Errorf("supervisor ended with error: %v", err)
	}
	if diff := cmp.Diff([]int{2, 1}, []int{d.starts, d.setAside}); diff != "" {
		t.Errorf("starts, and how often data was set aside (-want +got):\n%s", diff)
	}
}

package mpgateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mpview"
)

// trialPeer hands calls to the trials of another VM, or fails.
type trialPeer struct {
	mpwire.PeerClient
	trials *trials
	err    error
}

func (p trialPeer) Try(_ context.Context, r *mpwire.TryRequest, _ ...grpc.CallOption) (*mpwire.TryReply, error) {
	if p.err != nil {
		return nil, p.err
	}
	return p.trials.serve(time.Now(), r), nil
}

// newTrials returns the trials of VMs that call each other, by the address of the VM. Calls to
// a VM with an error in errs fail with it.
func newTrials(t *testing.T, errs map[string]error, vms ...string) map[string]*trials {
	t.Helper()
	view := mpview.Empty()
	for _, vm := range vms {
		next, err := view.Apply(mpview.Join{VM: mpview.VM{Name: vm, Address: vm, Peer: vm}})
		if err != nil {
			t.Fatal(err)
		}
		view = next
	}
	out := map[string]*trials{}
	for _, vm := range vms {
		out[vm] = &trials{
			vm: vm, view: func() *mpview.View { return view }, ledger: mpquarantine.New(), arbiter: mpquarantine.NewArbiter(), logger: log.NewNopLogger(),
			dial: func(address string) (mpwire.PeerClient, error) {
				return trialPeer{trials: out[address], err: errs[address]}, nil
			},
		}
	}
	return out
}

// Guards against a suspect that several VMs try at once, since each counted its own trials,
// and against one that VMs go on trying because no leader hands on what the trials showed.
func TestTrialsOverAllVMs(t *testing.T) {
	f := mpquarantine.ContentFeature(1)
	known := mpquarantine.Finding{Feature: f, Level: mpquarantine.Suspect}
	vms := []string{"a", "b", "c"}
	// begin asks for a trial at each VM, and returns the number that is granted.
	begin := func(t *testing.T, m map[string]*trials) (granted int, end func(lost bool)) {
		t.Helper()
		for _, vm := range vms {
			p, done, err := m[vm].Begin(t.Context(), known)
			if err == nil && p.Granted {
				granted, end = granted+1, done
			}
		}
		return granted, end
	}
	t.Run("one VM tries", func(t *testing.T) {
		if n, _ := begin(t, newTrials(t, nil, vms...)); n != 1 {
			t.Errorf("%d trials were granted, want 1", n)
		}
	})
	t.Run("VMs learn from each other what the last trial showed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			m := newTrials(t, nil, vms...)
			p, end, err := m["a"].Begin(t.Context(), known)
			if err != nil || !p.Granted {
				t.Fatalf("permission %+v, %v", p, err)
			}
			m["a"].ledger.Learn(time.Now(), f, mpquarantine.StrongSuspect)
			end(true)
			synctest.Wait()
			if n, _ := begin(t, m); n != 0 {
				t.Errorf("%d trials were granted right after a loss", n)
			}
			for _, vm := range vms {
				if diff := cmp.Diff(mpquarantine.StrongSuspect, m[vm].ledger.LevelOf(time.Now(), f)); diff != "" {
					t.Errorf("level at %s (-want +got):\n%s", vm, diff)
				}
			}
		})
	})
	t.Run("an arbiter that does not answer permits none", func(t *testing.T) {
		all := map[string]error{}
		for _, vm := range vms {
			all[vm] = errors.New("no route")
		}
		m := newTrials(t, all, vms...)
		granted, _ := begin(t, m) // The arbiter itself asks nobody.
		if granted > 1 {
			t.Errorf("%d trials were granted", granted)
		}
	})
	t.Run("VMs of an earlier version leave each VM to try on its own", func(t *testing.T) {
		old := map[string]error{}
		for _, vm := range vms {
			old[vm] = status.Error(codes.Unimplemented, "unknown method Try")
		}
		if n, _ := begin(t, newTrials(t, old, vms...)); n != len(vms) {
			t.Errorf("%d trials were granted, want %d", n, len(vms))
		}
	})
}

package mpgateway

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/request/mpquarantine"
	"mustardpost.org/core/version/mpview"
)

// replicated is a view that changes are made to, in place of the leader's.
type replicated struct {
	view *mpview.View
	// failures is the number of changes that fail first.
	failures int
	ops      []mpview.Op
}

func (r *replicated) propose(_ context.Context, op mpview.Op) error {
	if r.failures > 0 {
		r.failures--
		return errors.New("no leader")
	}
	next, err := r.view.Apply(op)
	if err != nil {
		return err
	}
	r.view = next
	r.ops = append(r.ops, op)
	return nil
}

// checkHandedOn reports an error if a VM that has only the view judges the part otherwise.
func checkHandedOn(t *testing.T, r *replicated, want mpquarantine.Level) {
	t.Helper()
	l := mpquarantine.New()
	l.SetStrikes(time.Now(), r.view.AllStrikes())
	if diff := cmp.Diff(want, l.Judge(time.Now(), mpquarantine.Traits{Content: mpquarantine.PartFeature("x")}).Level); diff != "" {
		t.Errorf("level at another VM (-want +got):\n%s", diff)
	}
}

// Guards against evidence that the other VMs do not get, or that outlasts what it says.
func TestEvidenceIsHandedOn(t *testing.T) {
	feature := mpquarantine.PartFeature("x")
	run := func(t *testing.T, failures int, f func(r *replicated, e *evidence)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			r := &replicated{view: mpview.Empty(), failures: failures}
			e := newEvidence(r.propose, func() *mpview.View { return r.view }, log.NewNopLogger())
			ctx, cancel := context.WithCancel(t.Context())
			go e.run(ctx)
			f(r, e)
			cancel()
		})
	}
	raise := func(e *evidence, level mpquarantine.Level) {
		e.Raise([]mpquarantine.Finding{{Feature: feature, Level: level}})
	}
	settle := func() {
		<-time.After(time.Second)
		synctest.Wait()
	}
	t.Run("each level", func(t *testing.T) {
		run(t, 0, func(r *replicated, e *evidence) {
			for _, level := range []mpquarantine.Level{mpquarantine.Noted, mpquarantine.Suspect, mpquarantine.StrongSuspect, mpquarantine.Convicted} {
				raise(e, level)
				settle()
				checkHandedOn(t, r, level)
			}
		})
	})
	t.Run("what is raised together is one change", func(t *testing.T) {
		run(t, 0, func(r *replicated, e *evidence) {
			for i := range 50 {
				e.Raise([]mpquarantine.Finding{{Feature: mpquarantine.ContentFeature(uint64(i)), Level: mpquarantine.Noted}})
			}
			settle()
			if len(r.ops) != 1 {
				t.Errorf("%d changes, want 1", len(r.ops))
			}
		})
	})
	t.Run("again after the leader was lost", func(t *testing.T) {
		run(t, 3, func(r *replicated, e *evidence) {
			raise(e, mpquarantine.Convicted)
			settle()
			checkHandedOn(t, r, mpquarantine.Convicted)
		})
	})
	t.Run("cleared", func(t *testing.T) {
		run(t, 0, func(r *replicated, e *evidence) {
			raise(e, mpquarantine.Convicted)
			settle()
			e.Clear([]mpquarantine.Feature{feature})
			settle()
			checkHandedOn(t, r, mpquarantine.Clear)
			if len(r.view.AllStrikes()) > 0 {
				t.Errorf("strikes %v are left", r.view.AllStrikes())
			}
		})
	})
	t.Run("a conviction outlives its evidence, and ends on probation", func(t *testing.T) {
		run(t, 0, func(r *replicated, e *evidence) {
			raise(e, mpquarantine.Convicted)
			settle()
			var expired []uint64
			later := time.Now().Add(mpquarantine.ConvictionTTL + time.Second).UnixMilli()
			for n, s := range r.view.AllStrikes() {
				if s.Until < later {
					expired = append(expired, n)
				}
			}
			slices.Sort(expired)
			if err := r.propose(t.Context(), mpview.ClearStrikes{Fingerprints: expired}); err != nil {
				t.Fatal(err)
			}
			checkHandedOn(t, r, mpquarantine.StrongSuspect)
		})
	})
	t.Run("no more than the view may hold", func(t *testing.T) {
		strikes := map[uint64]mpview.StrikeCount{}
		for i := range maxStrikes {
			strikes[uint64(i)] = mpview.StrikeCount{}
		}
		ops := evidenceOps(time.Now(), map[mpquarantine.Feature]mpquarantine.Level{feature: mpquarantine.Noted}, nil, strikes)
		if len(ops) > 0 {
			t.Errorf("changes %v", ops)
		}
	})
}

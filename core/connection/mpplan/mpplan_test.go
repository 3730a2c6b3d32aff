package mpplan

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mpdelta"
	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/version/mpview"
)

const testLease = 2 * time.Second

var (
	start = time.Unix(1000, 0)
	one   = testPlan(1)
	two   = testPlan(2)
	three = testPlan(3)
)

// testPlan returns a plan that has most of its text in common with others, at another place.
func testPlan(version int) mpview.Routing {
	text := strings.Repeat("x", 10*version) + "0123456789abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	return mpview.Routing{Version: uint64(version), Source: fmt.Appendf(nil, "%q", text)}
}

// testFollower records the versions that it takes into use, and refuses those in refuses.
type testFollower struct {
	*Follower
	adopted []uint64
	refuses map[uint64]bool
}

func newTestFollower() *testFollower {
	f := &testFollower{refuses: map[uint64]bool{}}
	f.Follower = New(Config{Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Adopt: func(_ time.Time, plan mpview.Routing) error {
		if f.refuses[plan.Version] {
			return errors.New("cannot be decoded")
		}
		f.adopted = append(f.adopted, plan.Version)
		return nil
	}})
	return f
}

// renew takes over a renewal, which tells that a plan is in force and may bring a part of one.
func (f *testFollower) renew(now time.Time, inForce mpview.Routing, part *mpwire.PlanPart) {
	f.Follow(now, inForce, part)
	f.Confirm(now, now.Add(testLease))
}

// arrive hands a part over that was fetched.
func (f *testFollower) arrive(now time.Time, part *mpwire.PlanPart) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.use(now, part)
}

func wholePart(plan mpview.Routing) *mpwire.PlanPart {
	data := mpflate.Pack(plan.Source)
	return &mpwire.PlanPart{Version: plan.Version, Sum: plan.Checksum(), Size: uint32(len(data)), Data: data}
}

func deltaPart(base, plan mpview.Routing) *mpwire.PlanPart {
	data := mpflate.Pack(mpdelta.Make(base.Source, plan.Source))
	return &mpwire.PlanPart{Version: plan.Version, Sum: plan.Checksum(), Base: base.Checksum(), Size: uint32(len(data)), Data: data}
}

// cut returns the bytes of a part from begin to end.
func cut(p *mpwire.PlanPart, begin, end int) *mpwire.PlanPart {
	return &mpwire.PlanPart{Version: p.GetVersion(), Sum: p.GetSum(), Base: p.GetBase(), Size: p.GetSize(), Offset: uint32(begin), Data: p.GetData()[begin:end]}
}

func checkState(t *testing.T, f *testFollower, now time.Time, want State) {
	t.Helper()
	if got := f.State(now); got != want {
		t.Errorf("state %v after %v, want %v", got, now.Sub(start), want)
	}
}

func checkAdopted(t *testing.T, f *testFollower, want ...uint64) {
	t.Helper()
	if diff := cmp.Diff(want, f.adopted); diff != "" {
		t.Errorf("plans taken into use (-want +got):\n%s", diff)
	}
}

// Guards against a VM that goes on with a plan which it knows to be replaced, or that takes a plan for
// the one in force although nobody confirms it.
func TestStateOfThePlan(t *testing.T) {
	t.Run("without renewals it is unconfirmed after the lease", func(t *testing.T) {
		f := newTestFollower()
		f.renew(start, one, nil)
		checkState(t, f, start.Add(testLease-1), InForce)
		checkState(t, f, start.Add(testLease), Unconfirmed)
	})
	t.Run("a plan that does not arrive replaces it once the lease before has ended", func(t *testing.T) {
		f := newTestFollower()
		f.renew(start, one, nil)
		f.renew(start.Add(testLease/2), two.WithoutSource(), nil)
		checkState(t, f, start.Add(testLease-1), InForce)
		checkState(t, f, start.Add(testLease), Replaced)
		if got := f.Lag(start.Add(testLease)); got != testLease/2 {
			t.Errorf("lags for %v, want %v", got, testLease/2)
		}
	})
	t.Run("a plan that arrives is in force for the rest of the lease", func(t *testing.T) {
		f := newTestFollower()
		f.renew(start, one, nil)
		f.renew(start.Add(testLease/2), two.WithoutSource(), nil)
		if err := f.arrive(start.Add(testLease), deltaPart(one, two)); err != nil {
			t.Fatal(err)
		}
		checkState(t, f, start.Add(3*testLease/2-1), InForce)
		checkState(t, f, start.Add(3*testLease/2), Unconfirmed)
		checkAdopted(t, f, 1, 2)
	})
	t.Run("one that cannot be used replaces it too", func(t *testing.T) {
		f := newTestFollower()
		f.refuses[2] = true
		f.renew(start, one, nil)
		f.renew(start, two.WithoutSource(), wholePart(two))
		checkState(t, f, start.Add(testLease), Replaced)
		if _, ok := f.next(start.Add(testLease)); ok {
			t.Error("the plan that cannot be used is fetched again")
		}
		f.renew(start.Add(testLease), three.WithoutSource(), wholePart(three))
		checkState(t, f, start.Add(testLease), InForce)
		checkAdopted(t, f, 1, 3)
	})
}

func TestPlansThatArrive(t *testing.T) {
	for name, c := range map[string]struct {
		arrive func(f *testFollower) error
		want   []uint64
		err    bool
	}{
		"the whole plan":           {func(f *testFollower) error { return f.arrive(start, wholePart(two)) }, []uint64{1, 2}, false},
		"the difference":           {func(f *testFollower) error { return f.arrive(start, deltaPart(one, two)) }, []uint64{1, 2}, false},
		"a newer plan than wanted": {func(f *testFollower) error { return f.arrive(start, wholePart(three)) }, []uint64{1, 3}, false},
		"the plan that the VM has": {func(f *testFollower) error { return f.arrive(start, wholePart(one)) }, []uint64{1}, true},
		"the difference from a plan that the VM has not": {func(f *testFollower) error {
			return f.arrive(start, deltaPart(three, two))
		}, []uint64{1}, true},
		"parts": {func(f *testFollower) error {
			p := wholePart(two)
			return errors.Join(f.arrive(start, cut(p, 0, 3)), f.arrive(start, cut(p, 3, 4)), f.arrive(start, cut(p, 4, int(p.GetSize()))))
		}, []uint64{1, 2}, false},
		"a part that does not follow": {func(f *testFollower) error {
			p := wholePart(two)
			return errors.Join(f.arrive(start, cut(p, 0, 3)), f.arrive(start, cut(p, 5, 6)))
		}, []uint64{1}, true},
		"parts beside a newer plan that a renewal tells of": {func(f *testFollower) error {
			p := wholePart(two)
			err := f.arrive(start, cut(p, 0, 3))
			f.renew(start, three.WithoutSource(), nil)
			return errors.Join(err, f.arrive(start, cut(p, 3, int(p.GetSize()))))
		}, []uint64{1, 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower()
			f.renew(start, one, nil)
			f.renew(start, two.WithoutSource(), nil)
			if err := c.arrive(f); (err != nil) != c.err {
				t.Errorf("error %v, want one: %v", err, c.err)
			}
			checkAdopted(t, f, c.want...)
		})
	}
}

// Guards against a VM that asks for the difference again and again although it leads elsewhere.
func TestDifferenceThatDoesNotFit(t *testing.T) {
	f := newTestFollower()
	f.renew(start, one, nil)
	f.renew(start, two.WithoutSource(), nil)
	if err := f.arrive(start, deltaPart(three, two)); err == nil {
		t.Error("no error for the difference from another plan")
	}
	r, ok := f.next(start)
	if diff := cmp.Diff(uint64(0), r.GetBase()); diff != "" || !ok {
		t.Errorf("base of the next request (-want +got):\n%s", diff)
	}
}

// Guards against parts that are too large for the link to carry in time.
func TestPace(t *testing.T) {
	p := newPace()
	for i, c := range []struct {
		took time.Duration
		want int
	}{
		{fastPart - 1, 2 * startPartBytes}, {fastPart, 2 * startPartBytes}, {slowPart + 1, startPartBytes}, {0, startPartBytes / lateDivisor},
	} {
		if c.took == 0 {
			p.late()
		} else {
			p.arrived(c.took)
		}
		if diff := cmp.Diff(c.want, p.bytes); diff != "" {
			t.Errorf("bytes after part %d (-want +got):\n%s", i, diff)
		}
	}
	for range 10 {
		p.late()
	}
	if diff := cmp.Diff(minPartBytes, p.bytes); diff != "" {
		t.Errorf("least bytes (-want +got):\n%s", diff)
	}
}

// Guards against a fleet that asks its leader alone for the plan when all VMs start, and against a VM that
// asks a voter for a difference that only the leader knows.
func TestSourceOfThePlan(t *testing.T) {
	voters := []string{"a", "b", "c"}
	first := func(int) int { return 0 }
	for name, c := range map[string]struct {
		voters   []string
		leader   string
		hasPlan  bool
		failures int
		want     string
	}{
		"a VM with a plan":                {voters, "a", true, 0, "a"},
		"after the leader failed":         {voters, "a", true, 2, "b"},
		"a VM without a plan":             {voters, "a", false, 0, "b"},
		"after another voter failed":      {voters, "a", false, 1, "a"},
		"no leader":                       {voters, "", true, 1, "a"},
		"the leader is the only voter":    {voters[:1], "a", false, 0, "a"},
		"the leader is none of voters":    {voters[:1], "d", false, 1, "d"},
		"after the only voter has failed": {voters[:1], "a", true, 2, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, source(c.voters, c.leader, c.hasPlan, c.failures, first)); diff != "" {
				t.Errorf("voter (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a VM that refuses the plan in force for ever, because voters of an earlier build announce it with the
// checksum of another plan that was published with its version and did not take effect.
func TestPlanWithTheChecksumOfAnother(t *testing.T) {
	other := mpview.Routing{Version: two.Version, Source: []byte(`"other"`)}
	announcedAs := func(part *mpwire.PlanPart, plan mpview.Routing) *mpwire.PlanPart {
		part.Sum = plan.Checksum()
		return part
	}
	for name, c := range map[string]struct {
		part *mpwire.PlanPart
		want []uint64
		err  error
	}{
		"the whole plan, announced as the other":     {announcedAs(wholePart(two), other), []uint64{1, 2}, nil},
		"the difference, announced as the other":     {announcedAs(deltaPart(one, two), other), []uint64{1, 2}, nil},
		"the other plan, announced as itself":        {wholePart(other), []uint64{1}, errMismatch},
		"the other plan, announced as that in force": {announcedAs(wholePart(other), two), []uint64{1}, errMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower()
			f.renew(start, one, nil)
			f.renew(start, two.WithoutSource(), nil)
			if err := f.arrive(start, c.part); !errors.Is(err, c.err) {
				t.Errorf("error %v, want %v", err, c.err)
			}
			checkAdopted(t, f, c.want...)
		})
	}
}

// Guards against a VM that keeps a plan because it has the version of the plan in force, or lacks one although it has
// the content.
func TestContentDecidesBesideTheVersion(t *testing.T) {
	t.Run("other content with the version in force", func(t *testing.T) {
		f := newTestFollower()
		f.renew(start, one, nil)
		other := mpview.Routing{Version: one.Version, Source: []byte(`"other"`)}
		f.renew(start, other.WithoutSource(), nil)
		checkState(t, f, start.Add(testLease), Replaced)
		if err := f.arrive(start.Add(testLease), wholePart(other)); err != nil {
			t.Fatal(err)
		}
		checkAdopted(t, f, 1, 1)
		if diff := cmp.Diff(other.Checksum(), f.Sum()); diff != "" {
			t.Errorf("checksum (-want +got):\n%s", diff)
		}
	})
	t.Run("the content of the VM with a higher version", func(t *testing.T) {
		f := newTestFollower()
		f.renew(start, one, nil)
		f.renew(start, mpview.Routing{Version: 3, Source: one.Source}.WithoutSource(), nil)
		checkState(t, f, start.Add(testLease-1), InForce)
		checkAdopted(t, f, 1, 3)
		if _, ok := f.next(start); ok {
			t.Error("the plan is fetched again")
		}
	})
}

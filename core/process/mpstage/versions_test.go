package mpstage

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/request/mpbatch"
	"mustardpost.org/core/request/mpnotice"
	"mustardpost.org/core/request/mpversion"
	"mustardpost.org/core/version/mplist"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mproute"
)

// versionClient runs calls and records them by the version of their upstream.
type versionClient struct {
	*fakeClient
	// failing is a version whose calls all fail. factor multiplies the duration of the target's.
	failing string
	factor  int

	mu            sync.Mutex
	calls, pieces map[string]int
	// atTarget counts the calls to the target that contained a piece.
	atTarget map[string]int
}

func (c *versionClient) Run(ctx context.Context, now time.Time, call mpbatch.Call) mpbatch.Outcome {
	version := call.Upstream.Version
	c.mu.Lock()
	c.calls[version]++
	c.pieces[version] += len(call.Items)
	for _, it := range call.Items {
		if version == "v2" {
			c.atTarget[fmt.Sprint(it.Request, "/", it.Number)]++
		}
	}
	c.mu.Unlock()
	if version == c.failing {
		return mpbatch.Outcome{Status: mpbatch.Failed, Err: errors.New("connection reset")}
	}
	took := rollingBatch.CallDuration(len(call.Items))
	if version == "v2" {
		took *= time.Duration(c.factor)
	}
	<-time.After(took)
	call.Expected = 0
	return c.fakeClient.Run(ctx, now, call)
}

// rollingBatch describes the pool of a rollingOwner.
var rollingBatch = mproute.BatchSpec{MaxPieces: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultRetention: 4 * time.Second}

// rollingOwner is an owner of a pool with a roll-out from v1 to v2, with two upstreams of each.
type rollingOwner struct {
	*Owner
	client   *versionClient
	row      mprollout.Rollout
	hasLease bool
}

func newRollingOwner(ctx context.Context, t *testing.T, share float64) *rollingOwner {
	t.Helper()
	table, err := mproute.New(mproute.Spec{Version: 1, Pools: []mproute.PoolSpec{{Name: "first", MaxConns: 9, Batch: &rollingBatch}}})
	if err != nil {
		t.Fatal(err)
	}
	list := mplist.New(time.Now(), []mplist.Row{
		{ID: "u0", Pool: "first", Address: "u0", DC: "a", Version: "v1"}, {ID: "u1", Pool: "first", Address: "u1", DC: "a", Version: "v1"},
		{ID: "u2", Pool: "first", Address: "u2", DC: "a", Version: "v2"}, {ID: "u3", Pool: "first", Address: "u3", DC: "a", Version: "v2"},
	})
	r := &rollingOwner{hasLease: true, client: &versionClient{
		fakeClient: &fakeClient{freed: map[string]bool{}}, factor: 1, calls: map[string]int{}, pieces: map[string]int{}, atTarget: map[string]int{},
	}}
	r.row = mprollout.Rollout{
		Pool: "first", Target: "v2", Base: []string{"v1"}, ID: "1", StartedMs: 1, DeadlineMs: 2, State: mprollout.StateRunning, Phase: mprollout.PhaseTrial, Share: share,
	}
	versions := mpversion.New(mpversion.Config{
		HasLease: func(time.Time) bool { return r.hasLease }, Random: func() float64 { return 0.5 }, Metrics: mpmetric.New(), Logger: log.NewNopLogger(),
	})
	versions.SetList(time.Now(), list)
	versions.SetRollouts([]mprollout.Rollout{r.row})
	r.Owner = NewOwner(ctx, OwnerConfig{
		Client: r.client, Quotas: noQuotas{}, Notices: mpnotice.New(), Versions: versions, Metrics: mpmetric.New(), Logger: log.NewNopLogger(), Clock: time.Now,
	})
	r.Update(table, list.Usable(func(string) bool { return false }))
	return r
}

// play makes the pieces of jobs, a few at a time, and returns how many jobs failed.
func (r *rollingOwner) play(ctx context.Context, jobs int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range jobs {
		<-time.After(120 * time.Millisecond)
		wg.Go(func() {
			now := time.Now()
			_, err := r.Make(ctx, whole("first"), mpbatch.JobSpec{
				Request: fmt.Sprint("r", i), Count: 1 + i%8, Key: "k", SoftDeadline: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second),
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
		})
	}
	wg.Wait()
	return failed
}

func (r *rollingOwner) checkShare(t *testing.T, least, most float64) {
	t.Helper()
	for unit, n := range map[string]map[string]int{"calls": r.client.calls, "pieces": r.client.pieces} {
		if got := float64(n["v2"]) / float64(n["v1"]+n["v2"]); got < least || got > most {
			t.Errorf("%.3f of the %s went to the target, want %v to %v: %v", got, unit, least, most, n)
		}
	}
}

// Guards against an owner that sends the target of a roll-out more than its share, none of it, or
// anything without a lease.
func TestOwnerKeepsTheShare(t *testing.T) {
	for name, c := range map[string]struct {
		arrange     func(r *rollingOwner)
		least, most float64
	}{
		"trial":               {func(*rollingOwner) {}, 0.04, 0.11},
		"trial, target fails": {func(r *rollingOwner) { r.client.failing = "v2" }, 0.01, 0.11},
		"trial, no lease":     {func(r *rollingOwner) { r.hasLease = false }, 0, 0},
		"shift":               {(*rollingOwner).shift, 1, 1},
		"shift, no lease":     {func(r *rollingOwner) { r.shift(); r.hasLease = false }, 0, 0},
		"shift, target fails": {func(r *rollingOwner) { r.shift(); r.client.failing = "v2" }, 0.01, 0.8},
		"complete":            {func(r *rollingOwner) { r.end(mprollout.StateComplete) }, 1, 1},
		"reverted":            {func(r *rollingOwner) { r.end(mprollout.StateReverted) }, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := newRollingOwner(ctx, t, 0.1)
				c.arrange(r)
				failed := r.play(ctx, 200)
				r.checkShare(t, c.least, c.most)
				if failed > 0 {
					t.Errorf("%d jobs failed", failed)
				}
				for piece, n := range r.client.atTarget {
					if strings.HasPrefix(name, "trial") && n > 1 {
						t.Errorf("piece %s was sent to the target %d times", piece, n)
					}
				}
			})
		})
	}
}

func (r *rollingOwner) shift() {
	r.row.Phase, r.row.Share, r.row.ShiftedMs = mprollout.PhaseShift, 1, 1
	r.cfg.Versions.SetRollouts([]mprollout.Rollout{r.row})
}

func (r *rollingOwner) end(s mprollout.State) {
	r.row.State, r.row.EndedMs = s, 2
	r.cfg.Versions.SetRollouts([]mprollout.Rollout{r.row})
}

// Guards against calls whose failures or durations are no evidence, and against durations that
// differ since the calls to the target have fewer pieces.
func TestOutcomesOfCalls(t *testing.T) {
	for name, c := range map[string]struct {
		failing string
		factor  int
		// distance is how many buckets lie between the latencies of the versions.
		failures uint32
		distance int
	}{
		"equal versions": {"", 1, 0, 0}, "slow target": {"", 4, 0, 4}, "failing target": {"v2", 1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := newRollingOwner(ctx, t, 0.1)
				r.client.failing, r.client.factor = c.failing, c.factor
				r.play(ctx, 100)
				<-time.After(5 * time.Second)
				counts, _ := r.cfg.Versions.Report(time.Now())
				buckets := map[string]int{}
				for _, row := range counts {
					if row.Version == "" {
						continue
					}
					want := mprollout.Counts{
						ID: "1", Pool: "first", Version: row.Version, Serial: 1, Phase: mprollout.PhaseTrial, Answers: uint32(r.client.calls[row.Version]), Latency: row.Latency,
					}
					if row.Version == c.failing {
						want.Failures, want.Lost = want.Answers, want.Answers
					}
					if diff := cmp.Diff(want, row); diff != "" {
						t.Errorf("counts of %s (-want +got):\n%s", row.Version, diff)
					}
					for i, n := range row.Latency {
						if n > row.Latency[buckets[row.Version]] {
							buckets[row.Version] = i
						}
					}
				}
				if got := buckets["v2"] - buckets["v1"]; c.failing == "" && got != c.distance {
					t.Errorf("the target's usual latency is %d buckets above the other one's, want %d", got, c.distance)
				}
			})
		})
	}
}

// Guards against jobs at the owner of a shard that may send them nowhere.
func TestJobsGoWhereCallsGo(t *testing.T) {
	rows := []mplist.Row{{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}, {ID: "c", Version: "v2"}}
	r := newRollingOwner(t.Context(), t, 0.1)
	check := func(when string, want ...string) {
		t.Helper()
		var got []string
		for _, row := range r.cfg.Versions.ForStages(time.Now(), "first", rows) {
			got = append(got, row.ID)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
	}
	check("trial", "a")
	rows = rows[1:]
	check("trial, only the target is left", "b", "c")
	rows = append(rows, mplist.Row{ID: "a", Version: "v1"})
	r.shift()
	check("shift", "b", "c")
	rows = rows[2:]
	check("shift, no upstream of the target", "a")
	r.end(mprollout.StateReverted)
	rows = append(rows, mplist.Row{ID: "b", Version: "v2"})
	check("reverted", "a")
}

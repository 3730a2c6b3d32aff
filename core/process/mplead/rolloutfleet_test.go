package mplead

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/process/mpreplica"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpstate"
	"mustardpost.org/core/version/mpview"
)

const (
	rolloutVoters = 3
	rolloutVMs    = 4
	// requestInterval is the time between two requests at one VM, and answerTime that of an answer.
	requestInterval = 60 * time.Millisecond
	answerTime      = 40 * time.Millisecond
	// electionTime is the time from the loss of a leader to the next one, and leaderLease that for
	// which a leader that is cut off takes itself for the leader.
	electionTime = time.Second
	leaderLease  = 400 * time.Millisecond
	// trialTime is when the leader is lost in the trial.
	trialTime       = 2 * time.Second
	rolloutDuration = 20 * time.Second
	// badShare is the part of its answers that a bad target fails.
	badShare = 0.3
)

// loss is what happens to a leader.
type loss string

const (
	// killed leaders stop for good.
	killed loss = "killed"
	// cutOff leaders go on without the others for a while, and come back as followers.
	cutOff loss = "cut off"
	// replaced leaders hand over at once and go on as followers.
	replaced loss = "replaced"
)

// moment is when a leader is lost.
type moment string

const (
	atOrder moment = "order"
	inTrial moment = "trial"
	atShift moment = "shift"
	atEnd   moment = "end"
)

// rolloutPlay is a roll-out during which one leader is lost.
type rolloutPlay struct {
	isBad bool
	loss  loss
	at    moment
	// kept is set if the command that the leader proposes at that moment is committed, though the
	// leader does not learn of it.
	kept bool
}

// rolloutFleet runs voters that share a log, and VMs that serve requests of a pool.
type rolloutFleet struct {
	rolloutPlay
	t      *testing.T
	voters []*logVoter

	mu sync.Mutex
	// leading is the index of the leader, or -1.
	leading int
	isLost  bool
	// requests and exposed count those to the pool and those to the target.
	requests, exposed int
}

// logVoter is one voter.
type logVoter struct {
	fleet   *rolloutFleet
	index   int
	machine *mpstate.Machine
	leader  *Leader
	stop    context.CancelFunc
	// hasLease is guarded by the fleet's mutex.
	hasLease bool
}

var _ Replica = (*logVoter)(nil)

func (v *logVoter) HasLease() bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.hasLease
}

func (*logVoter) Status() mpreplica.Status { return mpreplica.Status{} }

func (*logVoter) LeaderInfo() mpquorum.MemberInfo { return mpquorum.MemberInfo{} }

// Propose commits a command at all voters if this one leads. The outcome is unknown if the leader is
// lost at that moment.
func (v *logVoter) Propose(_ context.Context, command []byte) ([]byte, error) {
	<-time.After(commitTime)
	f := v.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.leading != v.index && v.hasLease:
		return nil, mperror.ErrOutcomeUnknown
	case f.leading != v.index:
		return nil, mperror.ErrNotLeader
	case f.isLost || f.momentOf(command) != f.at:
		return f.commit(v, command), nil
	}
	if f.kept {
		f.commit(v, command)
	}
	f.lose()
	return nil, mperror.ErrOutcomeUnknown
}

// momentOf returns which step of a roll-out a command takes, or "" if none.
func (f *rolloutFleet) momentOf(command []byte) moment {
	_, c, err := mpstate.Decode(command)
	if err != nil {
		f.t.Error(err)
	}
	switch c := c.(type) {
	case mpstate.RolloutOrder:
		return atOrder
	case mpstate.Change:
		if roll, ok := c.Change.Op.(mpview.Roll); ok && !roll.Rollout.Running() {
			return atEnd
		} else if ok && roll.Rollout.Phase == mprollout.PhaseShift {
			return atShift
		}
	}
	return ""
}

// commit applies a command at all voters and returns the result. The caller holds f.mu.
func (f *rolloutFleet) commit(at *logVoter, command []byte) []byte {
	var result []byte
	for _, v := range f.voters {
		if r := v.machine.Apply(0, command); v == at {
			result = r
		}
	}
	return result
}

// lose loses the leader. The caller holds f.mu.
func (f *rolloutFleet) lose() {
	old, next := f.voters[f.leading], f.voters[(f.leading+1)%rolloutVoters]
	f.isLost, f.leading = true, -1
	follow := func() {
		f.mu.Lock()
		old.hasLease = false
		f.mu.Unlock()
		old.leader.OnLeadershipChange(time.Now(), false)
	}
	switch f.loss {
	case killed:
		old.hasLease = false
		old.stop()
		time.AfterFunc(electionTime, func() { f.elect(next) })
	case cutOff:
		time.AfterFunc(leaderLease, follow)
		time.AfterFunc(electionTime, func() { f.elect(next) })
	case replaced:
		old.hasLease = false
		time.AfterFunc(0, func() {
			follow()
			f.elect(next)
		})
	}
}

func (f *rolloutFleet) elect(v *logVoter) {
	v.leader.OnLeadershipChange(time.Now(), true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading, v.hasLease = v.index, true
}

// leader returns the leader, or nil.
func (f *rolloutFleet) leader() *Leader {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading < 0 {
		return nil
	}
	return f.voters[f.leading].leader
}

func (f *rolloutFleet) count(target bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if target {
		f.exposed++
	}
}

func newRolloutFleet(ctx context.Context, t *testing.T, p rolloutPlay) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{rolloutPlay: p, t: t}
	list := newTestList()
	for i := range list.rows {
		list.rows[i].Leaving, list.rows[i].ColdMs = false, 0
	}
	for i := range rolloutVoters {
		v := &logVoter{fleet: f, index: i, machine: mpstate.New()}
		v.leader = New(Config{
			Replica: v, StateMachine: v.machine, Logger: log.NewNopLogger(), LeaseDuration: fleetLease, Upstreams: list, Rollouts: testRollouts,
		})
		f.voters = append(f.voters, v)
	}
	f.elect(f.voters[0])
	for _, v := range f.voters {
		running, stop := context.WithCancel(ctx)
		v.stop = stop
		go v.leader.Run(running)
	}
	for i := range rolloutVMs {
		vm := &rolloutVM{
			fleet: f, name: fmt.Sprint("vm", i), random: rand.New(rand.NewPCG(7, uint64(i))), exposure: mprollout.NewExposure(uint64(i)),
			view: mpview.Empty(), recorders: map[string]*mprollout.Recorder{},
		}
		go vm.renew(ctx)
		go vm.report(ctx)
		go vm.serve(ctx)
	}
	return f
}

// rolloutVM is a VM that serves the pool as its view says.
type rolloutVM struct {
	fleet    *rolloutFleet
	name     string
	random   *rand.Rand
	exposure *mprollout.Exposure

	mu         sync.Mutex
	view       *mpview.View
	leaseUntil time.Time
	recorders  map[string]*mprollout.Recorder
}

// rollout returns the roll-out that the VM knows, its recorder if it runs, and whether the VM has a lease.
func (vm *rolloutVM) rollout() (mprollout.Rollout, *mprollout.Recorder, bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	r, _ := vm.view.Rollout("p")
	if !r.Running() {
		return r, nil, true
	}
	if vm.recorders[r.ID] == nil {
		vm.recorders[r.ID] = mprollout.NewRecorder(r)
	}
	vm.recorders[r.ID].SetPhase(r.Phase)
	return r, vm.recorders[r.ID], time.Now().Before(vm.leaseUntil)
}

func (vm *rolloutVM) renew(ctx context.Context) {
	for ; ctx.Err() == nil; <-time.After(renewPause) {
		l := vm.fleet.leader()
		if l == nil {
			continue
		}
		vm.mu.Lock()
		r := &mpwire.RenewRequest{Vm: vm.name, Boot: 1, Address: vm.name, Peer: vm.name, Holds: true, Revision: vm.view.Revision(), Listed: l.upstreamListHash()}
		vm.mu.Unlock()
		sent := time.Now()
		reply, err := l.Renew(ctx, r)
		if err != nil || reply.GetLeaseMs() == 0 {
			continue
		}
		vm.mu.Lock()
		vm.adopt(reply)
		vm.leaseUntil = sent.Add(time.Duration(reply.GetHeldMs()+reply.GetLeaseMs()) * time.Millisecond)
		vm.mu.Unlock()
	}
}

func (l *Leader) upstreamListHash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.upstreamList.Hash()
}

// adopt applies the changes of a renewal. The caller holds vm.mu.
func (vm *rolloutVM) adopt(reply *mpwire.RenewReply) {
	if len(reply.GetView()) > 0 {
		vm.view = mpview.Empty()
		if err := json.Unmarshal(reply.GetView(), vm.view); err != nil {
			vm.fleet.t.Error(err)
		}
	}
	for _, data := range reply.GetChanges() {
		var c mpview.Change
		err := json.Unmarshal(data, &c)
		if err == nil {
			vm.view, err = vm.view.ApplyUnchecked(c.Op)
		}
		if err != nil {
			vm.fleet.t.Error(err)
			return
		}
	}
}

func (vm *rolloutVM) report(ctx context.Context) {
	for ; ctx.Err() == nil; <-time.After(ReportInterval) {
		_, recorder, hasLease := vm.rollout()
		if l := vm.fleet.leader(); l != nil && recorder != nil && hasLease {
			l.Report(time.Now(), &mpwire.ReportRequest{Vm: vm.name, Boot: 1, Counts: mpwire.EncodeCounts(recorder.Report(time.Now()))})
		}
	}
}

func (vm *rolloutVM) serve(ctx context.Context) {
	for ; ctx.Err() == nil; <-time.After(requestInterval) {
		r, recorder, hasLease := vm.rollout()
		isTarget := r.State == mprollout.StateComplete || r.Running() && hasLease && vm.exposure.Admit(r.Share)
		vm.fleet.count(isTarget)
		if recorder == nil {
			continue
		}
		version := "v1"
		if isTarget {
			version = r.Target
		}
		a := recorder.Begin(time.Now(), version, "route", false)
		var outcome mprollout.Outcome = mprollout.Answered{Latency: answerTime}
		if isTarget && vm.fleet.isBad && vm.random.Float64() < badShare {
			outcome = mprollout.Failed{}
		}
		time.AfterFunc(answerTime, func() {
			a.Record(outcome)
			a.End()
		})
	}
}

// order sends an order until it is acknowledged, each time as another VM would do.
func (f *rolloutFleet) order(ctx context.Context) {
	for i, start := 0, time.Now(); time.Since(start) < testRollouts.AckTime; i++ {
		if l := f.leader(); l != nil {
			sent, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			r, err := l.Propose(sent, newTestOrder(fmt.Sprint("order", i), "v2"))
			cancel()
			if err == nil && r.Err() == nil {
				return
			}
		}
		<-time.After(100 * time.Millisecond)
	}
	f.t.Error("the order was not acknowledged in time")
}

// check fails unless there was one roll-out, which ended in time as it should.
func (f *rolloutFleet) check() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isLost {
		f.t.Error("no leader was lost")
	}
	want := mprollout.StateComplete
	if f.isBad {
		want = mprollout.StateReverted
	}
	var last mprollout.Rollout
	ids := map[string]bool{}
	for _, record := range f.voters[1].machine.Audit(0, 1000) {
		if roll, ok := record.Change.Op.(mpview.Roll); ok {
			last = roll.Rollout
			ids[last.ID] = true
		}
	}
	if last.State != want || last.EndedMs > last.DeadlineMs || len(ids) != 1 {
		f.t.Errorf("%d roll-outs, the last %+v; want one that is %s by the deadline", len(ids), last, want)
	}
	for _, v := range f.voters {
		r, _ := v.machine.View().Rollout("p")
		if diff := cmp.Diff(last, r); diff != "" {
			f.t.Errorf("voter %d (-audit +view):\n%s", v.index, diff)
		}
	}
	f.t.Logf("%s after %d ms: %s; %d of %d requests to the target", last.State, last.EndedMs-last.StartedMs, last.Reason, f.exposed, f.requests)
	most := testRollouts.ExposeShare*float64(f.requests) + float64(testRollouts.ExposeSlack)
	if f.isBad && float64(f.exposed) > most {
		f.t.Errorf("the bad target got %d of %d requests, want at most %.0f", f.exposed, f.requests, most)
	}
}

func (p rolloutPlay) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newRolloutFleet(ctx, t, p)
		<-time.After(2 * time.Second)
		f.mu.Lock()
		f.requests, f.exposed = 0, 0
		f.mu.Unlock()
		if p.at == inTrial {
			time.AfterFunc(trialTime, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.lose()
			})
		}
		start := time.Now()
		f.order(ctx)
		<-time.After(time.Until(start.Add(rolloutDuration)))
		f.check()
		cancel()
		<-time.After(2 * time.Second) // All goroutines have ended.
	})
}

// Guards against roll-outs that start twice, go backwards, expose too much, or do not end as they should,
// since the leader was lost at one of their steps.
func TestRolloutOutlivesItsLeader(t *testing.T) {
	for _, isBad := range []bool{false, true} {
		for _, l := range []loss{killed, cutOff, replaced} {
			for _, at := range []moment{atOrder, inTrial, atShift, atEnd} {
				for _, kept := range []bool{false, true} {
					if at == inTrial && kept || at == atShift && isBad {
						continue // No command is proposed at that moment.
					}
					p := rolloutPlay{isBad: isBad, loss: l, at: at, kept: kept}
					t.Run(fmt.Sprintf("bad %t, leader %s at %s, committed %t", isBad, l, at, kept), p.run)
				}
			}
		}
	}
}

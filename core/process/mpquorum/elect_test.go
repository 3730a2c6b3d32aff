package mpquorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Models a small production deployment: five voters in four data centres that are
// 3.4 ms apart, with disks that take 5 ms to sync. Each message is delayed by
// simLinkDelay to twice simLinkDelay, several times the network delay.
const (
	simVoters            = 5
	simElectionTimeout   = 500 * time.Millisecond
	simHeartbeatInterval = 100 * time.Millisecond
	simTickInterval      = 25 * time.Millisecond
	simSyncTime          = 5 * time.Millisecond
	simLinkDelay         = 20 * time.Millisecond
	// simStartWindow is the period over which processes start after power returns.
	simStartWindow = 450 * time.Millisecond
)

// delayedMessage is a message in flight.
type delayedMessage struct {
	deliverAt time.Time
	envelope  Envelope
}

// simulateElection simulates voters that start at about the same time after a power
// loss, until one is the leader. The first ahead voters have one more entry than the
// others. It returns the time from the last start to the election.
func simulateElection(t *testing.T, seed uint64, ahead int) time.Duration {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(1000, 0)
	var m Membership
	starts := make([]time.Time, simVoters)
	for i := range simVoters {
		m.Seats = append(m.Seats, MemberInfo{Member: MemberID(i + 1), VM: fmt.Sprint("vm", i), Voter: true})
		starts[i] = start.Add(time.Duration(r.Int64N(int64(simStartWindow))))
	}
	lastStart := slices.MaxFunc(starts, time.Time.Compare)
	nodes := make([]*Node, simVoters)
	nextTick := make([]time.Time, simVoters)
	busyUntil := make([]time.Time, simVoters)
	var inFlight []delayedMessage
	for now := start; now.Before(lastStart.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for i := range nodes {
			if nodes[i] == nil && !now.Before(starts[i]) {
				var entries []Entry
				if i < ahead {
					entries = []Entry{{Index: 2, Term: 3}}
				}
				n, err := New(Config{
					Self: MemberID(i + 1), ElectionTimeout: simElectionTimeout, HeartbeatInterval: simHeartbeatInterval, Rand: r, Now: now,
					HardState: HardState{Term: 3}, Snapshot: Snapshot{Index: 1, Term: 1, Members: m}, Entries: entries,
				})
				if err != nil {
					t.Fatal(err)
				}
				nodes[i], nextTick[i] = n, now
			}
			if nodes[i] == nil || now.Before(busyUntil[i]) {
				continue
			}
			var events []Event
			inFlight = slices.DeleteFunc(inFlight, func(p delayedMessage) bool {
				due := int(p.envelope.To) == i+1 && !now.Before(p.deliverAt)
				if due {
					events = append(events, Receive{p.envelope})
				}
				return due
			})
			if !now.Before(nextTick[i]) {
				nextTick[i] = now.Add(simTickInterval)
				events = append(events, Tick{})
			}
			for _, e := range events {
				acts, err := nodes[i].Step(now, e)
				if err != nil {
					t.Fatal(err)
				}
				sent := now
				if acts.HardState != nil || len(acts.Entries) > 0 {
					busyUntil[i] = now.Add(simSyncTime)
					sent = busyUntil[i]
				}
				for _, e := range acts.Messages {
					if nodes[e.To-1] == nil {
						continue
					}
					inFlight = append(inFlight, delayedMessage{sent.Add(simLinkDelay + time.Duration(r.Int64N(int64(simLinkDelay)))), e})
				}
			}
			if nodes[i].IsLeader() && !now.Before(lastStart) {
				return now.Sub(lastStart)
			}
		}
	}
	t.Fatalf("seed %d: no leader within 20 s", seed)
	return 0
}

// TestElectionAfterPowerLoss guards against slow elections when all voters lose power
// right after a commit. Only a quorum has the last entry, so two of five voters cannot
// win, and their attempts must not delay the others. When a refused pre-vote carried
// the requested term, members adopted it one after another, and elections took up to
// ten seconds.
func TestElectionAfterPowerLoss(t *testing.T) {
	const (
		seeds = 1000
		// A voter is silent for one election timeout and retries within another. One
		// vote in a hundred may be split.
		maxP99  = 2 * simElectionTimeout
		maxTime = 4 * simElectionTimeout
	)
	for name, ahead := range map[string]int{"equal logs": simVoters, "a quorum has one more entry": simVoters/2 + 1} {
		t.Run(name, func(t *testing.T) {
			var durations []time.Duration
			for seed := range uint64(seeds) {
				durations = append(durations, simulateElection(t, seed, ahead))
			}
			slices.Sort(durations)
			if p99 := durations[seeds*99/100]; p99 > maxP99 {
				t.Errorf("99th percentile of election times is %v, want at most %v", p99, maxP99)
			}
			if longest := durations[seeds-1]; longest > maxTime {
				t.Errorf("longest election took %v, want at most %v", longest, maxTime)
			}
		})
	}
}

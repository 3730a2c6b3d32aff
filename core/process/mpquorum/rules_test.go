package mpquorum

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var testStart = time.Unix(1000, 0)

func threeVoters() Membership {
	return Membership{Seats: []MemberInfo{
		{Member: 1, VM: "vm1", Voter: true},
		{Member: 2, VM: "vm2", Voter: true},
		{Member: 3, VM: "vm3", Voter: true},
	}}
}

func newNode(t *testing.T, hard HardState, entries ...Entry) *Node {
	t.Helper()
	n, err := New(Config{
		Self: 1, ElectionTimeout: testElection, HeartbeatInterval: testElection / 5,
		Rand: rand.New(rand.NewPCG(1, 1)), Now: testStart,
		HardState: hard, Snapshot: Snapshot{Index: 1, Term: 1, Members: threeVoters()}, Entries: entries,
	})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func receive(t *testing.T, n *Node, now time.Time, e Envelope) Actions {
	t.Helper()
	e.To = 1
	acts, err := n.Step(now, Receive{Envelope: e})
	if err != nil {
		t.Fatal(err)
	}
	return acts
}

// elect makes n the leader with the vote of member 2.
func elect(t *testing.T, n *Node, now time.Time) {
	t.Helper()
	if _, err := n.Step(now, Tick{}); err != nil {
		t.Fatal(err)
	}
	receive(t, n, now, Envelope{From: 2, Term: n.Term() + 1, VoteReply: &VoteReply{PreVote: true, Granted: true}})
	receive(t, n, now, Envelope{From: 2, Term: n.Term(), VoteReply: &VoteReply{Granted: true}})
	if !n.IsLeader() {
		t.Fatal("not elected by two of three voters")
	}
}

func TestVote(t *testing.T) {
	later := testStart.Add(testElection)
	voteRequest := func(index, term uint64) Envelope {
		return Envelope{From: 2, Term: 5, VoteRequest: &VoteRequest{LastIndex: index, LastTerm: term}}
	}
	t.Run("a vote is persisted before it is sent", func(t *testing.T) {
		acts := receive(t, newNode(t, HardState{Term: 4}), later, voteRequest(1, 1))
		if diff := cmp.Diff(&HardState{Term: 5, Vote: 2}, acts.HardState); diff != "" {
			t.Errorf("persisted state (-want +got):\n%s", diff)
		}
	})
	t.Run("a persisted vote is not granted to another member", func(t *testing.T) {
		acts := receive(t, newNode(t, HardState{Term: 5, Vote: 3}), later, voteRequest(1, 1))
		if acts.Messages[0].VoteReply.Granted {
			t.Error("granted a second vote in term 5")
		}
	})
	t.Run("no vote for an older log", func(t *testing.T) {
		acts := receive(t, newNode(t, HardState{Term: 4}, Entry{Index: 2, Term: 4}), later, voteRequest(9, 3))
		if acts.Messages[0].VoteReply.Granted {
			t.Error("granted a vote to a candidate with an older log")
		}
	})
	t.Run("no vote while a leader may hold the lease", func(t *testing.T) {
		acts := receive(t, newNode(t, HardState{Term: 4}), testStart.Add(testElection/2), voteRequest(1, 1))
		if len(acts.Messages) != 0 {
			t.Errorf("sent %v within the election timeout after a restart", acts.Messages)
		}
	})
}

func TestCommitOfEarlierTerm(t *testing.T) {
	now := testStart.Add(2 * testElection)
	n := newNode(t, HardState{Term: 2}, Entry{Index: 2, Term: 2, Data: []byte("old")})
	elect(t, n, now)
	receive(t, n, now, Envelope{From: 2, Term: n.Term(), Ack: &AppendReply{Ok: true, Match: 2}})
	if n.CommitIndex() != 1 {
		t.Errorf("commit index = %d with only an entry of an earlier term on a quorum, want 1", n.CommitIndex())
	}
	receive(t, n, now, Envelope{From: 2, Term: n.Term(), Ack: &AppendReply{Ok: true, Match: 3}})
	if n.CommitIndex() != 3 {
		t.Errorf("commit index = %d with an entry of the leader's term on a quorum, want 3", n.CommitIndex())
	}
}

// TestTransferToDeadVoter guards against a leader that never ends a failed leadership
// transfer: it refused all proposals and kept the other voters from electing a leader.
func TestTransferToDeadVoter(t *testing.T) {
	now := testStart.Add(2 * testElection)
	n := newNode(t, HardState{Term: 2})
	elect(t, n, now)
	receive(t, n, now, Envelope{From: 2, Term: n.Term(), Ack: &AppendReply{Ok: true, Match: 2}})
	if _, err := n.Step(now, Transfer{}); err != nil {
		t.Fatal(err)
	}
	for range 12 {
		now = now.Add(testElection / 10)
		sent := now.Sub(testStart)
		receive(t, n, now, Envelope{From: 2, Term: n.Term(), Ack: &AppendReply{Ok: true, Match: 2, Sent: sent}})
		if _, err := n.Step(now, Tick{}); err != nil {
			t.Fatal(err)
		}
	}
	if n.IsLeader() {
		t.Error("still the leader after the leadership transfer failed")
	}
}

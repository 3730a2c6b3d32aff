package mpreplica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mustardpost.org/core/process/mpquorum"
)

// TestQuorumLossIsReported guards against a quorum that stays lost for a minute without a
// line in any log. Voters without a leader only sent pre-votes, which are not logged.
func TestQuorumLossIsReported(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	t.Run("an election is not reported", func(t *testing.T) {
		var w quorumWatch
		checkEvents(t, &w, start, 0, 2900*time.Millisecond, false, map[time.Duration]quorumEvent{})
		if e := w.update(at(2.95), true); e != quorumUnchanged {
			t.Errorf("leader found: event %d, want none", e)
		}
	})
	t.Run("a loss is reported after 3 s, every 10 s and at its end", func(t *testing.T) {
		var w quorumWatch
		checkEvents(t, &w, start, 0, 30*time.Second, false, map[time.Duration]quorumEvent{
			3 * time.Second: quorumLost, 13 * time.Second: quorumLost, 23 * time.Second: quorumLost,
		})
		if e := w.update(at(31), true); e != quorumRegained {
			t.Errorf("leader found: event %d, want %d", e, quorumRegained)
		}
		checkEvents(t, &w, start, 32*time.Second, 40*time.Second, true, map[time.Duration]quorumEvent{})
	})
	t.Run("the report names each voter", func(t *testing.T) {
		var w quorumWatch
		var m mpquorum.Membership
		for i, vm := range []string{"a", "b", "c", "d"} {
			m = m.With(mpquorum.MemberInfo{Member: mpquorum.MemberID(i + 1), VM: vm, Voter: vm != "d"})
		}
		w.record(at(1), mpquorum.Envelope{From: 2, VoteRequest: &mpquorum.VoteRequest{LastIndex: 70}})
		w.record(at(2), mpquorum.Envelope{From: 2, VoteReply: &mpquorum.VoteReply{}})
		heard, text := w.describe(at(4), m, 1)
		if heard != 2 {
			t.Errorf("heard %d voters, want 2", heard)
		}
		if diff := cmp.Diff("b (member 2): heard 2s ago, last 70; c (member 3): never heard", text); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
	})
}

// checkEvents updates w every 100 ms from one time after start to another.
func checkEvents(t *testing.T, w *quorumWatch, start time.Time, from, to time.Duration, hasLeader bool, want map[time.Duration]quorumEvent) {
	t.Helper()
	got := map[time.Duration]quorumEvent{}
	for d := from; d <= to; d += 100 * time.Millisecond {
		if e := w.update(start.Add(d), hasLeader); e != quorumUnchanged {
			got[d] = e
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

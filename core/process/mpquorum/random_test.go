package mpquorum

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpseed"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const testElection = 100 * time.Millisecond

// disk is the state that a member has persisted and synced.
type disk struct {
	hard    HardState
	snap    Snapshot
	entries []Entry
}

func (d *disk) save(a Actions) {
	if a.HardState != nil {
		d.hard = *a.HardState
	}
	if a.Snapshot != nil {
		d.snap = *a.Snapshot
		d.entries = nil
	}
	for _, e := range a.Entries {
		keep := 0
		for keep < len(d.entries) && d.entries[keep].Index < e.Index {
			keep++
		}
		d.entries = append(d.entries[:keep:keep], e)
	}
}

// host is one VM, which runs at most one member at a time. The member's disk outlives
// its process.
type host struct {
	vm      string
	id      MemberID
	disk    *disk
	node    *Node
	applied []string
	frozen  bool
}

// cluster subjects members to crashes, disk losses, network partitions, freezes and
// membership changes, and checks the invariants after every step.
type cluster struct {
	t            *rapid.T
	now          time.Time
	hosts        []*host
	inFlight     []Envelope
	blockedLinks map[[2]string]bool
	hostByMember map[MemberID]*host
	nextID       MemberID
	proposed     int
	// committed holds every entry that any member has committed, by index.
	committed        map[uint64]Entry
	acked            map[uint64]bool
	highestCommitted uint64
	leaders          map[uint64]MemberID
	elections        int
	rand             *rand.Rand
}

func newCluster(t *rapid.T, size int) *cluster {
	c := &cluster{
		t:            t,
		now:          time.Unix(1000, 0),
		blockedLinks: map[[2]string]bool{},
		hostByMember: map[MemberID]*host{},
		committed:    map[uint64]Entry{},
		acked:        map[uint64]bool{},
		leaders:      map[uint64]MemberID{},
		rand:         rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<30).Draw(t, "rand")), 1)),
	}
	var m Membership
	for i := range size {
		h := &host{vm: fmt.Sprintf("vm%d", i)}
		c.hosts = append(c.hosts, h)
		c.newMember(h)
		m.Seats = append(m.Seats, MemberInfo{Member: h.id, VM: h.vm, Address: h.vm, Voter: true})
	}
	for _, h := range c.hosts {
		h.disk.snap = Snapshot{Index: 1, Term: 1, Members: m}
		h.disk.hard = HardState{Term: 1}
		c.start(h)
	}
	c.highestCommitted = 1
	return c
}

func (c *cluster) newMember(h *host) {
	c.nextID++
	h.id = c.nextID
	h.disk = &disk{}
	c.hostByMember[h.id] = h
}

func (c *cluster) start(h *host) {
	node, err := New(Config{
		Self: h.id, ElectionTimeout: testElection, HeartbeatInterval: testElection / 5,
		Rand: c.rand, Now: c.now,
		HardState: h.disk.hard, Snapshot: h.disk.snap, Entries: h.disk.entries,
	})
	if err != nil {
		c.t.Fatalf("start %s: %v", h.vm, err)
	}
	h.node = node
	h.frozen = false
	h.applied = nil
}

// step runs one event on h. If crash is set, the process crashes before it sends or
// applies anything; persist tells whether it crashes after persisting or before.
func (c *cluster) step(h *host, e Event, crash, persist bool) error {
	if h.node == nil || h.frozen {
		return nil
	}
	acts, err := h.node.Step(c.now, e)
	for h.node.HasUnapplied() {
		batch, applyErr := h.node.Step(c.now, Apply{})
		if applyErr != nil || len(batch.Committed) == 0 || len(batch.Committed) > maxAppliedEntries {
			c.t.Fatalf("Apply returned %d entries and %v", len(batch.Committed), applyErr)
		}
		acts = acts.Merge(batch)
	}
	if !crash || persist {
		h.disk.save(acts)
	}
	if crash {
		h.node = nil
		return err
	}
	c.inFlight = append(c.inFlight, acts.Messages...)
	for _, e := range acts.Committed {
		c.recordCommitted(h, e)
	}
	if h.node.IsLeader() {
		c.recordLeader(h)
	}
	return err
}

func (c *cluster) recordCommitted(h *host, e Entry) {
	previous, ok := c.committed[e.Index]
	if ok && (previous.Term != e.Term || string(previous.Data) != string(e.Data)) {
		c.t.Fatalf("%s committed another entry at index %d: %v, previously %v", h.vm, e.Index, e, previous)
	}
	c.committed[e.Index] = e
	c.highestCommitted = max(c.highestCommitted, e.Index)
}

func (c *cluster) recordLeader(h *host) {
	term := h.node.Term()
	if other, ok := c.leaders[term]; ok && other != h.id {
		c.t.Fatalf("two leaders in term %d: %d and %d", term, other, h.id)
	}
	if _, ok := c.leaders[term]; !ok {
		c.elections++
	}
	c.leaders[term] = h.id
}

// checkLease checks that at most one member holds the leader lease and that it has
// every committed entry.
func (c *cluster) checkLease(*rapid.T) {
	holder := ""
	for _, h := range c.hosts {
		if h.node == nil || h.frozen || !h.node.HasLease(c.now) {
			continue
		}
		if holder != "" {
			c.t.Fatalf("%s and %s both hold the leader lease", holder, h.vm)
		}
		holder = h.vm
		if h.node.CommitIndex() < c.highestCommitted {
			c.t.Fatalf("%s holds the leader lease with commit index %d, want at least %d", h.vm, h.node.CommitIndex(), c.highestCommitted)
		}
	}
}

func (c *cluster) randomHost(t *rapid.T) *host {
	return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
}

func (c *cluster) leader() *host {
	for _, h := range c.hosts {
		if h.node != nil && !h.frozen && h.node.IsLeader() {
			return h
		}
	}
	return nil
}

// deliver delivers the in-flight message i, unless its link is blocked. With keep the
// message stays in flight and may be delivered again.
func (c *cluster) deliver(i int, keep bool, crash, persist bool) {
	e := c.inFlight[i]
	if !keep {
		c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
	}
	to, from := c.hostByMember[e.To], c.hostByMember[e.From]
	if to == nil || to.id != e.To || c.blockedLinks[[2]string{from.vm, to.vm}] {
		return
	}
	_ = c.step(to, Receive{Envelope: e}, crash, persist)
}

func (c *cluster) tickAll(d time.Duration) {
	c.now = c.now.Add(d)
	for _, h := range c.hosts {
		_ = c.step(h, Tick{}, false, true)
	}
}

// waitForProgress ends all faults and advances time until a command commits.
func (c *cluster) waitForProgress() {
	c.blockedLinks = map[[2]string]bool{}
	for _, h := range c.hosts {
		h.frozen = false
		if h.node == nil {
			c.start(h)
		}
	}
	want := fmt.Sprintf("last-%d", c.proposed)
	for range 4000 {
		for n := len(c.inFlight); n > 0; n-- {
			c.deliver(0, false, false, true)
		}
		c.tickAll(testElection / 10)
		if l := c.leader(); l != nil {
			_ = c.step(l, Propose{Data: [][]byte{[]byte(want)}}, false, true)
		}
		if e, ok := c.committed[c.highestCommitted]; ok && string(e.Data) == want {
			return
		}
	}
	for _, h := range c.hosts {
		c.t.Logf("%s member %d term %d commit %d last %d members %v", h.vm, h.id, h.node.Term(),
			h.node.CommitIndex(), h.node.LastIndex(), h.node.Members())
	}
	c.t.Fatalf("no command committed after all faults ended")
}

func (c *cluster) propose(t *rapid.T) {
	h := c.randomHost(t)
	if l := c.leader(); l != nil && rapid.IntRange(0, 9).Draw(t, "to leader") > 0 {
		h = l
	}
	c.proposed++
	data := []byte(fmt.Sprintf("command %d", c.proposed))
	err := c.step(h, Propose{Data: [][]byte{data}}, false, true)
	if err != nil && !errors.Is(err, mperror.ErrNotLeader) {
		t.Fatalf("propose: %v", err)
	}
}

// replaceDisk discards a disk permanently and starts a new member in its place, as
// enrolment by the leader requires. It does nothing if another member is missing.
func (c *cluster) replaceDisk(t *rapid.T) {
	l := c.leader()
	h := c.randomHost(t)
	if l == nil || h == l || !l.node.MembershipCommitted() || len(c.hosts) < 3 {
		return
	}
	m := l.node.Members()
	// With two voters and a learner, losing a voter's disk loses the second disk of
	// three, which is not recoverable (found with seed 6452).
	if len(m.Voters()) < 3 {
		return
	}
	for _, s := range m.Seats {
		if c.hostByMember[s.Member].id != s.Member {
			return
		}
	}
	c.newMember(h)
	c.start(h)
}

// enroll advances the replacement of one lost member by one step: it joins as a
// learner, its predecessors are removed, and it becomes a voter.
func (c *cluster) enroll(*rapid.T) {
	l := c.leader()
	if l == nil {
		return
	}
	m := l.node.Members()
	for _, h := range c.hosts {
		have, ok := m.find(h.id)
		if ok && have.Voter {
			continue
		}
		member := MemberInfo{Member: h.id, VM: h.vm, Address: h.vm}
		next := m.With(member)
		if ok {
			if !l.node.CaughtUp(h.id, 0) {
				return
			}
			member.Voter = true
			next = m.With(member)
			for _, s := range m.Seats {
				if s.VM == h.vm && s.Member != h.id {
					next = m.Without(s.Member)
				}
			}
		}
		err := c.step(l, Reconfigure{Members: next}, false, true)
		if err != nil && !errors.Is(err, mperror.ErrConflict) && !errors.Is(err, mperror.ErrNotLeader) {
			c.t.Fatalf("reconfigure: %v", err)
		}
		return
	}
}

func (c *cluster) compact(t *rapid.T) {
	h := c.randomHost(t)
	if h.node == nil || h.node.CommitIndex() <= h.node.CompactedIndex() {
		return
	}
	s := h.node.SnapshotMetadata()
	s.Data = []byte("state")
	h.disk.snap = s
	h.disk.entries = append([]Entry(nil), h.node.EntriesAfter(s.Index)...)
	h.node.Compact(s, s.Index)
}

// runWithoutFaults advances time by a few rounds in which all messages are delivered.
func (c *cluster) runWithoutFaults(*rapid.T) {
	for range 6 {
		for n := len(c.inFlight); n > 0; n-- {
			c.deliver(0, false, false, true)
		}
		c.tickAll(testElection / 8)
		c.checkLease(nil)
	}
}

func (c *cluster) actions() map[string]func(*rapid.T) {
	randomMessage := func(t *rapid.T) int { return rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message") }
	deliver := func(*rapid.T) {
		for range 8 {
			if len(c.inFlight) > 0 {
				c.deliver(0, false, false, true)
			}
		}
	}
	return map[string]func(*rapid.T){
		"":         c.checkLease,
		"deliver":  deliver,
		"deliver2": deliver,
		"tick":     func(t *rapid.T) { c.tickAll(time.Duration(rapid.IntRange(1, 40).Draw(t, "ms")) * time.Millisecond) },
		"calm":     c.runWithoutFaults,
		"calm2":    c.runWithoutFaults,
		"reorder": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				c.deliver(randomMessage(t), false, false, true)
			}
		},
		"duplicate": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				c.deliver(randomMessage(t), true, false, true)
			}
		},
		"lose": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				i := randomMessage(t)
				c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
			}
		},
		"kill": func(t *rapid.T) {
			h := c.randomHost(t)
			_ = c.step(h, Tick{}, true, rapid.Bool().Draw(t, "persists"))
		},
		"kill during a write": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				c.deliver(randomMessage(t), false, true, rapid.Bool().Draw(t, "persists"))
			}
		},
		"start": func(t *rapid.T) {
			if h := c.randomHost(t); h.node == nil {
				c.start(h)
			}
		},
		"freeze": func(t *rapid.T) { c.randomHost(t).frozen = true },
		"thaw":   func(t *rapid.T) { c.randomHost(t).frozen = false },
		"cut": func(t *rapid.T) {
			a, b := c.randomHost(t), c.randomHost(t)
			c.blockedLinks[[2]string{a.vm, b.vm}] = true
			if rapid.Bool().Draw(t, "both ways") {
				c.blockedLinks[[2]string{b.vm, a.vm}] = true
			}
		},
		"heal":    func(*rapid.T) { c.blockedLinks = map[[2]string]bool{} },
		"propose": c.propose,
		"lose disk": func(t *rapid.T) {
			if rapid.IntRange(0, 4).Draw(t, "rare") == 0 {
				c.replaceDisk(t)
			}
		},
		"enroll":  c.enroll,
		"compact": c.compact,
		"transfer": func(*rapid.T) {
			if l := c.leader(); l != nil {
				_ = c.step(l, Transfer{}, false, true)
			}
		},
	}
}

// TestRandom checks under random faults that no committed entry is lost or changed,
// that a term has at most one leader, that at most one member holds the leader lease,
// and that commands commit again after the faults end.
func TestRandom(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%d members", size), func(t *testing.T) {
			elections, commits := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				c := newCluster(t, size)
				t.Repeat(c.actions())
				c.waitForProgress()
				elections += c.elections
				commits += int(c.highestCommitted)
			})
			t.Logf("%d elections, %d commits", elections, commits)
		})
	}
}

func TestMembershipEncoding(t *testing.T) {
	m := Membership{Seats: []MemberInfo{{Member: 7, VM: "vm1", Address: "127.0.0.1:1", Voter: true}}}
	data, err := msgpack.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	n := &Node{}
	if err := n.recordConfig(Entry{Index: 2, Kind: KindConfig, Data: data}); err != nil {
		t.Fatal(err)
	}
	if got := n.members().Voters(); len(got) != 1 || got[0] != 7 {
		t.Errorf("voters after decoding = %v, want [7]", got)
	}
}

package mpstate

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const testNowMs = int64(1_000_000_000_000)

// testingT is implemented by both *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

func apply(t testingT, m *Machine, at int64, c Command) Result {
	t.Helper()
	data, err := Encode(at, c)
	if err != nil {
		t.Fatal(err)
	}
	r, err := DecodeResult(m.Apply(0, data))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func checkCode(t testingT, r Result, want Code) {
	t.Helper()
	if r.Code != want {
		t.Errorf("code %q (%s), want %q", r.Code, r.Text, want)
	}
}

func putClass(name string, deadline int) mpview.Change {
	put := mpcatalogue.Document{Classes: []mpcatalogue.Class{{Name: name, Deadline: deadline}}}
	return mpview.Change{Op: mpview.Edit{Edit: mpcatalogue.Edit{Put: put}}}
}

func TestChange(t *testing.T) {
	t.Run("second change with the same base conflicts", func(t *testing.T) {
		m := New()
		checkCode(t, apply(t, m, testNowMs, Change{ID: "a", Change: putClass("live", 100)}), CodeDone)
		checkCode(t, apply(t, m, testNowMs, Change{ID: "b", Base: 1, Change: putClass("live", 200)}), CodeDone)
		checkCode(t, apply(t, m, testNowMs, Change{ID: "c", Base: 1, Change: putClass("live", 300)}), CodeConflict)
		if c, _ := m.View().Catalogue().Class("live"); c.Deadline != 200 {
			t.Errorf("deadline %d, want 200 from the change that succeeded", c.Deadline)
		}
	})
	t.Run("changes to other rows do not conflict", func(t *testing.T) {
		m := New()
		checkCode(t, apply(t, m, testNowMs, Change{ID: "a", Change: putClass("live", 100)}), CodeDone)
		checkCode(t, apply(t, m, testNowMs, Change{ID: "b", Base: 1, Change: putClass("batch", 200)}), CodeDone)
		checkCode(t, apply(t, m, testNowMs, Change{ID: "c", Base: 1, Change: putClass("live", 300)}), CodeDone)
	})
	t.Run("retry gets the first result", func(t *testing.T) {
		m := New()
		first := apply(t, m, testNowMs, Change{ID: "a", Change: putClass("live", 100)})
		apply(t, m, testNowMs, Change{ID: "b", Change: putClass("live", 200)})
		again := apply(t, m, testNowMs, Change{ID: "a", Change: putClass("live", 100)})
		if diff := cmp.Diff(first, again); diff != "" {
			t.Errorf("results (-first +retry):\n%s", diff)
		}
		if c, _ := m.View().Catalogue().Class("live"); c.Deadline != 200 {
			t.Errorf("deadline %d after a retry, want 200", c.Deadline)
		}
	})
	t.Run("invalid change does not increment the revision", func(t *testing.T) {
		m := New()
		checkCode(t, apply(t, m, testNowMs, Change{ID: "a", Change: putClass("live", 0)}), CodeInvalid)
		if m.View().Revision() != 0 {
			t.Errorf("revision %d after an invalid change, want 0", m.View().Revision())
		}
	})
	t.Run("audit trail records the author, the change and the previous rows", func(t *testing.T) {
		m := New()
		apply(t, m, testNowMs, Change{ID: "a", Who: "ana", Change: putClass("live", 100)})
		apply(t, m, testNowMs+5, Change{ID: "b", Who: "luis", Change: putClass("live", 200)})
		got := m.Audit(1, 10)
		want := []AuditRecord{{Revision: 2, At: testNowMs + 5, Who: "luis", ID: "b", Change: putClass("live", 200),
			Before: &mpcatalogue.Document{Classes: []mpcatalogue.Class{{Name: "live", Deadline: 100}}}}}
		want[0].Change.Revision = 2
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("audit (-want +got):\n%s", diff)
		}
	})
}

// TestChangesSince guards against gaps in the changes sent to a VM. A VM must reach
// the same view by changes as by the complete view, so it gets either every change
// since its revision or, if some of them are no longer kept, the complete view.
func TestChangesSince(t *testing.T) {
	m := New()
	for i := range maxDeltas + 40 {
		apply(t, m, testNowMs, Change{ID: fmt.Sprint(i), Change: putClass(fmt.Sprintf("class%d", i%7), 100+i)})
	}
	want, err := json.Marshal(m.View())
	if err != nil {
		t.Fatal(err)
	}
	for _, from := range []uint64{0, 39, 40, maxDeltas, m.View().Revision()} {
		t.Run(fmt.Sprintf("from revision %d", from), func(t *testing.T) {
			changes, full, at, err := m.ChangesSince(from)
			if err != nil || at != m.View().Revision() {
				t.Fatalf("ChangesSince = revision %d, %v", at, err)
			}
			if from < 40 && full == nil {
				t.Error("got no complete view although the changes are no longer kept")
			}
			if got := uint64(len(changes)); full == nil && got != at-from {
				t.Errorf("%d changes from %d to %d", got, from, at)
			}
			if full != nil {
				if diff := cmp.Diff(string(want), string(full)); diff != "" {
					t.Errorf("view (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Guards against a leader that encodes the whole view for each of many VMs that start together,
// and against a VM that begins with a plan or a mark older than those in force.
func TestEncodedViewLacksOnlyJoins(t *testing.T) {
	join := func(name string) mpview.Op {
		return mpview.Join{VM: mpview.VM{Name: name, Boot: 1, Address: "caller", Peer: "peer"}}
	}
	leaving := mpview.Join{VM: mpview.VM{Name: "vm1", Boot: 1, Address: "caller", Peer: "peer", Leaving: true}}
	publish := mpview.Publish{Routing: mpview.Routing{Version: 2, Source: []byte(`{}`)}}
	for name, c := range map[string]struct {
		ops []mpview.Op
		// lag is how many changes the encoded view may lack.
		lag uint64
	}{
		"nothing":                    {nil, 0},
		"a VM that joins":            {[]mpview.Op{join("vm2")}, 1},
		"VMs that join and leave":    {[]mpview.Op{join("vm2"), mpview.Leave{VMs: []string{"vm2"}}}, 2},
		"a VM that is about to stop": {[]mpview.Op{leaving}, 0},
		"a plan":                     {[]mpview.Op{join("vm2"), publish}, 0},
		"a plan before a join":       {[]mpview.Op{publish, join("vm2")}, 0},
		"a roll-out":                 {[]mpview.Op{join("vm2"), mpview.Roll{Rollout: newTestRollout("a")}}, 0},
		"a mark":                     {[]mpview.Op{mpview.Mark{Target: mpview.TargetVM, Name: "vm1", Out: true}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			apply(t, m, testNowMs, Change{ID: "first", Change: mpview.Change{Op: join("vm1")}})
			if _, _, _, err := m.ChangesSince(0); err != nil {
				t.Fatal(err)
			}
			for i, op := range c.ops {
				apply(t, m, testNowMs, Change{ID: fmt.Sprint(i), Change: mpview.Change{Op: op}})
			}
			_, full, at, err := m.ChangesSince(0)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.lag, m.View().Revision()-at); diff != "" {
				t.Errorf("changes that the view lacks (-want +got):\n%s", diff)
			}
			checkReaches(t, m, full, at)
		})
	}
}

// checkReaches fails unless the encoded view at a revision and the changes after it lead to the
// view of m.
func checkReaches(t *testing.T, m *Machine, full []byte, at uint64) {
	t.Helper()
	changes, _, _, err := m.ChangesSince(at)
	if err != nil {
		t.Fatal(err)
	}
	view := received(t, nil, full, changes)
	want, err := json.Marshal(m.View())
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("view (-want +got):\n%s", diff)
	}
}

func TestSnapshot(t *testing.T) {
	m := New()
	apply(t, m, testNowMs, Change{ID: "a", Who: "ana", Change: putClass("live", 100)})
	apply(t, m, testNowMs, newClaim("k1", "vm1", 1))
	apply(t, m, testNowMs, Finish{Ref: newRef("k1"), Holder: newHolder("vm1", 1), Answer: Answer{Status: 200, Body: []byte("ok")}})
	data, err := m.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	checkCode(t, apply(t, other, testNowMs, newClaim("k1", "vm2", 2)), CodeFinished)
	again, err := other.Snapshot()()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(data), string(again)); diff != "" {
		t.Errorf("restored state (-want +got):\n%s", diff)
	}
}

func newRef(key string) ClaimRef { return ClaimRef{Account: "club", Key: key} }

func newHolder(vm string, request uint64) Holder { return Holder{VM: vm, Boot: 1, Request: request} }

func newClaim(key, vm string, request uint64) Claim {
	return Claim{Ref: newRef(key), Fingerprint: 9, Holder: newHolder(vm, request), Issued: testNowMs}
}

func TestClaim(t *testing.T) {
	expiredMs := testNowMs + ClaimWindow.Milliseconds() + 1
	answer := Answer{Status: 200, Body: []byte("won"), Length: 3, Hash: "h"}
	cases := []struct {
		name string
		// before is applied at testNowMs, after the claim of request 1 at vm1.
		before []Command
		at     int64
		again  Claim
		want   Code
	}{
		{"retry while running", nil, testNowMs, newClaim("k", "vm2", 2), CodeRunning},
		{"retry by the holder", nil, testNowMs, newClaim("k", "vm1", 1), CodeDone},
		{"other request on the same VM", nil, testNowMs, newClaim("k", "vm1", 2), CodeRunning},
		{"after finish", []Command{Finish{newRef("k"), newHolder("vm1", 1), answer}}, testNowMs, newClaim("k", "vm2", 2), CodeFinished},
		{"after marked in doubt", []Command{MarkInDoubt{newRef("k"), newHolder("vm1", 1)}}, testNowMs, newClaim("k", "vm2", 2), CodeInDoubt},
		{"after release", []Command{Release{newRef("k"), newHolder("vm1", 1)}}, testNowMs, newClaim("k", "vm2", 2), CodeDone},
		{"after release by another holder", []Command{Release{newRef("k"), newHolder("vm2", 1)}}, testNowMs, newClaim("k", "vm2", 2), CodeRunning},
		{"after release of a finished claim", []Command{
			Finish{newRef("k"), newHolder("vm1", 1), answer}, Release{newRef("k"), newHolder("vm1", 1)},
		}, testNowMs, newClaim("k", "vm2", 2), CodeFinished},
		{"after the holder's VM left", []Command{
			Change{ID: "x", Change: mpview.Change{Op: mpview.Leave{VMs: []string{"vm1"}}}},
		}, testNowMs, newClaim("k", "vm2", 2), CodeInDoubt},
		{"after the holder's VM restarted", []Command{
			Change{ID: "x", Change: mpview.Change{Op: mpview.Join{VM: mpview.VM{Name: "vm1", Boot: 2}}}},
		}, testNowMs, newClaim("k", "vm2", 2), CodeInDoubt},
		{"after another VM restarted", []Command{
			Change{ID: "x", Change: mpview.Change{Op: mpview.Join{VM: mpview.VM{Name: "vm3", Boot: 2}}}},
		}, testNowMs, newClaim("k", "vm2", 2), CodeRunning},
		{"different body", nil, testNowMs, Claim{newRef("k"), 8, newHolder("vm2", 2), testNowMs}, CodeMismatch},
		{"after the claim window", nil, expiredMs + 60_000, newClaim("k", "vm2", 2), CodeExpired},
		{"new key older than the claim window", nil, expiredMs, newClaim("other", "vm2", 2), CodeExpired},
		{"new key issued in the future", nil, testNowMs - 61_000, newClaim("other", "vm2", 2), CodeExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			if c.at >= testNowMs {
				checkCode(t, apply(t, m, testNowMs, newClaim("k", "vm1", 1)), CodeDone)
			}
			for _, b := range c.before {
				apply(t, m, testNowMs, b)
			}
			got := apply(t, m, c.at, c.again)
			checkCode(t, got, c.want)
			if c.want == CodeFinished {
				if diff := cmp.Diff(&answer, got.Answer); diff != "" {
					t.Errorf("recorded answer (-want +got):\n%s", diff)
				}
			}
		})
	}
}

func TestClaimEviction(t *testing.T) {
	m := New()
	for i := range 1000 {
		c := newClaim(fmt.Sprint(i), "vm1", uint64(i))
		c.Issued = testNowMs + int64(i)*time.Second.Milliseconds()
		checkCode(t, apply(t, m, c.Issued, c), CodeDone)
	}
	maxKept := int((ClaimWindow + time.Minute) / time.Second)
	if got := m.Claims(); got > maxKept+1 {
		t.Errorf("%d claims kept of 1000 over 1000 s, want at most %d", got, maxKept+1)
	}
}

// TestRandomClaims checks that a request runs at most once per key with random
// holders, restarts and retries, against a model that counts the permitted runs.
func TestRandomClaims(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := testNowMs
		started := map[string]bool{}
		running := map[string]Holder{}
		boots := map[string]uint64{"vm1": 1, "vm2": 1}
		request := uint64(0)
		key := func() string { return fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key")) }
		vm := func() string { return rapid.SampledFrom([]string{"vm1", "vm2"}).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				k, v := key(), vm()
				request++
				h := Holder{VM: v, Boot: boots[v], Request: request}
				r := apply(t, m, now, Claim{Ref: newRef(k), Fingerprint: 9, Holder: h, Issued: testNowMs})
				if r.Code != CodeDone {
					return
				}
				if started[k] {
					t.Fatalf("claim of key %s was granted again after its request had run", k)
				}
				running[k] = h
			},
			"send": func(*rapid.T) {
				k := key()
				if _, ok := running[k]; ok {
					started[k] = true
					runs++
				}
			},
			"finish": func(*rapid.T) {
				k := key()
				if h, ok := running[k]; ok && started[k] {
					r := apply(t, m, now, Finish{Ref: newRef(k), Holder: h})
					// With seed 27262, a request finishes after its key has expired. Its
					// claim is evicted by then, and the key is refused as expired.
					if now-testNowMs <= ClaimWindow.Milliseconds() || r.Code != CodeNotFound {
						checkCode(t, r, CodeDone)
					}
					delete(running, k)
				}
			},
			"release": func(*rapid.T) {
				k := key()
				if h, ok := running[k]; ok && !started[k] {
					apply(t, m, now, Release{Ref: newRef(k), Holder: h})
					delete(running, k)
				}
			},
			"restart": func(t *rapid.T) {
				v := vm()
				boots[v]++
				op := mpview.Join{VM: mpview.VM{Name: v, Boot: boots[v]}}
				apply(t, m, now, Change{Change: mpview.Change{Op: op}})
				for k, h := range running {
					if h.VM == v {
						delete(running, k)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now += int64(rapid.IntRange(0, 200_000).Draw(t, "ms"))
			},
			"snapshot": func(t *rapid.T) {
				data, err := m.Snapshot()()
				if err != nil {
					t.Fatal(err)
				}
				m = New()
				if err := m.Restore(data); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
	t.Logf("%d runs", runs)
}

// TestChangeLinearizability checks that concurrent changes with equal bases, with
// retries, are linearizable as a compare-and-set on the revision of one row.
func TestChangeLinearizability(t *testing.T) {
	type in struct {
		id   string
		base uint64
	}
	model := porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, input, output any) (bool, any) {
			at, i, r := state.(uint64), input.(in), output.(Result)
			if i.base != at {
				return r.Code == CodeConflict, at
			}
			return r.Code == CodeDone && r.Revision == at+1, at + 1
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		apply(t, m, testNowMs, Change{ID: "first", Change: putClass("live", 1)})
		var history []porcupine.Operation
		clock := int64(0)
		for round := range 8 {
			base := m.View().Revision()
			for op := range rapid.IntRange(2, 4).Draw(t, "operators") {
				i := in{fmt.Sprintf("%d-%d", round, op), base}
				call := clock
				r := apply(t, m, testNowMs, Change{ID: i.id, Base: base, Change: putClass("live", 2+op)})
				if rapid.Bool().Draw(t, "resend") {
					r = apply(t, m, testNowMs, Change{ID: i.id, Base: base, Change: putClass("live", 2+op)})
				}
				history = append(history, porcupine.Operation{ClientId: op, Input: i, Call: call, Output: r, Return: clock + 10})
				clock++
			}
			clock += 10
		}
		if !porcupine.CheckOperations(model, history) {
			t.Fatal("history is not linearizable")
		}
	})
}

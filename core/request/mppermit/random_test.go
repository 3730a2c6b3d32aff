package mppermit

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardpost.org/core/common/mpseed"
	"mustardpost.org/core/common/mpset"
)

func TestMain(m *testing.M) {
	fmt.Println("seed", mpseed.Fix())
	os.Exit(m.Run())
}

const (
	testGrace    = 2 * time.Second
	testDeadline = 5 * time.Second
)

// attempt is one that a VM holds a permit for.
type attempt struct {
	id       Attempt
	vm       string
	upstream string
	epoch    uint64
	alone    bool
	limit    int
	instance string
	until    time.Time
}

// truth is what really runs on an upstream.
type truth struct {
	limit, cold int
	running     map[Attempt]attempt
	// wins counts answers since the upstream was last cold.
	wins     int
	instance int
}

// world drives one group through owners that come and go, VMs that die or
// freeze, and upstreams that crash and turn cold.
type world struct {
	t         *rapid.T
	now       time.Time
	group     *Group
	epoch     uint64
	specs     []UpstreamSpec
	vms       []string
	frozen    mpset.Set[string]
	upstreams map[string]*truth
	asked     map[Attempt]Request
	next      Attempt
	seen      map[[2]string]Observation
	granted   int
	refused   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(100, 0), vms: []string{"vm1", "vm2", "vm3"}, frozen: mpset.Set[string]{},
		upstreams: map[string]*truth{}, asked: map[Attempt]Request{}, seen: map[[2]string]Observation{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		cold := rapid.IntRange(1, limit).Draw(t, "cold")
		name := fmt.Sprintf("up%d", i)
		w.specs = append(w.specs, UpstreamSpec{Name: name, Limit: limit, ColdLimit: cold, Ramp: 1, Usable: true})
		w.upstreams[name] = &truth{limit: limit, cold: cold, running: map[Attempt]attempt{}}
	}
	w.epoch = 1
	w.group = NewGroup(w.now, w.config(true))
	return w
}

func (w *world) config(fresh bool) Config {
	return Config{Epoch: w.epoch, Upstreams: w.specs, VMs: w.vms, GracePeriod: testGrace, Fresh: fresh}
}

func (w *world) take(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Refusal:
			w.refused++
			w.answered(d.Attempt)
		case Grant:
			w.granted++
			a := w.answered(d.Attempt)
			w.begin(attempt{
				id: d.Attempt, vm: a.VM, upstream: d.Upstream, epoch: w.epoch, alone: a.Exclusive,
				until: w.now.Add(testDeadline), limit: d.Limit, instance: d.Instance,
			})
		}
	}
	if name := w.group.LimitViolation(); name != "" {
		w.t.Fatalf("the group itself says that %s is over its limit", name)
	}
}

// answered asserts that each ask gets exactly one decision.
func (w *world) answered(id Attempt) Request {
	a, ok := w.asked[id]
	if !ok {
		w.t.Fatalf("attempt %d got a second decision, or was never asked for", id)
	}
	delete(w.asked, id)
	return a
}

// begin starts an attempt and asserts that its upstream bears it. An upstream
// may have what it bears cold, and one more for each answer since then.
func (w *world) begin(a attempt) {
	u := w.upstreams[a.upstream]
	u.running[a.id] = a
	if bears := min(u.cold+u.wins, u.limit); len(u.running) > bears {
		w.t.Fatalf("%s has %d attempts and bears %d", a.upstream, len(u.running), bears)
	}
	for _, other := range u.running {
		if len(u.running) > 1 && (other.alone || a.alone) {
			w.t.Fatalf("%s runs an isolated attempt beside another", a.upstream)
		}
	}
}

func (w *world) ask(t *rapid.T) {
	w.next++
	a := Request{
		Attempt:         w.next,
		VM:              rapid.SampledFrom(w.vms).Draw(t, "vm"),
		Account:         rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		Remaining:       testDeadline,
		MaxExpectedWait: testDeadline,
		Prefix:          uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Exclusive:       rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if w.frozen.Has(a.VM) {
		return
	}
	w.asked[a.Attempt] = a
	w.take(w.group.Acquire(w.now, a))
}

// some returns a running attempt of a VM that is not frozen.
func (w *world) some(t *rapid.T) (attempt, bool) {
	var list []attempt
	for id := Attempt(1); id <= w.next; id++ {
		for _, u := range w.upstreams {
			if a, ok := u.running[id]; ok && !w.frozen.Has(a.vm) {
				list = append(list, a)
			}
		}
	}
	if len(list) == 0 {
		return attempt{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "attempt")], true
}

func (w *world) finish(t *rapid.T) {
	a, ok := w.some(t)
	if !ok {
		return
	}
	u := w.upstreams[a.upstream]
	delete(u.running, a.id)
	end := rapid.SampledFrom([]Outcome{Done, Done, Done, Failed}).Draw(t, "end")
	if end == Done {
		u.wins++
		if instance := fmt.Sprintf("i%d", u.instance); a.instance == instance {
			w.seen[[2]string{a.vm, a.upstream}] = Observation{Upstream: a.upstream, Limit: a.limit, Instance: instance}
		}
	}
	w.take(w.group.Settle(w.now, Settlement{
		Attempt: a.id, Outcome: end, ServiceTime: 50 * time.Millisecond, Instance: fmt.Sprintf("i%d", u.instance),
	}))
}

// crash ends an upstream's process; each VM sees its attempts break.
func (w *world) crash(t *rapid.T) {
	a, ok := w.some(t)
	if !ok {
		return
	}
	u := w.upstreams[a.upstream]
	u.instance++
	u.wins = 0
	broken := u.running
	u.running = map[Attempt]attempt{}
	for id := Attempt(1); id <= w.next; id++ {
		if _, ok := broken[id]; ok {
			w.take(w.group.Settle(w.now, Settlement{Attempt: id, Outcome: Crashed}))
		}
	}
}

// pass gives the group to a new owner. Every VM that acts registers what it
// holds; a frozen one does not, and its permits end with its lease.
func (w *world) pass(*rapid.T) {
	w.epoch++
	w.take(w.group.Close())
	w.asked = map[Attempt]Request{}
	cfg := w.config(false)
	if len(w.frozen) > 0 {
		cfg.QuietUntil = w.now.Add(testDeadline)
	}
	w.group = NewGroup(w.now, cfg)
	for _, vm := range w.vms {
		if !w.frozen.Has(vm) {
			w.take(w.group.Register(w.now, vm, Registration{w.heldBy(vm), w.seenBy(vm)}))
		}
	}
}

func (w *world) heldBy(vm string) []HeldPermit {
	var list []HeldPermit
	for _, u := range w.upstreams {
		for _, a := range u.running {
			if a.vm == vm {
				list = append(list, HeldPermit{Attempt: a.id, Upstream: a.upstream, Remaining: a.until.Sub(w.now), Exclusive: a.alone})
			}
		}
	}
	return list
}

// seenBy returns what vm remembers; some of it is out of date.
func (w *world) seenBy(vm string) []Observation {
	var list []Observation
	for key, seen := range w.seen {
		if key[0] == vm {
			list = append(list, seen)
		}
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}

// restart replaces an idle upstream's process, which nobody sees.
func (w *world) restart(t *rapid.T) {
	name := rapid.SampledFrom(w.specs).Draw(t, "upstream").Name
	u := w.upstreams[name]
	if len(u.running) > 0 {
		return
	}
	w.advance(quietLimit + time.Millisecond)
	if len(u.running) == 0 {
		u.instance++
		u.wins = 0
	}
}

// wait lets time pass; attempts end with their deadlines.
func (w *world) wait(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, u := range w.upstreams {
		for id, a := range u.running {
			if w.now.After(a.until) {
				delete(u.running, id)
			}
		}
	}
	w.take(w.group.Tick(w.now))
}

// thaw ends a freeze. The VM has lost its lease; it registers what it holds.
func (w *world) thaw(*rapid.T) {
	for vm := range w.frozen {
		delete(w.frozen, vm)
		w.take(w.group.Register(w.now, vm, Registration{w.heldBy(vm), w.seenBy(vm)}))
	}
}

// TestRandom checks that no upstream ever has more attempts than it bears, over
// all owners together, and that each ask gets one decision.
func TestRandom(t *testing.T) {
	granted, refused, epochs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":     w.ask,
			"ask2":    w.ask,
			"ask3":    w.ask,
			"finish":  w.finish,
			"finish2": w.finish,
			"crash":   w.crash,
			"restart": w.restart,
			"wait":    w.wait,
			"pass":    w.pass,
			"freeze":  func(t *rapid.T) { w.frozen.Add(rapid.SampledFrom(w.vms).Draw(t, "vm")) },
			"thaw":    w.thaw,
			"pass in a freeze": func(t *rapid.T) {
				w.frozen.Add(rapid.SampledFrom(w.vms).Draw(t, "vm"))
				w.pass(t)
				w.advance(testGrace + time.Millisecond)
			},
		})
		granted += w.granted
		refused += w.refused
		epochs += int(w.epoch)
	})
	t.Logf("%d grants, %d refusals, %d epochs", granted, refused, epochs)
}

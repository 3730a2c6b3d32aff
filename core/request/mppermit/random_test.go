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
	specs     []Spec
	vms       []string
	frozen    mpset.Set[string]
	upstreams map[string]*truth
	asked     map[Attempt]Ask
	next      Attempt
	seen      map[[2]string]Seen
	granted   int
	refused   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(100, 0), vms: []string{"vm1", "vm2", "vm3"}, frozen: mpset.Set[string]{},
		upstreams: map[string]*truth{}, asked: map[Attempt]Ask{}, seen: map[[2]string]Seen{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		cold := rapid.IntRange(1, limit).Draw(t, "cold")
		name := fmt.Sprintf("up%d", i)
		w.specs = append(w.specs, Spec{Name: name, Limit: limit, Cold: cold, Ramp: 1, Usable: true})
		w.upstreams[name] = &truth{limit: limit, cold: cold, running: map[Attempt]attempt{}}
	}
	w.epoch = 1
	w.group = NewGroup(w.now, w.config(true))
	return w
}

func (w *world) config(fresh bool) Config {
	return Config{Epoch: w.epoch, Specs: w.specs, VMs: w.vms, Grace: testGrace, Fresh: fresh}
}

func (w *world) take(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Refuse:
			w.refused++
			w.answered(d.Attempt)
		case Grant:
			w.granted++
			a := w.answered(d.Attempt)
			w.begin(attempt{
				id: d.Attempt, vm: a.VM, upstream: d.Upstream, epoch: w.epoch, alone: a.Alone,
				until: w.now.Add(testDeadline), limit: d.Limit, instance: d.Instance,
			})
		}
	}
	if name := w.group.Check(); name != "" {
		w.t.Fatalf("the group itself says that %s is over its limit", name)
	}
}

// answered asserts that each ask gets exactly one decision.
func (w *world) answered(id Attempt) Ask {
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
	a := Ask{
		Attempt:  w.next,
		VM:       rapid.SampledFrom(w.vms).Draw(t, "vm"),
		Account:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		Left:     testDeadline,
		Patience: testDeadline,
		Prefix:   uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Alone:    rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if w.frozen.Has(a.VM) {
		return
	}
	w.asked[a.Attempt] = a
	w.take(w.group.Ask(w.now, a))
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
	end := rapid.SampledFrom([]End{Done, Done, Done, Failed}).Draw(t, "end")
	if end == Done {
		u.wins++
		if instance := fmt.Sprintf("i%d", u.instance); a.instance == instance {
			w.seen[[2]string{a.vm, a.upstream}] = Seen{Upstream: a.upstream, Limit: a.limit, Instance: instance}
		}
	}
	w.take(w.group.Settle(w.now, Settlement{
		Attempt: a.id, End: end, Took: 50 * time.Millisecond, Instance: fmt.Sprintf("i%d", u.instance),
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
			w.take(w.group.Settle(w.now, Settlement{Attempt: id, End: Crashed}))
		}
	}
}

// pass gives the group to a new owner. Every VM that acts registers what it
// holds; a frozen one does not, and its permits end with its lease.
func (w *world) pass(*rapid.T) {
	w.epoch++
	w.take(w.group.Close())
	w.asked = map[Attempt]Ask{}
	cfg := w.config(false)
	if len(w.frozen) > 0 {
		cfg.Quiet = w.now.Add(testDeadline)
	}
	w.group = NewGroup(w.now, cfg)
	for _, vm := range w.vms {
		if !w.frozen.Has(vm) {
			w.take(w.group.Register(w.now, vm, Known{w.heldBy(vm), w.seenBy(vm)}))
		}
	}
}

func (w *world) heldBy(vm string) []Held {
	var list []Held
	for _, u := range w.upstreams {
		for _, a := range u.running {
			if a.vm == vm {
				list = append(list, Held{Attempt: a.id, Upstream: a.upstream, Left: a.until.Sub(w.now), Alone: a.alone})
			}
		}
	}
	return list
}

// seenBy returns what vm remembers; some of it is out of date.
func (w *world) seenBy(vm string) []Seen {
	var list []Seen
	for key, seen := range w.seen {
		if key[0] == vm {
			list = append(list, seen)
		}
	}
	slices.SortFunc(list, func(a, b Seen) int { return strings.Compare(a.Upstream, b.Upstream) })
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
		w.take(w.group.Register(w.now, vm, Known{w.heldBy(vm), w.seenBy(vm)}))
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

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

// runningAttempt is an attempt for which a VM holds a permit.
type runningAttempt struct {
	id        Attempt
	vm        string
	upstream  string
	epoch     uint64
	exclusive bool
	limit     int
	instance  string
	deadline  time.Time
}

// upstreamModel is the actual state of an upstream, as opposed to the owner's view of it.
type upstreamModel struct {
	limit, cold int
	running     map[Attempt]runningAttempt
	// responses is the number of responses since the last cold start.
	responses int
	instance  int
}

// model drives one group through changes of owner, freezes of VMs, and crashes and
// unnoticed restarts of upstreams, after which they are cold.
type model struct {
	t            *rapid.T
	now          time.Time
	group        *Group
	epoch        uint64
	specs        []UpstreamSpec
	vms          []string
	frozen       mpset.Set[string]
	upstreams    map[string]*upstreamModel
	pending      map[Attempt]Request
	lastAttempt  Attempt
	observations map[[2]string]Observation
	granted      int
	refused      int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(100, 0), vms: []string{"vm1", "vm2", "vm3"}, frozen: mpset.Set[string]{},
		upstreams: map[string]*upstreamModel{}, pending: map[Attempt]Request{}, observations: map[[2]string]Observation{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		cold := rapid.IntRange(1, limit).Draw(t, "cold")
		name := fmt.Sprintf("up%d", i)
		m.specs = append(m.specs, UpstreamSpec{Name: name, Limit: limit, ColdLimit: cold, Ramp: 1, Usable: true})
		m.upstreams[name] = &upstreamModel{limit: limit, cold: cold, running: map[Attempt]runningAttempt{}}
	}
	m.epoch = 1
	m.group = NewGroup(m.now, m.config(true))
	return m
}

func (m *model) config(fresh bool) Config {
	return Config{Epoch: m.epoch, Upstreams: m.specs, VMs: m.vms, GracePeriod: testGrace, Fresh: fresh}
}

func (m *model) applyDecisions(decisions []Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case Refusal:
			m.refused++
			m.resolve(d.Attempt)
		case Grant:
			m.granted++
			a := m.resolve(d.Attempt)
			m.begin(runningAttempt{
				id: d.Attempt, vm: a.VM, upstream: d.Upstream, epoch: m.epoch, exclusive: a.Exclusive,
				deadline: m.now.Add(testDeadline), limit: d.Limit, instance: d.Instance,
			})
		}
	}
	if name := m.group.LimitViolation(); name != "" {
		m.t.Fatalf("the group reports that %s exceeds its limit", name)
	}
}

// resolve asserts that each request gets exactly one decision.
func (m *model) resolve(id Attempt) Request {
	a, ok := m.pending[id]
	if !ok {
		m.t.Fatalf("attempt %d got a second decision or was never requested", id)
	}
	delete(m.pending, id)
	return a
}

// begin starts an attempt and asserts that its upstream has room for it. The capacity
// of an upstream is its cold limit plus one for each response since the last cold start, up
// to its limit.
func (m *model) begin(a runningAttempt) {
	u := m.upstreams[a.upstream]
	u.running[a.id] = a
	if capacity := min(u.cold+u.responses, u.limit); len(u.running) > capacity {
		m.t.Fatalf("%s has %d attempts, but its capacity is %d", a.upstream, len(u.running), capacity)
	}
	for _, other := range u.running {
		if len(u.running) > 1 && (other.exclusive || a.exclusive) {
			m.t.Fatalf("%s runs an exclusive attempt together with another one", a.upstream)
		}
	}
}

func (m *model) acquire(t *rapid.T) {
	m.lastAttempt++
	a := Request{
		Attempt:         m.lastAttempt,
		VM:              rapid.SampledFrom(m.vms).Draw(t, "vm"),
		Account:         rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
		Remaining:       testDeadline,
		MaxExpectedWait: testDeadline,
		PrefixHash:      uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Exclusive:       rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	if m.frozen.Has(a.VM) {
		return
	}
	m.pending[a.Attempt] = a
	m.applyDecisions(m.group.Acquire(m.now, a))
}

// drawRunning draws a running attempt of a VM that is not frozen.
func (m *model) drawRunning(t *rapid.T) (runningAttempt, bool) {
	var list []runningAttempt
	for id := Attempt(1); id <= m.lastAttempt; id++ {
		for _, u := range m.upstreams {
			if a, ok := u.running[id]; ok && !m.frozen.Has(a.vm) {
				list = append(list, a)
			}
		}
	}
	if len(list) == 0 {
		return runningAttempt{}, false
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "attempt")], true
}

func (m *model) finish(t *rapid.T) {
	a, ok := m.drawRunning(t)
	if !ok {
		return
	}
	u := m.upstreams[a.upstream]
	delete(u.running, a.id)
	outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Failed}).Draw(t, "end")
	if outcome == Done {
		u.responses++
		if instance := fmt.Sprintf("i%d", u.instance); a.instance == instance {
			m.observations[[2]string{a.vm, a.upstream}] = Observation{Upstream: a.upstream, Limit: a.limit, Instance: instance}
		}
	}
	m.applyDecisions(m.group.Settle(m.now, Settlement{
		Attempt: a.id, Outcome: outcome, ServiceTime: 50 * time.Millisecond, Instance: fmt.Sprintf("i%d", u.instance),
	}))
}

// crash ends an upstream's process; every attempt on it settles as Crashed.
func (m *model) crash(t *rapid.T) {
	a, ok := m.drawRunning(t)
	if !ok {
		return
	}
	u := m.upstreams[a.upstream]
	u.instance++
	u.responses = 0
	interrupted := u.running
	u.running = map[Attempt]runningAttempt{}
	for id := Attempt(1); id <= m.lastAttempt; id++ {
		if _, ok := interrupted[id]; ok {
			m.applyDecisions(m.group.Settle(m.now, Settlement{Attempt: id, Outcome: Crashed}))
		}
	}
}

// changeOwner moves the group to a new owner. Every VM that is not frozen registers the
// permits that it holds. A frozen VM does not, and its permits end with its lease.
func (m *model) changeOwner(*rapid.T) {
	m.epoch++
	m.applyDecisions(m.group.Close())
	m.pending = map[Attempt]Request{}
	cfg := m.config(false)
	if len(m.frozen) > 0 {
		cfg.QuietUntil = m.now.Add(testDeadline)
	}
	m.group = NewGroup(m.now, cfg)
	for _, vm := range m.vms {
		if !m.frozen.Has(vm) {
			m.applyDecisions(m.group.Register(m.now, vm, Registration{m.heldPermits(vm), m.observationsOf(vm)}))
		}
	}
}

func (m *model) heldPermits(vm string) []HeldPermit {
	var list []HeldPermit
	for _, u := range m.upstreams {
		for _, a := range u.running {
			if a.vm == vm {
				list = append(list, HeldPermit{Attempt: a.id, Upstream: a.upstream, Remaining: a.deadline.Sub(m.now), Exclusive: a.exclusive})
			}
		}
	}
	return list
}

// observationsOf returns the observations of vm, some of which are out of date.
func (m *model) observationsOf(vm string) []Observation {
	var list []Observation
	for key, o := range m.observations {
		if key[0] == vm {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Observation) int { return strings.Compare(a.Upstream, b.Upstream) })
	return list
}

// restart replaces the process of an idle upstream without notice to any VM or owner.
func (m *model) restart(t *rapid.T) {
	name := rapid.SampledFrom(m.specs).Draw(t, "upstream").Name
	u := m.upstreams[name]
	if len(u.running) > 0 {
		return
	}
	m.advance(confirmAfterIdle + time.Millisecond)
	if len(u.running) == 0 {
		u.instance++
		u.responses = 0
	}
}

// wait advances the clock; attempts end at their deadlines.
func (m *model) wait(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, u := range m.upstreams {
		for id, a := range u.running {
			if m.now.After(a.deadline) {
				delete(u.running, id)
			}
		}
	}
	m.applyDecisions(m.group.Tick(m.now))
}

// thaw ends all freezes. A thawed VM has lost its lease and registers the permits that
// it holds.
func (m *model) thaw(*rapid.T) {
	for vm := range m.frozen {
		delete(m.frozen, vm)
		m.applyDecisions(m.group.Register(m.now, vm, Registration{m.heldPermits(vm), m.observationsOf(vm)}))
	}
}

// TestRandom checks that no upstream ever has more attempts than its capacity, counted
// over all owners, and that each request gets exactly one decision.
func TestRandom(t *testing.T) {
	granted, refused, epochs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":     m.acquire,
			"ask2":    m.acquire,
			"ask3":    m.acquire,
			"finish":  m.finish,
			"finish2": m.finish,
			"crash":   m.crash,
			"restart": m.restart,
			"wait":    m.wait,
			"pass":    m.changeOwner,
			"freeze":  func(t *rapid.T) { m.frozen.Add(rapid.SampledFrom(m.vms).Draw(t, "vm")) },
			"thaw":    m.thaw,
			"pass in a freeze": func(t *rapid.T) {
				m.frozen.Add(rapid.SampledFrom(m.vms).Draw(t, "vm"))
				m.changeOwner(t)
				m.advance(testGrace + time.Millisecond)
			},
		})
		granted += m.granted
		refused += m.refused
		epochs += int(m.epoch)
	})
	t.Logf("%d grants, %d refusals, %d epochs", granted, refused, epochs)
}

package mpmemory

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	modelBytes       = 1000
	modelConnections = 8
)

// model is a Budget with connections that arrive, stall, run, end late and close in any order.
type model struct {
	b       *Budget
	now     time.Time
	clients []*client
	states  map[*client]string
	waits   map[*client]*Wait
	draws   []int64
	pending []*Wait
	sizes   []int64
	ended   int
}

func newModel() *model {
	return &model{
		b: New(Config{Bytes: modelBytes, Connections: modelConnections, ConnectionBytes: testConnectionBytes}), now: testStart,
		states: map[*client]string{}, waits: map[*client]*Wait{},
	}
}

func (m *model) any(t *rapid.T) *client {
	if len(m.clients) == 0 {
		return nil
	}
	return m.clients[rapid.IntRange(0, len(m.clients)-1).Draw(t, "client")]
}

func (m *model) open(t *rapid.T) {
	c := &client{name: "random"}
	var err error
	c.Connection, err = m.b.Open(m.now, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")), c)
	if err == nil {
		m.clients = append(m.clients, c)
		m.states[c] = "new"
	}
}

// grow lets bytes arrive, or reserves the cost of a new connection.
func (m *model) grow(t *rapid.T) {
	c := m.any(t)
	if c == nil || m.waits[c] != nil || m.states[c] == "running" {
		return
	}
	var w *Wait
	var err error
	switch m.states[c] {
	case "new":
		w, err = c.Grow(m.now, testConnectionBytes)
		m.states[c] = "open"
	case "open":
		if rapid.Bool().Draw(t, "account") {
			c.SetAccount(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "name")))
		}
		w, err = c.Begin(m.now, int64(rapid.IntRange(0, 50).Draw(t, "head")))
		m.states[c] = "arriving"
	default:
		n := int64(rapid.IntRange(1, 400).Draw(t, "bytes"))
		c.Progress(m.now, c.received.Load()+n)
		w, err = c.Grow(m.now, n)
	}
	if w != nil {
		m.waits[c] = w
	}
	if errors.Is(err, ErrFull) {
		m.close(c)
	}
}

func (m *model) run(t *rapid.T) {
	c := m.any(t)
	if c == nil || m.waits[c] != nil || m.states[c] != "arriving" {
		return
	}
	err := c.Run()
	if (err != nil) != c.ended {
		t.Fatalf("run: %v, although ended is %v", err, c.ended)
	}
	if err == nil {
		m.states[c] = "running"
	}
}

func (m *model) finish(t *rapid.T) {
	if c := m.any(t); c != nil && m.states[c] == "running" {
		c.Finish(m.now)
		m.states[c] = "open"
	}
}

func (m *model) close(c *client) {
	c.Close()
	for i, other := range m.clients {
		if other == c {
			m.clients = append(m.clients[:i:i], m.clients[i+1:]...)
		}
	}
	delete(m.states, c)
	delete(m.waits, c)
}

// release gives back a part of what an arriving request holds, as when a buffer is replaced.
func (m *model) release(t *rapid.T) {
	if c := m.any(t); c != nil && m.states[c] == "arriving" {
		c.Release(int64(rapid.IntRange(0, 100).Draw(t, "bytes")))
	}
}

// draw lets a running request buffer a part of its response.
func (m *model) draw(t *rapid.T) {
	n := int64(rapid.IntRange(1, 300).Draw(t, "response"))
	w, err := m.b.Draw(m.now, 0, n)
	if err != nil {
		t.Fatalf("draw: %v", err)
	}
	if w == nil {
		m.draws = append(m.draws, n)
	} else {
		m.pending, m.sizes = append(m.pending, w), append(m.sizes, n)
	}
}

// settle collects the waits that are over.
func (m *model) settle(t *rapid.T) {
	for c, w := range m.waits {
		switch decision(w, nil) {
		case "granted":
			delete(m.waits, c)
		case "ended":
			if !c.ended {
				t.Fatal("a wait ended although its connection did not")
			}
			delete(m.waits, c)
		}
	}
	var pending []*Wait
	var sizes []int64
	for i, w := range m.pending {
		if decision(w, nil) == "granted" {
			m.draws = append(m.draws, m.sizes[i])
		} else {
			pending, sizes = append(pending, w), append(sizes, m.sizes[i])
		}
	}
	m.pending, m.sizes = pending, sizes
}

// check asserts that the sum of all reservations stays within the budget, that no client holds more
// than its share by what arrives, and that no running request is ended.
func (m *model) check(t *rapid.T) {
	m.settle(t)
	m.b.mu.Lock()
	defer m.b.mu.Unlock()
	sum, ending := int64(0), int64(0)
	addresses, accounts := map[string]int64{}, map[string]int64{}
	for _, c := range m.clients {
		sum += c.held
		addresses[c.address] += c.held
		if c.account != "" {
			accounts[c.account] += c.held
		}
		if m.states[c] == "open" && c.account != "" {
			t.Fatalf("account %s still counts a connection without a request", c.account)
		}
		if c.isEnded {
			ending += c.held
			m.ended++
		}
		if c.ended && m.states[c] == "running" {
			t.Fatal("a running request was ended")
		}
	}
	for _, n := range m.draws {
		sum += n
	}
	if sum != m.b.total.used || ending != m.b.total.ending {
		t.Fatalf("the budget counts %d bytes, %d of them ending; the connections hold %d and %d", m.b.total.used, m.b.total.ending, sum, ending)
	}
	if sum > modelBytes {
		t.Fatalf("%d bytes are held, more than the budget", sum)
	}
	for address, held := range addresses {
		if held != m.b.addresses[address].used || held > modelBytes/ownerShare {
			t.Fatalf("address %s holds %d, counted as %d", address, held, m.b.addresses[address].used)
		}
	}
	if len(accounts) != len(m.b.accounts) {
		t.Fatalf("%d accounts have requests, %d are counted", len(accounts), len(m.b.accounts))
	}
	for account, held := range accounts {
		if held != m.b.accounts[account].used {
			t.Fatalf("account %s holds %d, counted as %d", account, held, m.b.accounts[account].used)
		}
	}
}

// drain ends all that runs and gives up all waits. Then it checks that a request within the limits gets
// in once the others have ended, and that nothing stays reserved.
func (m *model) drain(t *rapid.T) {
	for _, w := range m.pending {
		w.Cancel()
	}
	m.settle(t)
	for _, n := range m.draws {
		m.b.Return(n)
	}
	m.draws, m.pending, m.sizes = nil, nil, nil
	for _, c := range append([]*client{}, m.clients...) {
		switch {
		case m.states[c] == "running":
			c.Finish(m.now)
		case m.waits[c] != nil:
			m.waits[c].Cancel()
		}
	}
	m.now = m.now.Add(time.Second)
	newcomer := &client{name: "newcomer"}
	var err error
	if newcomer.Connection, err = m.b.Open(m.now, "another", newcomer); err != nil {
		t.Fatalf("a connection cannot be opened although no request runs: %v", err)
	}
	w, err := newcomer.Grow(m.now, modelBytes/ownerShare)
	if err != nil {
		t.Fatalf("a request within the limits is refused although no other runs: %v", err)
	}
	for _, c := range append([]*client{}, m.clients...) {
		if c.ended {
			m.close(c)
		}
	}
	if got := decision(w, nil); got != "granted" {
		t.Fatalf("a request within the limits is %s after the others have ended", got)
	}
	for _, c := range append(m.clients, newcomer) {
		c.Close()
	}
	if diff := cmp.Diff(Stats{Limit: modelBytes, Connections: modelConnections}, m.b.Stats()); diff != "" {
		t.Fatalf("use after all connections closed (-want +got):\n%s", diff)
	}
	zero := scope{limit: modelBytes, maxOpen: modelConnections}
	if m.b.total != zero || len(m.b.addresses)+len(m.b.accounts)+len(m.b.connections) > 0 {
		t.Fatalf("left behind: %+v, addresses %v, accounts %v", m.b.total, m.b.addresses, m.b.accounts)
	}
}

// Guards against a sum of reservations that passes the budget, against running requests that are ended,
// against a budget that keeps a request out although nothing else runs, and against reservations that are
// never released.
func TestRandom(t *testing.T) {
	ended := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"open":   m.open,
			"grow":   m.grow,
			"grow2":  m.grow,
			"grow3":  m.grow,
			"run":    m.run,
			"finish": m.finish, "release": m.release,
			"draw": m.draw,
			"return": func(*rapid.T) {
				if len(m.draws) > 0 {
					m.b.Return(m.draws[0])
					m.draws = m.draws[1:]
				}
			},
			"give up": func(t *rapid.T) {
				if c := m.any(t); c != nil && m.waits[c] != nil && m.waits[c].Cancel() {
					m.close(c)
				}
			},
			"close": func(t *rapid.T) {
				if c := m.any(t); c != nil {
					m.close(c)
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		m.settle(t)
		m.drain(t)
		ended += m.ended
	})
	if ended == 0 {
		t.Error("no connection was ended in any run")
	}
}

// Package mpstate is the state machine behind the replicated log: the view
// with its recent changes, the audit trail, and the claims of non-idempotent
// requests. Apply is deterministic; time enters only as the leader's stamp.
package mpstate

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/core/version/mpview"
)

const (
	deltaWindow = 1024
	// deltaBytes bounds the memory of the changes that VMs can still fetch one
	// by one; a VM that is further behind gets the whole view.
	deltaBytes   = 4 << 20
	auditLimit   = 20_000
	answersLimit = 5_000
)

// Record is one line of the audit trail.
type Record struct {
	Revision uint64                `json:"revision"`
	At       int64                 `json:"at"`
	Who      string                `json:"who"`
	ID       string                `json:"id"`
	Change   mpview.Change         `json:"change"`
	Before   *mpcatalogue.Document `json:"before,omitempty"`
}

type answered struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// Machine holds the replicated state. Apply and Restore come from one
// goroutine; the other methods may be called at any time.
type Machine struct {
	mu      sync.RWMutex
	view    *mpview.View
	deltas  [][]byte
	first   uint64
	audit   []Record
	answers []answered
	byID    map[string]Result
	claims  claims
	orders  orders
	// whole is the encoded view at revision wholeAt.
	whole   []byte
	wholeAt uint64
	clock   int64
	changed chan struct{}
}

// New returns the state at revision 0.
func New() *Machine {
	return &Machine{
		view:    mpview.Empty(),
		first:   1,
		byID:    map[string]Result{},
		claims:  newClaims(),
		changed: make(chan struct{}),
	}
}

// Apply executes one encoded command and returns its encoded Result.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.apply(command)
	out, err := json.Marshal(r)
	if err != nil {
		panic(err) // Result holds only plain values.
	}
	return out
}

func (m *Machine) apply(command []byte) Result {
	at, c, err := Decode(command)
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	m.clock = max(m.clock, at)
	switch c := c.(type) {
	case Change:
		return m.change(c)
	case Read:
		return m.read()
	case Claim:
		return m.claims.claim(m.clock, c)
	case Finish:
		return m.claims.finish(c)
	case MarkInDoubt:
		return m.claims.doubt(c)
	case Release:
		return m.claims.release(c)
	case Order:
		return m.order(c)
	case OrderCompletion:
		return m.orders.carried(c)
	}
	return Result{Code: CodeInvalid}
}

func (m *Machine) read() Result {
	r := Result{Code: CodeDone, Revision: m.view.Revision()}
	if routing := m.view.Routing(); routing.Version > 0 {
		r.Routing = &routing
	}
	return r
}

func (m *Machine) order(c Order) Result {
	if _, ok := m.view.Catalogue().Upstream(c.Upstream); !ok {
		return Result{Code: CodeNotFound, Text: "upstream/" + c.Upstream}
	}
	return m.orders.add(m.clock, c)
}

func (m *Machine) change(c Change) Result {
	if r, ok := m.byID[c.ID]; ok && c.ID != "" {
		return r
	}
	r := m.tryChange(c)
	m.remember(c.ID, r)
	return r
}

func (m *Machine) tryChange(c Change) Result {
	if err := m.view.CheckConflict(c.Base, c.Change.Op); err != nil {
		return Result{Code: CodeConflict, Text: err.Error(), Revision: m.view.Revision()}
	}
	next, err := m.view.Apply(c.Change.Op)
	switch {
	case errors.Is(err, mperror.ErrNotFound):
		return Result{Code: CodeNotFound, Text: err.Error()}
	case err != nil:
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	rec := Record{Revision: next.Revision(), At: m.clock, Who: c.Who, ID: c.ID, Change: c.Change}
	rec.Change.Revision = next.Revision()
	if e, ok := c.Change.Op.(mpview.Edit); ok {
		before := m.view.Catalogue().AffectedRows(e.Edit)
		rec.Before = &before
	}
	delta, err := json.Marshal(rec.Change)
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	m.settle(c.Change.Op)
	m.view = next
	if p, ok := c.Change.Op.(mpview.Publish); ok {
		// The trail names the version; old documents would fill the memory.
		rec.Change.Op = mpview.Publish{Routing: mpview.Routing{Version: p.Routing.Version}}
	}
	m.audit = bounded(append(m.audit, rec), auditLimit)
	m.keepDelta(delta)
	close(m.changed)
	m.changed = make(chan struct{})
	return Result{Code: CodeDone, Revision: next.Revision()}
}

// keepDelta remembers an encoded change for the VMs that lack it.
func (m *Machine) keepDelta(delta []byte) {
	m.deltas = append(m.deltas, delta)
	bytes := 0
	for i, d := range slices.Backward(m.deltas) {
		bytes += len(d)
		if len(m.deltas)-i > deltaWindow || bytes > deltaBytes {
			m.first += uint64(i + 1)
			m.deltas = m.deltas[i+1:]
			return
		}
	}
}

// settle puts in doubt the claims whose holder a change declares dead.
func (m *Machine) settle(op mpview.Op) {
	switch op := op.(type) {
	case mpview.Join:
		m.claims.abandon(op.VM.Name, op.VM.Boot)
	case mpview.Leave:
		for _, vm := range op.VMs {
			m.claims.abandon(vm, 0)
		}
	}
}

func (m *Machine) remember(id string, r Result) {
	if id == "" {
		return
	}
	m.byID[id] = r
	m.answers = append(m.answers, answered{id, r})
	if len(m.answers) > answersLimit {
		delete(m.byID, m.answers[0].ID)
		m.answers = m.answers[1:]
	}
}

func bounded[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return list[len(list)-limit:]
}

// View returns the present view.
func (m *Machine) View() *mpview.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// ChangesSince returns the encoded changes after revision, or the whole encoded view
// when they are no longer kept or the VM starts from nothing, and the revision
// that either leads to. The caller must not change them.
func (m *Machine) ChangesSince(revision uint64) (changes [][]byte, whole []byte, at uint64, err error) {
	m.mu.RLock()
	at = m.view.Revision()
	if revision == at || revision > 0 && revision < at && revision+1 >= m.first {
		defer m.mu.RUnlock()
		if revision == at {
			return nil, nil, at, nil
		}
		return m.deltas[revision+1-m.first:], nil, at, nil
	}
	m.mu.RUnlock()
	return m.encoded()
}

// encoded returns the whole view, which is encoded once for each revision, so
// that many VMs that start together do not cost an encoding each.
func (m *Machine) encoded() ([][]byte, []byte, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.view.Revision()
	if m.whole == nil || m.wholeAt != at {
		whole, err := json.Marshal(m.view)
		if err != nil {
			return nil, nil, at, err
		}
		m.whole, m.wholeAt = whole, at
	}
	return nil, m.whole, at, nil
}

// Audit returns the records after revision, at most limit of the newest.
func (m *Machine) Audit(after uint64, limit int) []Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []Record
	for _, r := range m.audit {
		if r.Revision > after {
			out = append(out, r)
		}
	}
	return bounded(out, limit)
}

// Claims returns the number of claims kept.
func (m *Machine) Claims() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims.rows)
}

type wireMachine struct {
	View    *mpview.View `json:"view"`
	Deltas  [][]byte     `json:"deltas"`
	First   uint64       `json:"first"`
	Audit   []Record     `json:"audit"`
	Answers []answered   `json:"answers"`
	Claims  []claim      `json:"claims"`
	Swept   int64        `json:"swept"`
	Clock   int64        `json:"clock"`
	Orders  orders       `json:"orders"`
}

// Snapshot captures the whole state and returns a function that encodes it.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := wireMachine{
		View:    m.view,
		Deltas:  m.deltas,
		First:   m.first,
		Audit:   m.audit,
		Answers: m.answers,
		Claims:  make([]claim, 0, len(m.claims.rows)),
		Swept:   m.claims.swept,
		Clock:   m.clock,
		Orders:  orders{Last: maps.Clone(m.orders.Last), Fence: m.orders.Fence},
	}
	for _, c := range m.claims.rows {
		w.Claims = append(w.Claims, *c)
	}
	return func() ([]byte, error) { return json.Marshal(w) }
}

// Restore replaces the state by the one that Snapshot encoded.
func (m *Machine) Restore(data []byte) error {
	var w wireMachine
	if err := json.Unmarshal(data, &w); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "state: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = w.View
	m.deltas = w.Deltas
	m.first = w.First
	m.audit = w.Audit
	m.answers = w.Answers
	m.byID = make(map[string]Result, len(w.Answers))
	for _, a := range w.Answers {
		m.byID[a.ID] = a.Result
	}
	m.claims = newClaims()
	m.claims.swept = w.Swept
	for i := range w.Claims {
		m.claims.add(&w.Claims[i])
	}
	m.clock = w.Clock
	m.orders = w.Orders
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

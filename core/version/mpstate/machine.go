// Package mpstate implements the state machine of the replicated log: the view
// with its recent changes, the audit trail, the claims of non-idempotent
// requests, and the orders to upstreams. Apply is deterministic; its only source
// of time is the leader's timestamp in each command.
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
	maxDeltas = 1024
	// maxDeltaBytes bounds the memory for changes that VMs can fetch
	// incrementally. A VM that is further behind gets the complete view.
	maxDeltaBytes = 4 << 20
	// maxViewLag is how many changes an encoded view may lack while only VMs joined and left.
	maxViewLag         = 256
	maxAuditRecords    = 20_000
	maxRecordedResults = 5_000
)

// AuditRecord is an entry of the audit trail.
type AuditRecord struct {
	Revision uint64                `json:"revision"`
	At       int64                 `json:"at"`
	Who      string                `json:"who"`
	ID       string                `json:"id"`
	Change   mpview.Change         `json:"change"`
	Before   *mpcatalogue.Document `json:"before,omitempty"`
}

type recordedResult struct {
	ID     string `json:"id"`
	Result Result `json:"result"`
}

// Machine holds the replicated state. Apply and Restore must be called from a
// single goroutine; the other methods are safe for concurrent use.
type Machine struct {
	mu         sync.RWMutex
	view       *mpview.View
	deltas     [][]byte
	firstDelta uint64
	audit      []AuditRecord
	results    []recordedResult
	resultByID map[string]Result
	claims     claims
	orders     orders
	// accepted holds the orders of roll-outs that may be repeated.
	accepted []acceptedOrder
	// plan is the plan of view. The changes in deltas have the checksums of plans in place of the sources.
	plan Plan
	// encoded is the encoded view with the source of the plan, and lean the one without.
	encoded, lean encodedView
	clockMs       int64
	changed       chan struct{}
	// urgentRevision is the revision of the newest change that isUrgent. urgentChanged is
	// closed and replaced at the next one.
	urgentRevision uint64
	urgentChanged  chan struct{}
}

// encodedView is an encoded view at a revision. The zero value is none.
type encodedView struct {
	data     []byte
	revision uint64
}

// New returns an empty state at revision 0.
func New() *Machine {
	return &Machine{
		view:       mpview.Empty(),
		firstDelta: 1,
		resultByID: map[string]Result{},
		claims:     newClaims(),
		changed:    make(chan struct{}),

		urgentChanged: make(chan struct{}),
	}
}

// Apply applies an encoded command and returns the encoded Result.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.apply(command)
	out, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot fail: Result has only encodable fields.
	}
	return out
}

func (m *Machine) apply(command []byte) Result {
	at, c, err := Decode(command)
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	m.clockMs = max(m.clockMs, at)
	switch c := c.(type) {
	case Change:
		return m.applyChange(c)
	case Read:
		return m.applyRead(c)
	case Claim:
		return m.claims.acquire(m.clockMs, c)
	case Finish:
		return m.claims.finish(c)
	case MarkInDoubt:
		return m.claims.markInDoubt(c)
	case Release:
		return m.claims.release(c)
	case Order:
		return m.applyOrder(c)
	case OrderCompletion:
		return m.orders.complete(c)
	case RolloutOrder:
		return m.applyRolloutOrder(c)
	}
	return Result{Code: CodeInvalid}
}

func (m *Machine) applyRead(c Read) Result {
	r := Result{Code: CodeDone, Revision: m.view.Revision()}
	if c.Pool != "" {
		rollout, ok := m.view.Rollout(c.Pool)
		if !ok {
			return Result{Code: CodeNotFound, Text: "roll-out of " + c.Pool}
		}
		r.Rollout = &rollout
		return r
	}
	if routing := m.view.Routing(); routing.Version > 0 {
		r.Routing = &routing
	}
	return r
}

func (m *Machine) applyOrder(c Order) Result {
	if _, ok := m.view.Catalogue().Upstream(c.Upstream); !ok {
		return Result{Code: CodeNotFound, Text: "upstream/" + c.Upstream}
	}
	return m.orders.add(m.clockMs, c)
}

func (m *Machine) applyChange(c Change) Result {
	if r, ok := m.resultByID[c.ID]; ok && c.ID != "" {
		return r
	}
	r := m.tryChange(c)
	m.recordResult(c.ID, r)
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
	case errors.Is(err, mperror.ErrConflict):
		return Result{Code: CodeConflict, Text: err.Error(), Revision: m.view.Revision()}
	case err != nil:
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	rec := AuditRecord{Revision: next.Revision(), At: m.clockMs, Who: c.Who, ID: c.ID, Change: c.Change}
	rec.Change.Revision = next.Revision()
	if e, ok := c.Change.Op.(mpview.Edit); ok {
		before := m.view.Catalogue().AffectedRows(e.Edit)
		rec.Before = &before
	}
	published, isPublish := c.Change.Op.(mpview.Publish)
	if isPublish && !m.view.Replaces(published) {
		return m.skipPublish(next)
	}
	if isPublish {
		published.Routing = published.Routing.WithoutSource()
		rec.Change.Op = published
	}
	delta, err := json.Marshal(rec.Change)
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	m.abandonClaims(c.Change.Op)
	if isPublish {
		m.plan = NewPlan(next.Routing(), next.Revision())
		// Record only the version in the audit trail, because the documents of
		// old plans would take too much memory.
		rec.Change.Op = mpview.Publish{Routing: mpview.Routing{Version: published.Routing.Version}}
	}
	m.audit = lastN(append(m.audit, rec), maxAuditRecords)
	m.advance(next, delta)
	if isUrgent(c.Change.Op) {
		m.urgentRevision = next.Revision()
		close(m.urgentChanged)
		m.urgentChanged = make(chan struct{})
	}
	return Result{Code: CodeDone, Revision: next.Revision()}
}

// skipPublish applies a Publish that does not take effect. It counts as a revision, since voters of earlier
// builds count it and VMs compare revisions, but it is neither urgent nor part of the audit trail. VMs get
// the ID of the plan in force, not that of the other one.
func (m *Machine) skipPublish(next *mpview.View) Result {
	inForce := mpview.Publish{Routing: mpview.Routing{Version: m.plan.Version(), Sum: m.plan.Sum()}}
	delta, err := json.Marshal(mpview.Change{Revision: next.Revision(), Op: inForce})
	if err != nil {
		return Result{Code: CodeInvalid, Text: err.Error()}
	}
	m.advance(next, delta)
	return m.superseded()
}

// superseded returns the result of a Publish that does not take effect: it is done as soon as the plan in
// force is.
func (m *Machine) superseded() Result {
	return Result{Code: CodeDone, Revision: m.plan.PublishedAt()}
}

// Superseded returns the result of a command that publishes a plan which cannot take effect any more, whatever
// else is committed before it, and that plan beside the one in force. It returns false for every other command.
func (m *Machine) Superseded(c Command) (r Result, published, inForce mpview.PlanID, ok bool) {
	change, _ := c.(Change)
	publish, isPublish := change.Change.Op.(mpview.Publish)
	if !isPublish || change.Base != 0 {
		return Result{}, mpview.PlanID{}, mpview.PlanID{}, false
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.view.Replaces(publish) {
		return Result{}, mpview.PlanID{}, mpview.PlanID{}, false
	}
	return m.superseded(), publish.Routing.ID(), m.plan.ID(), true
}

// advance replaces the view with the next one, to which the encoded change leads.
func (m *Machine) advance(next *mpview.View, delta []byte) {
	m.view = next
	m.appendDelta(delta)
	close(m.changed)
	m.changed = make(chan struct{})
}

// isUrgent reports whether VMs need a change at once. One that joins, or whose lease has ended, is
// not urgent: VMs cannot rely on who is up in any case, and after a loss of many VMs a change for
// each of them would otherwise be sent to all the others one by one.
func isUrgent(op mpview.Op) bool {
	switch op := op.(type) {
	case mpview.Join:
		return op.VM.Leaving
	case mpview.Leave:
		return false
	}
	return true
}

// appendDelta keeps an encoded change for VMs that have not received it yet, and
// drops the oldest ones beyond maxDeltas or maxDeltaBytes.
func (m *Machine) appendDelta(delta []byte) {
	m.deltas = append(m.deltas, delta)
	bytes := 0
	for i, d := range slices.Backward(m.deltas) {
		bytes += len(d)
		if len(m.deltas)-i > maxDeltas || bytes > maxDeltaBytes {
			m.firstDelta += uint64(i + 1)
			m.deltas = m.deltas[i+1:]
			return
		}
	}
}

// abandonClaims marks as in doubt the claims whose holder is removed or restarted
// by op.
func (m *Machine) abandonClaims(op mpview.Op) {
	switch op := op.(type) {
	case mpview.Join:
		m.claims.abandon(op.VM.Name, op.VM.Boot)
	case mpview.Leave:
		for _, vm := range op.VMs {
			m.claims.abandon(vm, 0)
		}
	}
}

func (m *Machine) recordResult(id string, r Result) {
	if id == "" {
		return
	}
	m.resultByID[id] = r
	m.results = append(m.results, recordedResult{id, r})
	if len(m.results) > maxRecordedResults {
		delete(m.resultByID, m.results[0].ID)
		m.results = m.results[1:]
	}
}

func lastN[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return list[len(list)-limit:]
}

// View returns the current view.
func (m *Machine) View() *mpview.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Changed returns a channel that is closed when the view next changes.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Urgent returns the revision of the newest change that VMs need at once, and a channel that is
// closed at the next one.
func (m *Machine) Urgent() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.urgentRevision, m.urgentChanged
}

// Plan returns the plan in force. The caller must not modify its source.
func (m *Machine) Plan() Plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.plan
}

// ChangesSince returns the encoded changes after revision, and the revision that
// they lead to. If the changes are no longer kept, publish a plan, or revision is 0 because
// the VM has no view yet, it returns the complete encoded view instead. The caller
// must not modify the results.
func (m *Machine) ChangesSince(revision uint64) (changes [][]byte, view []byte, at uint64, err error) {
	return m.changesSince(revision, false)
}

// LeanChangesSince is like ChangesSince for a VM that gets plans by themselves: the results have the
// checksums of plans in place of the sources.
func (m *Machine) LeanChangesSince(revision uint64) (changes [][]byte, view []byte, at uint64, err error) {
	return m.changesSince(revision, true)
}

func (m *Machine) changesSince(revision uint64, lean bool) (changes [][]byte, view []byte, at uint64, err error) {
	m.mu.RLock()
	at = m.view.Revision()
	isKept := revision > 0 && revision < at && revision+1 >= m.firstDelta && (lean || revision >= m.plan.PublishedAt())
	if revision == at || isKept {
		defer m.mu.RUnlock()
		if revision == at {
			return nil, nil, at, nil
		}
		return m.deltas[revision+1-m.firstDelta:], nil, at, nil
	}
	m.mu.RUnlock()
	return m.encodeView(lean)
}

// encodeView returns the complete view, or one to which only changes that are not urgent were
// made since, so that many VMs that start at the same time do not each cost an encoding.
func (m *Machine) encodeView(lean bool) ([][]byte, []byte, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, view := &m.encoded, m.view
	if lean {
		encoded, view = &m.lean, m.view.WithoutPlan()
	}
	at := m.view.Revision()
	isRecent := encoded.revision >= m.urgentRevision && encoded.revision+1 >= m.firstDelta && at-encoded.revision <= maxViewLag
	if encoded.data != nil && isRecent {
		return nil, encoded.data, encoded.revision, nil
	}
	if encoded.data == nil || encoded.revision != at {
		data, err := json.Marshal(view)
		if err != nil {
			return nil, nil, at, err
		}
		*encoded = encodedView{data, at}
	}
	return nil, encoded.data, at, nil
}

// Audit returns the records after revision after, at most the newest limit ones.
func (m *Machine) Audit(after uint64, limit int) []AuditRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []AuditRecord
	for _, r := range m.audit {
		if r.Revision > after {
			out = append(out, r)
		}
	}
	return lastN(out, limit)
}

// Claims returns the number of claims in the table.
func (m *Machine) Claims() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.claims.rows)
}

// wireMachine leaves out the changes that VMs can fetch one by one: those who lag behind a voter's
// restart get the view. Earlier builds read them from deltas, beginning with the one at first.
type wireMachine struct {
	View        *mpview.View     `json:"view"`
	Deltas      [][]byte         `json:"deltas"`
	FirstDelta  uint64           `json:"first"`
	Audit       []AuditRecord    `json:"audit"`
	Results     []recordedResult `json:"answers"`
	Claims      []claim          `json:"claims"`
	SweptMinute int64            `json:"swept"`
	ClockMs     int64            `json:"clock"`
	Orders      orders           `json:"orders"`
	Accepted    []acceptedOrder  `json:"accepted,omitempty"`
}

// Snapshot captures the complete state and returns a function that encodes it.
func (m *Machine) Snapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	w := wireMachine{
		View:        m.view,
		FirstDelta:  m.view.Revision() + 1,
		Audit:       m.audit,
		Results:     m.results,
		Claims:      make([]claim, 0, len(m.claims.rows)),
		SweptMinute: m.claims.sweptMinute,
		ClockMs:     m.clockMs,
		Orders:      orders{Last: maps.Clone(m.orders.Last), Fence: m.orders.Fence},
		Accepted:    m.accepted,
	}
	for _, c := range m.claims.rows {
		w.Claims = append(w.Claims, *c)
	}
	return func() ([]byte, error) { return json.Marshal(w) }
}

// Restore replaces the state with the one encoded by Snapshot.
func (m *Machine) Restore(data []byte) error {
	var w wireMachine
	if err := json.Unmarshal(data, &w); err != nil {
		return mperror.Wrap(mperror.ErrCorrupt, "state: %v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = w.View
	m.deltas, m.firstDelta = nil, w.View.Revision()+1
	m.audit = w.Audit
	m.results = w.Results
	m.resultByID = make(map[string]Result, len(w.Results))
	for _, a := range w.Results {
		m.resultByID[a.ID] = a.Result
	}
	m.claims = newClaims()
	m.claims.sweptMinute = w.SweptMinute
	for i := range w.Claims {
		m.claims.add(&w.Claims[i])
	}
	m.clockMs = w.ClockMs
	m.orders, m.accepted = w.Orders, w.Accepted
	m.encoded, m.lean = encodedView{}, encodedView{}
	m.urgentRevision = w.View.Revision()
	m.plan = NewPlan(w.View.Routing(), w.View.Revision())
	close(m.changed)
	close(m.urgentChanged)
	m.changed, m.urgentChanged = make(chan struct{}), make(chan struct{})
	return nil
}

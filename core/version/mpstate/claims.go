package mpstate

import "time"

const (
	// ClaimWindow is how long an idempotency key is valid after it was issued.
	ClaimWindow = 10 * time.Minute
	// maxClockSkew is how far a caller's clock may be ahead of the leader's.
	maxClockSkew = time.Minute
	// MaxClaims is the maximum number of claims kept.
	MaxClaims = 100_000
	// MaxRecordedBytes is the size of the largest response body that is kept.
	MaxRecordedBytes = 4 << 10
)

type claimState string

const (
	claimRunning  claimState = "running"
	claimFinished claimState = "finished"
	claimInDoubt  claimState = "doubt"
)

type claim struct {
	Ref         ClaimRef   `json:"ref"`
	Fingerprint uint64     `json:"print"`
	Issued      int64      `json:"issued"`
	State       claimState `json:"state"`
	Holder      Holder     `json:"holder"`
	Answer      *Answer    `json:"answer,omitempty"`
}

// claims is the table of non-idempotent requests within ClaimWindow. Each key
// carries its issue time, so a claim can be evicted once its key has expired and
// is refused.
type claims struct {
	rows        map[ClaimRef]*claim
	byMinute    map[int64][]ClaimRef
	sweptMinute int64
}

func newClaims() claims {
	return claims{rows: map[ClaimRef]*claim{}, byMinute: map[int64][]ClaimRef{}}
}

func minuteOf(ms int64) int64 { return ms / time.Minute.Milliseconds() }

func (t *claims) add(c *claim) {
	t.rows[c.Ref] = c
	m := minuteOf(c.Issued)
	t.byMinute[m] = append(t.byMinute[m], c.Ref)
}

// evictExpired deletes the claims whose keys are too old to be accepted at now.
func (t *claims) evictExpired(now int64) {
	oldest := minuteOf(now - ClaimWindow.Milliseconds())
	if oldest <= t.sweptMinute {
		return
	}
	t.sweptMinute = oldest
	for m, refs := range t.byMinute {
		if m >= oldest {
			continue
		}
		for _, ref := range refs {
			if c, ok := t.rows[ref]; ok && minuteOf(c.Issued) == m {
				delete(t.rows, ref)
			}
		}
		delete(t.byMinute, m)
	}
}

func (t *claims) acquire(now int64, c Claim) Result {
	t.evictExpired(now)
	if existing, ok := t.rows[c.Ref]; ok {
		return existing.retryResult(c)
	}
	if c.Issued < now-ClaimWindow.Milliseconds() || c.Issued > now+maxClockSkew.Milliseconds() {
		return Result{Code: CodeExpired}
	}
	if len(t.rows) >= MaxClaims {
		return Result{Code: CodeFull}
	}
	t.add(&claim{Ref: c.Ref, Fingerprint: c.Fingerprint, Issued: c.Issued, State: claimRunning, Holder: c.Holder})
	return Result{Code: CodeDone}
}

// retryResult returns the result for a claim whose key is already taken. The
// holder itself may retry if it did not receive the first result.
func (c *claim) retryResult(retry Claim) Result {
	if c.Fingerprint != retry.Fingerprint {
		return Result{Code: CodeMismatch}
	}
	switch c.State {
	case claimFinished:
		return Result{Code: CodeFinished, Answer: c.Answer}
	case claimInDoubt:
		return Result{Code: CodeInDoubt}
	case claimRunning:
	}
	if c.Holder == retry.Holder {
		return Result{Code: CodeDone}
	}
	return Result{Code: CodeRunning}
}

// heldBy returns the claim of ref, in any state, if h holds it.
func (t *claims) heldBy(ref ClaimRef, h Holder) (*claim, bool) {
	c, ok := t.rows[ref]
	if !ok || c.Holder != h {
		return nil, false
	}
	return c, true
}

func (t *claims) finish(f Finish) Result {
	c, ok := t.heldBy(f.Ref, f.Holder)
	if !ok {
		return Result{Code: CodeNotFound}
	}
	a := f.Answer
	if len(a.Body) > MaxRecordedBytes {
		a.Body = nil
	}
	c.State = claimFinished
	c.Answer = &a
	return Result{Code: CodeDone}
}

func (t *claims) markInDoubt(d MarkInDoubt) Result {
	c, ok := t.heldBy(d.Ref, d.Holder)
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if c.State == claimRunning {
		c.State = claimInDoubt
	}
	return Result{Code: CodeDone}
}

func (t *claims) release(r Release) Result {
	c, ok := t.heldBy(r.Ref, r.Holder)
	if !ok || c.State != claimRunning {
		return Result{Code: CodeNotFound}
	}
	delete(t.rows, r.Ref)
	return Result{Code: CodeDone}
}

// abandon marks as in doubt the running claims held by other boots of vm. A boot
// of 0 means that the VM is gone, so that it matches all of them.
func (t *claims) abandon(vm string, boot uint64) {
	for _, c := range t.rows {
		if c.State == claimRunning && c.Holder.VM == vm && c.Holder.Boot != boot {
			c.State = claimInDoubt
		}
	}
}

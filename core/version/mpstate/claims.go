package mpstate

import "time"

const (
	// ClaimWindow is how long a key may be used after it was issued.
	ClaimWindow = 10 * time.Minute
	// claimAhead is how far a caller's clock may run before the leader's.
	claimAhead = time.Minute
	// MaxClaims bounds the claims kept at a time.
	MaxClaims = 100_000
	// MaxRecordedBytes is the longest answer body that is kept, in bytes.
	MaxRecordedBytes = 4 << 10
)

type claimState string

const (
	claimRunning  claimState = "running"
	claimFinished claimState = "finished"
	claimDoubt    claimState = "doubt"
)

type claim struct {
	Ref    Ref        `json:"ref"`
	Print  uint64     `json:"print"`
	Issued int64      `json:"issued"`
	State  claimState `json:"state"`
	Holder Holder     `json:"holder"`
	Answer *Answer    `json:"answer,omitempty"`
}

// claims is the table of non-idempotent requests of the last window. Each key
// carries its issue time, so a claim can be forgotten once its key is refused
// for its age.
type claims struct {
	rows    map[Ref]*claim
	minutes map[int64][]Ref
	swept   int64
}

func newClaims() claims {
	return claims{rows: map[Ref]*claim{}, minutes: map[int64][]Ref{}}
}

func minuteOf(ms int64) int64 { return ms / time.Minute.Milliseconds() }

func (t *claims) add(c *claim) {
	t.rows[c.Ref] = c
	m := minuteOf(c.Issued)
	t.minutes[m] = append(t.minutes[m], c.Ref)
}

// sweep forgets claims whose keys are too old to be used at now.
func (t *claims) sweep(now int64) {
	oldest := minuteOf(now - ClaimWindow.Milliseconds())
	if oldest <= t.swept {
		return
	}
	t.swept = oldest
	for m, refs := range t.minutes {
		if m >= oldest {
			continue
		}
		for _, ref := range refs {
			if c, ok := t.rows[ref]; ok && minuteOf(c.Issued) == m {
				delete(t.rows, ref)
			}
		}
		delete(t.minutes, m)
	}
}

func (t *claims) claim(now int64, c Claim) Result {
	t.sweep(now)
	if have, ok := t.rows[c.Ref]; ok {
		return have.resend(c)
	}
	if c.Issued < now-ClaimWindow.Milliseconds() || c.Issued > now+claimAhead.Milliseconds() {
		return Result{Code: CodeExpired}
	}
	if len(t.rows) >= MaxClaims {
		return Result{Code: CodeFull}
	}
	t.add(&claim{Ref: c.Ref, Print: c.Fingerprint, Issued: c.Issued, State: claimRunning, Holder: c.Holder})
	return Result{Code: CodeDone}
}

// resend answers a claim whose key is taken. The holder itself may ask again
// after it lost the first answer.
func (c *claim) resend(again Claim) Result {
	if c.Print != again.Fingerprint {
		return Result{Code: CodeMismatch}
	}
	switch c.State {
	case claimFinished:
		return Result{Code: CodeFinished, Answer: c.Answer}
	case claimDoubt:
		return Result{Code: CodeInDoubt}
	case claimRunning:
	}
	if c.Holder == again.Holder {
		return Result{Code: CodeDone}
	}
	return Result{Code: CodeRunning}
}

// held returns the running claim of ref if holder holds it.
func (t *claims) held(ref Ref, h Holder) (*claim, bool) {
	c, ok := t.rows[ref]
	if !ok || c.Holder != h {
		return nil, false
	}
	return c, true
}

func (t *claims) finish(f Finish) Result {
	c, ok := t.held(f.Ref, f.Holder)
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

func (t *claims) doubt(d MarkInDoubt) Result {
	c, ok := t.held(d.Ref, d.Holder)
	if !ok {
		return Result{Code: CodeNotFound}
	}
	if c.State == claimRunning {
		c.State = claimDoubt
	}
	return Result{Code: CodeDone}
}

func (t *claims) release(r Release) Result {
	c, ok := t.held(r.Ref, r.Holder)
	if !ok || c.State != claimRunning {
		return Result{Code: CodeNotFound}
	}
	delete(t.rows, r.Ref)
	return Result{Code: CodeDone}
}

// abandon puts in doubt what other boots of vm left running. A boot of 0
// means that the VM is gone.
func (t *claims) abandon(vm string, boot uint64) {
	for _, c := range t.rows {
		if c.State == claimRunning && c.Holder.VM == vm && c.Holder.Boot != boot {
			c.State = claimDoubt
		}
	}
}

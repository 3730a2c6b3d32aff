package mpstate

import (
	"encoding/json"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mprollout"
	"mustardpost.org/core/version/mpview"
)

// Command is an entry of the replicated log.
type Command interface{ command() }

// Change is a request to change the view.
type Change struct {
	// ID is chosen by the proposer. A retry with the same ID gets the result of
	// the first attempt.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the revision that the proposer read; 0 skips the conflict check.
	Base   uint64        `json:"base"`
	Change mpview.Change `json:"change"`
}

// Holder identifies the process that runs a claimed request.
type Holder struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
	// Request is the holder's own ID of the request.
	Request uint64 `json:"request"`
}

// ClaimRef identifies a claim.
type ClaimRef struct {
	Account string `json:"account"`
	Key     string `json:"key"`
}

// Claim requests the right to run a non-idempotent request once.
type Claim struct {
	Ref         ClaimRef `json:"ref"`
	Fingerprint uint64   `json:"print"`
	Holder      Holder   `json:"holder"`
	// Issued is when the caller created the key, in ms since the Unix epoch.
	Issued int64 `json:"issued"`
}

// Finish records the response to a claimed request.
type Finish struct {
	Ref    ClaimRef `json:"ref"`
	Holder Holder   `json:"holder"`
	Answer Answer   `json:"answer"`
}

// MarkInDoubt records that a claimed request may have run, but its response is
// not known.
type MarkInDoubt struct {
	Ref    ClaimRef `json:"ref"`
	Holder Holder   `json:"holder"`
}

// Release gives up a claim whose request has not been sent to any upstream.
type Release struct {
	Ref    ClaimRef `json:"ref"`
	Holder Holder   `json:"holder"`
}

// Answer is a recorded response. Body is dropped if it exceeds MaxRecordedBytes;
// Hash and Length still identify it.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body,omitempty"`
	Length int    `json:"length"`
	Hash   string `json:"hash"`
}

// Read returns the published plan, or the latest roll-out of Pool if that is set. As a
// log entry it is ordered after every change that was acknowledged before it was proposed,
// so the read is linearizable without relying on the members' clocks.
type Read struct {
	Pool string `json:"pool,omitempty"`
}

func (Change) command()      {}
func (Read) command()        {}
func (Claim) command()       {}
func (Finish) command()      {}
func (MarkInDoubt) command() {}
func (Release) command()     {}

type wireCommand struct {
	// At is the leader's clock when it accepted the command, in ms since the
	// Unix epoch.
	At              int64            `json:"at"`
	Change          *Change          `json:"change,omitempty"`
	Claim           *Claim           `json:"claim,omitempty"`
	Finish          *Finish          `json:"finish,omitempty"`
	MarkInDoubt     *MarkInDoubt     `json:"doubt,omitempty"`
	Release         *Release         `json:"release,omitempty"`
	Read            *Read            `json:"read,omitempty"`
	Order           *Order           `json:"order,omitempty"`
	OrderCompletion *OrderCompletion `json:"carried,omitempty"`
	RolloutOrder    *RolloutOrder    `json:"rollout,omitempty"`
}

// Encode encodes c as a log entry with the timestamp at, in ms since the Unix
// epoch.
func Encode(at int64, c Command) ([]byte, error) {
	w := wireCommand{At: at}
	switch c := c.(type) {
	case Change:
		w.Change = &c
	case Read:
		w.Read = &c
	case Claim:
		w.Claim = &c
	case Finish:
		w.Finish = &c
	case MarkInDoubt:
		w.MarkInDoubt = &c
	case Release:
		w.Release = &c
	case Order:
		w.Order = &c
	case OrderCompletion:
		w.OrderCompletion = &c
	case RolloutOrder:
		w.RolloutOrder = &c
	default:
		return nil, mperror.Wrap(mperror.ErrInvalid, "unknown command %T", c)
	}
	return json.Marshal(w)
}

// Decode decodes the output of Encode into the timestamp and the command.
func Decode(data []byte) (int64, Command, error) {
	var w wireCommand
	if err := json.Unmarshal(data, &w); err != nil {
		return 0, nil, mperror.Wrap(mperror.ErrInvalid, "command: %v", err)
	}
	switch {
	case w.Change != nil:
		return w.At, *w.Change, nil
	case w.Read != nil:
		return w.At, *w.Read, nil
	case w.Claim != nil:
		return w.At, *w.Claim, nil
	case w.Finish != nil:
		return w.At, *w.Finish, nil
	case w.MarkInDoubt != nil:
		return w.At, *w.MarkInDoubt, nil
	case w.Release != nil:
		return w.At, *w.Release, nil
	case w.Order != nil:
		return w.At, *w.Order, nil
	case w.OrderCompletion != nil:
		return w.At, *w.OrderCompletion, nil
	case w.RolloutOrder != nil:
		return w.At, *w.RolloutOrder, nil
	}
	return 0, nil, mperror.Wrap(mperror.ErrInvalid, "command of unknown kind")
}

// Code is the outcome of a command.
type Code string

const (
	// CodeDone means that the command took effect, now or when it was first sent.
	CodeDone Code = "done"
	// CodeInvalid means that the command is invalid and cannot take effect
	// without being corrected.
	CodeInvalid Code = "invalid"
	// CodeNotFound means that the command refers to something that does not exist.
	CodeNotFound Code = "unfound"
	// CodeConflict means that a row was changed after Base, or that the row does not allow
	// the change.
	CodeConflict Code = "conflict"
	// CodeRunning means that the claim is held and its request is still running.
	CodeRunning Code = "running"
	// CodeFinished means that the request has run; the result holds its response.
	CodeFinished Code = "finished"
	// CodeInDoubt means that the request may have run and will not be run again.
	CodeInDoubt Code = "doubt"
	// CodeMismatch means that the key was used with a different request body.
	CodeMismatch Code = "mismatch"
	// CodeExpired means that the key is older than ClaimWindow or was issued more
	// than maxClockSkew in the future.
	CodeExpired Code = "expired"
	// CodeFull means that the claim table is full.
	CodeFull Code = "full"
	// CodeUnlisted means that the order of a roll-out names no versions, since the leader had
	// not read the platform's list. It has not taken effect.
	CodeUnlisted Code = "unlisted"
)

// Result is the result of applying a command.
type Result struct {
	Code Code   `json:"code"`
	Text string `json:"text,omitempty"`
	// Revision is a revision of the view or, for an Order, its fencing number.
	Revision uint64  `json:"revision,omitempty"`
	Answer   *Answer `json:"answer,omitempty"`
	// Routing is the plan returned by a Read; nil if none is published.
	Routing *mpview.Routing `json:"routing,omitempty"`
	// Rollout is the roll-out returned by a Read of a pool, or the one that a RolloutOrder
	// started or repeats.
	Rollout *mprollout.Rollout `json:"rollout,omitempty"`
}

// DecodeResult decodes the output of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, mperror.Wrap(mperror.ErrInvalid, "result: %v", err)
	}
	return r, nil
}

// Err returns an error that wraps the sentinel for the code of a failed change, order of a
// roll-out or read. It returns nil for all other codes.
func (r Result) Err() error {
	switch r.Code {
	case CodeInvalid:
		return mperror.Wrap(mperror.ErrInvalid, "%s", r.Text)
	case CodeNotFound:
		return mperror.Wrap(mperror.ErrNotFound, "%s", r.Text)
	case CodeConflict:
		return mperror.Wrap(mperror.ErrConflict, "%s", r.Text)
	case CodeUnlisted:
		return mperror.ErrNoList
	}
	return nil
}

package mpstate

import (
	"encoding/json"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/version/mpview"
)

// Command is one kind of entry in the replicated log.
type Command interface{ command() }

// Change asks for one change of the view.
type Change struct {
	// ID is the proposer's own id; a resend with the same id gets the first answer.
	ID  string `json:"id"`
	Who string `json:"who"`
	// Base is the revision that the proposer saw; 0 skips the check.
	Base   uint64        `json:"base"`
	Change mpview.Change `json:"change"`
}

// Holder identifies the process that runs a claimed request.
type Holder struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
	// Request is the holder's id of the request that holds the claim.
	Request uint64 `json:"request"`
}

// Ref names a claim.
type Ref struct {
	Account string `json:"account"`
	Key     string `json:"key"`
}

// Claim asks for the right to run a non-idempotent request once.
type Claim struct {
	Ref         Ref    `json:"ref"`
	Fingerprint uint64 `json:"print"`
	Holder      Holder `json:"holder"`
	// Issued is when the caller made the key, in ms since the Unix epoch.
	Issued int64 `json:"issued"`
}

// Finish records the answer of a claimed request.
type Finish struct {
	Ref    Ref    `json:"ref"`
	Holder Holder `json:"holder"`
	Answer Answer `json:"answer"`
}

// MarkInDoubt records that a claimed request may have run without a known answer.
type MarkInDoubt struct {
	Ref    Ref    `json:"ref"`
	Holder Holder `json:"holder"`
}

// Release gives a claim back; the holder has sent nothing.
type Release struct {
	Ref    Ref    `json:"ref"`
	Holder Holder `json:"holder"`
}

// Answer is a recorded answer. Body is dropped when it was too long to keep;
// Hash and Length then still identify it.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body,omitempty"`
	Length int    `json:"length"`
	Hash   string `json:"hash"`
}

// Read returns the published plan. As an entry of the log it is ordered after
// every change that was acknowledged before it was proposed, whatever the
// members' clocks do.
type Read struct{}

func (Change) command()      {}
func (Read) command()        {}
func (Claim) command()       {}
func (Finish) command()      {}
func (MarkInDoubt) command() {}
func (Release) command()     {}

type wireCommand struct {
	// At is the leader's clock when it took the command, in ms since the Unix epoch.
	At      int64            `json:"at"`
	Change  *Change          `json:"change,omitempty"`
	Claim   *Claim           `json:"claim,omitempty"`
	Finish  *Finish          `json:"finish,omitempty"`
	Doubt   *MarkInDoubt     `json:"doubt,omitempty"`
	Release *Release         `json:"release,omitempty"`
	Read    *Read            `json:"read,omitempty"`
	Order   *Order           `json:"order,omitempty"`
	Carried *OrderCompletion `json:"carried,omitempty"`
}

// Encode returns the log form of c, stamped with at in ms since the Unix epoch.
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
		w.Doubt = &c
	case Release:
		w.Release = &c
	case Order:
		w.Order = &c
	case OrderCompletion:
		w.Carried = &c
	default:
		return nil, mperror.Wrap(mperror.ErrInvalid, "unknown command %T", c)
	}
	return json.Marshal(w)
}

// Decode returns the command that Encode wrote, and its stamp.
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
	case w.Doubt != nil:
		return w.At, *w.Doubt, nil
	case w.Release != nil:
		return w.At, *w.Release, nil
	case w.Order != nil:
		return w.At, *w.Order, nil
	case w.Carried != nil:
		return w.At, *w.Carried, nil
	}
	return 0, nil, mperror.Wrap(mperror.ErrInvalid, "command of unknown kind")
}

// Code tells how a command ended.
type Code string

const (
	// CodeDone means that the command took effect, now or when first sent.
	CodeDone Code = "done"
	// CodeInvalid means that it can never take effect as it stands.
	CodeInvalid Code = "invalid"
	// CodeNotFound means that it names something unknown.
	CodeNotFound Code = "unfound"
	// CodeConflict means that a row changed since Base.
	CodeConflict Code = "conflict"
	// CodeRunning means that the claim is held and its request still runs.
	CodeRunning Code = "running"
	// CodeFinished means that the request has run; the result has its answer.
	CodeFinished Code = "finished"
	// CodeInDoubt means that the request may have run and will not run again.
	CodeInDoubt Code = "doubt"
	// CodeMismatch means that the key was used with another body.
	CodeMismatch Code = "mismatch"
	// CodeExpired means that the key is older than the window, or from the future.
	CodeExpired Code = "expired"
	// CodeFull means that no more claims can be kept now.
	CodeFull Code = "full"
)

// Result is what applying a command returned.
type Result struct {
	Code     Code    `json:"code"`
	Text     string  `json:"text,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Answer   *Answer `json:"answer,omitempty"`
	// Routing is what a Read found; nil where none is published.
	Routing *mpview.Routing `json:"routing,omitempty"`
}

// DecodeResult decodes the result of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, mperror.Wrap(mperror.ErrInvalid, "result: %v", err)
	}
	return r, nil
}

// Err returns the sentinel that a failed change stands for, or nil.
func (r Result) Err() error {
	switch r.Code {
	case CodeInvalid:
		return mperror.Wrap(mperror.ErrInvalid, "%s", r.Text)
	case CodeNotFound:
		return mperror.Wrap(mperror.ErrNotFound, "%s", r.Text)
	case CodeConflict:
		return mperror.Wrap(mperror.ErrConflict, "%s", r.Text)
	}
	return nil
}

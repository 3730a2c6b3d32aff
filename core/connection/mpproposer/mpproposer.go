// Package mpproposer commits commands from any VM. It finds the leader and resends a
// command whose reply was lost, which is safe because each command carries an ID or
// a holder that identifies it.
package mpproposer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mptime"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mpstate"
)

const (
	callTimeout = 4 * time.Second
	retryDelay  = 20 * time.Millisecond
)

// LeaderHint stores the address of the last known leader.
type LeaderHint interface {
	Leader() string
	SetLeader(address string)
}

// Config holds the dependencies of a Proposer.
type Config struct {
	Client     *mppeer.Client
	LeaderHint LeaderHint
	// Voters returns the peer addresses of VMs that may know the leader.
	Voters func() []string
}

// Proposer commits commands. It is safe for concurrent use.
type Proposer struct {
	cfg Config
}

// New returns a proposer.
func New(cfg Config) *Proposer { return &Proposer{cfg: cfg} }

// Reply is the result of a committed command.
type Reply struct {
	Result mpstate.Result
	// InForce reports whether every VM acts on the change.
	InForce bool
	Took    time.Duration
}

// Propose commits c before ctx ends, and then waits up to inForceWait until the
// change is in force everywhere. After an error that wraps ErrOutcomeUnknown the
// command may still take effect; after any other error it has not and will not.
func (p *Proposer) Propose(ctx context.Context, c mpstate.Command, inForceWait time.Duration) (Reply, error) {
	data, err := mpstate.Encode(0, c)
	if err != nil {
		return Reply{}, err
	}
	req := &mpwire.ProposeRequest{Command: data, ForceMs: uint32(inForceWait.Milliseconds())}
	inDoubt := false
	for attempt := 0; ; attempt++ {
		reply, err := p.try(ctx, p.nextAddress(attempt), req, inForceWait)
		switch {
		case err == nil:
			return reply, nil
		case errors.Is(err, mperror.ErrOutcomeUnknown):
			inDoubt = true
		case errors.Is(err, mperror.ErrInvalid):
			return Reply{}, err
		}
		if !mptime.Sleep(ctx, retryDelay) {
			if inDoubt {
				return Reply{}, mperror.Wrap(mperror.ErrOutcomeUnknown, "commit")
			}
			return Reply{}, mperror.Wrap(mperror.ErrNotLeader, "commit: %v", err)
		}
	}
}

func (p *Proposer) nextAddress(attempt int) string {
	if address := p.cfg.LeaderHint.Leader(); address != "" {
		return address
	}
	voters := p.cfg.Voters()
	return voters[attempt%len(voters)]
}

func (p *Proposer) try(ctx context.Context, address string, req *mpwire.ProposeRequest, inForceWait time.Duration) (Reply, error) {
	peer, err := p.cfg.Client.Stub(address)
	if err != nil {
		return Reply{}, mperror.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+inForceWait)
	defer cancel()
	out, err := peer.Propose(ctx, req)
	if err != nil {
		if status.Code(err) == codes.Unavailable && !errors.Is(err, mppeer.ErrSilent) {
			p.cfg.LeaderHint.SetLeader("")
		}
		return Reply{}, classifyError(err)
	}
	if len(out.GetResult()) == 0 {
		p.cfg.LeaderHint.SetLeader(out.GetLeader())
		return Reply{}, mperror.ErrNotLeader
	}
	r, err := mpstate.DecodeResult(out.GetResult())
	if err != nil {
		return Reply{}, err
	}
	return Reply{Result: r, InForce: out.GetForce(), Took: time.Duration(out.GetTookMs()) * time.Millisecond}, nil
}

// classifyError separates errors of calls that cannot have reached the leader's log
// from errors of calls that may have.
func classifyError(err error) error {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.Unauthenticated:
		return mperror.Wrap(mperror.ErrNotLeader, "%v", err)
	case codes.InvalidArgument:
		return mperror.Wrap(mperror.ErrInvalid, "%v", err)
	}
	return mperror.Wrap(mperror.ErrOutcomeUnknown, "%v", err)
}

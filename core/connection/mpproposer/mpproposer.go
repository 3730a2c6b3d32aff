// Package mpproposer commits commands from any VM: it finds the leader, and
// repeats a command whose answer was lost, which is safe because each command
// carries an id or a holder of its own.
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
	callDeadline = 4 * time.Second
	retryPause   = 20 * time.Millisecond
)

// Directory tells where the leader may be.
type Directory interface {
	Leader() string
	SetLeader(address string)
}

// Config holds what a Proposer needs from outside.
type Config struct {
	Client    *mppeer.Client
	Directory Directory
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
	// InForce tells that every VM acts on the change.
	InForce bool
	Took    time.Duration
}

// Propose commits c before ctx ends, and then waits up to force until it is in
// force everywhere. After an error that wraps ErrUnknown the command may still
// take effect; otherwise it has not and will not.
func (p *Proposer) Propose(ctx context.Context, c mpstate.Command, force time.Duration) (Reply, error) {
	data, err := mpstate.Encode(0, c)
	if err != nil {
		return Reply{}, err
	}
	req := &mpwire.ProposeRequest{Command: data, ForceMs: uint32(force.Milliseconds())}
	doubt := false
	for next := 0; ; next++ {
		reply, err := p.try(ctx, p.target(next), req, force)
		switch {
		case err == nil:
			return reply, nil
		case errors.Is(err, mperror.ErrOutcomeUnknown):
			doubt = true
		case errors.Is(err, mperror.ErrInvalid):
			return Reply{}, err
		}
		if !mptime.Sleep(ctx, retryPause) {
			if doubt {
				return Reply{}, mperror.Wrap(mperror.ErrOutcomeUnknown, "commit")
			}
			return Reply{}, mperror.Wrap(mperror.ErrNotLeader, "commit: %v", err)
		}
	}
}

func (p *Proposer) target(next int) string {
	if address := p.cfg.Directory.Leader(); address != "" {
		return address
	}
	voters := p.cfg.Voters()
	return voters[next%len(voters)]
}

func (p *Proposer) try(ctx context.Context, address string, req *mpwire.ProposeRequest, force time.Duration) (Reply, error) {
	peer, err := p.cfg.Client.To(address)
	if err != nil {
		return Reply{}, mperror.ErrNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callDeadline+force)
	defer cancel()
	out, err := peer.Propose(ctx, req)
	if err != nil {
		if status.Code(err) == codes.Unavailable {
			p.cfg.Directory.SetLeader("")
		}
		return Reply{}, translate(err)
	}
	if len(out.GetResult()) == 0 {
		p.cfg.Directory.SetLeader(out.GetLeader())
		return Reply{}, mperror.ErrNotLeader
	}
	r, err := mpstate.DecodeResult(out.GetResult())
	if err != nil {
		return Reply{}, err
	}
	return Reply{Result: r, InForce: out.GetForce(), Took: time.Duration(out.GetTookMs()) * time.Millisecond}, nil
}

// translate tells calls that cannot have reached the leader's log from those
// that may have.
func translate(err error) error {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.Unauthenticated:
		return mperror.Wrap(mperror.ErrNotLeader, "%v", err)
	case codes.InvalidArgument:
		return mperror.Wrap(mperror.ErrInvalid, "%v", err)
	}
	return mperror.Wrap(mperror.ErrOutcomeUnknown, "%v", err)
}

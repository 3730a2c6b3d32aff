package mpdaemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/request/mpattempt"
	"mustardpost.org/core/version/mpstate"
)

// peer answers the other VMs.
type peer struct {
	mpwire.UnimplementedPeerServer
	d *Daemon
}

var _ mpwire.PeerServer = (*peer)(nil)

var errNotVoter = status.Error(codes.FailedPrecondition, "not a voter")

func (p *peer) Step(ctx context.Context, r *mpwire.StepRequest) (*mpwire.StepReply, error) {
	v := p.d.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	messages, err := mppeer.DecodeEnvelopes(r.GetMessages())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &mpwire.StepReply{Messages: mppeer.EncodeEnvelopes(v.replica.Exchange(ctx, messages))}, nil
}

func (p *peer) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	if !p.d.cfg.Settings.IsVoter() {
		return nil, errNotVoter
	}
	v := p.d.voter.Load()
	if v == nil {
		return &mpwire.ProbeReply{}, nil
	}
	return &mpwire.ProbeReply{Founded: true, Cluster: v.id.Cluster, Leader: v.replica.Leader().Address}, nil
}

func (p *peer) Enroll(_ context.Context, r *mpwire.EnrollRequest) (*mpwire.EnrollReply, error) {
	v := p.d.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	if r.GetCluster() != v.id.Cluster {
		return nil, status.Error(codes.FailedPrecondition, "another deployment")
	}
	seat := mpquorum.Seat{Member: mpquorum.Member(r.GetMember()), VM: r.GetVm(), Address: r.GetAddress()}
	done, err := v.replica.Enroll(seat)
	if err != nil {
		return &mpwire.EnrollReply{Leader: v.replica.Leader().Address}, nil
	}
	return &mpwire.EnrollReply{Done: done}, nil
}

func (p *peer) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	v := p.d.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	return v.lead.Renew(ctx, r)
}

func (p *peer) Propose(ctx context.Context, r *mpwire.ProposeRequest) (*mpwire.ProposeReply, error) {
	v := p.d.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	_, c, err := mpstate.Decode(r.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	started := time.Now()
	result, err := v.lead.Propose(ctx, c)
	switch {
	case errors.Is(err, mperror.ErrNotLeader), errors.Is(err, mperror.ErrForming):
		return &mpwire.ProposeReply{Leader: v.replica.Leader().Address}, nil
	case err != nil:
		return nil, status.Error(codes.Unknown, err.Error())
	}
	reply := &mpwire.ProposeReply{}
	if wait := time.Duration(r.GetForceMs()) * time.Millisecond; wait > 0 && result.Code == mpstate.CodeDone {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		reply.Force = v.lead.AwaitForce(ctx, result.Revision)
	}
	reply.TookMs = uint32(time.Since(started).Milliseconds())
	if reply.Result, err = json.Marshal(result); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

func (p *peer) Query(_ context.Context, r *mpwire.QueryRequest) (*mpwire.QueryReply, error) {
	v := p.d.voter.Load()
	var answer any
	switch r.GetKind() {
	case mpwire.QueryRequest_OWNER:
		answer = p.d.owner.Status(time.Now())
	case mpwire.QueryRequest_AUDIT:
		if v == nil || !v.lead.IsLeading() {
			return &mpwire.QueryReply{}, nil
		}
		answer = v.machine.Audit(r.GetAfter(), int(r.GetLimit()))
	case mpwire.QueryRequest_ORDERS:
		if v == nil || !v.lead.IsLeading() {
			return &mpwire.QueryReply{}, nil
		}
		answer = v.machine.Orders()
	case mpwire.QueryRequest_VOTER:
		if v == nil {
			return &mpwire.QueryReply{}, nil
		}
		answer = mpoperator.Voter{VM: p.d.cfg.Settings.VM, Status: v.replica.Status()}
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &mpwire.QueryReply{Result: data}, nil
}

func (p *peer) Acquire(ctx context.Context, r *mpwire.AcquireRequest) (*mpwire.AcquireReply, error) {
	d, err := p.d.owner.Acquire(ctx, r.GetGroup(), r.GetEpoch(), mpattempt.DecodeAsk(r))
	if err != nil {
		return &mpwire.AcquireReply{Cause: mpwire.AcquireReply_NOT_OWNER}, nil
	}
	return mpattempt.EncodeDecision(d), nil
}

func (p *peer) Settle(_ context.Context, r *mpwire.SettleRequest) (*mpwire.SettleReply, error) {
	now := time.Now()
	for _, s := range r.GetSettlements() {
		p.d.owner.Settle(now, s.GetGroup(), mpattempt.DecodeSettlement(s))
	}
	return &mpwire.SettleReply{}, nil
}

func (p *peer) Register(_ context.Context, r *mpwire.RegisterRequest) (*mpwire.RegisterReply, error) {
	err := p.d.owner.Register(time.Now(), r.GetVm(), r.GetRevision(), r.GetGroups(), mpattempt.DecodeKnown(r))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &mpwire.RegisterReply{}, nil
}

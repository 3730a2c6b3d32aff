package mpdaemon

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/connection/mpoperator"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpconsensus"
	"mustardpost.org/core/request/mpattempt"
)

// peer implements the RPCs that other VMs call.
type peer struct {
	*mpconsensus.Service
	daemon *Daemon
}

var _ mpwire.PeerServer = (*peer)(nil)

func (p *peer) Query(_ context.Context, r *mpwire.QueryRequest) (*mpwire.QueryReply, error) {
	v := p.Voter()
	var result any
	switch r.GetKind() {
	case mpwire.QueryRequest_OWNER:
		result = p.daemon.owner.Status(time.Now())
	case mpwire.QueryRequest_AUDIT:
		if v == nil || !v.Leader().IsLeader() {
			return &mpwire.QueryReply{}, nil
		}
		result = v.StateMachine().Audit(r.GetAfter(), int(r.GetLimit()))
	case mpwire.QueryRequest_ORDERS:
		if v == nil || !v.Leader().IsLeader() {
			return &mpwire.QueryReply{}, nil
		}
		result = v.StateMachine().Orders()
	case mpwire.QueryRequest_VOTER:
		if v == nil {
			return &mpwire.QueryReply{}, nil
		}
		result = mpoperator.Voter{VM: p.daemon.cfg.Settings.VM, Status: v.Replica().Status()}
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &mpwire.QueryReply{Result: data}, nil
}

func (p *peer) Acquire(ctx context.Context, r *mpwire.AcquireRequest) (*mpwire.AcquireReply, error) {
	d, err := p.daemon.owner.Acquire(ctx, r.GetGroup(), r.GetEpoch(), mpattempt.DecodeAcquire(r))
	if err != nil {
		return &mpwire.AcquireReply{Cause: mpwire.AcquireReply_NOT_OWNER}, nil
	}
	return mpattempt.EncodeDecision(d), nil
}

func (p *peer) Settle(_ context.Context, r *mpwire.SettleRequest) (*mpwire.SettleReply, error) {
	now := time.Now()
	for _, s := range r.GetSettlements() {
		p.daemon.owner.Settle(now, s.GetGroup(), mpattempt.DecodeSettlement(s))
	}
	return &mpwire.SettleReply{}, nil
}

func (p *peer) Register(_ context.Context, r *mpwire.RegisterRequest) (*mpwire.RegisterReply, error) {
	err := p.daemon.owner.Register(time.Now(), r.GetVm(), r.GetRevision(), r.GetGroups(), mpattempt.DecodeRegister(r))
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &mpwire.RegisterReply{}, nil
}

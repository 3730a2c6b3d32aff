package mpseat

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mppeer"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpquorum"
	"mustardpost.org/core/version/mpstate"
)

var errNotVoter = status.Error(codes.FailedPrecondition, "not a voter")

// Service answers the calls of other VMs that concern replicated state. VMs
// without a seat refuse them.
type Service struct {
	mpwire.UnimplementedPeerServer
	// IsVoter tells that this VM is a voter, also before its seat has started.
	IsVoter bool

	seat atomic.Pointer[Voter]
}

var _ mpwire.PeerServer = (*Service)(nil)

// SetVoter makes the service answer from seat.
func (s *Service) SetVoter(seat *Voter) { s.seat.Store(seat) }

// Voter returns the seat, or nil.
func (s *Service) Voter() *Voter { return s.seat.Load() }

// Step delivers replication messages and returns the replies to them.
func (s *Service) Step(ctx context.Context, r *mpwire.StepRequest) (*mpwire.StepReply, error) {
	v := s.seat.Load()
	if v == nil {
		return nil, errNotVoter
	}
	messages, err := mppeer.DecodeEnvelopes(r.GetMessages())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &mpwire.StepReply{Messages: mppeer.EncodeEnvelopes(v.replica.Exchange(ctx, messages))}, nil
}

// Probe tells whether this voter holds a log, and for which deployment.
func (s *Service) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	if !s.IsVoter {
		return nil, errNotVoter
	}
	v := s.seat.Load()
	if v == nil {
		return &mpwire.ProbeReply{}, nil
	}
	return &mpwire.ProbeReply{Founded: true, Cluster: v.id.Cluster, Leader: v.replica.LeaderInfo().Address}, nil
}

// Enroll moves a new member one step towards voting.
func (s *Service) Enroll(_ context.Context, r *mpwire.EnrollRequest) (*mpwire.EnrollReply, error) {
	v := s.seat.Load()
	if v == nil {
		return nil, errNotVoter
	}
	if r.GetCluster() != v.id.Cluster {
		return nil, status.Error(codes.FailedPrecondition, "another deployment")
	}
	seat := mpquorum.MemberInfo{Member: mpquorum.MemberID(r.GetMember()), VM: r.GetVm(), Address: r.GetAddress()}
	done, err := v.replica.Enroll(seat)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &mpwire.EnrollReply{Done: done}, nil
}

// Renew extends a VM's lease.
func (s *Service) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	v := s.seat.Load()
	if v == nil {
		return nil, errNotVoter
	}
	return v.lead.Renew(ctx, r)
}

// Propose commits one command.
func (s *Service) Propose(ctx context.Context, r *mpwire.ProposeRequest) (*mpwire.ProposeReply, error) {
	v := s.seat.Load()
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
		return &mpwire.ProposeReply{Leader: v.replica.LeaderInfo().Address}, nil
	case err != nil:
		return nil, status.Error(codes.Unknown, err.Error())
	}
	reply := &mpwire.ProposeReply{}
	if wait := time.Duration(r.GetForceMs()) * time.Millisecond; wait > 0 && result.Code == mpstate.CodeDone {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		reply.Force = v.lead.AwaitInForce(ctx, result.Revision)
	}
	reply.TookMs = uint32(time.Since(started).Milliseconds())
	if reply.Result, err = json.Marshal(result); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

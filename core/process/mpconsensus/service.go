package mpconsensus

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

// Service serves the calls of other VMs that concern the replicated state. Without a
// running voter it refuses them, except that a VM that is a voter still answers Probe.
type Service struct {
	mpwire.UnimplementedPeerServer
	// IsVoter reports whether this VM is a voter, even if the voter has not started yet.
	IsVoter bool

	voter atomic.Pointer[Voter]
}

var _ mpwire.PeerServer = (*Service)(nil)

// SetVoter sets the voter that serves the calls; nil if none is running.
func (s *Service) SetVoter(v *Voter) { s.voter.Store(v) }

// Voter returns the running voter, or nil.
func (s *Service) Voter() *Voter { return s.voter.Load() }

// Step delivers replication messages to the voter and returns the replies.
func (s *Service) Step(ctx context.Context, r *mpwire.StepRequest) (*mpwire.StepReply, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	messages, err := mppeer.DecodeEnvelopes(r.GetMessages())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &mpwire.StepReply{Messages: mppeer.EncodeEnvelopes(v.replica.Exchange(ctx, messages))}, nil
}

// Probe reports whether this voter holds a log, and for which deployment. While the voter
// is not running, it reports that there is no log.
func (s *Service) Probe(context.Context, *mpwire.ProbeRequest) (*mpwire.ProbeReply, error) {
	if !s.IsVoter {
		return nil, errNotVoter
	}
	v := s.voter.Load()
	if v == nil {
		return &mpwire.ProbeReply{}, nil
	}
	return &mpwire.ProbeReply{Founded: true, Cluster: v.id.Cluster, Leader: v.replica.LeaderInfo().Address}, nil
}

// Enroll advances a new member by one step towards being a voter.
func (s *Service) Enroll(_ context.Context, r *mpwire.EnrollRequest) (*mpwire.EnrollReply, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	if r.GetCluster() != v.id.Cluster {
		return nil, status.Error(codes.FailedPrecondition, "another deployment")
	}
	member := mpquorum.MemberInfo{Member: mpquorum.MemberID(r.GetMember()), VM: r.GetVm(), Address: r.GetAddress()}
	done, err := v.replica.Enroll(member)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &mpwire.EnrollReply{Done: done}, nil
}

// Renew extends a VM's lease.
func (s *Service) Renew(ctx context.Context, r *mpwire.RenewRequest) (*mpwire.RenewReply, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	return v.leader.Renew(ctx, r)
}

// Fetch returns a part of the routing plan.
func (s *Service) Fetch(_ context.Context, r *mpwire.FetchRequest) (*mpwire.PlanPart, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	return v.leader.Fetch(time.Now(), r), nil
}

// Report takes over what a VM has counted of the roll-outs that run.
func (s *Service) Report(_ context.Context, r *mpwire.ReportRequest) (*mpwire.ReportReply, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	return v.leader.Report(time.Now(), r), nil
}

// Propose commits one command.
func (s *Service) Propose(ctx context.Context, r *mpwire.ProposeRequest) (*mpwire.ProposeReply, error) {
	v := s.voter.Load()
	if v == nil {
		return nil, errNotVoter
	}
	_, c, err := mpstate.Decode(r.GetCommand())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	started := time.Now()
	result, err := v.leader.Propose(ctx, c)
	switch {
	case errors.Is(err, mperror.ErrNotLeader), errors.Is(err, mperror.ErrTooFewVoters):
		return &mpwire.ProposeReply{Leader: v.replica.LeaderInfo().Address}, nil
	case err != nil:
		return nil, status.Error(codes.Unknown, err.Error())
	}
	reply := &mpwire.ProposeReply{}
	if wait := time.Duration(r.GetForceMs()) * time.Millisecond; wait > 0 && result.Code == mpstate.CodeDone {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		reply.Force = v.leader.AwaitInForce(ctx, result.Revision)
	}
	reply.TookMs = uint32(time.Since(started).Milliseconds())
	if reply.Result, err = json.Marshal(result); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

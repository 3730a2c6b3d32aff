package mppeer

import (
	"context"

	"google.golang.org/grpc/stats"

	"mustardpost.org/core/process/mpmetric"
)

var _ stats.Handler = traffic{}

// traffic counts calls and their bytes, headers and frames included where the
// library tells them: peer.in and peer.out in bytes, peer.calls.
type traffic struct {
	metrics *mpmetric.Set
}

func (t traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (t traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (t traffic) HandleConn(context.Context, stats.ConnStats) {}

func (t traffic) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		t.metrics.Add("peer.in", int64(s.WireLength))
	case *stats.OutPayload:
		t.metrics.Add("peer.out", int64(s.WireLength))
	case *stats.InHeader:
		t.metrics.Add("peer.in", int64(s.WireLength))
	case *stats.End:
		t.metrics.Add("peer.calls", 1)
	}
}

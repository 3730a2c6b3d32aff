package mppeer

import (
	"context"

	"google.golang.org/grpc/stats"

	"mustardpost.org/core/process/mpmetric"
	"mustardpost.org/core/process/mpusage"
)

var _ stats.Handler = trafficStats{}

// trafficStats counts gRPC calls (peer.calls) and their bytes (peer.in, peer.out).
// Headers and frames are included where gRPC reports their size.
type trafficStats struct {
	metrics *mpmetric.Set
}

func (t trafficStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (t trafficStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (t trafficStats) HandleConn(context.Context, stats.ConnStats) {}

func (t trafficStats) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s := s.(type) {
	case *stats.InPayload:
		t.metrics.Add(mpusage.PeerIn, int64(s.WireLength))
	case *stats.OutPayload:
		t.metrics.Add(mpusage.PeerOut, int64(s.WireLength))
	case *stats.InHeader:
		t.metrics.Add(mpusage.PeerIn, int64(s.WireLength))
	case *stats.End:
		t.metrics.Add("peer.calls", 1)
	}
}

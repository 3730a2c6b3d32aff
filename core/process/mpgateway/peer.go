package mpgateway

import (
	"context"
	"time"

	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpconsensus"
)

// peer implements the RPCs that other VMs call.
type peer struct {
	*mpconsensus.Service
	gateway *Gateway
}

var _ mpwire.PeerServer = peer{}

// Make runs the pieces of one stage.
func (p peer) Make(ctx context.Context, r *mpwire.MakeRequest) (*mpwire.MakeReply, error) {
	return p.gateway.owner.Serve(ctx, r), nil
}

// Free releases results that are no longer needed.
func (p peer) Free(_ context.Context, r *mpwire.FreeRequest) (*mpwire.FreeReply, error) {
	p.gateway.owner.ServeFree(r)
	return &mpwire.FreeReply{}, nil
}

// Try permits or ends the trial of a request that may crash upstreams.
func (p peer) Try(_ context.Context, r *mpwire.TryRequest) (*mpwire.TryReply, error) {
	return p.gateway.trials.serve(time.Now(), r), nil
}

// Take grants a request to an upstream whose rate this VM keeps.
func (p peer) Take(_ context.Context, r *mpwire.TakeRequest) (*mpwire.TakeReply, error) {
	return p.gateway.quotas.serve(time.Now(), r), nil
}

// Note records which software began a stream.
func (p peer) Note(_ context.Context, r *mpwire.NoteRequest) (*mpwire.NoteReply, error) {
	return p.gateway.origins.serveNote(time.Now(), r), nil
}

// Find returns which software began a stream.
func (p peer) Find(_ context.Context, r *mpwire.FindRequest) (*mpwire.FindReply, error) {
	return p.gateway.origins.serveFind(time.Now(), r), nil
}

// Tunnel connects another VM to an upstream.
func (p peer) Tunnel(stream mpwire.Peer_TunnelServer) error {
	return p.gateway.cfg.Relay.ServeTunnel(stream)
}

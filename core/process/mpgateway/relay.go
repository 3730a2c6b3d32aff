package mpgateway

import (
	"context"
	"net"

	"mustardpost.org/core/connection/mprelay"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mpview"
)

// relayPeers returns the VMs that connect vm to upstreams to which it has no path.
func relayPeers(view *mpview.View, vm string, dial func(address string) (mpwire.PeerClient, error)) []mprelay.Peer {
	var out []mprelay.Peer
	for _, other := range view.VMs() {
		if other.Name == vm || other.Leaving {
			continue
		}
		out = append(out, mprelay.Peer{Name: other.Name, DC: other.DC, IsSpare: other.Address == "", Open: func(ctx context.Context, address string) (net.Conn, error) {
			peer, err := dial(other.Peer)
			if err != nil {
				return nil, err
			}
			return mprelay.Open(ctx, peer, address)
		}})
	}
	return out
}

package mppeer

import (
	"net"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

const (
	// serverKeepaliveInterval and serverKeepaliveTimeout bound how long the server keeps a silent
	// connection, which its client has replaced.
	serverKeepaliveInterval = time.Minute
	serverKeepaliveTimeout  = 5 * time.Second
	// handshakeTimeout is how long a client may take to begin with gRPC. Peers give a connection up
	// after connectTimeout.
	handshakeTimeout = 5 * time.Second
	// maxStreams is how many calls and streams may be open on a connection. Two VMs have a few for each
	// request that runs.
	maxStreams = 10_000
	// maxHeaderBytes limits the metadata of a call. Those of peers have a few hundred bytes.
	maxHeaderBytes = 64 << 10
)

// Server is the gRPC server on a VM's peer address.
type Server struct {
	grpc *grpc.Server
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the address to listen on.
	Address string
	Secret  string
	Peer    mpwire.PeerServer
	// Metrics receives the counts of calls and bytes.
	Metrics *mpmetric.Set
	// Logger may be nil.
	Logger log.Logger
}

// Serve listens on cfg.Address and serves peers that present the secret.
func Serve(cfg ServerConfig) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, mperror.Wrap(err, "listen on peer address %s", cfg.Address)
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	g := newGuard(l, cfg)
	s := &Server{grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveInterval, Timeout: serverKeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.InTapHandle(g.authorize),
		grpc.StatsHandler(serverStats{trafficStats{cfg.Metrics}, g}),
	)}
	mpwire.RegisterPeerServer(s.grpc, cfg.Peer)
	go func() { _ = s.grpc.Serve(g) }()
	return s, nil
}

// Stop cancels all calls and closes the listener.
func (s *Server) Stop() { s.grpc.Stop() }

package mppeer

import (
	"context"
	"crypto/subtle"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/process/mpmetric"
)

// serverKeepaliveInterval and serverKeepaliveTimeout bound how long the server keeps a silent
// connection, which its client has replaced.
const (
	serverKeepaliveInterval = time.Minute
	serverKeepaliveTimeout  = 5 * time.Second
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
}

// Serve listens on cfg.Address and serves peers that present the secret.
func Serve(cfg ServerConfig) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, mperror.Wrap(err, "listen on peer address %s", cfg.Address)
	}
	s := &Server{grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveInterval, Timeout: serverKeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(authorize(cfg.Secret)),
		grpc.StreamInterceptor(authorizeStream(cfg.Secret)),
		grpc.StatsHandler(trafficStats{cfg.Metrics}),
	)}
	mpwire.RegisterPeerServer(s.grpc, cfg.Peer)
	go func() { _ = s.grpc.Serve(l) }()
	return s, nil
}

// Stop cancels all calls and closes the listener.
func (s *Server) Stop() { s.grpc.Stop() }

func authorize(secret string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if err := checkSecret(ctx, secret); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

func authorizeStream(secret string) grpc.StreamServerInterceptor {
	return func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if err := checkSecret(stream.Context(), secret); err != nil {
			return err
		}
		return next(srv, stream)
	}
}

func checkSecret(ctx context.Context, secret string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(secretMetadataKey)
	if len(got) != 1 || subtle.ConstantTimeCompare([]byte(got[0]), []byte(secret)) != 1 {
		return status.Error(codes.Unauthenticated, "wrong secret")
	}
	return nil
}

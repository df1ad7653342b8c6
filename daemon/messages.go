package daemon

import (
	"context"

	"github.com/banyanrail/banyanrail/membudget"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"
)

// reportCall tells the memory budget that the message of a call has arrived whole.
func reportCall(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	reportMessage(ctx)
	return next(ctx, req)
}

// reportMessages does so for each message of a stream.
func reportMessages(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	return next(srv, reportingStream{stream})
}

type reportingStream struct{ grpc.ServerStream }

// RecvMsg implements grpc.ServerStream.
func (s reportingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if err == nil {
		reportMessage(s.Context())
	}
	return err
}

func reportMessage(ctx context.Context) {
	if p, ok := peer.FromContext(ctx); ok {
		membudget.Delivered(p.Addr)
	}
}

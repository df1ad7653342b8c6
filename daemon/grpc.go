package daemon

import (
	"context"
	"net"

	"github.com/samber/oops"
	"google.golang.org/grpc"
)

// ServeGRPC serves gRPC at an address until the context ends. Register puts
// the services on the server.
func ServeGRPC(ctx context.Context, address string, register func(*grpc.Server)) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fail.Wrap(err)
	}
	srv := grpc.NewServer()
	register(srv)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(ln); err != nil {
		return fail.Wrap(err)
	}
	return nil
}

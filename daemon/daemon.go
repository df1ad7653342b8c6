// Package daemon has what the processes of banyanrail share: listening with or
// without TLS, serving until told to stop, a graceful shutdown, metrics and
// traces.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

// Limits of listeners against slow, idle and oversized connections.
const (
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds a whole request with its body.
	readTimeout = time.Minute
	idleTimeout = 2 * time.Minute
	// maxHeader is in bytes.
	maxHeader = 32 << 10
	// maxMessage is the largest gRPC message, in bytes.
	maxMessage = 8 << 20
	// peerKeepalive is the silence after which a gRPC connection is probed.
	peerKeepalive = 10 * time.Second
)

// Serve serves HTTP at an address until the context ends, then lets requests
// in flight finish for up to grace. A nil tlsConfig means no TLS.
func Serve(ctx context.Context, address string, tlsConfig *tls.Config, h http.Handler, grace time.Duration) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fail.Wrap(err)
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err := <-served:
		return fail.Wrap(err)
	case <-ctx.Done():
		return shutdown(ctx, srv, grace)
	}
}

func shutdown(ctx context.Context, srv *http.Server, grace time.Duration) error {
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err := srv.Shutdown(graceCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(err, srv.Close())
	}
	return err
}

// ServeGRPC serves gRPC at an address until the context ends. Register puts
// the services on the server.
func ServeGRPC(ctx context.Context, address string, tlsConfig *tls.Config, register func(*grpc.Server), options ...grpc.ServerOption) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fail.Wrap(err)
	}
	srv := grpc.NewServer(append(grpcOptions(tlsConfig), options...)...)
	register(srv)
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	if err := srv.Serve(ln); err != nil {
		return fail.Wrap(err)
	}
	return nil
}

func grpcOptions(tlsConfig *tls.Config) []grpc.ServerOption {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: peerKeepalive, Timeout: peerKeepalive}),
	}
	if tlsConfig != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return opts
}

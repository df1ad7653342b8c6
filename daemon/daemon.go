// Package daemon contains what the processes of banyanrail have in common: HTTP
// and gRPC servers with optional TLS and graceful shutdown, logs, metrics and
// traces.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"github.com/banyanrail/banyanrail/membudget"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

// Limits of listeners against slow, idle and oversized connections.
const (
	// readHeaderTimeout and readTimeout are the time-outs for reading the headers of a
	// request and all of it, on a port without a budget. With one, a request may take any
	// time as long as it moves and nothing is short.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = time.Minute
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes is the limit for the headers of a request, in bytes.
	maxHeaderBytes = 32 << 10
	// maxMessageBytes is the limit for a gRPC message, in bytes.
	maxMessageBytes = 8 << 20
	// peerKeepalive is the idle time after which a server pings a gRPC connection,
	// and the time-out of that ping.
	peerKeepalive = 10 * time.Second
	// peerHandshakeTimeout is the time-out for the handshake of a gRPC connection.
	peerHandshakeTimeout = 5 * time.Second
	// peerBufferBytes is the size of the read buffer and the write buffer of a gRPC
	// connection.
	peerBufferBytes = 8 << 10
	// maxPeerStreams is the limit for concurrent calls on a gRPC connection. An entry
	// forwards at most 256 calls at once.
	maxPeerStreams = 512
)

// Serve serves HTTP at an address until the context ends. It then waits for
// requests in flight for at most grace. A nil tlsConfig means no TLS, and a nil port no
// bounds on connections.
func Serve(ctx context.Context, address string, tlsConfig *tls.Config, port *membudget.Port, h http.Handler, grace time.Duration) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := port.Listen(ctx, address)
	if err != nil {
		return fail.Wrap(err)
	}
	if tlsConfig != nil {
		ln = tls.NewListener(ln, tlsConfig)
	}
	srv := newServer(port, h)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err := <-served:
		return fail.Wrap(err)
	case <-ctx.Done():
		return shutdown(ctx, srv, grace)
	}
}

func newServer(port *membudget.Port, h http.Handler) *http.Server {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if port != nil {
		srv.ReadHeaderTimeout, srv.ReadTimeout = 0, 0
		membudget.Configure(srv)
	}
	return srv
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

// ServeGRPC serves gRPC at an address until the context ends. The function
// register registers the services. A nil tlsConfig means no TLS, and a nil port no bound on connections.
func ServeGRPC(ctx context.Context, address string, tlsConfig *tls.Config, port *membudget.Port, register func(*grpc.Server), options ...grpc.ServerOption) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := port.Listen(ctx, address)
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
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(peerHandshakeTimeout),
		grpc.MaxConcurrentStreams(maxPeerStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: peerKeepalive, Timeout: peerKeepalive}),
		grpc.ReadBufferSize(peerBufferBytes),
		grpc.WriteBufferSize(peerBufferBytes),
		grpc.ChainUnaryInterceptor(reportCall),
		grpc.ChainStreamInterceptor(reportMessages),
	}
	if tlsConfig != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return opts
}

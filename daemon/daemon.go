// Package daemon has what the processes of banyanrail share: listening,
// serving until a signal, and a graceful shutdown.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// Timeouts of HTTP servers against slow and idle connections.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeader         = 32 << 10
)

// Serve serves HTTP at an address until the context ends, then lets requests
// in flight finish for up to grace.
func Serve(ctx context.Context, address string, h http.Handler, grace time.Duration) error {
	fail := oops.In("daemon").With("step", "listen", "peer", address)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fail.Wrap(err)
	}
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	select {
	case err := <-served:
		return fail.Wrap(err)
	case <-ctx.Done():
	}
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	err = srv.Shutdown(graceCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return errors.Join(err, srv.Close())
	}
	return err
}

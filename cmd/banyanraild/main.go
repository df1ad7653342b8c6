// Command banyanraild is the daemon that runs an entry instance.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce"
	"golang.org/x/sync/errgroup"
)

func main() {
	var s settings
	arg.MustParse(&s)
	daemon.Main(s.check, func(c config) error {
		logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
		err := run(c, logger)
		if err != nil {
			logger.Error("ended", "entry", c.ID, "error", err)
		}
		return err
	})
}

// run serves until the process receives SIGINT or SIGTERM, then shuts down
// gracefully: the entry finishes its requests before the listeners close.
func run(c config, logger *slog.Logger) (err error) {
	debug.SetMemoryLimit(c.clients.HeapLimit(c.clients.Clients(false), c.clients.Operators(false), c.clients.Peers(false)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	scope, metrics, closer := daemon.NewMetricsScope(map[string]string{"entry": c.ID, "data_centre": c.DataCentre})
	defer func() { err = errors.Join(err, closer.Close()) }()
	traces, flush, err := daemon.NewTracerProvider(ctx, c.Traces, c.traceShare, c.ID)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, flush(context.WithoutCancel(ctx))) }()
	peersTLS, err := c.peersTLS.ClientConfig()
	if err != nil {
		return err
	}
	client := infra.NewClient(c.Platform)
	e := entry.New(entry.Config{
		ID:                    fleet.EntryID(c.ID),
		DataCentre:            fleet.DataCentre(c.DataCentre),
		OperatorToken:         c.OperatorToken,
		PeerAddress:           c.Peers,
		Placement:             reduce.Placement(c.Placement),
		PeersTLS:              peersTLS,
		SnapshotInterval:      c.snapshotInterval,
		ClaimAppendsPerSecond: c.claimAppendsPerSecond,
	}, entry.Deps{Log: client, Instances: client, InstanceCommander: client, Logger: logger, Metrics: scope, Traces: traces})
	return serve(ctx, c, e, metrics, c.clients.Budget(scope, logger))
}

// serve runs the entry and its listeners. When the context ends, it stops the
// entry before the listeners.
func serve(ctx context.Context, c config, e *entry.Entry, metrics http.Handler, budget *membudget.Budget) error {
	callersTLS, err1 := c.callersTLS.ServerConfig()
	operatorsTLS, err2 := c.operatorsTLS.ServerConfig()
	peersTLS, err3 := c.peersTLS.ServerConfig()
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	operators := http.NewServeMux()
	operators.Handle("/", e.OperatorHandler())
	operators.Handle("GET /metrics", metrics)

	serving, closeListeners := context.WithCancel(context.Background())
	defer closeListeners()
	group, groupCtx := errgroup.WithContext(serving)
	callersPort := budget.Port(c.clients.Clients(callersTLS != nil))
	operatorsPort := budget.Port(c.clients.Operators(operatorsTLS != nil))
	peersPort := budget.Port(c.clients.Peers(peersTLS != nil))
	group.Go(func() error {
		return daemon.Serve(groupCtx, c.Callers, callersTLS, callersPort, e.CallerHandler(), c.grace)
	})
	group.Go(func() error {
		return daemon.Serve(groupCtx, c.Operators, operatorsTLS, operatorsPort, operators, c.grace)
	})
	group.Go(func() error {
		return daemon.ServeGRPC(groupCtx, c.Peers, peersTLS, peersPort, e.RegisterPeers, peer.ServerOptions()...)
	})
	group.Go(func() error {
		e.Run(groupCtx)
		return nil
	})
	group.Go(func() error {
		defer closeListeners()
		return stopEntry(ctx, groupCtx, c, e, callersPort)
	})
	return group.Wait()
}

// stopEntry waits until ctx ends and then stops the entry. It returns without
// stopping it if groupCtx ends first, because a listener failed.
func stopEntry(ctx, groupCtx context.Context, c config, e *entry.Entry, callers *membudget.Port) error {
	select {
	case <-groupCtx.Done():
		return nil
	case <-ctx.Done():
	}
	callers.Drain()
	stopCtx, cancel := context.WithTimeout(groupCtx, c.grace)
	defer cancel()
	return e.Stop(stopCtx)
}

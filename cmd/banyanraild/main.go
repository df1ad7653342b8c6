// Command banyanraild is the daemon of an entry instance.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/entry"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform"
	"golang.org/x/sync/errgroup"
)

// settings are read from flags and the environment.
type settings struct {
	ID            string        `arg:"--id,env:BANYANRAIL_ID,required" help:"id of this entry instance"`
	DataCentre    string        `arg:"--data-centre,env:BANYANRAIL_DATA_CENTRE" help:"data centre it runs in"`
	Callers       string        `arg:"--callers,env:BANYANRAIL_CALLERS" default:"127.0.0.1:8080" help:"IP address and port for callers"`
	Operators     string        `arg:"--operators,env:BANYANRAIL_OPERATORS" default:"127.0.0.1:8081" help:"IP address and port for operators"`
	Peers         string        `arg:"--peers,env:BANYANRAIL_PEERS" default:"127.0.0.1:8082" help:"IP address and port for other entries"`
	Platform      string        `arg:"--platform,env:BANYANRAIL_PLATFORM,required" help:"base URL of the platform's services"`
	OperatorToken string        `arg:"--,env:BANYANRAIL_OPERATOR_TOKEN" help:"bearer token of operators"`
	Grace         time.Duration `arg:"--grace,env:BANYANRAIL_GRACE" default:"30s" help:"longest graceful shutdown"`
}

func main() {
	var s settings
	arg.MustParse(&s)
	logger := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := run(s, logger); err != nil {
		logger.Error("ended", "error", err)
		os.Exit(1)
	}
}

// run serves until a signal comes, then shuts down gracefully: the entry
// finishes its requests before the listeners close.
func run(s settings, logger *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	client := platform.NewClient(s.Platform)
	e := entry.New(entry.Config{
		ID:            fleet.EntryID(s.ID),
		DataCentre:    fleet.DataCentre(s.DataCentre),
		OperatorToken: s.OperatorToken,
	}, entry.Deps{Log: client, Instances: client, Workers: client, Logger: logger})

	serving, closeListeners := context.WithCancel(context.Background())
	group, groupCtx := errgroup.WithContext(serving)
	group.Go(func() error { return daemon.Serve(groupCtx, s.Callers, e.Callers(), s.Grace) })
	group.Go(func() error { return daemon.Serve(groupCtx, s.Operators, e.Operators(), s.Grace) })
	group.Go(func() error { return daemon.ServeGRPC(groupCtx, s.Peers, e.RegisterPeers) })
	group.Go(func() error {
		e.Run(groupCtx)
		return nil
	})
	group.Go(func() error {
		defer closeListeners()
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		stopCtx, cancel := context.WithTimeout(serving, s.Grace)
		defer cancel()
		return e.Stop(stopCtx)
	})
	return group.Wait()
}

// Command banyanrail-entry is the daemon of an entry that manages jobs on the
// users' platform.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/jobentry"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/membudget"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/platform"
	"github.com/banyanrail/banyanrail/reduce/access"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
)

func main() {
	var s settings
	arg.MustParse(&s)
	daemon.Main(s.check, func(c config) error {
		logWriter := daemon.NewLogWriter(os.Stdout)
		defer logWriter.Close()
		logger := logWriter.Logger(c.platform.EntryName)
		err := run(c, logWriter, logger)
		if err != nil {
			logger.Error("ended", "error", err)
		} else {
			logger.Info("stopped")
		}
		return err
	})
}

// run serves until the process receives a signal to stop. It then hands the jobs over
// and returns after the calls in flight are answered.
func run(c config, logWriter *daemon.LogWriter, logger *slog.Logger) (err error) {
	operators := c.clients.Operators(false)
	debug.SetMemoryLimit(c.clients.HeapLimit(c.clients.Clients(false), operators, operators, c.clients.Peers(false)))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	scope, metrics, closer := daemon.NewMetricsScope(map[string]string{"entry": c.platform.EntryName, "data_centre": c.platform.DataCentre})
	defer func() { err = errors.Join(err, closer.Close()) }()
	traces, flush, err := daemon.NewTracerProvider(ctx, c.Traces, c.TraceShare, c.platform.EntryName)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, flush(context.WithoutCancel(ctx))) }()
	peers := peer.NewJobsClient()
	defer peers.Close()
	deps := dependencies(c, peers)
	dispatchers := peer.NewDispatchers(deps.Clock)
	deps.Dispatchers = dispatchers
	deps.Metrics, deps.Logger, deps.Traces = scope, logger, traces
	e := jobentry.New(jobsConfig(c), deps)
	logger.Info("started", "data_centre", c.platform.DataCentre, "clients", c.platform.ClientAddress,
		"peers", c.platform.PeerAddress, "store", c.platform.StoreAddress, "memory_mb", c.platform.MemoryMB)
	go logWriter.LogDropped(ctx, logger)
	go checkSettingsOnHangup(ctx, c, logger)
	budget := c.clients.Budget(scope, logger)
	return serve(ctx, c, e, dispatchers, budget, metrics, logger, signals)
}

func dependencies(c config, peers *peer.JobsClient) jobentry.Deps {
	clock := loop.BootClock()
	deps := jobentry.Deps{
		Store: platform.NewStore(c.platform.StoreAddress), RecordCodec: platform.RecordCodec{},
		Runners: platform.NewRunners(clock), Peers: peers, Clock: clock,
	}
	if c.platform.InstancesAddress != "" {
		deps.Instances = platform.NewInstances(c.platform.InstancesAddress, c.platform.EntryName)
	}
	if c.platform.AdviceAddress != "" {
		deps.Advice = platform.NewAdvice(c.platform.AdviceAddress)
	}
	return deps
}

func jobsConfig(c config) jobs.Config {
	p := &c.platform
	return jobs.Config{
		Entry: fleet.EntryID(p.EntryName), Incarnation: uint64(time.Now().UnixNano()), Address: p.PeerAddress,
		ClaimDelay: claimDelay(p), CanDispatch: claimDelay(p) == 0, MaxDirectRunners: c.MaxDirectRunners,
		LearnRunTimes: c.LearnRunTimes, MaxJobBytes: c.clients.JobBytes(),
		Bounds: jobs.Bounds{
			MaxLease: p.MaxLease, RecordBytes: p.RecordBytes, CallBytes: p.CallBytes, InstanceLease: p.InstanceLease, MaintenanceTime: p.MaintenanceTime, StatusRetention: p.StatusRetention,
			InstanceOrdersPerSecond: p.InstanceOrdersPerSecond, CanOrderInstances: p.InstancesAddress != "", HasAdvice: p.AdviceAddress != "",
			Access: access.Config{Required: p.RequiresKeys, RevocationLimit: p.RevocationLimit, ApplyLimit: p.ApplyLimit},
		},
	}
}

// claimDelay returns the delay of the claims of an entry that has less processor time
// or network bandwidth than an owner uses in a burst; zero for other entries.
func claimDelay(p *platform.Settings) time.Duration {
	strength := min(1, p.Cores/ownerCores)
	if p.LinkMbps > 0 {
		strength = min(strength, p.LinkMbps/ownerLinkMbps)
	}
	return time.Duration((1 - strength) * float64(maxClaimDelay))
}

// serve runs the entry and its listeners. After a signal to stop, the listeners keep
// serving while the jobs are handed over and the load balancer removes the entry from
// rotation.
func serve(ctx context.Context, c config, e *jobentry.Entry, dispatchers *peer.Dispatchers, budget *membudget.Budget, metrics http.Handler, logger *slog.Logger, signals <-chan os.Signal) error {
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", metrics)
	stopping := &atomic.Bool{}
	clients := closeConnectionsWhile(stopping, platform.ClientHandler(e.Call))
	serving, closeListeners := context.WithCancel(ctx)
	defer closeListeners()
	running, endEntry := context.WithCancel(context.WithoutCancel(ctx))
	defer endEntry()
	group, groupCtx := errgroup.WithContext(serving)
	clientsPort := budget.Port(c.clients.Clients(false))
	group.Go(func() error {
		// The entry ends only after the last call is answered.
		defer endEntry()
		return daemon.Serve(groupCtx, c.platform.ClientAddress, nil, clientsPort, clients, answerGrace)
	})
	operators := c.clients.Operators(false)
	group.Go(func() error {
		return daemon.Serve(groupCtx, c.platform.ReadyAddress, nil, budget.Port(operators), readiness, 0)
	})
	group.Go(func() error { return daemon.Serve(groupCtx, c.Metrics, nil, budget.Port(operators), metricsMux, 0) })
	group.Go(func() error {
		register := func(g *grpc.Server) { peer.RegisterJobs(g, e.Call, dispatchers) }
		options := append(peer.ServerOptions(), peer.BoundCalls(budget.Reserve)...)
		return daemon.ServeGRPC(running, c.platform.PeerAddress, nil, budget.Port(c.clients.Peers(false)), register, options...)
	})
	group.Go(func() error {
		e.Run(running)
		return nil
	})
	group.Go(func() error {
		defer closeListeners()
		return stopGracefully(groupCtx, c, e, logger, signals, func() {
			stopping.Store(true)
			clientsPort.Drain()
		})
	})
	return group.Wait()
}

// closeConnectionsWhile makes each answer close its connection while the entry stops:
// the load balancer directs the clients' new connections to other entries.
func closeConnectionsWhile(stopping *atomic.Bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// stopGracefully waits for a signal to stop, hands the jobs over, and returns after
// the load balancer has had time to remove the entry from rotation. It returns at once
// when a listener fails. It calls stopping once the signal has come.
func stopGracefully(ctx context.Context, c config, e *jobentry.Entry, logger *slog.Logger, signals <-chan os.Signal, stopping func()) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	stopping()
	handOverCtx, cancel := context.WithTimeout(ctx, c.platform.ShutdownGrace-answerGrace-exitMargin)
	defer cancel()
	balancerNoticed := time.After(balancerNotice)
	if err := e.HandOver(handOverCtx); err != nil {
		logger.Warn("jobs not handed over", "error", err)
	}
	select {
	case <-balancerNoticed:
	case <-ctx.Done():
	}
	return nil
}

// checkSettingsOnHangup reads the settings file at each SIGHUP and logs whether it is
// valid and has changed. A running process keeps the settings that it started with.
func checkSettingsOnHangup(ctx context.Context, c config, logger *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			current, err := platform.ReadSettings(c.File)
			if err != nil {
				logger.Error("settings file is invalid", "file", c.File, "error", err)
				continue
			}
			logger.Info("settings file checked; changes apply at the next start", "file", c.File, "changed", current != c.platform)
		}
	}
}

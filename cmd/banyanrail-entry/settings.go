package main

import (
	"time"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/platform"
	"github.com/samber/oops"
)

const (
	// ownerCores and ownerLinkMbps are the most processor cores and megabits a second
	// that an owner of fifty runners uses in a burst; see docs/CAPACITY.md.
	ownerCores    = 0.4
	ownerLinkMbps = 100
	// maxClaimDelay is the claim delay of the weakest entry. The claims of entries
	// without a delay are spread over 300 ms, so they all come first.
	maxClaimDelay = 400 * time.Millisecond
	// balancerNotice is how long new connections are still accepted after the first
	// failed readiness check. The load balancer checks each second and removes an
	// entry from rotation after two failures.
	balancerNotice = 2200 * time.Millisecond
	// answerGrace is how long calls in flight may take after the listeners have
	// closed. It is longer than a call waits that comes while the entry stops.
	answerGrace = 1600 * time.Millisecond
	// exitMargin is the part of the shutdown grace that is left for the end of the
	// process.
	exitMargin = 500 * time.Millisecond
)

// settings are the flags and environment variables of the daemon. The platform's own
// settings come from its settings file.
type settings struct {
	File             string  `arg:"--settings,env:BANYANRAIL_NODE_FILE,required" help:"the platform's settings file"`
	Metrics          string  `arg:"--metrics,env:BANYANRAIL_METRICS" default:":9464" help:"address that serves metrics"`
	Traces           string  `arg:"--traces,env:BANYANRAIL_TRACES" help:"URL that takes spans by OTLP over HTTP"`
	MaxDirectRunners int     `arg:"--calls-alone,env:BANYANRAIL_CALLS_ALONE" default:"120" help:"runners that an owner calls itself; with more, other entries share the calls"`
	LearnRunTimes    bool    `arg:"--learn-run-times,env:BANYANRAIL_LEARN_RUN_TIMES" default:"true" help:"learn from finished runs how long tasks run, rather than rely on clients' estimates"`
	ClientMB         int64   `arg:"--client-mb,env:BANYANRAIL_CLIENT_MB" help:"MiB that all open clients may hold; default: a quarter of the platform's limits.memory_mb"`
	TraceShare       float64 `arg:"--trace-share,env:BANYANRAIL_TRACE_SHARE" default:"0.01" help:"share of traces to keep, 0 to 1"`
}

// Description implements arg.Described.
func (settings) Description() string {
	return "banyanrail-entry manages jobs on the users' platform."
}

// config holds valid settings and the platform's settings.
type config struct {
	settings
	platform platform.Settings
	clients  daemon.ClientLimits
}

func (s settings) check() (config, error) {
	if s.TraceShare < 0 || s.TraceShare > 1 {
		return config{}, oops.Errorf("--trace-share is not between 0 and 1: %g", s.TraceShare)
	}
	if s.MaxDirectRunners < 0 {
		return config{}, oops.Errorf("--calls-alone is below 0: %d", s.MaxDirectRunners)
	}
	p, err := platform.ReadSettings(s.File)
	if err != nil {
		return config{}, err
	}
	clients, err := daemon.ClientLimits{MemoryMB: p.MemoryMB, MaxFDs: p.MaxFDs, ClientMB: s.ClientMB}.Check()
	if err != nil {
		return config{}, oops.Errorf("--client-mb: %w", err)
	}
	return config{settings: s, platform: p, clients: clients}, nil
}

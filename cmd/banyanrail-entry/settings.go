package main

import (
	"time"

	"github.com/banyanrail/banyanrail/platform"
	"github.com/samber/oops"
)

const (
	// memoryShare of the process's memory, in percent, is the limit at which the
	// collector works harder: it leaves room for stacks and unread bytes.
	memoryShare = 60
	percent     = 100
	// ownerCores and ownerLink are the cores and megabits a second that an owner
	// of fifty runners uses at most in a burst, from docs/CAPACITY.md.
	ownerCores = 0.4
	ownerLink  = 100
	// maxHandicap lets all stronger entries claim first: their claims are spread
	// over 300 ms.
	maxHandicap = 400 * time.Millisecond
	// balancerNotice is how long new connections are still served after the
	// first refusal of readiness: the balancer asks each second and turns away
	// after two refusals.
	balancerNotice = 2200 * time.Millisecond
	// answerGrace is how long calls in hand may take after the listeners closed:
	// longer than any call waits.
	answerGrace = 1600 * time.Millisecond
	// endMargin of the shutdown grace is left for the end of the process.
	endMargin = 500 * time.Millisecond
)

// settings are the flags and environment variables of the daemon. What the
// platform tells comes from its settings file.
type settings struct {
	File       string  `arg:"--settings,env:BANYANRAIL_NODE_FILE,required" help:"the platform's settings file"`
	Metrics    string  `arg:"--metrics,env:BANYANRAIL_METRICS" default:":9464" help:"address that serves metrics"`
	Traces     string  `arg:"--traces,env:BANYANRAIL_TRACES" help:"URL that takes spans by OTLP over HTTP"`
	CallsAlone int     `arg:"--calls-alone,env:BANYANRAIL_CALLS_ALONE" default:"120" help:"runners that an owner calls itself; with more, other entries share the calls"`
	TraceShare float64 `arg:"--trace-share,env:BANYANRAIL_TRACE_SHARE" default:"0.01" help:"share of traces to keep, 0 to 1"`
}

// Description implements arg.Described.
func (settings) Description() string {
	return "banyanrail-entry manages jobs on the users' platform."
}

// config is checked settings.
type config struct {
	settings
	platform platform.Settings
}

func (s settings) check() (config, error) {
	if s.TraceShare < 0 || s.TraceShare > 1 {
		return config{}, oops.Errorf("--trace-share is not between 0 and 1: %g", s.TraceShare)
	}
	if s.CallsAlone < 0 {
		return config{}, oops.Errorf("--calls-alone is below 0: %d", s.CallsAlone)
	}
	p, err := platform.ReadSettings(s.File)
	return config{settings: s, platform: p}, err
}

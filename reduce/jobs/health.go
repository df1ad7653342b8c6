package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// maxUnprovenRuns is the number of runs on a runner that has ended none well
	// yet: a runner that fails all it starts takes no more than that.
	maxUnprovenRuns = 16
	// probeAfterFailures is the number of failures in a row after which one run at
	// a time probes a runner, and failuresBad that after which it rests.
	// Jobs that can never be done fail too, so one failure says little.
	probeAfterFailures      = 2
	quarantineAfterFailures = 3
	// minQuarantine is the first rest; each further one doubles up to restMost.
	// Troubles of runners last about five seconds.
	minQuarantine = 1500 * time.Millisecond
	maxQuarantine = 6 * time.Second
)

// health is what the ends of runs tell about a runner.
type health struct {
	proven bool
	// failures counts bad ends since the last good one.
	failures         int
	quarantines      int
	quarantinedUntil time.Time
}

// recordSuccess notes a good end.
func (h *health) recordSuccess() {
	h.proven, h.failures, h.quarantines = true, 0, 0
}

// healthAllowsRun reports whether a runner's record allows one more run.
func (o *ownership) healthAllowsRun(r *runner) bool {
	h := &r.health
	switch {
	case o.now().Before(h.quarantinedUntil):
		return false
	case h.failures >= probeAfterFailures:
		return r.unprovenRuns() == 0
	case !h.proven:
		return r.unprovenRuns() < maxUnprovenRuns
	default:
		return true
	}
}

// unprovenRuns counts the runs of which it is not known yet whether they work:
// lasting tasks at work have shown it.
func (r *runner) unprovenRuns() int {
	n := 0
	for _, run := range r.runs {
		if !run.available {
			n++
		}
	}
	return n
}

// updateHealth takes in how a run ended.
func (o *ownership) updateHealth(r *runner, run *run, outcome fleet.RunOutcome) {
	switch outcome {
	case fleet.RunDone:
		r.health.recordSuccess()
	case fleet.RunFailed:
		if !run.available {
			o.recordFailure(r, "failed a task")
		}
	default: // the owner's own acts, or losses, say nothing
	}
}

// recordFailure notes a bad end and lets the runner rest after several.
func (o *ownership) recordFailure(r *runner, reason effect.Reason) {
	h := &r.health
	h.failures++
	if h.failures < quarantineAfterFailures || o.now().Before(h.quarantinedUntil) {
		return
	}
	o.quarantine(r, reason)
}

func (o *ownership) quarantine(r *runner, reason effect.Reason) {
	h := &r.health
	pause := min(minQuarantine<<h.quarantines, maxQuarantine)
	h.quarantines++
	h.quarantinedUntil = o.now().Add(pause)
	o.s.logDecision(effect.Decision{
		Name: "runner rests", Runner: r.ID, Reason: reason, Count: h.failures, Age: pause, Epoch: o.epoch,
	})
	o.s.count("runners_rested", reason)
}

package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// stableAfter is how long a run has to go on until it is evidence of its runner's health. Runners
	// that fail what they start do so within half a second.
	stableAfter = time.Second
	// maxUnprovenRuns is the largest number of unproven runs on a runner without a
	// successful run. It limits how many tasks fail at once on a runner that fails
	// every run.
	maxUnprovenRuns = 16
	// probeAfterFailures is the number of consecutive failures after which a runner
	// is probed with one run at a time, and quarantineAfterFailures the number
	// after which it is quarantined. A single failure says little, because some
	// jobs fail on every runner.
	probeAfterFailures      = 2
	quarantineAfterFailures = 3
	// minQuarantine is the length of the first quarantine. The length doubles with
	// each consecutive quarantine, up to maxQuarantine. Failures of runners usually
	// last about five seconds.
	minQuarantine = 1500 * time.Millisecond
	maxQuarantine = 6 * time.Second
	// maxDoublings bounds how often the length doubles, far beyond maxQuarantine.
	maxDoublings = 8
)

// health is the health of a runner as derived from its runs.
type health struct {
	// proven is set once a run has succeeded. It is unset when a stable run clears failures.
	proven bool
	// failures and quarantines are the numbers of failures and quarantines since
	// the last successful run. A stable run clears the failures before it.
	failures         int
	quarantines      int
	quarantinedUntil time.Time
	failedAt         time.Time
}

// recordSuccess records a successful run.
func (h *health) recordSuccess() {
	h.proven, h.failures, h.quarantines = true, 0, 0
}

// recordStable records that a run which began at a time is stable. Unlike a success, that does not
// show that runs end well, so the runner stays unproven, with a limit that halves with each
// quarantine since the last success.
func (h *health) recordStable(began time.Time) {
	if h.failures > 0 && began.After(h.failedAt) {
		h.proven, h.failures = false, 0
	}
}

// maxUnproven returns how many unproven runs the runner may have at a time; negative for no limit.
func (h *health) maxUnproven() int {
	switch {
	case h.failures >= probeAfterFailures:
		return 1
	case !h.proven:
		return max(1, maxUnprovenRuns>>min(h.quarantines, maxDoublings))
	default:
		return -1
	}
}

// healthAllowsRun reports whether a runner's health allows one more run. Runs that are stable do
// not count, or long ones would keep the runner closed until they end.
func (o *ownership) healthAllowsRun(r *runner) bool {
	if o.now().Before(r.health.quarantinedUntil) || o.restsAfterCrash(r) {
		return false
	}
	limit := r.health.maxUnproven()
	return limit < 0 || r.counts.unproven < limit
}

// noteStable notes once that a run has gone on for long enough to be stable.
func (o *ownership) noteStable(run *run) {
	if run.stable || run.phase != runRunning || run.provenRunTime() < stableAfter {
		return
	}
	r := run.runner
	if r.health.maxUnproven() >= 0 {
		o.pool(r.Service).dirty = true // it may take more runs
	}
	run.setStable(true)
	r.health.recordStable(run.runningSince)
	delete(o.crashRests, r.lastingID())
}

// updateHealth updates a runner's health with the outcome of a run.
func (o *ownership) updateHealth(r *runner, run *run, outcome fleet.RunOutcome) {
	switch outcome {
	case fleet.RunDone:
		r.health.recordSuccess()
	case fleet.RunFailed:
		if !run.available {
			o.recordFailure(r, "failed a task")
		}
	default: // stops by the owner and expired leases say nothing about the runner
	}
}

// recordFailure records a failure, and quarantines the runner after
// quarantineAfterFailures in a row.
func (o *ownership) recordFailure(r *runner, reason effect.Reason) {
	h := &r.health
	h.failures++
	h.failedAt = o.now()
	if h.failures < quarantineAfterFailures || o.now().Before(h.quarantinedUntil) {
		return
	}
	o.quarantine(r, reason)
}

// quarantine keeps tasks from being started on a runner for a time.
func (o *ownership) quarantine(r *runner, reason effect.Reason) {
	h := &r.health
	pause := min(minQuarantine<<min(h.quarantines, maxDoublings), maxQuarantine)
	h.quarantines++
	h.quarantinedUntil = o.now().Add(pause)
	o.s.logDecision(effect.Decision{
		Name: "runner rests", Runner: r.ID, Reason: reason, Count: h.failures, Age: pause, Epoch: o.epoch,
	})
	o.s.count("runners_rested", reason)
}

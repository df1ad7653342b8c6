package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// stallLimit is how long a run may make no progress: at a sixth of the usual
	// speed the longest usual tasks still advance by a percent in a third of it.
	stallLimit = 1300 * time.Millisecond
	// slowFactor times its usual length is too long for a run. Estimates are off
	// by a half and more, and workers in trouble are four times slower.
	slowFactor = 2
	// minSlowSteps is the number of steps whose runs all have to be too long.
	minSlowSteps = 2
	// minRestartGain is how much longer than a fresh run the rest of a straggler
	// has to take.
	minRestartGain = 500 * time.Millisecond
	// minPercent and minElapsed are the progress and the time from which a run's
	// length is projected: a start takes a while.
	minPercent = 4
	minElapsed = 400 * time.Millisecond
	// maxRestarts bounds the restarts of one task, since its estimate may be
	// what is wrong.
	maxRestarts = 2
	// slowdownWeight is the weight of a new sample.
	slowdownWeight = 0.05
	// minSlowdownSamples is the number of samples from which the mean counts.
	minSlowdownSamples = 10
)

// Reasons for restarting a run.
const (
	reasonStalled effect.Reason = "no progress"
	reasonSlow    effect.Reason = "much slower than others"
)

// slowdown is a moving mean of run times over their estimates.
type slowdown struct {
	mean    float64
	samples int
}

func (s *slowdown) add(x float64) {
	if s.samples++; s.samples == 1 {
		s.mean = x
		return
	}
	s.mean += slowdownWeight * (x - s.mean)
}

// usualRunTime returns the usualRunTime run time of a task.
func (s *slowdown) usualRunTime(estimate time.Duration) time.Duration {
	if s.samples < minSlowdownSamples {
		return estimate
	}
	return time.Duration(s.mean * float64(estimate))
}

// recordRunTime takes in how long a run took.
func (o *ownership) recordRunTime(run *run, outcome fleet.RunOutcome) {
	estimate := run.task.step.estimate
	if outcome != fleet.RunDone || estimate <= 0 || run.attempt > 1 {
		return
	}
	o.pool(run.task.job().service).slowdown.add(o.now().Sub(run.createdAt).Seconds() / estimate.Seconds())
}

// restartStragglers stops the runs on a runner that stand still or, where the
// whole runner is slow, those that a fresh run elsewhere would overtake.
func (o *ownership) restartStragglers(r *runner) {
	slow := o.isSlow(r)
	for _, run := range r.runsWhere((*run).mayRestart) {
		reason := o.restartReason(run, slow)
		if reason == "" || !o.roomElsewhere(run) {
			continue
		}
		o.s.logDecision(effect.Decision{
			Name: "run restarted", Task: run.task.id().String(), Attempt: run.attempt, Runner: r.ID, Reason: reason,
			Count: run.percent, Age: o.now().Sub(run.createdAt), Epoch: o.epoch,
		})
		o.s.count("runs_restarted", reason)
		run.task.restarts++
		run.task.avoidRunner = r.ID
		o.stopRun(run)
		if !o.now().Before(r.health.quarantinedUntil) {
			o.quarantine(r, reason)
		}
	}
}

// mayRestart reports whether a run is of a kind that is restarted.
func (run *run) mayRestart() bool {
	spec := run.task.step.spec
	return run.phase == runRunning && !spec.LongRunning && !spec.Gang && !spec.BestEffort && run.task.restarts < maxRestarts
}

// restartReason returns why a run of a kind that is restarted should be; empty if
// it should not.
func (o *ownership) restartReason(run *run, slow bool) effect.Reason {
	if run.listedAt.Sub(run.progressAt) > stallLimit {
		return reasonStalled
	}
	length, known := run.projectedLength()
	usual := o.pool(run.task.job().service).slowdown.usualRunTime(run.task.step.estimate)
	if slow && known && length-run.listedAt.Sub(run.createdAt) > usual+minRestartGain {
		return reasonSlow
	}
	return ""
}

// projectedLength returns the length of a run as its progress so far foretells it.
func (run *run) projectedLength() (time.Duration, bool) {
	elapsed := run.listedAt.Sub(run.createdAt)
	if run.percent < minPercent || elapsed < minElapsed {
		return 0, false
	}
	return elapsed * fullProgressPercent / time.Duration(run.percent), true
}

// isSlow reports whether a runner is slow: runs of several steps, whose estimates
// are wrong in different ways, all take much longer than usual.
func (o *ownership) isSlow(r *runner) bool {
	steps := make(map[*step]bool)
	for _, run := range r.runs {
		whole, known := run.projectedLength()
		if !known || !run.mayRestart() {
			continue
		}
		usual := o.pool(run.task.job().service).slowdown.usualRunTime(run.task.step.estimate)
		if whole < slowFactor*usual {
			return false
		}
		steps[run.task.step] = true
	}
	return len(steps) >= minSlowSteps
}

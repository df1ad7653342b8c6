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
	// slowFactor times its usual length makes a run a straggler. Estimates are
	// off by a half and more, and workers in trouble are four times slower.
	slowFactor = 3
	// restartGain is how much longer than a fresh run the rest of a straggler
	// has to take.
	restartGain = 500 * time.Millisecond
	// minPercent is the progress from which a run's length is projected.
	minPercent = 4
	// maxRestarts bounds the restarts of one task, since its estimate may be
	// what is wrong.
	maxRestarts = 2
	// speedWeight is the weight of a new sample.
	speedWeight = 0.05
	// speedSamples is the number of samples from which the mean counts.
	speedSamples = 10
)

// Reasons for restarting a run.
const (
	reasonStalled effect.Reason = "no progress"
	reasonSlow    effect.Reason = "much slower than others"
)

// speed is a moving mean of run times over their estimates.
type speed struct {
	mean    float64
	samples int
}

func (s *speed) add(x float64) {
	if s.samples++; s.samples == 1 {
		s.mean = x
		return
	}
	s.mean += speedWeight * (x - s.mean)
}

// usual returns the usual run time of a task.
func (s *speed) usual(estimate time.Duration) time.Duration {
	if s.samples < speedSamples {
		return estimate
	}
	return time.Duration(s.mean * float64(estimate))
}

// learnSpeed takes in how long a run took.
func (o *ownership) learnSpeed(run *run, how fleet.End) {
	estimate := run.task.step.estimate
	if how != fleet.EndDone || estimate <= 0 || run.attempt > 1 {
		return
	}
	o.pool(run.task.job().service).speed.add(o.now().Sub(run.since).Seconds() / estimate.Seconds())
}

// restartStragglers stops the runs on a runner that stand still or are so slow
// that a fresh run elsewhere ends sooner.
func (o *ownership) restartStragglers(r *runner) {
	for _, run := range r.sortedRuns() {
		reason := o.straggling(run)
		if reason == "" || !o.roomElsewhere(run) {
			continue
		}
		o.s.decide(effect.Decision{
			Name: "run restarted", Task: run.task.id().String(), Attempt: run.attempt, Runner: r.ID, Reason: reason,
			Count: run.percent, Age: o.now().Sub(run.since), Epoch: o.epoch,
		})
		o.s.count("runs_restarted", reason)
		run.task.restarts++
		run.task.avoid = r.ID
		o.stop(run)
		if !o.now().Before(r.health.until) {
			o.rest(r, reason)
		}
	}
}

// straggling returns why a run should be restarted elsewhere; empty if it should
// not.
func (o *ownership) straggling(run *run) effect.Reason {
	t := run.task
	if run.phase != runRunning || t.step.spec.Lasting || t.step.spec.Gang || t.step.spec.Filling || t.restarts >= maxRestarts {
		return ""
	}
	if run.seenAt.Sub(run.progressAt) > stallLimit {
		return reasonStalled
	}
	if run.percent < minPercent {
		return ""
	}
	usual := o.pool(t.job().service).speed.usual(t.step.estimate)
	elapsed := run.seenAt.Sub(run.since)
	whole := elapsed * atWorkPercent / time.Duration(run.percent)
	if whole > slowFactor*usual && whole-elapsed > usual+restartGain {
		return reasonSlow
	}
	return ""
}

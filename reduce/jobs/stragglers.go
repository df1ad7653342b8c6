package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// minStallLimit is the shortest time without progress after which a run counts as
	// stalled, and stallFactor that time as a multiple of what a percent takes.
	minStallLimit = 1300 * time.Millisecond
	stallFactor   = 3
	// slowFactor is the multiple of its usual run time above which a run is too
	// slow. Estimates are wrong by half and more, and a runner with a failure is
	// four times slower.
	slowFactor = 2
	// minSlowSteps is the number of steps whose runs all have to be too slow for
	// the runner to count as slow.
	minSlowSteps = 2
	// minRestartGain is the least time that the restart of a straggler has to save.
	minRestartGain = 500 * time.Millisecond
	// minPercent and minElapsed are the least progress and run time from which the
	// length of a run is projected, because the start of a task takes a while.
	minPercent = 4
	minElapsed = 400 * time.Millisecond
	// maxSlowShare is the part of the runs on other runners, as a divisor, beyond which a runner
	// is not taken for slow by run times that were learned: if many seem slow everywhere, the
	// tasks have changed. Without this, a change by a factor of four restarted 546 of 640 tasks.
	maxSlowShare = 8
	// minComparedRuns is the number of runs on other runners from which that is judged.
	minComparedRuns = 8
	// maxRestarts is the largest number of restarts of one task. A task may also
	// seem slow because its estimate is wrong.
	maxRestarts = 2
	// slowdownWeight is the weight of a new sample in the moving average.
	slowdownWeight = 0.05
	// minSlowdownSamples is the number of samples from which the average is used.
	minSlowdownSamples = 10
)

// Reasons for restarting a run.
const (
	reasonStalled effect.Reason = "no progress"
	reasonSlow    effect.Reason = "much slower than others"
)

// slowdown is a moving average of the ratio of run times to their estimates.
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

// usualRunTime returns the usual run time of a task with an estimate.
func (s *slowdown) usualRunTime(estimate time.Duration) time.Duration {
	if s.samples < minSlowdownSamples {
		return estimate
	}
	return fleet.ScaleDuration(estimate, s.mean)
}

// recordRunTime adds the run time of a task that was done at its first attempt to
// the slowdown of its pool, and to what is learned.
func (o *ownership) recordRunTime(run *run, outcome fleet.RunOutcome) {
	o.learnRunTime(run, outcome)
	estimate := run.task.step.estimate
	if outcome != fleet.RunDone || estimate <= 0 || run.attempt > 1 {
		return
	}
	o.pool(run.task.job().service).slowdown.add(o.now().Sub(run.createdAt).Seconds() / estimate.Seconds())
}

// restartStragglers stops the stalled runs on a runner, and, if the runner as a
// whole is slow, those that a new run elsewhere would overtake. A runner with such
// a run is quarantined.
func (o *ownership) restartStragglers(r *runner) {
	slow := o.isSlow(r, false) && o.confirmsSlow(r)
	isStraggler := func(run *run) bool { return run.mayRestart() && o.restartReason(run, slow) != "" }
	for _, run := range r.runsWhere(isStraggler) {
		reason := o.restartReason(run, slow)
		if !o.roomElsewhere(run) {
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

// mayRestart reports whether a run may be restarted if it is a straggler.
func (run *run) mayRestart() bool {
	spec := run.task.step.spec
	return run.phase == runRunning && !run.mayStartLate && !spec.LongRunning && !spec.Gang && !spec.BestEffort && run.task.restarts < maxRestarts
}

// restartReason returns the reason for restarting a run; empty if it is no
// straggler.
func (o *ownership) restartReason(run *run, slow bool) effect.Reason {
	if run.listedAt.Sub(run.progressAt) > o.stallLimit(run) {
		return reasonStalled
	}
	if !slow {
		return ""
	}
	length, known := run.projectedLength()
	if known && length-run.listedAt.Sub(run.createdAt) > o.usualRunTime(run.task.step)+minRestartGain {
		return reasonSlow
	}
	return ""
}

// stallLimit returns the time without progress after which a run counts as stalled. Runners report
// whole percents, and a long run takes longer than minStallLimit for each.
func (o *ownership) stallLimit(run *run) time.Duration {
	percent := o.usualRunTime(run.task.step) / fullProgressPercent
	if run.percent >= minPercent {
		percent = max(percent, run.progressAt.Sub(run.createdAt)/time.Duration(run.percent))
	}
	return max(minStallLimit, stallFactor*percent)
}

// usualRunTime returns the run time that tasks of a step usually have.
func (o *ownership) usualRunTime(st *step) time.Duration {
	if o.learnsRunTimes() {
		return st.expected.Typical
	}
	return o.pool(st.occ.job.service).slowdown.usualRunTime(st.estimate)
}

// slowRunTime returns the run time from which a run of a step is too slow. Run times that were
// learned are not exceeded by chance only.
func (o *ownership) slowRunTime(st *step) time.Duration {
	slow := slowFactor * o.usualRunTime(st)
	if st.expected.Samples > 0 {
		slow = max(slow, st.expected.Tail)
	}
	return slow
}

// confirmsSlow reports whether a runner that is slow by what was learned is so beside the other
// runners of its pool, or, if these have too few runs to compare with, by the estimates too.
func (o *ownership) confirmsSlow(r *runner) bool {
	if !o.learnsRunTimes() {
		return true
	}
	slow, all := 0, 0
	for _, other := range o.pool(r.Service).runners {
		if other == r {
			continue
		}
		for _, run := range other.runs {
			length, known := run.projectedLength()
			if !known || !run.mayRestart() {
				continue
			}
			all++
			if length >= o.slowRunTime(run.task.step) {
				slow++
			}
		}
	}
	if all < minComparedRuns {
		return o.isSlow(r, true)
	}
	return slow*maxSlowShare <= all
}

// projectedLength returns the length of a run as projected from its progress, and
// whether the progress suffices for a projection.
func (run *run) projectedLength() (time.Duration, bool) {
	elapsed := run.listedAt.Sub(run.createdAt)
	if run.percent < minPercent || elapsed < minElapsed {
		return 0, false
	}
	return elapsed * fullProgressPercent / time.Duration(run.percent), true
}

// isSlow reports whether a runner is slow: its runs of at least minSlowSteps steps
// all take much longer than usual. Several steps are required because the estimate
// of a single step may be wrong. With byEstimate, the runs have to exceed their estimates too.
func (o *ownership) isSlow(r *runner, byEstimate bool) bool {
	steps := make(map[*step]bool, minSlowSteps)
	for _, run := range r.runs {
		length, known := run.projectedLength()
		if !known || !run.mayRestart() {
			continue
		}
		if length < o.slowRunTime(run.task.step) || (byEstimate && length < slowFactor*run.task.step.estimate) {
			return false
		}
		steps[run.task.step] = true
	}
	return len(steps) >= minSlowSteps
}

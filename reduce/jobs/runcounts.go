package jobs

import "github.com/banyanrail/banyanrail/fleet"

// runCounts counts the runs on a runner by their properties, so that no decision
// walks over them.
type runCounts struct {
	// started counts the runs whose start was ordered.
	started int
	// unproven counts the runs that may still show that the runner fails them: all but stable
	// ones and those of long-running tasks at work.
	unproven                         int
	longRunning, serving, bestEffort int
	// longRunningUse is the capacity that long-running tasks reserve.
	longRunningUse fleet.Capacity
}

// add counts a run.
func (c *runCounts) add(run *run) {
	c.change(run, 1)
	if run.task.step.spec.LongRunning {
		c.longRunningUse = c.longRunningUse.Plus(run.reserved)
	}
}

// remove stops counting a run.
func (c *runCounts) remove(run *run) {
	c.change(run, -1)
	if run.task.step.spec.LongRunning {
		c.longRunningUse = c.longRunningUse.Minus(run.reserved)
	}
}

func (c *runCounts) change(run *run, by int) {
	spec := run.task.step.spec
	run.task.attached += by
	if run.phase == runIntent {
		run.task.planned += by
	} else {
		c.started += by
	}
	if !run.available && !run.stable {
		c.unproven += by
	}
	if spec.LongRunning {
		c.longRunning += by
	}
	if spec.LatencyTarget > 0 {
		c.serving += by
	}
	if spec.BestEffort {
		c.bestEffort += by
	}
}

// addRun adds a run to its runner.
func (r *runner) addRun(run *run) {
	id := run.task.id()
	if old, ok := r.runs[id]; ok {
		r.removeRun(old)
	}
	r.runs[id] = run
	r.used = r.used.Plus(run.reserved)
	r.counts.add(run)
	if run.onTrial {
		r.trials++
		r.trialJob = run.task.job()
	}
}

// removeRun removes a run from its runner. It returns false if it was removed
// before.
func (r *runner) removeRun(run *run) bool {
	id := run.task.id()
	if r.runs[id] != run {
		return false
	}
	delete(r.runs, id)
	r.used = r.used.Minus(run.reserved)
	r.counts.remove(run)
	run.endTrial()
	return true
}

// endTrial lets other tasks be started beside a run that was on trial.
func (run *run) endTrial() {
	if !run.onTrial {
		return
	}
	run.onTrial = false
	r := run.runner
	if r.trials--; r.trials == 0 {
		r.trialJob = nil
	}
}

// setPhase sets the phase of a run that is on its runner.
func (run *run) setPhase(p runPhase) {
	run.runner.counts.remove(run)
	run.phase = p
	run.runner.counts.add(run)
}

// setStable sets whether a run has gone on for long enough to be evidence of its runner's health.
func (run *run) setStable(stable bool) {
	run.runner.counts.remove(run)
	run.stable = stable
	run.runner.counts.add(run)
}

// setAvailable sets whether a long-running task is at work.
func (run *run) setAvailable(available bool) {
	run.runner.counts.remove(run)
	run.available = available
	run.runner.counts.add(run)
}

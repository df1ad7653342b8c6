package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
)

// drainMargin is the time before the shutdown of a draining runner at which its
// last runs are stopped, so that their checkpoints are received.
const drainMargin = 700 * time.Millisecond

// evacuate stops runs on a runner that is draining or being vacated: runs of
// long-running tasks as soon as other runners have room for them, and runs with
// checkpoints shortly before the runner shuts down. A long-running task of which a start may
// be carried out late could not start elsewhere yet.
func (o *ownership) evacuate(r *runner) {
	leaving := r.Draining && r.Remaining > 0 && o.now().Sub(r.drainingSince) > r.Remaining-drainMargin
	for _, run := range r.runsWhere(func(run *run) bool { return run.phase == runRunning }) {
		spec := run.task.step.spec
		switch {
		case spec.LongRunning && !run.mayStartLate && o.relocationOf(o.pool(r.Service)).placed[run] && (r.Draining || o.mayInterrupt(run.task)):
		case leaving && !spec.LongRunning && spec.Checkpoints:
		default:
			continue
		}
		o.s.logDecision(effect.Decision{
			Name: "run evacuated", Task: run.task.id().String(), Attempt: run.attempt, Runner: r.ID, Epoch: o.epoch,
			Age: o.now().Sub(run.createdAt),
		})
		o.stopRun(run)
	}
}

// roomElsewhere reports whether the task of a run could be placed on another
// runner now.
func (o *ownership) roomElsewhere(run *run) bool {
	st := run.task.step
	for _, r := range o.pool(st.occ.job.service).runners {
		if r != run.runner && o.usable(r) && o.feasible(st, r, gangShare{}) {
			return true
		}
	}
	return false
}

// maxReportAge is the age of a runner's report that a task is at work above which
// the task counts as unavailable. It covers a poll and the delay of one answer.
const maxReportAge = pollWait + 600*time.Millisecond

// confirmedAvailable reports whether a long-running task is at work according to a
// recent report of its runner, was not ordered to stop, and is not on a draining
// runner.
func (o *ownership) confirmedAvailable(t *task) bool {
	run := t.run
	return run != nil && run.phase == runRunning && run.available && !run.runner.poll.unreachable && !run.runner.Draining &&
		o.now().Sub(run.listedAt) < maxReportAge
}

// mayInterrupt reports whether a task may be stopped without exceeding the
// MaxUnavailable of its step.
func (o *ownership) mayInterrupt(t *task) bool {
	spec := t.step.spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 {
		return true
	}
	unavailable := 0
	for _, other := range t.step.tasks {
		if other != t && !o.confirmedAvailable(other) {
			unavailable++
		}
	}
	return unavailable < spec.MaxUnavailable
}

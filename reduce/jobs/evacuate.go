package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
)

// drainMargin is how long before a draining runner may leave its last runs are
// stopped, so that what they saved is known.
const drainMargin = 700 * time.Millisecond

// evacuate stops the runs on a runner that leaves: lasting ones as soon as
// there is room for them elsewhere, others when its time is nearly up.
func (o *ownership) evacuate(r *runner) {
	leaving := r.Draining && r.Remaining > 0 && o.now().Sub(r.drainingSince) > r.Remaining-drainMargin
	for _, run := range r.runsWhere(func(run *run) bool { return run.phase == runRunning }) {
		spec := run.task.step.spec
		switch {
		case spec.LongRunning && o.roomElsewhere(run) && (r.Draining || o.mayInterrupt(run.task)):
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

// roomElsewhere reports whether another runner could take a run's task now.
func (o *ownership) roomElsewhere(run *run) bool {
	st := run.task.step
	for _, r := range o.sortedRunners {
		if r != run.runner && r.Service == st.occ.job.service && o.usable(r) && o.feasible(st, r, gangShare{}) {
			return true
		}
	}
	return false
}

// maxReportAge is the age of a runner's word that a task is at work beyond which
// the task counts as away: a look takes lookWait, and one answer may be late.
const maxReportAge = pollWait + 600*time.Millisecond

// confirmedAvailable reports whether a lasting task was at work just now, as its
// runner says, and stays there.
func (o *ownership) confirmedAvailable(t *task) bool {
	run := t.run
	return run != nil && run.phase == runRunning && run.available && !run.runner.poll.unreachable && !run.runner.Draining &&
		o.now().Sub(run.listedAt) < maxReportAge
}

// mayInterrupt reports whether a lasting task may be taken from work: few
// enough others of its step are away.
func (o *ownership) mayInterrupt(t *task) bool {
	spec := t.step.spec
	if !spec.LongRunning || spec.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for _, other := range t.step.tasks {
		if other != t && !o.confirmedAvailable(other) {
			away++
		}
	}
	return away < spec.MaxUnavailable
}

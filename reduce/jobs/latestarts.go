package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// lateStart is a start without an answer whose run was given up. The runner may still carry
// it out, and so may its later incarnations, which know nothing of a stop there.
type lateStart struct {
	task    fleet.TaskID
	attempt int64
	// until is until when the start may be carried out.
	until time.Time
}

// noteLateStart remembers the start of a run that is given up.
func (o *ownership) noteLateStart(run *run) {
	if !run.mayStartLate {
		return
	}
	r := run.runner
	r.lateStarts = append(o.pendingLateStarts(r), lateStart{task: run.task.id(), attempt: run.attempt, until: o.now().Add(maxCallDelay)})
}

// pendingLateStarts returns the starts that may still be carried out on a runner.
func (o *ownership) pendingLateStarts(r *runner) []lateStart {
	r.lateStarts = slices.DeleteFunc(r.lateStarts, func(s lateStart) bool { return !o.now().Before(s.until) })
	return r.lateStarts
}

// barLateStarts has a new incarnation of a runner reject these starts: a stop bars the
// attempt that it names.
func (o *ownership) barLateStarts(r *runner) {
	for _, s := range o.pendingLateStarts(r) {
		o.s.emit(o.newOrder(r, effect.OrderStop, s.task, s.attempt))
	}
}

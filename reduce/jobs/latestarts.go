package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// lateStart is a start without an answer whose run was given up. The runner may still carry
// it out, and so may its later incarnations, which know nothing of a stop there and which
// nobody need ever see. So until it is settled, the task may start on no other runner.
type lateStart struct {
	task    *task
	attempt int64
	runner  *runner
	// epoch is that of the last owner that may have ordered the start; zero if it is not known.
	epoch int64
	// until is until when the start may be carried out.
	until time.Time
	// stopSentAt and stoppedAt are when a stop of the attempt was sent to the runner's
	// current incarnation, and when it was answered; zero before.
	stopSentAt, stoppedAt time.Time
	// ended is set if the failure of the run may have been counted already.
	ended bool
	// barred is set once the current incarnation has answered a stop, and a later answer
	// does not list the run: it rejects the start.
	barred bool
}

// lateStartPollWait is the wait of a long poll while a task waits for the answer that bars a
// late start.
const lateStartPollWait = 20 * time.Millisecond

// settledStoreTime is the estimated run time of a task from which it is stored soon that none of
// its starts may be carried out late. Shorter ones have mostly ended before a next owner
// could wait for them.
const settledStoreTime = 2 * time.Second

// callableUntil returns until when a call that is ordered now may be carried out.
func (o *ownership) callableUntil() time.Time { return o.now().Add(maxOrderAge + maxCallDelay) }

// expectLateStart notes that the last start of the run may have had no answer.
func (run *run) expectLateStart() {
	run.mayStartLate, run.settled = true, false
	run.startableUntil = latest(run.startableUntil, run.startSentUntil)
}

// settle notes that no start of a run can be carried out any more but the one by which it
// runs. A next owner that finds this stored need not wait for one.
func (o *ownership) settle(run *run) {
	if run.settled {
		return
	}
	run.mayStartLate, run.settled = false, true
	o.storeSettled(run.task)
}

// storeSettled has the ledger tell soon what has been settled of a task.
func (o *ownership) storeSettled(t *task) {
	if !t.job().state.Final() && (t.step.spec.LongRunning || t.step.estimate >= settledStoreTime) {
		o.markProgress(t.job())
	}
}

// settleListed settles a run that an answer to a poll lists, if its only start has begun it, or
// the poll was sent after the others could be carried out.
func (o *ownership) settleListed(run *run) {
	switch {
	case !run.startRepeated || !run.mayStartLate:
		o.settle(run)
	case run.startInFlight():
		run.expectLateStart()
	case !run.startableUntil.After(run.runner.poll.sentAt):
		o.settle(run)
	}
}

// noteLateStart notes the late start, if any, of a run that is given up or has ended.
func (o *ownership) noteLateStart(run *run) {
	if run.startInFlight() {
		run.expectLateStart()
	}
	if run.mayStartLate && !run.runner.end.Retired() {
		o.addLateStart(run.task, run.runner, run.attempt, run.startableUntil).epoch = run.startEpoch
	}
}

func (o *ownership) addLateStart(t *task, r *runner, attempt int64, until time.Time) *lateStart {
	late := &lateStart{task: t, attempt: attempt, runner: r, until: until}
	r.lateStarts = append(r.lateStarts, late)
	t.lateStarts = append(t.lateStarts, late)
	o.recount(t)
	o.touch(r)
	o.s.count("late_starts_expected", "")
	return late
}

// restoreLateStarts restores the late starts of former owners.
func (o *ownership) restoreLateStarts(t *task, stored []ledger.Run) {
	for _, s := range stored {
		r := o.runner(s.Runner)
		o.setInstance(r, s.Instance)
		late := o.addLateStart(t, r, s.Attempt, o.callableUntilOf(s.Epoch))
		late.epoch, late.ended = s.Epoch, true
	}
}

// storedLateStarts returns the late starts of a task as stored in the ledger.
func (t *task) storedLateStarts() []ledger.Run {
	var out []ledger.Run
	for _, late := range t.lateStarts {
		out = append(out, ledger.Run{Attempt: late.attempt, Runner: late.runner.ID, Instance: late.runner.Instance, Epoch: late.epoch})
	}
	return out
}

// mayStartOn reports whether a task may be started on a runner while earlier starts of it may
// still be carried out. On the same runner two incarnations cannot run it at the same time.
func (t *task) mayStartOn(r *runner) bool {
	if len(t.lateStarts) == 0 || t.step.spec.Speculative {
		return true
	}
	for _, late := range t.lateStarts {
		if late.runner != r || !late.barred {
			return false
		}
	}
	// The tasks of others on the runner would crash with that of a task that crashes it again,
	// and one that has failed there may fail once more.
	return t.step.spec.LongRunning || (t.avoidRunner != r.ID && !t.crashes.Suspected())
}

// lateStart returns the late start of an attempt, or nil.
func (t *task) lateStart(attempt int64) *lateStart {
	for _, late := range t.lateStarts {
		if late.attempt == attempt {
			return late
		}
	}
	return nil
}

// waits reports whether a task waits for the late start to be settled.
func (late *lateStart) waits() bool {
	return late.task.phase == taskWaiting && !late.task.job().state.Final()
}

// awaitsBar reports whether a task waits for a late start on the runner to be barred.
func (r *runner) awaitsBar() bool {
	return slices.ContainsFunc(r.lateStarts, func(late *lateStart) bool { return !late.barred && late.waits() })
}

// holdsTasks reports whether tasks wait for late starts on the runner to be settled.
func (r *runner) holdsTasks() bool { return slices.ContainsFunc(r.lateStarts, (*lateStart).waits) }

// lateRunsUntil returns until when an incarnation that nobody has seen may run a task by a late
// start. Calls that granted leases may reach it as late, and lengthen its leases.
func (o *ownership) lateRunsUntil(late *lateStart) time.Time {
	last := latest(late.until, latest(late.runner.leasableUntil, o.callableUntilOf(late.runner.leasedBy)))
	return last.Add(onSlowestClock(o.s.cfg.Bounds.MaxLease))
}

// settleLateStarts settles the late starts on a runner by its answer to a poll that was sent at
// a time, and has those that can still be carried out rejected.
func (o *ownership) settleLateStarts(r *runner, rows []fleet.RunningTask, sent time.Time) {
	for _, late := range slices.Clone(r.lateStarts) {
		runs := slices.ContainsFunc(rows, func(row fleet.RunningTask) bool {
			return row.Attempt == late.attempt && row.Task == late.task.id()
		})
		switch {
		case runs:
			// It is stopped as a stray run. The next answer tells whether it has ended.
			late.barred, late.stoppedAt = false, time.Time{}
		case !late.until.After(sent):
			o.dropLateStart(late)
		case !late.stoppedAt.IsZero() && late.stoppedAt.Before(sent):
			late.barred = true
			o.pool(late.task.job().service).dirty = true
		case late.stoppedAt.IsZero() && late.stopSentAt.Before(sent) && late.waits():
			o.barLateStart(late)
		}
	}
}

// expireLateStarts drops the late starts on a runner whose runs would have ended by now.
func (o *ownership) expireLateStarts(r *runner) {
	for _, late := range slices.Clone(r.lateStarts) {
		if !o.now().Before(o.lateRunsUntil(late)) {
			o.dropLateStart(late)
		}
	}
}

// dropLateStarts drops all late starts on a runner whose id is retired.
func (o *ownership) dropLateStarts(r *runner) {
	for _, late := range slices.Clone(r.lateStarts) {
		o.dropLateStart(late)
	}
	o.releaseEnds(r)
}

func (o *ownership) dropLateStart(late *lateStart) {
	is := func(other *lateStart) bool { return other == late }
	late.runner.lateStarts = slices.DeleteFunc(late.runner.lateStarts, is)
	late.task.lateStarts = slices.DeleteFunc(late.task.lateStarts, is)
	o.recount(late.task)
	o.touch(late.runner)
	o.storeSettled(late.task)
	if late.waits() {
		o.pool(late.task.job().service).dirty = true
	}
}

// barLateStarts has a new incarnation of a runner reject the late starts: a stop bars the
// attempt that it names.
func (o *ownership) barLateStarts(r *runner) {
	for _, late := range r.lateStarts {
		late.barred, late.stoppedAt = false, time.Time{}
		if o.now().Before(late.until) {
			o.barLateStart(late)
		}
	}
}

func (o *ownership) barLateStart(late *lateStart) {
	late.stopSentAt = o.now()
	o.s.emit(o.newOrder(late.runner, effect.OrderStop, late.task.id(), late.attempt))
}

// onLateStartStopped notes that the current incarnation of a runner has answered a stop.
func (o *ownership) onLateStartStopped(r *runner, b event.TaskOrdered) {
	if b.Kind != effect.OrderStop || (b.Outcome != event.OrderDone && b.Outcome != event.OrderSuperseded) {
		return
	}
	for _, late := range r.lateStarts {
		if late.attempt == b.Attempt && late.task.id() == b.Task {
			late.stoppedAt = o.now()
		}
	}
}

// logHeld logs that a task which is given up on a runner waits for a late start there.
func (o *ownership) logHeld(t *task) {
	if len(t.lateStarts) == 0 {
		return
	}
	late := t.lateStarts[len(t.lateStarts)-1]
	o.s.logDecision(effect.Decision{
		Name: "task held", Task: t.id().String(), Attempt: late.attempt, Runner: late.runner.ID, Incarnation: late.runner.Incarnation,
		Reason: "a start may be carried out late", Age: o.lateRunsUntil(late).Sub(o.now()), Epoch: o.epoch,
	})
	o.s.count("tasks_held", "")
}

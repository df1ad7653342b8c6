package jobs

import (
	"cmp"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// orderRetryDelay is the delay before an order without an answer is retried.
	orderRetryDelay = 60 * time.Millisecond
	// noRoomDelay is how long no task is started on a runner that refused a start
	// for lack of capacity. It is about the time until the next poll.
	noRoomDelay = 300 * time.Millisecond
)

type runPhase uint8

const (
	// runIntent means that the run is planned. Its start is ordered once the intent
	// to run the task on the runner is stored.
	runIntent runPhase = iota + 1
	// runStarting means that the start was ordered and is not confirmed.
	runStarting
	runRunning
	// runStopping means that the stop was ordered and the end is not known yet.
	runStopping
)

// run is one run of a task on a runner: intended, ordered or confirmed.
type run struct {
	task        *task
	runner      *runner
	incarnation fleet.Incarnation
	attempt     int64
	phase       runPhase
	reserved    fleet.Capacity
	ticket      string
	createdAt   time.Time
	// orderInFlight is set while the answer to an order is outstanding. retryAt is
	// when the order is retried; zero when no retry is needed.
	orderInFlight bool
	retryAt       time.Time
	retry         timer.Timer
	// mayStartLate is set once a start had no answer: the order may still be
	// carried out.
	mayStartLate bool
	// startSentUntil is until when the last start that was ordered may be carried out, and
	// startRepeated is set if it was not the only one. startableUntil is until when a
	// start without an answer may be carried out.
	startSentUntil, startableUntil time.Time
	startRepeated                  bool
	// startEpoch is the epoch of the last owner that may have ordered a start; zero if that was
	// the previous one.
	startEpoch int64
	// settled is set once no start of the run can be carried out but that by which it runs.
	settled bool
	// confirmedAt is when the runner last confirmed an order; zero before. The
	// answer to a later poll lists the run or its end.
	confirmedAt time.Time
	// runningSince is when the runner first confirmed that the task runs; zero before.
	runningSince time.Time
	// staleLeases is set if leases by calls for earlier incarnations of the runner had not
	// expired when the run was planned.
	staleLeases bool
	// onTrial is set while the run may show that its task crashes runners.
	onTrial bool
	// ended tells how the run may have ended with an earlier incarnation of its runner;
	// nil while there is no sign of that.
	ended *crashes.Run
	// crashCounted is set once a crash of the runner was counted under the run. Its start
	// is not repeated, so a later one counts only if the runner lists the run again.
	crashCounted bool

	// listedAt is when the runner last listed the run, and listedBy the number of
	// the poll.
	listedAt time.Time
	listedBy uint64
	percent  int
	// progressAt is when percent last changed.
	progressAt time.Time
	// available is set while a long-running task is at work.
	available bool
	// stable is set once the run has gone on for stableAfter.
	stable bool
	// load is the value of fleet.RunningTask.Load.
	load int64
	pace pace
}

func (r *run) compare(o *run) int {
	a, b := r.task, o.task
	return cmp.Or(
		cmp.Compare(a.job().id, b.job().id),
		cmp.Compare(a.step.occ.number, b.step.occ.number),
		cmp.Compare(a.step.number, b.step.number),
		cmp.Compare(a.index, b.index),
	)
}

// confirmedBefore reports whether the runner confirmed the last order before t.
func (r *run) confirmedBefore(t time.Time) bool {
	return !r.confirmedAt.IsZero() && r.confirmedAt.Before(t)
}

// planRun reserves capacity on a runner for a task. The start is ordered once the
// intent is stored.
func (o *ownership) planRun(t *task, r *runner, attempt int64, ticket string) {
	o.endWait(t)
	t.attempt = attempt
	run := &run{
		task: t, runner: r, incarnation: r.Incarnation, attempt: attempt, phase: runIntent,
		reserved: t.step.spec.Reservation(), createdAt: o.now(), ticket: ticket, pace: newPace(),
		onTrial: t.crashes.Suspected(), staleLeases: o.now().Before(r.stale.until()), startEpoch: o.epoch,
	}
	o.attachRun(run)
	t.job().started = true
	o.markProgress(t.job())
	o.whenStored(deferred{start: run})
}

// adoptRun takes over a run that an earlier owner planned or started.
func (o *ownership) adoptRun(t *task, stored *ledger.Task) {
	r := o.runner(stored.Runner)
	if r.Address == "" {
		r.Address = stored.Address
	}
	o.setInstance(r, stored.Instance)
	o.adoptIncarnation(r, stored)
	o.attachRun(&run{
		task: t, runner: r, incarnation: stored.Incarnation, attempt: t.attempt, phase: runStarting,
		reserved: t.step.spec.Reservation(), createdAt: o.now(), confirmedAt: o.startedAt, pace: adoptedPace(t.step.spec.BestEffort),
		mayStartLate: !stored.Settled, settled: stored.Settled, startableUntil: o.callableUntilOf(stored.StartEpoch), startRepeated: true,
		startEpoch: cmp.Or(stored.StartEpoch, o.epoch-1),
		onTrial:    t.crashes.Suspected(), staleLeases: stored.StaleLeases,
	})
}

func (o *ownership) attachRun(run *run) {
	run.task.phase, run.task.run = taskActive, run
	run.runner.addRun(run)
	o.recount(run.task)
	o.touch(run.runner)
}

// releaseRun frees the capacity that a run has reserved.
func (o *ownership) releaseRun(run *run) {
	if !run.runner.removeRun(run) {
		return
	}
	o.touch(run.runner)
	o.timers.Clear(&run.retry)
	o.noteLateStart(run)
	if run.task.run == run {
		run.task.run = nil
	}
	o.recount(run.task)
}

// loseRun gives up a run that has certainly ended, and requeues its task.
func (o *ownership) loseRun(run *run, reason effect.Reason) {
	o.releaseRun(run)
	d := effect.Decision{
		Name: "run lost", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID, Incarnation: run.incarnation, Reason: reason,
		Epoch: o.epoch, Age: o.now().Sub(run.createdAt), Ran: run.provenRunTime(), Count: run.task.crashes.Crashes,
	}
	if run.mayStartLate || run.startInFlight() {
		d.Outcome = "a start had no answer"
	}
	o.s.logDecision(d)
	o.s.count("runs_lost", reason)
	switch reason {
	case reasonLeaseExpired:
		run.task.crashes.Lost(run.provenRunTime())
		o.addUnresolved(run.task, unresolvedRun{
			attempt: run.attempt, runner: run.runner.ID, instance: run.runner.Instance, since: o.now(), epoch: o.epoch,
		})
	case reasonInstanceMissing:
		if run.mayHaveBegun() && !run.crashCounted && !o.leftAsPlanned(run.runner) && run.task.crashes.LostForGood(run.provenRunTime()) {
			o.giveUp(run.task, run.runner.ID)
		}
	default:
	}
	o.requeue(run.task)
	o.logHeld(run.task)
}

// requeueUnstarted requeues the task of a run that never started.
func (o *ownership) requeueUnstarted(run *run) {
	o.releaseRun(run)
	o.requeue(run.task)
}

// startRun orders the start of a run whose intent is stored. It requeues the task
// if the run is no longer wanted or its runner no longer suitable.
func (o *ownership) startRun(run *run) {
	r := run.runner
	if run.phase != runIntent || r.runs[run.task.id()] != run {
		return
	}
	if run.task.job().state.Final() || run.incarnation != r.Incarnation || !o.takesPlanned(r) {
		o.requeueUnstarted(run)
		return
	}
	o.sendStart(run)
}

// takesPlanned reports whether a run that was planned on a runner may be started there now.
func (o *ownership) takesPlanned(r *runner) bool {
	return r.listed && !r.Draining && r.fenced && !r.poll.unreachable && o.roomKnown(r) && o.hasRoom(r)
}

func (o *ownership) sendStart(run *run) {
	r, t := run.runner, run.task
	if !o.s.tenure.Valid(o.now()) || o.withheld[r.ID] || !r.mayLease() {
		o.retryAfter(run, orderRetryDelay)
		return
	}
	if r.readingExpired(o.now()) {
		o.retryAfter(run, orderRetryDelay)
		o.probe(r)
		return
	}
	if run.phase == runIntent && !o.mayStart(run) {
		o.dropPlanned(run)
		return
	}
	run.setPhase(runStarting)
	o.recount(t)
	run.orderInFlight, run.retryAt = true, time.Time{}
	run.startRepeated = run.startRepeated || !run.startSentUntil.IsZero()
	run.startSentUntil = o.callableUntil()
	e := o.newOrder(r, effect.OrderStart, t.id(), run.attempt)
	o.useToken(r)
	e.Text, e.LeaseDeadline, e.Checkpoint, e.Ticket = t.job().spec.Text, r.newLeaseDeadline(o.now()), t.checkpoint, run.ticket
	o.s.emit(e)
	o.pollIfDue(r)
}

// newOrder returns an order about a task, without the fields that only some kinds
// of orders use.
func (o *ownership) newOrder(r *runner, kind effect.OrderKind, task fleet.TaskID, attempt int64) effect.OrderTask {
	return effect.OrderTask{
		Epoch: o.epoch, Token: o.token(r), Kind: kind, Runner: r.ID, Incarnation: r.Incarnation, Address: r.Address, Task: task, Attempt: attempt,
		SendDeadline: o.now().Add(maxOrderAge), Dispatcher: o.dispatcherFor(r),
	}
}

// stopRun orders the stop of a run. The task is requeued once the runner lists the
// end of the run, or no longer lists the run.
func (o *ownership) stopRun(run *run) {
	switch run.phase {
	case runIntent:
		o.requeueUnstarted(run)
		return
	case runStopping:
		return
	default:
	}
	if run.startInFlight() {
		run.expectLateStart()
	}
	run.setPhase(runStopping)
	run.confirmedAt = time.Time{}
	run.orderInFlight, run.retryAt = false, time.Time{}
	o.sendStop(run)
}

func (o *ownership) sendStop(run *run) {
	r := run.runner
	if r.Address == "" {
		return
	}
	run.orderInFlight, run.retryAt = true, time.Time{}
	o.s.emit(o.newOrder(r, effect.OrderStop, run.task.id(), run.attempt))
}

// stopRuns stops all runs of a job that has ended.
func (o *ownership) stopRuns(j *job) {
	for _, occ := range j.occurrences {
		for _, t := range occ.allTasks() {
			if t.run != nil {
				o.stopRun(t.run)
			}
		}
	}
}

// retryAfter retries the order about a run after a delay.
func (o *ownership) retryAfter(run *run, delay time.Duration) {
	run.retryAt = o.now().Add(delay)
	o.timers.Set(&run.retry, run.retryAt, run)
}

// retryOrder retries the order about a run if that is due. While the runner does
// not answer, or has not seen this tenure's fence, the retry is put off.
func (o *ownership) retryOrder(run *run) {
	switch {
	case run.orderInFlight || run.retryAt.IsZero() || run.runner.runs[run.task.id()] != run:
		return
	case run.phase == runIntent && run.runner.poll.unreachable:
		o.requeueUnstarted(run) // no lease expires for a start that was never sent
		return
	case run.runner.poll.unreachable || !run.runner.fenced || (run.phase == runStarting && !o.roomKnown(run.runner)):
		o.timers.Set(&run.retry, o.now().Add(orderRetryDelay), run)
		return
	}
	switch run.phase {
	case runStarting, runIntent:
		if !o.mayRepeatStart(run) {
			o.stopRun(run)
			return
		}
		o.sendStart(run)
	case runStopping:
		o.sendStop(run)
	case runRunning: // nothing to retry
	}
}

// mayRepeatStart reports whether the start of a run is still wanted on the incarnation that
// it was decided for. The ledger says of adopted runs that earlier owners ordered their starts.
func (o *ownership) mayRepeatStart(run *run) bool {
	r := run.runner
	return run.incarnation == r.Incarnation && run.startEpoch == o.epoch && !r.Draining && !run.task.job().state.Final() && o.hasRoom(r)
}

func (o *ownership) onTaskOrdered(b event.TaskOrdered) {
	r, ok := o.runners[b.Runner]
	if !ok {
		return
	}
	if b.Outcome == event.OrderFenced && b.Token >= o.token(r) {
		o.s.endTenure(reasonRunnerFenced)
		return
	}
	if b.Incarnation != r.Incarnation {
		// The answer says nothing of the current incarnation.
		b.Outcome, b.Clock = event.OrderUnknown, event.Clock{}
	}
	if b.Outcome != event.OrderOtherIncarnation && !r.poll.unreachable {
		r.noteAnswer(o.receivedAt(b.Clock), b.Clock)
	}
	proven := r.provesIncarnation(b.Clock)
	r.updateClock(b.Clock)
	run, ok := r.runs[b.Task]
	if !ok || run.attempt != b.Attempt {
		o.onLateStartStopped(r, b)
		return
	}
	switch b.Kind {
	case effect.OrderStart:
		o.onStartOrdered(run, b, proven)
	case effect.OrderStop:
		o.onStopOrdered(run, b)
	case effect.OrderPace:
		o.onPaceOrdered(run, b)
	}
}

// onStartOrdered handles the answer to a start. It is proven to be of the known incarnation, or
// may be of another one.
func (o *ownership) onStartOrdered(run *run, b event.TaskOrdered, proven bool) {
	o.s.count("starts", effect.Reason(outcomeNames[b.Outcome]))
	if run.phase != runStarting {
		return
	}
	run.orderInFlight = false
	if b.Outcome != event.OrderDone && b.Outcome != event.OrderStale {
		o.s.logDecision(effect.Decision{
			Name: "start", Task: b.Task.String(), Attempt: b.Attempt, Runner: b.Runner, Queue: run.task.job().queue,
			Outcome: outcomeNames[b.Outcome], Reason: effect.Reason(b.Reason), Epoch: o.epoch, Age: o.now().Sub(run.createdAt),
		})
	}
	switch b.Outcome {
	case event.OrderDone:
		run.setPhase(runRunning)
		o.markBegun(run.task.job())
		run.confirmedAt, run.progressAt = o.now(), o.now()
		run.runningSince = run.runner.aliveAt
		switch {
		case !proven:
			run.expectLateStart() // its lease may be by the clock of another incarnation
		case !run.mayStartLate:
			o.settle(run)
		}
	case event.OrderUnknown:
		run.expectLateStart()
		o.retryAfter(run, orderRetryDelay)
		o.raiseToken(run.runner, b.Token)
		o.probe(run.runner)
	case event.OrderFenced:
		// A later call of this owner has reached the runner before. The start was not carried out.
		o.retryAfter(run, orderRetryDelay)
	case event.OrderNotSent:
		o.retryAfter(run, orderRetryDelay)
		o.probe(run.runner)
	case event.OrderStale, event.OrderLate:
		o.retryAfter(run, 0)
	case event.OrderSuperseded:
		// The run has ended on the runner. The next poll lists its outcome.
		run.confirmedAt = o.now()
	case event.OrderOtherIncarnation:
		o.onRunnerGone(run.runner, reasonReplaced)
	default:
		o.onStartRefused(run, b.Outcome)
	}
}

// onStartRefused requeues a task that the runner did not start. The task avoids
// the runner.
func (o *ownership) onStartRefused(run *run, outcome event.OrderOutcome) {
	r := run.runner
	switch outcome {
	case event.OrderNoRoom:
		r.noRoomUntil = o.now().Add(noRoomDelay)
	case event.OrderUnhealthy:
		o.recordFailure(r, "refused a start")
	case event.OrderNoTicket:
		run.task.step.advice = advice{}
	case event.OrderInvalid:
		run.task.checkpoint = ""
	default:
	}
	run.task.avoidRunner = r.ID
	if run.mayStartLate {
		// An earlier order may still be carried out. A stop prevents that.
		o.stopRun(run)
		return
	}
	o.requeueUnstarted(run)
}

func (o *ownership) onStopOrdered(run *run, b event.TaskOrdered) {
	if run.phase != runStopping {
		return
	}
	run.orderInFlight = false
	switch b.Outcome {
	case event.OrderDone, event.OrderSuperseded:
		run.confirmedAt = o.now()
	case event.OrderOtherIncarnation:
		o.onRunnerGone(run.runner, reasonReplaced)
	default:
		o.retryAfter(run, orderRetryDelay)
	}
}

var outcomeNames = map[event.OrderOutcome]string{
	event.OrderDone: "done", event.OrderUnknown: "unknown", event.OrderStale: "stale", event.OrderFenced: "fenced",
	event.OrderSuperseded: "superseded", event.OrderLate: "late", event.OrderNoRoom: "no room",
	event.OrderNoTicket: "no ticket", event.OrderOtherIncarnation: "other incarnation",
	event.OrderUnhealthy: "unhealthy", event.OrderInvalid: "invalid", event.OrderNotSent: "not sent",
}

// fullProgressPercent is the progress of a task that is done, or of a long-running
// task that is at work.
const fullProgressPercent = 100

// update applies the state of the run that its runner reports.
func (r *run) update(o *ownership, row *fleet.RunningTask) {
	r.listedAt, r.incarnation, r.crashCounted = o.now(), r.runner.Incarnation, false
	o.markBegun(r.task.job())
	if r.runningSince.IsZero() {
		r.runningSince = r.runner.aliveAt
	}
	o.recordLasted(r)
	o.settleListed(r)
	if r.phase == runStarting {
		r.setPhase(runRunning)
		r.orderInFlight, r.confirmedAt, r.progressAt = false, o.now(), o.now()
		r.retryAt = time.Time{}
	}
	o.noteStable(r)
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
	if row.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = row.Percent, o.now()
	}
	r.load = row.Load
	if r.task.step.spec.LongRunning {
		atWork := row.Percent >= fullProgressPercent
		if atWork && !r.available {
			r.runner.health.recordSuccess()
		}
		if atWork != r.available {
			r.setAvailable(atWork)
		}
	}
}

// recordEnd counts the outcome of a run, and logs it unless the task is done.
func (o *ownership) recordEnd(run *run, outcome fleet.RunOutcome) {
	o.s.count("runs_ended", effect.Reason(outcome))
	if outcome == fleet.RunDone {
		return
	}
	o.s.logDecision(effect.Decision{
		Name: "run ended", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID,
		Queue: run.task.job().queue, Outcome: string(outcome), Epoch: o.epoch, Age: o.now().Sub(run.createdAt), Count: run.task.failures,
	})
}

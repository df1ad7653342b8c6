package jobs

import (
	"cmp"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// orderPause is the pause before an order without an answer is repeated.
	orderPause = 60 * time.Millisecond
	// roomPause is how long nothing more is started on a runner that had less
	// room than it should: about the time to the next look.
	roomPause = 300 * time.Millisecond
)

type runPhase uint8

const (
	// runIntent waits until the ledger holds that the task may run there.
	runIntent runPhase = iota + 1
	// runStarting has been ordered; the answer is not known.
	runStarting
	runRunning
	// runStopping has been told to stop, or is told again.
	runStopping
)

// run is one run of a task on a runner: intended, ordered or confirmed.
type run struct {
	task       *task
	runner     *runner
	incarnated fleet.Incarnation
	attempt    int64
	phase      runPhase
	need       fleet.Capacity
	ticket     string
	since      time.Time
	// underway is set while an order's answer is waited for, and retryAt is when
	// the order is repeated.
	underway bool
	retryAt  time.Time
	// uncertain is set once a start had no answer: it may still be carried out.
	uncertain bool
	// settled is when the runner last confirmed an order, so that a list asked
	// for later has to show the run or its end. Zero before.
	settled time.Time

	// seenAt is when the runner last listed the run.
	seenAt     time.Time
	percent    int
	progressAt time.Time
	atWork     bool
	load       int64
	pace       pace
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

func (r *run) settledBefore(t time.Time) bool {
	return !r.settled.IsZero() && r.settled.Before(t)
}

// intend reserves a runner for a task. The start follows once that is stored.
func (o *ownership) intend(t *task, r *runner, attempt int64, ticket string) {
	t.attempt = attempt
	run := &run{
		task: t, runner: r, incarnated: r.Incarnation, attempt: attempt, phase: runIntent,
		need: t.step.spec.Reservation(), since: o.now(), ticket: ticket, pace: newPace(),
	}
	o.attach(run)
	t.job().started = true
	o.markProgress(t.job())
	o.whenStored(deferred{start: run})
}

// adopt takes over a run that an earlier owner intended.
func (o *ownership) adopt(t *task, id fleet.RunnerID, incarnated fleet.Incarnation) {
	o.attach(&run{
		task: t, runner: o.runner(id), incarnated: incarnated, attempt: t.attempt, phase: runStarting,
		need: t.step.spec.Reservation(), since: o.now(), settled: o.startedAt, uncertain: true, pace: newPace(),
	})
}

func (o *ownership) attach(run *run) {
	run.task.phase, run.task.run = taskActive, run
	run.runner.runs[run.task.id()] = run
	run.runner.used = run.runner.used.Plus(run.need)
}

// release frees what a run has reserved.
func (o *ownership) release(run *run) {
	id := run.task.id()
	if run.runner.runs[id] != run {
		return
	}
	delete(run.runner.runs, id)
	run.runner.used = run.runner.used.Minus(run.need)
	if run.task.run == run {
		run.task.run = nil
	}
}

// lose gives up a run that certainly does not run any more.
func (o *ownership) lose(run *run, reason effect.Reason) {
	o.release(run)
	o.s.logDecision(effect.Decision{
		Name: "run lost", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID, Reason: reason,
		Epoch: o.epoch, Age: o.now().Sub(run.since),
	})
	o.s.count("runs_lost", reason)
	if reason == reasonLapsed {
		run.task.unresolved = append(run.task.unresolved, unresolvedRun{attempt: run.attempt, runner: run.runner.ID, since: o.now()})
		run.task.job().hasUnresolved = true
	}
	o.requeue(run.task)
}

// giveBack makes a task wait again whose run never began.
func (o *ownership) giveBack(run *run) {
	o.release(run)
	o.requeue(run.task)
}

// start orders a run whose intent is stored.
func (o *ownership) start(run *run) {
	r := run.runner
	if run.phase != runIntent || r.runs[run.task.id()] != run {
		return
	}
	if run.task.job().state.Final() || !r.listed || r.Draining || !r.touched || run.incarnated != r.Incarnation {
		o.giveBack(run)
		return
	}
	o.sendStart(run)
}

func (o *ownership) sendStart(run *run) {
	if !o.s.tenure.Valid(o.now()) {
		run.retryAt = o.now().Add(orderPause)
		return
	}
	r, t := run.runner, run.task
	run.phase, run.underway, run.retryAt = runStarting, true, time.Time{}
	e := o.newOrder(r, effect.OrderStart, t.id(), run.attempt)
	e.Text, e.LeaseDeadline, e.Checkpoint, e.Ticket = t.job().spec.Text, r.newDeadline(o.now()), t.checkpoint, run.ticket
	o.s.emit(e)
	o.lookIfDue(r)
}

// newOrder returns an order about a task, without what goes with some kinds only.
func (o *ownership) newOrder(r *runner, kind effect.OrderKind, task fleet.TaskID, attempt int64) effect.OrderTask {
	return effect.OrderTask{
		Epoch: o.epoch, Kind: kind, Runner: r.ID, Address: r.Address, Task: task, Attempt: attempt,
		SendDeadline: o.now().Add(orderFreshness), Dispatcher: o.through(r),
	}
}

// stop ends a run. Its task waits again once the runner lists the end, or does
// not list the run any more.
func (o *ownership) stop(run *run) {
	switch run.phase {
	case runIntent:
		o.giveBack(run)
		return
	case runStopping:
		return
	default:
	}
	run.phase, run.settled = runStopping, time.Time{}
	run.underway, run.retryAt = false, time.Time{}
	o.sendStop(run)
}

func (o *ownership) sendStop(run *run) {
	r := run.runner
	if r.Address == "" {
		return
	}
	run.underway, run.retryAt = true, time.Time{}
	o.s.emit(o.newOrder(r, effect.OrderStop, run.task.id(), run.attempt))
}

// stopRuns stops all runs of a job that has ended.
func (o *ownership) stopRuns(j *job) {
	for _, occ := range j.occurrences {
		for _, t := range occ.allTasks() {
			if t.run != nil {
				o.stop(t.run)
			}
		}
	}
}

// tickRuns repeats the orders that had no answer.
func (o *ownership) tickRuns() {
	for _, r := range o.sortedRunners {
		if r.look.lost || !r.touched {
			continue
		}
		for _, run := range r.runsWhere(func(run *run) bool {
			return !run.underway && !run.retryAt.IsZero() && !o.now().Before(run.retryAt)
		}) {
			o.repeat(run)
		}
	}
}

func (o *ownership) repeat(run *run) {
	switch run.phase {
	case runStarting, runIntent:
		if run.runner.Draining || run.task.job().state.Final() {
			o.stop(run)
			return
		}
		o.sendStart(run)
	case runStopping:
		o.sendStop(run)
	case runRunning: // nothing to repeat
	}
}

func (o *ownership) onTaskOrdered(b event.TaskOrdered) {
	r, ok := o.runners[b.Runner]
	if !ok {
		return
	}
	r.tellClock(b.Clock)
	if b.Outcome == event.OrderFenced {
		o.s.endTenure(reasonRunnerFenced)
		return
	}
	run, ok := r.runs[b.Task]
	if !ok || run.attempt != b.Attempt {
		return
	}
	switch b.Kind {
	case effect.OrderStart:
		o.onStartOrdered(run, b)
	case effect.OrderStop:
		o.onStopOrdered(run, b)
	case effect.OrderPace:
		o.onPaceOrdered(run, b)
	}
}

func (o *ownership) onStartOrdered(run *run, b event.TaskOrdered) {
	o.s.count("starts", effect.Reason(outcomeNames[b.Outcome]))
	if run.phase != runStarting {
		return
	}
	run.underway = false
	if b.Outcome != event.OrderDone && b.Outcome != event.OrderStale {
		o.s.logDecision(effect.Decision{
			Name: "start", Task: b.Task.String(), Attempt: b.Attempt, Runner: b.Runner, Queue: run.task.job().queue,
			Outcome: outcomeNames[b.Outcome], Reason: effect.Reason(b.Reason), Epoch: o.epoch, Age: o.now().Sub(run.since),
		})
	}
	switch b.Outcome {
	case event.OrderDone:
		run.phase, run.settled, run.progressAt = runRunning, o.now(), o.now()
	case event.OrderUnknown:
		run.uncertain = true
		run.retryAt = o.now().Add(orderPause)
	case event.OrderStale, event.OrderLate:
		run.retryAt = o.now()
	case event.OrderSuperseded:
		// It ended there; the next look tells how.
		run.settled = o.now()
	case event.OrderOtherIncarnation:
		o.dead(run.runner, reasonReplaced)
	default:
		o.onStartRefused(run, b.Outcome)
	}
}

// onStartRefused takes a task back that the runner did not start.
func (o *ownership) onStartRefused(run *run, outcome event.OrderOutcome) {
	r := run.runner
	switch outcome {
	case event.OrderNoRoom:
		r.roomUntil = o.now().Add(roomPause)
	case event.OrderUnhealthy:
		o.strike(r, "refused a start")
	case event.OrderNoTicket:
		run.task.step.advice = advice{}
	case event.OrderInvalid:
		run.task.checkpoint = ""
	default:
	}
	run.task.avoidRunner = r.ID
	if run.uncertain {
		// An earlier order may still be carried out; a stop prevents that.
		o.stop(run)
		return
	}
	o.giveBack(run)
}

func (o *ownership) onStopOrdered(run *run, b event.TaskOrdered) {
	if run.phase != runStopping {
		return
	}
	run.underway = false
	switch b.Outcome {
	case event.OrderDone, event.OrderSuperseded:
		run.settled = o.now()
	case event.OrderOtherIncarnation:
		o.dead(run.runner, reasonReplaced)
	default:
		run.retryAt = o.now().Add(orderPause)
	}
}

var outcomeNames = map[event.OrderOutcome]string{
	event.OrderDone: "done", event.OrderUnknown: "unknown", event.OrderStale: "stale", event.OrderFenced: "fenced",
	event.OrderSuperseded: "superseded", event.OrderLate: "late", event.OrderNoRoom: "no room",
	event.OrderNoTicket: "no ticket", event.OrderOtherIncarnation: "other incarnation",
	event.OrderUnhealthy: "unhealthy", event.OrderInvalid: "invalid",
}

// atWorkPercent is what a runner shows of a lasting task that is at work.
const atWorkPercent = 100

// observe takes in a row of what the runner runs.
func (r *run) observe(o *ownership, row *fleet.RunningTask) {
	r.seenAt, r.incarnated = o.now(), r.runner.Incarnation
	if r.phase == runStarting {
		r.phase, r.underway, r.settled, r.progressAt = runRunning, false, o.now(), o.now()
		r.retryAt = time.Time{}
	}
	if row.Checkpoint != "" {
		r.task.checkpoint = row.Checkpoint
	}
	if row.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = row.Percent, o.now()
	}
	r.load = row.Load
	if r.task.step.spec.LongRunning {
		atWork := row.Percent >= atWorkPercent
		if atWork && !r.atWork {
			r.runner.health.prove()
		}
		r.atWork = atWork
	}
}

// logEnd writes how a run ended, except for the usual end, which is counted.
func (o *ownership) logEnd(run *run, how fleet.RunOutcome) {
	o.s.count("runs_ended", effect.Reason(how))
	if how == fleet.RunDone {
		return
	}
	o.s.logDecision(effect.Decision{
		Name: "run ended", Task: run.task.id().String(), Attempt: run.attempt, Runner: run.runner.ID,
		Queue: run.task.job().queue, Outcome: string(how), Epoch: o.epoch, Age: o.now().Sub(run.since), Count: run.task.failures,
	})
}

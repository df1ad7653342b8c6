package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// pollWait is the longest wait of a long poll for the end of a run.
	pollWait = 1000 * time.Millisecond
	// servingPollWait replaces pollWait at runners with best-effort tasks beside
	// serving ones, because the latency of serving tasks changes within seconds.
	servingPollWait = 500 * time.Millisecond
	// pollRetryDelay is the delay after a poll that failed.
	pollRetryDelay = 150 * time.Millisecond
	// unstoredEndsPollDelay is the delay between polls while ended runs cannot be
	// stored, and hence not be acknowledged: the runner would list them again
	// immediately.
	unstoredEndsPollDelay = time.Second
	// maxAcknowledgeAge is the age of a runner's last answer above which nothing is
	// acknowledged to it: it may have restarted since and number its ended runs from
	// 1 again. No restart is shorter.
	maxAcknowledgeAge = 400 * time.Millisecond
	// endsPerPoll is the largest number of ended runs in one answer.
	endsPerPoll = 500
	// maxOrderAge is the largest age of an order or poll when it is sent. It keeps
	// a process that was suspended from sending stale orders.
	maxOrderAge = 400 * time.Millisecond
)

// pollState is the state of the polls of one runner. At most one poll of a runner
// is in flight.
type pollState struct {
	inFlight bool
	number   uint64
	sentAt   time.Time
	// answeredAt is when the runner last answered a poll, and unseen the time between the
	// answer before it and its poll: a run that it lists as ended may have ended in that time.
	answeredAt time.Time
	unseen     time.Duration
	// notBefore is when the next poll may be sent.
	notBefore time.Time
	// unreachable is set while the runner does not answer, and silentSince is when
	// that began.
	unreachable bool
	silentSince time.Time
	// unansweredSince is when the first of the polls was sent that have had no answer since.
	unansweredSince time.Time
	// acknowledged is the acknowledgement in the poll in flight, and incarnation the one that
	// it is meant for.
	acknowledged int64
	incarnation  fleet.Incarnation
	// token is the fencing token of the poll in flight.
	token int64
	stray strayAcknowledgement
	// maybeRestarted is set from a sign that the runner may have restarted, such as a
	// poll without an answer, until the next answer. Its clock and the numbers of its
	// ended runs may have started anew, so polls carry neither deadline nor
	// acknowledgement until then.
	maybeRestarted bool
}

// pollIfDue sends a poll unless one is in flight or none is needed.
func (o *ownership) pollIfDue(r *runner) {
	p := &r.poll
	if p.inFlight || o.phase != phaseActive || o.now().Before(p.notBefore) || !r.needsPoll(o.now()) || !o.mayPoll(r) || !o.s.tenure.Valid(o.now()) {
		return
	}
	o.lastPoll++
	p.inFlight, p.number, p.sentAt, p.acknowledged, p.incarnation, p.token = true, o.lastPoll, o.now(), 0, r.Incarnation, o.token(r)
	o.touch(r)
	if r.fenced && !p.maybeRestarted && o.now().Sub(p.answeredAt) <= maxAcknowledgeAge {
		p.acknowledged = r.nextAcknowledgement(o.now())
	}
	e := effect.PollRunner{
		Epoch: o.epoch, Token: p.token, Runner: r.ID, Address: r.Address, Number: p.number, Acknowledged: p.acknowledged,
		SendDeadline: o.now().Add(maxOrderAge), Dispatcher: o.dispatcherFor(r),
	}
	if r.mayLease() {
		e.LeaseDeadline = r.newLeaseDeadline(o.now())
		if r.answersLongPolls(o.now()) {
			e.Wait = o.pollWaitFor(r)
		}
	}
	if e.LeaseDeadline > 0 || e.Acknowledged > 0 {
		o.useToken(r)
	}
	o.s.emit(e)
}

// answersLongPolls reports whether a poll of the runner may wait for the end of a run: one that
// lists ends answers at once.
func (r *runner) answersLongPolls(now time.Time) bool {
	return r.storedEnd >= r.lastEnd && !r.holdsEnds(now) && (len(r.runs)+r.strays > 0 || r.holdsTasks()) && !r.readingExpired(now)
}

// probe polls a runner at once, without a lease, after it did not answer a start: it may
// have restarted. A poll in flight may hang, so its answer is not awaited.
func (o *ownership) probe(r *runner) {
	if r.poll.maybeRestarted {
		return
	}
	if r.poll.inFlight {
		r.poll.noteUnanswered()
	}
	r.poll.maybeRestarted, r.poll.inFlight = true, false
	o.touch(r)
	o.pollIfDue(r)
}

// resumeOrders sends the orders that waited for the runner to answer a poll.
func (o *ownership) resumeOrders(r *runner) {
	for _, run := range r.runsWhere(func(run *run) bool { return !run.orderInFlight && !run.retryAt.IsZero() }) {
		o.retryOrder(run)
	}
}

// needsPoll reports whether a runner has to be polled: it may run tasks, has not
// seen this tenure's fencing token, or has ended runs that are not acknowledged or not
// resolved.
func (r *runner) needsPoll(now time.Time) bool {
	switch {
	case r.Address == "" || (!r.listed && len(r.runs) == 0 && !now.Before(r.unresolvedUntil) && !r.holdsTasks()):
		return false
	case !r.fenced || len(r.runs)+r.strays > 0 || r.holdsTasks():
		return true
	default:
		return r.storedEnd < r.lastEnd || r.acknowledgedEnd < r.storedEnd
	}
}

// pollWaitFor returns the longest wait of a long poll of a runner.
func (o *ownership) pollWaitFor(r *runner) time.Duration {
	switch {
	case r.awaitsBar():
		return lateStartPollWait
	case r.trialJob != nil || o.now().Before(r.reservedUntil):
		return crashes.SettleTime
	case r.mixesBestEffort():
		return servingPollWait
	default:
		return pollWait
	}
}

func (o *ownership) onRunnerPolled(b event.RunnerPolled) {
	r, ok := o.runners[b.Runner]
	if !ok || !r.poll.inFlight || r.poll.number != b.Number {
		return
	}
	sent := r.poll.sentAt
	r.poll.inFlight = false
	o.touch(r)
	if b.Outcome != event.OrderDone {
		r.poll.maybeRestarted = true
		o.onPollFailed(r, b)
		return
	}
	if !o.noteIncarnation(r, b.Incarnation) {
		return
	}
	if r.poll.unreachable {
		r.poll.unreachable = false
		o.s.logDecision(effect.Decision{Name: "runner regained", Runner: r.ID, Epoch: o.epoch})
	}
	// The answer to a token that was raised since does not show that earlier calls are refused.
	current := r.poll.token == o.token(r)
	doubted := r.poll.maybeRestarted
	r.poll.unseen = sent.Sub(r.poll.answeredAt)
	r.poll.maybeRestarted, r.poll.answeredAt = doubted && !current, o.now()
	r.noteAnswer(o.receivedAt(b.Clock), b.Clock)
	r.updateClock(b.Clock)
	if !b.Clock.Received.IsZero() {
		o.s.lag.Observe(o.now(), o.now().Sub(b.Clock.Received))
	}
	first := !r.fenced && current
	if first {
		o.onFenced(r)
	}
	o.processEnds(r, b.Ended)
	if len(b.Ended) < endsPerPoll {
		o.reconcileRuns(r, b.Running, sent)
		o.settleLateStarts(r, b.Running, sent)
		o.resolveRuns(r, sent)
		o.restartStragglers(r)
	}
	o.onRunnerAnswered(r)
	if first {
		o.pool(r.Service).dirty = true
	}
	if doubted && current {
		o.resumeOrders(r)
	}
	o.adjustPaces(r)
	o.pollAgain(r)
}

// noteIncarnation takes account of the incarnation that answered a poll. It returns false for
// a former one, which answered before it ended.
func (o *ownership) noteIncarnation(r *runner, seen fleet.Incarnation) bool {
	if seen != 0 && seen < r.Incarnation {
		return false
	}
	if r.Incarnation != 0 && seen > r.Incarnation {
		o.onRunnerRestarted(r, seen)
	}
	if seen != 0 {
		r.Incarnation = seen
	}
	o.noteAlive(r)
	o.noteAcknowledged(r, seen)
	return true
}

// pollAgain sends the next poll, immediately if no ended runs have to be stored
// before.
func (o *ownership) pollAgain(r *runner) {
	if r.storedEnd < r.lastEnd {
		// onEndsStored sends the next poll. While the store is down, polls are sent
		// after a delay to extend the leases.
		r.poll.notBefore = o.now().Add(unstoredEndsPollDelay)
		return
	}
	r.poll.notBefore = time.Time{}
	if r.holdsEnds(o.now()) {
		r.poll.notBefore = o.now().Add(r.heldEndsDelay())
	}
	o.pollIfDue(r)
}

func (o *ownership) onPollFailed(r *runner, b event.RunnerPolled) {
	switch b.Outcome {
	case event.OrderFenced:
		if r.poll.token >= o.token(r) {
			o.s.endTenure(reasonRunnerFenced)
		}
		return
	case event.OrderOtherIncarnation:
		o.onRunnerGone(r, reasonReplaced)
		r.Address, r.listed = "", false
		r.unlistedAt = o.now()
		return
	case event.OrderStale:
		return
	default: // the poll is retried
		r.poll.noteUnanswered()
		o.raiseToken(r, r.poll.token)
		o.callDirectly(r)
	}
	r.poll.notBefore = o.now().Add(pollRetryDelay)
	if !r.poll.unreachable {
		r.poll.unreachable, r.poll.silentSince, r.poll.unansweredSince = true, o.now(), r.poll.sentAt
		o.noteSilence(r)
		o.listInstancesSoon(r)
		o.watchSilent(r)
		o.s.logDecision(effect.Decision{
			Name: "runner lost", Warning: true, Runner: r.ID, Epoch: o.epoch, Reason: effect.Reason(b.Reason), Count: len(r.runs),
		})
	}
}

// onEndsStored records that the ended runs of a runner up to a number are stored.
// The next poll acknowledges them.
func (o *ownership) onEndsStored(r *runner, number int64) {
	if number <= r.storedEnd {
		return
	}
	r.storedEnd = number
	o.touch(r)
	if r.storedEnd >= r.lastEnd {
		r.poll.notBefore = time.Time{}
		if r.holdsEnds(o.now()) {
			r.poll.notBefore = r.poll.answeredAt.Add(r.heldEndsDelay())
		}
		o.pollIfDue(r)
	}
}

// processEnds handles the ended runs that a runner lists. Those handled before are
// skipped.
func (o *ownership) processEnds(r *runner, ended []fleet.EndedTask) {
	last := r.lastEnd
	for i := range ended {
		e := &ended[i]
		if e.Number <= r.lastEnd {
			continue
		}
		last = max(last, e.Number)
		o.processEnd(r, e)
	}
	if last > r.lastEnd {
		r.lastEnd = last
		o.whenStored(deferred{runner: r, incarnation: r.incarnation, lastEnd: last})
	}
}

// processEnd handles one ended run.
func (o *ownership) processEnd(r *runner, e *fleet.EndedTask) {
	run, ok := r.runs[e.Task]
	if !ok || run.attempt != e.Attempt {
		o.processStrayEnd(r, e)
		return
	}
	t := run.task
	o.markBegun(t.job())
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if !run.startRepeated {
		run.orderInFlight, run.mayStartLate = false, false // its only start has begun it
	}
	o.releaseRun(run)
	for _, late := range t.lateStarts {
		late.ended = late.ended || late.attempt == e.Attempt
		r.holdEnd(e.Number, late.until, late.runner)
	}
	o.recordEnd(run, e.Outcome)
	o.recordRunTime(run, e.Outcome)
	o.updateHealth(r, run, e.Outcome)
	switch e.Outcome {
	case fleet.RunDone:
		o.onTaskDone(t)
	case fleet.RunFailed:
		t.crashes.Trial = 0
		o.onRunFailed(t, r, e.Attempt)
	default:
		o.requeue(t)
	}
	o.pool(r.Service).dirty = true
}

func (o *ownership) onTaskDone(t *task) {
	if t.job().state.Final() {
		return
	}
	st := t.step
	if t.phase == taskDone {
		return
	}
	o.finishTask(t)
	if st.spec.Gang {
		// A gang is done as soon as one of its tasks is.
		for _, other := range st.tasks {
			if other.phase != taskDone {
				o.finishTask(other)
			}
		}
	}
	if st.queued && !st.hasWaiting() {
		o.pool(t.job().service).remove(st)
		st.queued = false
	}
}

// onRunFailed counts a failed run. The job fails once a task has failed as often as
// its queue allows; otherwise the task is requeued. The members of a gang run under one
// attempt, so a run of the gang counts once, however many of them failed.
func (o *ownership) onRunFailed(t *task, r *runner, attempt int64) {
	t.avoidRunner = r.ID
	j := t.job()
	if j.state.Final() {
		return
	}
	if t.step.spec.Gang {
		t.step.countGangFailure(attempt)
	} else {
		t.failures++
	}
	if !t.step.spec.LongRunning && j.maxAttempts > 0 && t.countedFailures() >= j.maxAttempts {
		o.endJob(j, fleet.JobFailed)
		return
	}
	o.requeue(t)
}

// reconcileRuns compares the planned runs of a runner with those that it lists.
// Runs that it confirmed before the poll was sent and does not list are lost.
func (o *ownership) reconcileRuns(r *runner, rows []fleet.RunningTask, sent time.Time) {
	r.strays = 0
	for i := range rows {
		row := &rows[i]
		run, ok := r.runs[row.Task]
		if !ok || run.attempt != row.Attempt {
			r.strays++
			o.stopStrayRun(r, row)
			continue
		}
		run.listedBy = r.poll.number
		run.update(o, row)
	}
	o.confirmFormerEnds(r)
	for _, run := range r.runsWhere(func(run *run) bool { return run.listedBy != r.poll.number && run.confirmedBefore(sent) }) {
		o.loseRun(run, reasonNotListed)
	}
}

// stopStrayRun stops a run that this owner did not order or has given up.
func (o *ownership) stopStrayRun(r *runner, row *fleet.RunningTask) {
	o.s.logDecision(effect.Decision{Name: "stray run stopped", Task: row.Task.String(), Attempt: row.Attempt, Runner: r.ID, Epoch: o.epoch})
	o.s.emit(o.newOrder(r, effect.OrderStop, row.Task, row.Attempt))
}

// findTask returns the task with an id, or nil.
func (o *ownership) findTask(id fleet.TaskID) *task {
	j, ok := o.jobs[id.Job]
	if !ok {
		return nil
	}
	for _, occ := range j.occurrences {
		if occ.number == id.Occurrence && id.Step < len(occ.steps) && id.Index < len(occ.steps[id.Step].tasks) {
			return occ.steps[id.Step].tasks[id.Index]
		}
	}
	return nil
}

package jobs_test

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
)

// fakeRunner simulates a runner according to the platform's contract: fencing,
// leases on the runner's own clock, numbered ends of runs, and idempotent starts.
type fakeRunner struct {
	w        *world
	id       fleet.RunnerID
	address  string
	service  fleet.ServiceName
	instance fleet.InstanceID
	labels   []string
	rack     fleet.Rack
	born     time.Time
	up       bool
	draining bool
	// unreachable cuts the runner off from all entries.
	unreachable bool
	clockRate   float64
	// capacity is what the runner reports, and roomSince when that last shrank.
	capacity      fleet.Capacity
	roomSince     time.Time
	fence         int64
	leaseDeadline int64
	runs          map[fleet.TaskID]*fakeRun
	// highestAttempt is the highest attempt of each task that ended or was stopped
	// on this runner.
	highestAttempt  map[fleet.TaskID]int64
	ends            []fleet.EndedTask
	lastEnd         int64
	acknowledgedEnd int64
	// leaseExpiredAt is when the lease last expired.
	leaseExpiredAt time.Time
	endedAt        map[int64]time.Time
	// failing makes all runs fail shortly after their start, and stalled keeps them
	// from making progress.
	failing, stalled bool
	// failedRuns is the number of runs that ended as failed.
	failedRuns int
	// remaining is the time until the runner leaves, as its report says; zero while it stays.
	remaining time.Duration
	// slowness is the factor by which runs take longer; zero for none.
	slowness float64
	// comesBack is set while the runner is down and its restart is scheduled, and ended once no
	// process will have its id again.
	comesBack, ended bool
	// dark is set while the runner is down and nothing tells callers so. The calls that it
	// gets meanwhile are in held: the next incarnation carries them out.
	dark bool
	held []func()
	// lossShare is the share of calls without an answer that are carried out late, if at all.
	lossShare float64
	// unlisted keeps the runner out of the list although it is up.
	unlisted bool
	// answeredPoll is set once this incarnation has answered a poll.
	answeredPoll bool
	// formerEntry, if set, is what the list still shows of the runner's former incarnation.
	formerEntry *fleet.Runner
	// crashCount is the number of crashes of the runner, and crashedAt when it last
	// crashed.
	crashCount int
	crashedAt  time.Time
}

type fakeRun struct {
	attempt int64
	began   time.Time
	length  time.Duration
	stopped bool
	// pace is the share at which the run works, in percent.
	pace int
}

// runnerCapacity is the capacity of a runner, enough for 20 tasks with taskNeeds.
var runnerCapacity = fleet.Capacity{CPU: 20_000, Memory: 20_000}

// taskNeeds is the capacity that a task needs.
var taskNeeds = fleet.Capacity{CPU: 1000, Memory: 100}

func (w *world) addRunner(id fleet.RunnerID) *fakeRunner {
	r := &fakeRunner{w: w, id: id, address: string(id), service: "desk", capacity: runnerCapacity}
	w.runners[id] = r
	r.boot()
	return r
}

func (r *fakeRunner) boot() {
	r.comesBack = false
	r.up, r.draining, r.unreachable, r.failing, r.stalled = true, false, false, false, false
	r.born, r.clockRate = r.w.now, 0.98+0.02*r.w.rng.Float64()
	if r.w.clockRate > 0 {
		r.clockRate = r.w.clockRate
	}
	r.fence, r.leaseDeadline, r.lastEnd, r.acknowledgedEnd, r.ends = 0, 0, 0, 0, nil
	r.endedAt = make(map[int64]time.Time)
	r.runs = make(map[fleet.TaskID]*fakeRun)
	r.highestAttempt = make(map[fleet.TaskID]int64)
	r.dark, r.answeredPoll = false, false
	for _, do := range r.held {
		r.w.after(r.w.latency(), do)
	}
	r.held = nil
}

func (r *fakeRunner) crash() {
	for id := range r.runs {
		h := r.w.history(id)
		h.running--
		h.lostRunners++
	}
	r.runs = nil
	r.up = false
	r.crashCount++
	r.crashedAt = r.w.now
}

func (w *world) listed() []fleet.Runner {
	var out []fleet.Runner
	for _, r := range w.runners {
		switch {
		case r.unlisted:
		case r.formerEntry != nil:
			out = append(out, *r.formerEntry)
		case (r.up || r.w.now.Sub(r.crashedAt) < r.w.listLag) && !r.unreachable:
			out = append(out, r.entry())
		}
	}
	slices.SortFunc(out, func(a, b fleet.Runner) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// entry returns what the list shows of the runner.
func (r *fakeRunner) entry() fleet.Runner {
	return fleet.Runner{
		ID: r.id, Incarnation: r.incarnation(), Service: r.service, Address: r.address, Capacity: r.capacity,
		Draining: r.draining, Remaining: r.remaining, Instance: r.instance, Labels: r.labels, Rack: r.rack,
	}
}

func (r *fakeRunner) incarnation() fleet.Incarnation { return fleet.Incarnation(r.born.UnixMilli()) }

func (r *fakeRunner) clock() int64 {
	return 1000 + int64(r.clockRate*float64(r.w.now.Sub(r.born).Milliseconds()))
}

// maxLease is the longest lease that runners grant, in milliseconds.
const maxLease = 10_000

func (r *fakeRunner) extendLease(deadline int64) {
	r.leaseDeadline = max(r.leaseDeadline, min(deadline, r.clock()+maxLease))
	r.w.after(time.Duration(float64(max(0, r.leaseDeadline-r.clock()))/r.clockRate+2)*time.Millisecond, r.expireLease)
}

func (r *fakeRunner) expireLease() {
	if !r.up || r.clock() < r.leaseDeadline {
		return
	}
	r.leaseExpiredAt = r.w.now
	for _, id := range r.taskIDs() {
		r.end(id, fleet.RunLeaseExpired)
	}
}

func (r *fakeRunner) taskIDs() []fleet.TaskID {
	ids := make([]fleet.TaskID, 0, len(r.runs))
	for id := range r.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}

func (r *fakeRunner) end(id fleet.TaskID, outcome fleet.RunOutcome) {
	run := r.runs[id]
	delete(r.runs, id)
	h := r.w.history(id)
	h.running--
	if outcome == fleet.RunDone {
		r.w.doneRuns++
		if !r.w.doneOnce[id] {
			r.w.doneOnce[id], h.doneAt = true, r.w.now
		}
	}
	if outcome == fleet.RunFailed {
		r.failedRuns++
	}
	r.highestAttempt[id] = max(r.highestAttempt[id], run.attempt)
	r.lastEnd++
	r.w.trace("%s ends %v attempt %d %s as %d", r.id, id, run.attempt, outcome, r.lastEnd)
	r.endedAt[r.lastEnd] = r.w.now
	r.ends = append(r.ends, fleet.EndedTask{Number: r.lastEnd, Task: id, Attempt: run.attempt, Outcome: outcome})
	if r.w.forgetsLaterEnds {
		r.acknowledgeEnds(0)
	}
}

// begin carries out an order to start a task.
func (r *fakeRunner) begin(o effect.OrderTask) event.OrderOutcome {
	switch {
	case o.Token < r.fence:
		return event.OrderFenced
	case o.LeaseDeadline <= r.clock():
		r.fence = o.Token
		return event.OrderLate
	}
	r.fence = o.Token
	r.extendLease(o.LeaseDeadline)
	if run, ok := r.runs[o.Task]; ok && run.attempt == o.Attempt {
		return event.OrderDone
	}
	if o.Attempt <= r.highestAttempt[o.Task] {
		return event.OrderSuperseded
	}
	if room := int(r.capacity.CPU / taskNeeds.CPU); len(r.runs) >= room {
		if r.w.queues.Services[r.service].EnforcesCapacity {
			return event.OrderNoRoom
		}
		if r.w.now.Sub(r.roomSince) > shrunkRoomGrace {
			r.w.violation("%v was started on %s, where %d tasks run with room for %d", o.Task, r.id, len(r.runs), room)
		}
	}
	r.checkStart(o)
	r.w.starts++
	if o.Incarnation != r.incarnation() {
		r.w.strayStarts++
	}
	r.w.trace("%s starts %v attempt %d fence %d deadline %d clock %d", r.id, o.Task, o.Attempt, o.Token, o.LeaseDeadline, r.clock())
	h := r.w.history(o.Task)
	if h.running++; h.firstStart.IsZero() {
		h.firstStart = r.w.now
	}
	run := &fakeRun{attempt: o.Attempt, began: r.w.now, length: r.w.taskLength(o.Task), pace: 100}
	if r.slowness > 0 {
		run.length = time.Duration(r.slowness * float64(run.length))
	}
	r.runs[o.Task] = run
	outcome, length := fleet.RunDone, run.length
	if r.w.failsAlways(o.Task) {
		outcome = fleet.RunFailed
	}
	if r.failing {
		outcome, length = fleet.RunFailed, cmp.Or(r.w.failDelay, 20*time.Millisecond)
	}
	born := r.born
	if r.w.crashes[o.Task] {
		r.w.after(r.w.crashDelay, func() {
			if r.up && r.born.Equal(born) && r.runs[o.Task] == run && !run.stopped {
				r.crashUnder(o.Task)
			}
		})
	}
	r.w.after(length, func() {
		if r.up && r.born.Equal(born) && r.runs[o.Task] == run && !run.stopped && !r.stalled && !r.w.longRunning(o.Task) {
			r.end(o.Task, outcome)
		}
	})
	return event.OrderDone
}

// checkStart checks a start against the guarantees of the platform's contract.
func (r *fakeRunner) checkStart(o effect.OrderTask) {
	w, h := r.w, r.w.history(o.Task)
	spec := w.submitted[o.Task.Job]
	switch {
	case spec == nil:
		w.violation("%v was started and never submitted", o.Task)
		return
	case !slices.Contains(append(r.labels, ""), spec.Steps[o.Task.Step].Label):
		w.violation("%v was started on %s, which lacks its label", o.Task, r.id)
	case h.running > 0:
		w.violation("%v runs twice, now on %s", o.Task, r.id)
	case h.doneAcknowledged:
		w.violation("%v was started on %s after its success was acknowledged", o.Task, r.id)
	case h.failuresAcknowledged >= 2 && !w.longRunning(o.Task):
		w.violation("%v was started on %s after two failures", o.Task, r.id)
	}
	w.checkCap(o)
	if h.crashed >= crashLimit {
		if h.startsSince++; h.startsSince >= startsAfterCrashLimit {
			w.violation("%v was started on %s for the %d. time after it had crashed %d runners", o.Task, r.id, h.startsSince, crashLimit)
		}
	}
	if at, ok := w.cancelledAt[o.Task.Job]; ok && w.now.Sub(at) > 15*time.Second {
		w.violation("%v was started %v after it was cancelled", o.Task, w.now.Sub(at))
	}
	for _, a := range spec.Steps[o.Task.Step].After {
		for i := range spec.Steps[a].Count {
			if !w.doneOnce[fleet.TaskID{Job: o.Task.Job, Step: a, Index: i}] {
				w.violation("%v was started before step %d was done", o.Task, a)
				return
			}
		}
	}
}

func (r *fakeRunner) stop(o effect.OrderTask) event.OrderOutcome {
	if o.Token < r.fence {
		return event.OrderFenced
	}
	r.fence = o.Token
	r.highestAttempt[o.Task] = max(r.highestAttempt[o.Task], o.Attempt)
	run, ok := r.runs[o.Task]
	if !ok || run.attempt != o.Attempt || run.stopped {
		return event.OrderDone
	}
	r.w.checkStop(r, o.Task)
	run.stopped = true
	born := r.born
	r.w.after(100*time.Millisecond, func() {
		if r.up && r.born.Equal(born) && r.runs[o.Task] == run {
			r.end(o.Task, fleet.RunStopped)
		}
	})
	return event.OrderDone
}

// setPace carries out an order about the pace of a run.
func (r *fakeRunner) setPace(o effect.OrderTask) event.OrderOutcome {
	if o.Token < r.fence {
		return event.OrderFenced
	}
	r.fence = o.Token
	if run, ok := r.runs[o.Task]; ok && run.attempt == o.Attempt {
		run.pace = o.Percent
	}
	return event.OrderDone
}

// carryOut carries out an order.
func (r *fakeRunner) carryOut(o effect.OrderTask) event.OrderOutcome {
	switch o.Kind {
	case effect.OrderStart:
		return r.begin(o)
	case effect.OrderPace:
		return r.setPace(o)
	default:
		return r.stop(o)
	}
}

// checkStop checks the stop of a long-running task against the MaxUnavailable of
// its step.
func (w *world) checkStop(r *fakeRunner, id fleet.TaskID) {
	step := &w.submitted[id.Job].Steps[id.Step]
	if w.heldUp {
		return // the order was decided earlier
	}
	if _, cancelled := w.cancelledAt[id.Job]; cancelled || !step.LongRunning || r.draining || w.cancelling[id.Job] || w.mayBeGivenUp(id.Job) {
		return
	}
	unavailable := 0
	for n := range step.Count {
		other := fleet.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: n}
		if n != id.Index && !w.isRunning(other) {
			unavailable++
		}
	}
	if unavailable >= step.MaxUnavailable {
		w.violation("%v is stopped on %s while %d other tasks of its step are unavailable", id, r.id, unavailable)
	}
}

// isRunning reports whether a task runs on some runner without an order to stop.
func (w *world) isRunning(id fleet.TaskID) bool {
	for _, r := range w.runners {
		if run, ok := r.runs[id]; ok && !run.stopped {
			return true
		}
	}
	return false
}

// checkToken checks that the token of a call to a runner is above those of all earlier epochs, and below
// those of later ones.
func (w *world) checkToken(epoch, token int64) {
	if jobs.EpochOf(token) != epoch {
		w.violation("a call of epoch %d has the token %d", epoch, token)
	}
}

// reachable returns a runner if a call of the entry and its answer can be
// delivered, or else nil.
func (e *fakeEntry) reachable(id fleet.RunnerID) *fakeRunner {
	r := e.w.runners[id]
	if r == nil || !r.up || r.unreachable || e.cutRunners[id] {
		return nil
	}
	return r
}

// orderTimeout is the time-out of an entry's calls to runners.
const orderTimeout = 600 * time.Millisecond

func (e *fakeEntry) orderTask(o effect.OrderTask, via *fakeEntry, post func(time.Duration, event.Body)) {
	out := event.TaskOrdered{Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt}
	w := e.w
	w.checkToken(o.Epoch, o.Token)
	if w.now.After(o.SendDeadline) {
		out.Outcome = event.OrderStale
		post(0, out)
		return
	}
	unknown := out
	unknown.Outcome = event.OrderUnknown
	sent := w.now
	var born time.Time
	if r := w.runners[o.Runner]; r != nil {
		born = r.born
		if via.losesCall(r) {
			w.carryOutLate(r, func() { r.carryOut(o) })
			post(orderTimeout, unknown)
			return
		}
		if r.dark {
			r.held = append(r.held, func() {
				if r.up {
					r.carryOut(o)
				}
			})
			post(orderTimeout, unknown)
			return
		}
		if !r.up {
			out.Outcome = event.OrderNotSent
			post(w.latency(), out)
			return
		}
	}
	apply := func() (event.OrderOutcome, *fakeRunner) {
		if other := via.otherAt(o.Runner, o.Address); other != nil {
			return event.OrderOtherIncarnation, other
		}
		r := via.reachable(o.Runner)
		if r == nil || (!r.born.Equal(born) && !w.ordersReachNext) {
			return event.OrderUnknown, nil
		}
		return r.carryOut(o), r
	}
	if w.rng.Float64() < w.lossShare {
		// The order is lost, carried out without an answer, or carried out late.
		if d := w.rng.Intn(3); d > 0 {
			w.after(time.Duration(d-1)*time.Duration(2+w.rng.Intn(8))*time.Second+w.latency(), func() { apply() })
		}
		post(orderTimeout, unknown)
		return
	}
	w.after(w.latency(), func() {
		outcome, r := apply()
		if r == nil {
			post(orderTimeout, unknown)
			return
		}
		out.Outcome = outcome
		out.Clock = event.Clock{Reading: r.clock(), Sent: sent, Received: w.now.Add(time.Millisecond)}
		post(time.Millisecond, out)
	})
}

// losesCall reports whether a call that reaches a runner gets no answer.
func (e *fakeEntry) losesCall(r *fakeRunner) bool {
	return r.lossShare > 0 && !r.unreachable && !e.cutRunners[r.id] && e.w.rng.Float64() < r.lossShare
}

// longestDelay is the longest time after which a call without an answer is carried out.
const longestDelay = 12 * time.Second

// carryOutLate carries out a call without an answer at the incarnation of a runner
// that is up some time later: two thirds of the calls up to longestDelay later, and half of
// the others at once.
func (w *world) carryOutLate(r *fakeRunner, do func()) {
	d := w.latency()
	switch w.rng.Intn(6) {
	case 0:
		return
	case 1:
	default:
		d = time.Duration(50+w.rng.Int63n(longestDelay.Milliseconds()-50)) * time.Millisecond
	}
	w.after(d, func() {
		if r.up && w.runners[r.id] == r {
			w.heldUp = true
			do()
			w.heldUp = false
		}
	})
}

func (e *fakeEntry) pollRunner(poll effect.PollRunner, via *fakeEntry, post func(time.Duration, event.Body)) {
	out := event.RunnerPolled{Epoch: poll.Epoch, Runner: poll.Runner, Number: poll.Number, Outcome: event.OrderUnknown}
	w, sent := e.w, e.w.now
	w.checkToken(poll.Epoch, poll.Token)
	if w.now.After(poll.SendDeadline) {
		out.Outcome = event.OrderStale
		post(0, out)
		return
	}
	if r := w.runners[poll.Runner]; r != nil && via.losesCall(r) {
		born := r.born
		w.carryOutLate(r, func() {
			if poll.Token < r.fence {
				return
			}
			late := poll
			if w.noStrayAcks && !r.born.Equal(born) {
				late.Acknowledged = 0
			}
			r.takePoll(late)
		})
		post(poll.Wait+orderTimeout, out)
		return
	}
	w.after(w.latency(), func() {
		if via.otherAt(poll.Runner, poll.Address) != nil {
			out.Outcome = event.OrderOtherIncarnation
			post(w.latency(), out)
			return
		}
		if r := w.runners[poll.Runner]; r != nil && r.dark {
			r.held = append(r.held, func() {
				if r.up && poll.Token >= r.fence {
					r.takePoll(poll)
				}
			})
			post(poll.Wait+orderTimeout, out)
			return
		}
		r := via.reachable(poll.Runner)
		if r == nil && w.runners[poll.Runner] != nil && !w.runners[poll.Runner].up {
			post(w.latency(), out)
			return
		}
		if r == nil || w.rng.Float64() < w.lossShare {
			post(poll.Wait+orderTimeout, out)
			return
		}
		if poll.Token < r.fence {
			out.Outcome = event.OrderFenced
			post(w.latency(), out)
			return
		}
		r.takePoll(poll)
		e.answerPoll(r, r.crashCount, out, sent, w.now.Add(poll.Wait), via, post)
	})
}

// takePoll carries out what a poll asks for.
func (r *fakeRunner) takePoll(poll effect.PollRunner) {
	r.fence = poll.Token
	if poll.LeaseDeadline > 0 {
		r.extendLease(poll.LeaseDeadline)
	}
	if r.answeredPoll || !r.w.noStrayAcks {
		r.acknowledgeEnds(poll.Acknowledged)
	}
}

// answerPoll answers a long poll immediately if there are ended runs, otherwise
// when a run ends or the wait is over.
func (e *fakeEntry) answerPoll(r *fakeRunner, crashes int, out event.RunnerPolled, sent, until time.Time, via *fakeEntry, post func(time.Duration, event.Body)) {
	w := e.w
	if len(r.ends) == 0 && w.now.Before(until) && r.up && r.crashCount == crashes {
		w.after(w.endDelay, func() { e.answerPoll(r, crashes, out, sent, until, via, post) })
		return
	}
	if r.crashCount != crashes && !r.unreachable && !r.dark {
		post(w.latency(), out) // the crash closes the connection
		return
	}
	if via.reachable(out.Runner) != r {
		post(orderTimeout, out)
		return
	}
	out.Outcome, out.Incarnation = event.OrderDone, r.incarnation()
	r.answeredPoll = true
	for _, id := range r.taskIDs() {
		run := r.runs[id]
		percent := 100
		if !w.longRunning(id) {
			percent = int(100 * w.now.Sub(run.began) / run.length)
		}
		if r.stalled {
			percent = 1
		}
		row := fleet.RunningTask{Task: id, Attempt: run.attempt, Percent: percent}
		if w.load != nil {
			row.Load = w.load(id)
		}
		out.Running = append(out.Running, row)
	}
	out.Ended = slices.Clone(r.ends)
	out.Clock = event.Clock{Reading: r.clock(), Sent: sent, Received: w.now.Add(time.Millisecond)}
	post(time.Millisecond, out)
}

// acknowledgeEnds drops the ended runs up to an acknowledged number.
func (r *fakeRunner) acknowledgeEnds(acked int64) {
	r.acknowledgedEnd = max(r.acknowledgedEnd, acked)
	for len(r.ends) > 0 && r.ends[0].Number <= r.acknowledgedEnd {
		end := r.ends[0]
		r.ends = r.ends[1:]
		h := r.w.history(end.Task)
		r.w.trace("%s drops ended run %d of %v", r.id, end.Number, end.Task)
		switch end.Outcome {
		case fleet.RunDone:
			// The platform excuses another start of the task if the runner's lease
			// expired between the end and its acknowledgement, because the owner
			// could not know of the end.
			h.doneAcknowledged = h.doneAcknowledged || !r.leaseExpiredAt.After(r.endedAt[end.Number])
		case fleet.RunFailed:
			h.failuresAcknowledged++
		default: // other outcomes do not limit later starts
		}
	}
}

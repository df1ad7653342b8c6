package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// shownEnd is what the lists of instances that an owner has read show of the end of a runner.
type shownEnd struct {
	// missing is the number of lists in a row that did not have its instance, and replaced of those
	// that had another runner there.
	missing, replaced int
	// at is when the owner had the list that shows the end, and settledAt when it had one that was
	// requested after the runner had been silent for longestSilence, and the second in a row if
	// it shows another runner; zero before.
	at, settledAt time.Time
}

// longestSilence is how long after its end the silence of a runner is noticed, with the last
// poll that reaches it and the time in which a rack falls silent.
const longestSilence = time.Second + orderTimeout + 300*time.Millisecond

// absentLists is the number of complete lists in a row without an instance that show that it
// has gone.
const absentLists = 2

// noteShownEnds notes what a list that an owner will have read after a time shows of runners
// that have ended: their instances are missing, down, moved or maintained, or have another
// runner.
func (e *fakeEntry) noteShownEnds(epoch int64, rows []fleet.ManagedInstance, after time.Duration) {
	if e.shownEnds == nil || e.shownEndsEpoch != epoch {
		e.shownEnds, e.shownEndsEpoch, e.shownEndsSince = make(map[fleet.RunnerID]*shownEnd), epoch, e.w.now
	}
	for id, r := range e.w.runners {
		if !r.ended {
			continue
		}
		shown, ok := e.shownEnds[id]
		if !ok {
			shown = &shownEnd{}
			e.shownEnds[id] = shown
		}
		n := slices.IndexFunc(rows, func(m fleet.ManagedInstance) bool { return m.ID == r.instance })
		shown.missing++
		proven, settled := shown.missing >= absentLists, true
		if n >= 0 {
			row := rows[n]
			shown.missing, proven = 0, row.Runner != id && (row.Runner != "" || row.State != fleet.InstanceUp)
			if shown.replaced++; row.Runner == "" || row.Runner == id {
				shown.replaced = 0
			}
			settled = row.Runner == "" || shown.replaced >= absentLists
		}
		if proven && shown.at.IsZero() {
			shown.at = e.w.now.Add(after)
		}
		silent := e.w.now.Sub(r.crashedAt) >= longestSilence && e.w.now.Sub(e.shownEndsSince) >= longestSilence
		if proven && settled && silent && shown.settledAt.IsZero() {
			shown.settledAt = e.w.now.Add(after)
		}
	}
}

// shownEnd returns what lists have shown the present owner of the end of a runner.
func (w *world) shownEnd(id fleet.RunnerID) shownEnd {
	e := w.owner()
	if e == nil || e.shownEndsEpoch != w.store.newest().Epoch || e.shownEnds[id] == nil {
		return shownEnd{}
	}
	shown := *e.shownEnds[id]
	if shown.at.After(w.now) {
		shown.at = time.Time{}
	}
	if shown.settledAt.After(w.now) {
		shown.settledAt = time.Time{}
	}
	return shown
}

// instanceOf returns the instance under a runner.
func (w *world) instanceOf(r *fakeRunner) *fakeInstance {
	n := slices.IndexFunc(w.instances, func(i *fakeInstance) bool { return i.id == r.instance })
	if n < 0 {
		return nil
	}
	return w.instances[n]
}

// endForGood ends a runner whose id no process will have again. A silent one leaves calls
// without an answer, the others are refused.
func (r *fakeRunner) endForGood(silent bool) {
	if r.up {
		r.crash()
	}
	r.ended, r.dark = true, silent
}

// vanish ends an instance for good, with its runner: lists have it no longer.
func (i *fakeInstance) vanish(w *world, silent bool) {
	i.runner.endForGood(silent)
	w.instances = slices.DeleteFunc(w.instances, func(other *fakeInstance) bool { return other == i })
}

// crashFor crashes the runner of an instance, which is down without a runner until one of
// another id and address comes up there.
func (i *fakeInstance) crashFor(w *world, down time.Duration, silent bool) {
	i.runner.endForGood(silent)
	i.state = fleet.InstanceDown
	w.after(down, func() {
		if i.state == fleet.InstanceDown && slices.Contains(w.instances, i) {
			i.comeUp(w)
		}
	})
}

// addNextRunner adds a runner of another id and address to an instance.
func (i *fakeInstance) addNextRunner() {
	former := i.runner
	i.runners++
	next := former.w.addRunner(fleet.RunnerID(fmt.Sprintf("r-%s-%d", i.id, i.runners)))
	next.instance, next.service, next.labels, next.rack = i.id, former.service, former.labels, former.rack
	i.runner = next
}

// ending is a way in which a runner ends, and what lists of instances show of it.
type ending struct {
	name   string
	silent bool
	end    func(w *world, i *fakeInstance, silent bool)
}

// endings returns the ways in which a runner ends, each with calls that are refused and that get
// no answer.
func endings(kinds ...ending) []ending {
	var out []ending
	for _, k := range kinds {
		out = append(out, ending{k.name + ", refused", false, k.end}, ending{k.name + ", silent", true, k.end})
	}
	return out
}

var (
	// missing: the instance ends for good.
	missing = ending{name: "missing", end: func(w *world, i *fakeInstance, silent bool) { i.vanish(w, silent) }}
	// down: the runner crashes and its instance stays down.
	down = ending{name: "down", end: func(w *world, i *fakeInstance, silent bool) { i.crashFor(w, time.Minute, silent) }}
	// replaced: the runner crashes and another one comes up on its instance.
	replaced = ending{name: "other runner", end: func(w *world, i *fakeInstance, silent bool) {
		i.crashFor(w, 300*time.Millisecond, silent)
	}}
	// moved: the instance carries out the order of an owner that has died.
	moved = ending{name: "being moved", end: func(w *world, i *fakeInstance, silent bool) {
		i.runner.endForGood(silent)
		i.state = fleet.InstanceMoving
	}}
)

// longestStand is the platform's limit on how long a task that could run may have nothing
// running.
const longestStand = 3 * time.Second

// mustStartElsewhere checks that a task starts within the platform's limit after the lists have
// shown the owner that its runner has ended.
func (w *world) mustStartElsewhere(task fleet.TaskID, ended *fakeRunner) {
	w.t.Helper()
	began := w.now
	for w.runnerUnder(task) == nil && w.now.Sub(began) < 40*time.Second {
		w.run(10 * time.Millisecond)
	}
	must.NotNil(w.t, w.runnerUnder(task), must.Sprint("the task does not start"))
	w.checkInvariants()
	shown := w.shownEnd(ended.id).at
	if shown.IsZero() {
		shown = began // it starts before the lists show the end, or they never do
	}
	must.LessEq(w.t, longestStand, w.now.Sub(shown), must.Sprintf("the time from when the lists show the end, %.2f s after the end", w.now.Sub(began).Seconds()))
}

// endedWorld returns a world with instances under its runners, whose list of runners keeps those
// that have ended for a time.
func endedWorld(t *testing.T, seed int64, listLag time.Duration) *world {
	t.Helper()
	w := newWorld(t, seed, 3, 4, slowClock)
	w.listLag = listLag
	w.withInstances(0)
	w.run(30 * time.Second)
	return w
}

// keptListed is how long the platform's list of runners keeps one that has ended.
const keptListed = 4500 * time.Millisecond

// startedTask hands in a task and returns it some time after it has started, with its runner.
func (w *world) startedTask(after time.Duration) (fleet.TaskID, *fakeRunner) {
	w.submit(jobID(0), lastingJob())
	task := firstTask(jobID(0))
	w.runUntilRuns(task)
	w.run(after)
	return task, w.runnerUnder(task)
}

// onceFailedTask returns a task of two attempts whose first run has failed and whose second one
// was given up on a runner that is cut off, which may still tell how it ended.
func (w *world) onceFailedTask() (fleet.TaskID, *fakeRunner) {
	task, r := w.startedTask(time.Second)
	r.end(task, fleet.RunFailed)
	w.runUntilRuns(task)
	w.run(2500 * time.Millisecond) // its starts are stored as settled
	r = w.runnerUnder(task)
	w.cutUntilGivenUp(task, r)
	return task, r
}

// lateStartedTask returns a task whose start had no answer, and which was given up on a runner
// that is cut off.
func (w *world) lateStartedTask() (fleet.TaskID, *fakeRunner) {
	u := w.unseenRestart(time.Minute, 0)
	w.submit(jobID(0), lastingJob())
	r := u.awaitStart()
	w.cutUntilGivenUp(firstTask(jobID(0)), r)
	return firstTask(jobID(0)), r
}

// cutUntilGivenUp cuts a runner off until the lease of a task there has run out for its owner.
func (w *world) cutUntilGivenUp(task fleet.TaskID, r *fakeRunner) {
	r.unreachable = true
	given := w.countDecisions("run lost")
	for range 1000 {
		if *given == 0 {
			w.run(10 * time.Millisecond)
		}
	}
	must.Positive(w.t, *given, must.Sprint("the run is not given up"))
	must.Nil(w.t, w.runnerUnder(task))
}

// lateStartInFlight returns a task whose start has no answer yet, with its runner.
func (w *world) lateStartInFlight() (fleet.TaskID, *fakeRunner) {
	u := w.unseenRestart(time.Minute, 0)
	w.submit(jobID(0), lastingJob())
	r := u.awaitStart()
	w.run(20 * time.Millisecond)
	return firstTask(jobID(0)), r
}

// takeOver kills the owner and runs the world until the next one has begun.
func (w *world) takeOver() {
	w.owner().kill()
	w.runUntilOwnedAfter(w.store.newest().Epoch)
}

// mustNotAwait has a task wait for the runner that prepare returns, ends that runner in each of
// the ways, and checks that the task starts elsewhere.
func mustNotAwait(t *testing.T, prepare func(*world) (fleet.TaskID, *fakeRunner), ways ...ending) {
	t.Helper()
	for _, c := range endings(ways...) {
		t.Run(c.name, func(t *testing.T) {
			w := endedWorld(t, 560, keptListed)
			task, r := prepare(w)
			c.end(w, w.instanceOf(r), c.silent)
			w.mustStartElsewhere(task, r)
		})
	}
}

// nextOwnerMustNotAwait does so with an owner that dies before the lists show the end. The next
// one knows the runner from the ledger only, as the list of runners has lost it.
func nextOwnerMustNotAwait(t *testing.T, prepare func(*world) (fleet.TaskID, *fakeRunner), ways ...ending) {
	t.Helper()
	for _, c := range endings(ways...) {
		t.Run(c.name, func(t *testing.T) {
			w := endedWorld(t, 561, 0)
			task, r := prepare(w)
			w.run(200 * time.Millisecond) // the ledger tells of it
			c.end(w, w.instanceOf(r), c.silent)
			w.takeOver()
			w.mustStartElsewhere(task, r)
		})
	}
}

// runningTask returns a task at work, with its runner.
func (w *world) runningTask() (fleet.TaskID, *fakeRunner) { return w.startedTask(3 * time.Second) }

// TestLeaseOnAnEndedRunnerIsNotAwaited: the lists show that a runner has ended, and its lease was awaited.
func TestLeaseOnAnEndedRunnerIsNotAwaited(t *testing.T) {
	mustNotAwait(t, (*world).runningTask, missing, down, replaced)
}

// TestLateStartOnAnEndedRunnerIsNotAwaited: the same for a start in flight, which may be carried out late.
func TestLateStartOnAnEndedRunnerIsNotAwaited(t *testing.T) {
	mustNotAwait(t, (*world).lateStartInFlight, missing, replaced)
}

// TestLateStartGivenUpBeforeTheEndIsNotAwaited: the same for one whose run had been given up before the runner ended.
func TestLateStartGivenUpBeforeTheEndIsNotAwaited(t *testing.T) {
	mustNotAwait(t, (*world).lateStartedTask, missing, replaced)
}

// TestLateStartOnADownInstanceIsNotAwaited: the same while the instance is down, which comes back with a runner of another id.
func TestLateStartOnADownInstanceIsNotAwaited(t *testing.T) {
	mustNotAwait(t, (*world).lateStartInFlight, down)
	mustNotAwait(t, (*world).lateStartedTask, down)
}

// TestOutcomeOnAnEndedRunnerIsNotAwaited: the same for the outcome that decides whether a task may run again.
func TestOutcomeOnAnEndedRunnerIsNotAwaited(t *testing.T) {
	mustNotAwait(t, (*world).onceFailedTask, missing, down, replaced)
}

// TestNextOwnerDoesNotAwaitTheLeaseOnAnEndedRunner: the owner dies before the lists show the end, and the next one awaited the lease.
func TestNextOwnerDoesNotAwaitTheLeaseOnAnEndedRunner(t *testing.T) {
	nextOwnerMustNotAwait(t, (*world).runningTask, missing, down, replaced, moved)
}

// TestNextOwnerDoesNotAwaitALateStartOnAnEndedRunner: the same for a start in flight, which may be carried out late.
func TestNextOwnerDoesNotAwaitALateStartOnAnEndedRunner(t *testing.T) {
	nextOwnerMustNotAwait(t, (*world).lateStartInFlight, missing, replaced, moved)
}

// TestNextOwnerDoesNotAwaitALateStartGivenUpBeforeTheEnd: the same for one whose run had been given up before the runner ended.
func TestNextOwnerDoesNotAwaitALateStartGivenUpBeforeTheEnd(t *testing.T) {
	nextOwnerMustNotAwait(t, (*world).lateStartedTask, missing, replaced, moved)
}

// TestNextOwnerDoesNotAwaitALateStartOnADownInstance: the same while the instance is down, which comes back with a runner of another id.
func TestNextOwnerDoesNotAwaitALateStartOnADownInstance(t *testing.T) {
	nextOwnerMustNotAwait(t, (*world).lateStartInFlight, down)
	nextOwnerMustNotAwait(t, (*world).lateStartedTask, down)
}

// TestNextOwnerDoesNotAwaitTheOutcomeOnAnEndedRunner: the same for the outcome that decides whether a task may run again.
func TestNextOwnerDoesNotAwaitTheOutcomeOnAnEndedRunner(t *testing.T) {
	nextOwnerMustNotAwait(t, (*world).onceFailedTask, missing, down, replaced, moved)
}

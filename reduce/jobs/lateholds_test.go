package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// awayFor runs the world until a task runs again, and returns how long that took.
func (w *world) awayFor(task fleet.TaskID, limit time.Duration) time.Duration {
	began := w.now
	for w.runnerUnder(task) == nil && w.now.Sub(began) < limit {
		w.run(20 * time.Millisecond)
	}
	return w.now.Sub(began)
}

// TestLateStartDoesNotRepeatTheSuccessOfALaterAttempt: the first start has no answer, its runner restarts in sight of the owner, and the next
// attempt of the task succeeds there. That end is acknowledged while the first start may come.
func TestLateStartDoesNotRepeatTheSuccessOfALaterAttempt(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 420, 3, 2, slowClock)
	w.run(30 * time.Second)
	u := w.unseenRestart(11800*ms, 0)
	w.submit(jobID(0), oneTaskJob(2*time.Second))
	task := firstTask(jobID(0))
	first := u.awaitStart()
	w.runUntilRuns(task)
	w.run(700 * ms)
	w.submit(jobID(1), oneTaskJob(2*time.Second)) // is suspected of the crash
	for range 40 {
		if w.runnerUnder(firstTask(jobID(1))) == nil {
			w.run(2 * ms)
		}
	}
	must.Eq(t, first, w.runnerUnder(firstTask(jobID(1))))
	first.restartFor(100 * ms)
	for range 400 {
		if !w.doneOnce[task] {
			w.run(20 * ms)
		}
	}
	must.True(t, w.doneOnce[task])
	w.run(200 * ms)
	t.Log("done", w.now.Sub(u.sentAt), "after the first start, acknowledged:", w.history(task).doneAcknowledged)
	u.restart(600*ms, time.Second)
	w.run(60 * time.Second)
	must.Positive(t, w.strayStarts)
	w.checkInvariants()
}

// TestEndThatOvertakesTheAnswerToItsOnlyStartHoldsNothing: the answer to the only start of a run is overtaken by the list that has its end.
func TestEndThatOvertakesTheAnswerToItsOnlyStartHoldsNothing(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 420, 3, 2)
	w.run(30 * time.Second)
	w.alwaysFails[jobID(0)] = true
	delayed := false
	var began time.Time
	starts := map[fleet.RunnerID]time.Duration{}
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.OrderTask)
		if !ok || o.Kind != effect.OrderStart || o.Task.Job != jobID(0) {
			return true
		}
		if began.IsZero() {
			began = w.now
		}
		starts[o.Runner] = w.now.Sub(began)
		if delayed {
			return true
		}
		delayed = true
		w.after(time.Millisecond, func() {
			outcome := w.runners[o.Runner].begin(o)
			e.postAfter(150*ms, event.TaskOrdered{
				Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: outcome,
				Clock: event.Clock{Reading: w.runners[o.Runner].clock(), Sent: w.now, Received: w.now.Add(ms)},
			})
		})
		return false
	}
	w.submit(jobID(0), oneTaskJob(30*ms))
	w.run(30 * time.Second)
	t.Log("starts", starts)
	for _, at := range starts {
		must.Less(t, time.Second, at)
	}
}

// TestNextOwnerKnowsOfAForgottenEnd: as TestAcknowledgementAnsweredByTheNextIncarnation, and the owner that saw it dies.
func TestNextOwnerKnowsOfAForgottenEnd(t *testing.T) {
	w := acknowledgedWorld(t, 170)
	crossed := false
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if o, ok := out.(effect.PollRunner); ok && o.Acknowledged > 0 && !crossed {
			crossed = true
			w.runners[o.Runner].restartFor(0)
		}
		return true
	}
	w.run(3 * time.Second)
	must.True(t, crossed)
	w.owner().kill()
	w.run(5 * time.Second)
	w.mustRunTasksOnce()
}

// TestPoolThatMayForgetEndsTakesTasksAgain: each runner of a pool gets a large acknowledgement of its former incarnation.
func TestPoolThatMayForgetEndsTakesTasksAgain(t *testing.T) {
	w := newWorld(t, 171, 2, 2, func(w *world) { w.forgetsLaterEnds = true })
	w.run(30 * time.Second)
	for n := range 20 {
		w.submit(jobID(n), oneTaskJob(100*time.Millisecond))
		w.run(300 * time.Millisecond)
	}
	w.run(3 * time.Second)
	crossed := map[fleet.RunnerID]bool{}
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if o, ok := out.(effect.PollRunner); ok && o.Acknowledged > 0 && !crossed[o.Runner] {
			crossed[o.Runner] = true
			w.runners[o.Runner].restartFor(0)
		}
		return true
	}
	for n := 20; n < 24; n++ {
		w.submit(jobID(n), oneTaskJob(100*time.Millisecond))
		w.run(2 * time.Second)
	}
	t.Log("crossed", crossed)
	w.run(300 * time.Second)
	done := 0
	for n := range 24 {
		if w.doneOnce[firstTask(jobID(n))] {
			done++
		}
	}
	must.Eq(t, 24, done)
}

// TestNextOwnerHoldsNoTaskForAStartThatIsOver: a late start that is long over is restored by the next owner.
func TestNextOwnerHoldsNoTaskForAStartThatIsOver(t *testing.T) {
	const ms = time.Millisecond
	for _, ownerDies := range []bool{false, true} {
		t.Run(fmt.Sprint("ownerDies=", ownerDies), func(t *testing.T) {
			w := newWorld(t, 440, 3, 2, slowClock)
			w.run(30 * time.Second)
			u := w.unseenRestart(time.Second, 0)
			w.submit(jobID(0), longRunningJob(1, 1))
			first, task := u.awaitStart(), firstTask(jobID(0))
			w.runUntilRuns(task)
			w.run(300 * ms)
			w.run(time.Second)
			first.end(task, fleet.RunLeaseExpired)
			w.run(20 * ms)
			t.Log("back after", w.awayFor(task, 30*time.Second), "on the same runner:", w.runnerUnder(task) == first)
			must.Eq(t, first, w.runnerUnder(task))
			w.run(60 * time.Second)
			dump := func() {
				for _, j := range w.store.content().Jobs {
					if j.Progress != nil {
						for _, occ := range j.Progress.Occurrences {
							for _, r := range occ.Tasks {
								t.Logf("ledger: attempt %d settled %v late starts %v", r.Attempt, r.Settled, r.LateStarts)
							}
						}
					}
				}
			}
			dump()
			if ownerDies {
				w.owner().kill()
				w.run(5 * time.Second)
			}
			first.cutFor(60 * time.Second)
			for range 400 { // the lapse on the runner
				if w.runnerUnder(task) != nil && w.runnerUnder(task) == first {
					w.run(20 * ms)
				}
			}
			away := w.awayFor(task, 40*time.Second)
			t.Log("away for", away)
			w.checkInvariants()
			must.Less(t, 3*time.Second, away)
		})
	}
}

// TestDrainedLastingTaskIsNotAwayForALateStart has the first start of a lasting task lost, and its
// runner drain soon after the repeated one was answered.
func TestDrainedLastingTaskIsNotAwayForALateStart(t *testing.T) {
	w, u, first, task := lostFirstStart(t)
	w.runUntilRuns(task)
	w.run(1500 * time.Millisecond)
	first.draining = true
	for range 200 {
		if w.runnerUnder(task) != nil {
			w.run(20 * time.Millisecond)
		}
	}
	t.Log("stopped", w.now.Sub(u.sentAt), "after the start")
	must.Less(t, longestAbsence, w.awayFor(task, time.Minute))
	w.checkInvariants()
}

// TestLastingTaskIsNotAwayForALostStart has the first start of a lasting task lost, and its runner
// refuse the repeated one, or crash for good before.
func TestLastingTaskIsNotAwayForALostStart(t *testing.T) {
	for _, c := range []string{"crashed for good", "refused"} {
		t.Run(c, func(t *testing.T) {
			w, _, first, task := lostFirstStart(t)
			if c == "refused" {
				first.capacity = fleet.Capacity{}
				w.run(1500 * time.Millisecond)
			} else {
				w.run(20 * time.Millisecond)
				first.crash()
			}
			must.Less(t, longestAbsence, w.awayFor(task, time.Minute))
			w.checkInvariants()
		})
	}
}

// longestAbsence is the platform's bound on the time without a run of a lasting task.
const longestAbsence = 6 * time.Second

// lostFirstStart hands in a lasting task whose first start is not carried out in time.
func lostFirstStart(t *testing.T) (*world, *unseenRestart, *fakeRunner, fleet.TaskID) {
	t.Helper()
	w := newWorld(t, 440, 3, 3, slowClock)
	w.run(30 * time.Second)
	u := w.unseenRestart(time.Second, 0)
	w.submit(jobID(0), longRunningJob(1, 1))
	return w, u, u.awaitStart(), firstTask(jobID(0))
}

// TestOwnersInTurnDoNotRenewAHold: owners in turn renew the hold.
func TestOwnersInTurnDoNotRenewAHold(t *testing.T) {
	w := newWorld(t, 440, 3, 3, slowClock)
	w.run(30 * time.Second)
	u := w.unseenRestart(time.Second, 0)
	w.submit(jobID(0), longRunningJob(1, 1))
	first, task := u.awaitStart(), firstTask(jobID(0))
	w.run(20 * time.Millisecond)
	first.crash()
	began := w.now
	for range 8 {
		for range 10 {
			if w.runnerUnder(task) == nil {
				w.run(time.Second)
			}
		}
		if w.runnerUnder(task) == nil {
			o := w.owner()
			o.kill()
			o.boot()
		}
	}
	t.Log("away for", w.now.Sub(began))
	must.Less(t, 40*time.Second, w.now.Sub(began))
}

// TestHeldEndIsAcknowledgedWithinItsLease: the lease of an idle runner runs out between an end and its acknowledgement.
func TestHeldEndIsAcknowledgedWithinItsLease(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 420, 3, 1, slowClock)
	w.run(30 * time.Second)
	u := w.unseenRestart(time.Second, 0)
	w.submit(jobID(0), oneTaskJob(300*ms))
	task := firstTask(jobID(0))
	first := u.awaitStart()
	for range 400 {
		if !w.doneOnce[task] {
			w.run(20 * ms)
		}
	}
	ended := w.now
	polls, lapsed := 0, time.Duration(0)
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if _, ok := out.(effect.PollRunner); ok {
			polls++
		}
		return inner(e, out)
	}
	for !w.history(task).doneAcknowledged && w.now.Sub(ended) < 30*time.Second {
		w.run(20 * ms)
		if lapsed == 0 && first.clock() > first.leaseDeadline {
			lapsed = w.now.Sub(ended)
		}
	}
	t.Log("acknowledged after", w.now.Sub(ended), "lease lapsed after", lapsed, "polls", polls)
	must.Zero(t, lapsed)
}

// TestTwoAttemptsAtOneUnseenIncarnation: the start of attempt 1 and that of attempt 2, which was barred-in on the same runner, are
// both carried out by an incarnation that nobody has seen.
func TestTwoAttemptsAtOneUnseenIncarnation(t *testing.T) {
	const ms = time.Millisecond
	for _, order := range []string{"first start first", "second start first"} {
		t.Run(order, func(t *testing.T) {
			w := newWorld(t, 440, 3, 2, slowClock)
			w.run(30 * time.Second)
			var starts []effect.OrderTask
			silent := false
			w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
				switch o := out.(type) {
				case effect.OrderTask:
					isNew := o.Kind == effect.OrderStart && (len(starts) == 0 || starts[len(starts)-1].Attempt != o.Attempt)
					if isNew {
						starts = append(starts, o)
					}
					if (isNew && len(starts) <= 2) || (silent && o.Runner == starts[0].Runner) {
						e.postAfter(orderTimeout, event.TaskOrdered{
							Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
						})
						return false
					}
				case effect.PollRunner:
					if silent && o.Runner == starts[0].Runner {
						e.postAfter(o.Wait+orderTimeout, event.RunnerPolled{Epoch: o.Epoch, Runner: o.Runner, Number: o.Number, Outcome: event.OrderUnknown})
						return false
					}
				}
				return true
			}
			w.submit(jobID(0), longRunningJob(1, 1))
			task := firstTask(jobID(0))
			w.runUntilRuns(task)
			w.run(100 * ms)
			first := w.runnerUnder(task)
			first.restartFor(100 * ms) // seen
			for range 400 {
				if len(starts) < 2 {
					w.run(10 * ms)
				}
			}
			must.SliceLen(t, 2, starts)
			must.Eq(t, starts[0].Runner, starts[1].Runner)
			w.run(10 * ms)
			former := first.entry()
			first.formerEntry, silent = &former, true
			first.darkFor(100 * ms)
			w.run(110 * ms)
			a, b := starts[0], starts[1]
			if order != "first start first" {
				a, b = b, a
			}
			first.beginLate(a)
			w.run(20 * ms)
			first.beginLate(b)
			w.run(30 * ms)
			first.formerEntry, silent = nil, false
			first.cutFor(30 * time.Second)
			w.run(40 * time.Second)
			w.checkInvariants()
		})
	}
}

// TestAnswerOfAnUnseenIncarnationSettlesNoRun: the start is carried out and answered by the next incarnation, which is cut off before
// anybody else has an answer of it. Its lease is by the clock of the former one.
func TestAnswerOfAnUnseenIncarnationSettlesNoRun(t *testing.T) {
	const ms = time.Millisecond
	for _, down := range []time.Duration{20 * ms, 100 * ms, 300 * ms} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			w := newWorld(t, 440, 3, 2, slowClock)
			w.run(30 * time.Second)
			w.submit(jobID(1), longRunningJob(1, 1)) // has the runner polled
			w.run(600 * ms)
			var u effect.OrderTask
			silent := false
			w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
				switch o := out.(type) {
				case effect.OrderTask:
					if o.Kind == effect.OrderStart && u.Attempt == 0 {
						u, silent = o, true
						r := w.runners[o.Runner]
						former := r.entry()
						r.formerEntry = &former
						r.darkFor(down)
						w.after(down+20*ms, func() {
							outcome := r.begin(o)
							e.postAfter(ms, event.TaskOrdered{
								Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: outcome,
								Clock: event.Clock{Reading: r.clock(), Sent: w.now.Add(-down - 20*ms), Received: w.now.Add(ms)},
							})
						})
						w.after(down+23*ms, func() { r.formerEntry = nil; r.cutFor(30 * time.Second) })
						return false
					}
					if silent && o.Runner == u.Runner {
						e.postAfter(orderTimeout, event.TaskOrdered{
							Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
						})
						return false
					}
				case effect.PollRunner:
					if silent && o.Runner == u.Runner {
						e.postAfter(o.Wait+orderTimeout, event.RunnerPolled{Epoch: o.Epoch, Runner: o.Runner, Number: o.Number, Outcome: event.OrderUnknown})
						return false
					}
				}
				return true
			}
			w.submit(jobID(0), longRunningJob(1, 1))
			w.run(40 * time.Second)
			must.Positive(t, w.strayStarts)
			w.checkInvariants()
		})
	}
}

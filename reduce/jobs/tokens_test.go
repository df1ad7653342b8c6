package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/shoenig/test/must"
)

// TestLateStartIsShutOutAtASeenIncarnation has a start carried out late at an incarnation that the
// owner has called meanwhile: calls of all incarnations had one token, so the start began there.
func TestLateStartIsShutOutAtASeenIncarnation(t *testing.T) {
	const ms = time.Millisecond
	for _, late := range []time.Duration{1500 * ms, 5 * time.Second, 11 * time.Second} {
		for _, restarts := range []int{1, 2} {
			w := newWorld(t, 480, 3, 2, slowClock)
			w.run(30 * time.Second)
			start := w.losesFirstStart(late)
			w.submit(jobID(0), oneTaskJob(300*ms))
			for start.Runner == "" {
				w.run(ms)
			}
			r, sent := w.runners[start.Runner], w.now
			for range restarts {
				r.restartFor(300 * ms)
				w.run(700 * ms)
			}
			must.True(t, r.up && r.fence > start.Token, must.Sprint("the start is not shut out"))
			w.run(sent.Add(late).Sub(w.now) + 20*time.Second)
			must.Zero(t, w.strayStarts)
			w.checkInvariants()
			must.True(t, w.doneOnce[firstTask(jobID(0))])
		}
	}
}

// TestCallThatALaterOneOvertakesEndsNoTenure has a call refused since a later call of the same owner, with a
// higher token, was there first: the refusal was taken for that of a later owner's fence.
func TestCallThatALaterOneOvertakesEndsNoTenure(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 481, 3, 1, slowClock)
	w.run(30 * time.Second)
	owner, epoch := w.owner(), w.store.newest().Epoch
	overtaken := 0
	starts := 0
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.OrderTask)
		if !ok || o.Kind != effect.OrderStart {
			return true
		}
		switch starts++; starts {
		case 1: // gets no answer, so the token rises
			e.postAfter(10*ms, event.TaskOrdered{
				Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
			})
			return false
		case 2: // is on its way until the next poll has been carried out
			w.after(60*ms, func() {
				r := w.runners[o.Runner]
				outcome := r.begin(o)
				if outcome == event.OrderFenced {
					overtaken++
				}
				e.postAfter(ms, event.TaskOrdered{
					Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: outcome,
					Clock: event.Clock{Reading: r.clock(), Sent: w.now, Received: w.now.Add(ms)},
				})
			})
			return false
		}
		return true
	}
	w.submit(jobID(0), oneTaskJob(300*ms))
	w.submit(jobID(1), oneTaskJob(300*ms))
	w.run(3 * time.Second)
	must.Eq(t, 1, overtaken)
	must.Eq(t, owner, w.owner())
	must.Eq(t, epoch, w.store.newest().Epoch)
	for n := range 2 {
		must.True(t, w.doneOnce[firstTask(jobID(n))])
	}
	w.run(20 * time.Second)
	w.checkInvariants()
}

// TestLateAcknowledgementIsShutOutOnTheOnlyRunner has an acknowledgement without an answer carried out at the next
// incarnation of the only runner while that is cut off: the end of a second task was forgotten, and the task ran again
// after its success (review case 12).
func TestLateAcknowledgementIsShutOutOnTheOnlyRunner(t *testing.T) {
	const ms = time.Millisecond
	for _, ownerDies := range []bool{false, true} {
		w := newWorld(t, 482, 3, 1, slowClock)
		w.run(30 * time.Second)
		w.submit(jobID(0), oneTaskJob(200*ms))
		lost := w.losesAcknowledgement(4500 * ms)
		for lost.Runner == "" {
			w.run(ms)
		}
		r, sent := w.runners[lost.Runner], w.now
		r.restartFor(600 * ms)
		w.run(time.Second)
		w.submit(jobID(1), oneTaskJob(1500*ms))
		w.runUntilRuns(firstTask(jobID(1)))
		if ownerDies {
			o := w.owner()
			o.kill()
			w.after(time.Second, o.restart)
		}
		w.run(500 * ms)
		r.cutFor(sent.Add(5 * time.Second).Sub(w.now))
		w.run(30 * time.Second)
		must.Zero(t, r.acknowledgedEnd-r.lastEnd, must.Sprint("the ends of the runner are not acknowledged"))
		w.mustState(jobID(1), fleet.JobDone)
		w.checkInvariants()
	}
}

// TestRunnerThatComesBackToTheListEndsNoTenure has an idle runner leave the list for longer than the owner remembers it, and come back. It is
// alive all the time and has seen a raised token: the owner called it with a lower one, and took the refusal for that of a later owner.
func TestRunnerThatComesBackToTheListEndsNoTenure(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 483, 3, 2, slowClock)
	w.run(30 * time.Second)
	owner, epoch := w.owner(), w.store.newest().Epoch
	start := w.losesFirstStart(5 * time.Second)
	w.submit(jobID(0), oneTaskJob(300*ms))
	w.run(20 * time.Second)
	must.True(t, w.doneOnce[firstTask(jobID(0))])
	r := w.runners[start.Runner]
	must.Greater(t, jobs.FirstToken(epoch), r.fence, must.Sprint("the token did not rise"))
	r.unlisted = true
	w.run(40 * time.Second)
	r.unlisted = false
	w.run(time.Second)
	for _, other := range w.runners {
		if other != r {
			other.crash()
		}
	}
	w.submit(jobID(1), oneTaskJob(300*ms))
	w.run(3 * time.Second)
	must.True(t, w.doneOnce[firstTask(jobID(1))])
	must.Eq(t, owner, w.owner())
	must.Eq(t, epoch, w.store.newest().Epoch)
	w.checkInvariants()
}

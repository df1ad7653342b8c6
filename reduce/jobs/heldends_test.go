package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

// TestHeldFailureIsCountedOnce has a run fail whose first start had no answer, so that its end is
// not acknowledged yet when the next owner reads it. The job was given up after one failure.
func TestHeldFailureIsCountedOnce(t *testing.T) {
	for _, killAfter := range []time.Duration{50 * time.Millisecond, time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint("owner killed after ", killAfter), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 460, 3, 2, slowClock)
			w.run(30 * time.Second)
			u := w.unseenRestart(11*time.Second, 0)
			w.submit(jobID(0), &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: 1, Needs: taskNeeds, Estimate: 3 * time.Second}}})
			first, task := u.awaitStart(), firstTask(jobID(0))
			w.runUntilRuns(task)
			w.run(100 * time.Millisecond)
			first.end(task, fleet.RunFailed)
			w.run(killAfter)
			w.owner().kill()
			w.run(40 * time.Second)
			w.mustState(jobID(0), fleet.JobDone)
			w.checkInvariants()
			must.Greater(t, 1, w.starts)
		})
	}
}

// TestHeldTaskStartsOnItsRunnerOnceThatIsBack has a runner come back with nothing to run but a
// task that waits for a late start there.
func TestHeldTaskStartsOnItsRunnerOnceThatIsBack(t *testing.T) {
	w := newWorld(t, 461, 3, 2, slowClock)
	w.withInstances(0)
	w.run(5 * time.Second)
	w.submit(jobID(1), longRunningJob(1, 1))
	w.run(time.Second)
	u := w.unseenRestart(20*time.Second, 0)
	w.submit(jobID(0), longRunningJob(1, 1))
	first, task := u.awaitStart(), firstTask(jobID(0))
	w.runUntilRuns(task)
	first.cutFor(7 * time.Second)
	for range 300 {
		w.run(50 * time.Millisecond)
		for _, i := range w.instances {
			must.True(t, i.runner != first || i.pool == "desk", must.Sprint("the instance was moved"))
		}
	}
	must.Eq(t, first, w.runnerUnder(task))
	w.checkInvariants()
}

// TestTaskIsNotHeldForARunnerWhoseInstanceHasAnother has a runner crash with a start in flight. The
// next runner of its instance has another address, so nobody answers at the former one.
func TestTaskIsNotHeldForARunnerWhoseInstanceHasAnother(t *testing.T) {
	w := newWorld(t, 462, 3, 2, slowClock)
	w.withInstances(0)
	w.run(5 * time.Second)
	w.unseenRestart(time.Second, 0)
	var first *fakeRunner
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if o, ok := out.(effect.OrderTask); ok && o.Kind == effect.OrderStart && first == nil {
			first = w.runners[o.Runner]
		}
		return inner(e, out)
	}
	w.submit(jobID(0), longRunningJob(1, 1))
	for first == nil {
		w.run(5 * time.Millisecond)
	}
	first.crash()
	w.after(2*time.Second, func() {
		next := w.addRunner("next")
		next.instance = first.instance
		for _, i := range w.instances {
			if i.runner == first {
				i.runner = next
			}
		}
	})
	must.Less(t, longestAbsence, w.awayFor(firstTask(jobID(0)), time.Minute))
	w.run(20 * time.Second)
	w.checkInvariants()
}

// TestHoldsPassFromOwnerToOwner has two owners end in turn while the end of a task is held: the
// second next owner acknowledged it, and the late start repeated the task. Once the start can't
// come any more, the ledger holds nothing of it.
func TestHoldsPassFromOwnerToOwner(t *testing.T) {
	const ms = time.Millisecond
	for _, trouble := range []int{1, 2} {
		t.Run(ownerTroubles[trouble].name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 463, 3, 2, slowClock)
			w.run(30 * time.Second)
			u, task := w.unseenRestart(11800*ms, 0), firstTask(jobID(0))
			w.submit(jobID(0), oneTaskJob(300*ms))
			u.awaitStart()
			for range 100 {
				if !w.doneOnce[task] {
					w.run(20 * ms)
				}
			}
			w.run(100 * ms)
			must.SliceLen(t, 1, w.store.content().Holds)
			for range 2 {
				ownerTroubles[trouble].happen(w.owner())
				w.run(4 * time.Second)
			}
			u.restart(600*ms, time.Second)
			w.run(60 * time.Second)
			w.checkInvariants()
			must.Positive(t, w.strayStarts, must.Sprint("the late start was not carried out by another incarnation"))
			must.SliceEmpty(t, w.store.content().Holds)
		})
	}
}

package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
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

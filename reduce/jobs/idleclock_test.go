package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestLeaseOfAnIdleRunnerIsNoLongerThanOthersExpect starts a task on a runner that has
// been idle, whose clock is as slow as it may be, and cuts the runner off while its owner is
// replaced. The lease was reckoned from an old reading of the clock, and outlasted what the
// next owner waits for (review/7).
func TestLeaseOfAnIdleRunnerIsNoLongerThanOthersExpect(t *testing.T) {
	for _, idle := range []time.Duration{10 * time.Second, 29 * time.Second, 80 * time.Second, 5 * time.Minute} {
		for _, worked := range []bool{false, true} {
			for name, end := range map[string]func(e *fakeEntry){
				"stopped": func(e *fakeEntry) { e.post(eventStop) },
				"killed":  (*fakeEntry).kill,
				"paused":  func(e *fakeEntry) { e.freeze(4 * time.Second) },
			} {
				for _, after := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
					t.Run(fmt.Sprint("idle=", idle, " worked=", worked, " owner ", name, " after ", after), func(t *testing.T) {
						t.Parallel()
						w := newWorld(t, 220, 3, 3, slowClock)
						w.run(2 * time.Second)
						if worked {
							w.submit(jobID(1), twoStepJob())
							w.run(6 * time.Second)
							w.mustState(jobID(1), fleet.JobDone)
						}
						w.run(idle)
						w.submit(jobID(0), longRunningJob(1, 1))
						task := firstTask(jobID(0))
						w.runUntilRuns(task)
						w.run(after)
						for _, e := range w.entries {
							e.cutRunners[w.runnerUnder(task).id] = true
						}
						end(w.owner())
						if after == 0 {
							// The answer to the start is outstanding, so an incarnation of the
							// runner that nobody sees may begin the task late.
							w.run(10 * time.Second)
						}
						w.run(20 * time.Second)
						w.checkInvariants()
						must.NotNil(t, w.runnerUnder(task), must.Sprint("the task does not run again"))
						must.Greater(t, 1, w.attemptOf(task))
					})
				}
			}
		}
	}
}

// TestLeaseOfAnIdleRunnerOutlastsATakeover starts a task on a runner that has been idle and
// kills its owner at once. The task has to run on under the next one, at either end of the
// range of clocks.
func TestLeaseOfAnIdleRunnerOutlastsATakeover(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		for _, idle := range []time.Duration{time.Second, 29 * time.Second, 31 * time.Second, 10 * time.Minute} {
			t.Run(fmt.Sprint("rate=", rate, " idle=", idle), func(t *testing.T) {
				w := newWorld(t, 221, 3, 3, func(w *world) { w.clockRate = rate })
				w.run(2*time.Second + idle)
				w.submit(jobID(0), longRunningJob(1, 1))
				submitted, task := w.now, firstTask(jobID(0))
				w.runUntilRuns(task)
				must.Less(t, 100*time.Millisecond, w.now.Sub(submitted), must.Sprint("the start took long"))
				w.owner().kill()
				w.run(10 * time.Second)
				must.Eq(t, 1, w.attemptOf(task))
				w.checkInvariants()
			})
		}
	}
}

// runUntilRuns runs the world until a task runs.
func (w *world) runUntilRuns(id fleet.TaskID) {
	for range 5000 {
		if w.runnerUnder(id) != nil {
			return
		}
		w.run(time.Millisecond)
	}
	w.t.Fatalf("%v does not run", id)
}

// attemptOf returns the attempt under which a task runs; zero if it does not.
func (w *world) attemptOf(id fleet.TaskID) int64 {
	if r := w.runnerUnder(id); r != nil {
		return r.runs[id].attempt
	}
	return 0
}

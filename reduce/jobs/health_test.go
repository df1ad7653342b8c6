package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// longestIdleJob is the platform's bound on the time for which a job has nothing running although there is
// room for its tasks.
const longestIdleJob = 3 * time.Second

// hourTasks is a job whose tasks outlast the test.
func hourTasks(count, maxPerRunner int) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: count, Needs: taskNeeds, Estimate: time.Hour, MaxPerRunner: maxPerRunner}}}
}

// mustStartSoon hands in a lasting job and ordinary ones at once, and checks that each of them has a task
// running within the platform's bound.
func (w *world) mustStartSoon(first, jobs int) {
	w.t.Helper()
	w.submit(jobID(first), longRunningJob(1, 1))
	for n := 1; n < jobs; n++ {
		w.submit(jobID(first+n), hourTasks(4, 0))
	}
	handedIn := w.now
	for n := range jobs {
		for w.runnerUnder(firstTask(jobID(first+n))) == nil {
			w.run(20 * time.Millisecond)
			must.Less(w.t, longestIdleJob, w.now.Sub(handedIn), must.Sprint("job ", n, " does not start"))
		}
	}
}

// TestLongTasksDoNotCloseNewRunners has long tasks fill what a runner without a success may run: nothing
// else was started there until one of them ended.
func TestLongTasksDoNotCloseNewRunners(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Millisecond, 10 * time.Second} {
		w := wideWorld(t, 490, 2)
		w.submit(jobID(0), hourTasks(48, 0))
		w.run(wait)
		w.mustStartSoon(1, 3)
		w.run(3 * time.Second)
		must.Eq(t, 48+1+8, w.runningTasks())
		w.checkInvariants()
	}
}

// TestTakeoverDoesNotCloseRunnersWithLongTasks has the owner change while long tasks run on every runner: the
// next one took them for unproven and started nothing beside them (review case 14).
func TestTakeoverDoesNotCloseRunnersWithLongTasks(t *testing.T) {
	for _, trouble := range []int{2, 6} {
		t.Run(ownerTroubles[trouble].name, func(t *testing.T) {
			w := wideWorld(t, 491, 4)
			w.submit(jobID(0), oneTaskJob(50*time.Millisecond))
			w.run(2 * time.Second)
			w.submit(jobID(1), hourTasks(96, 24))
			w.run(5 * time.Second)
			must.Eq(t, 96, w.runningTasks())
			for range 2 {
				ownerTroubles[trouble].happen(w.owner())
				w.run(5 * time.Second)
			}
			w.mustStartSoon(2, 8)
			w.checkInvariants()
		})
	}
}

// TestFailingRunnersFailFewTasks has a runner fail all that is started there, at once or after some time, beside
// sound ones, and beside long tasks that began there before. Few tasks may fail there: as many as a runner takes
// without a success, and one for each rest.
func TestFailingRunnersFailFewTasks(t *testing.T) {
	for _, before := range []int{0, 20} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint("before=", before, " delay=", delay), func(t *testing.T) {
				t.Parallel()
				w := wideWorld(t, 492, 4)
				w.failDelay = delay
				r := w.runners["r0"]
				if before > 0 {
					w.submit(jobID(0), hourTasks(4*before, before))
					w.run(3 * time.Second)
				}
				r.failing = true
				began, startedBefore := w.now, r.failedRuns
				for n := range 600 {
					w.after(time.Duration(n)*50*time.Millisecond, func() { w.submit(jobID(n+1), oneTaskJob(2*time.Second)) })
				}
				w.run(30 * time.Second)
				failed := r.failedRuns - startedBefore
				t.Log(failed, "runs failed in", w.now.Sub(began))
				must.Positive(t, failed)
				must.Less(t, mostFailures(delay), failed)
				w.run(20 * time.Second)
				done := 0
				for n := range 600 {
					if w.doneOnce[firstTask(jobID(n+1))] {
						done++
					}
				}
				must.Greater(t, 590, done)
			})
		}
	}
}

// mostFailures is a bound on the runs that fail on a runner within 30 s: 16 before the first rest, half as many
// after each further rest if runs go on for long before they fail, and one for each probe.
func mostFailures(delay time.Duration) int {
	if delay < time.Second {
		return 16 + 12
	}
	return 16 + 8 + 4 + 2 + 12
}

// TestHopelessJobsDoNotCloseRunnersWithLongTasks has jobs that fail wherever they run close all runners, since long tasks
// that had begun before counted as probes (review case 15).
func TestHopelessJobsDoNotCloseRunnersWithLongTasks(t *testing.T) {
	for _, hopeless := range []int{2, 4, 8} {
		t.Run(fmt.Sprint("hopeless=", hopeless), func(t *testing.T) {
			t.Parallel()
			w := wideWorld(t, 493, 8)
			for n := range hopeless {
				w.alwaysFails[jobID(n)] = true
			}
			w.length = func(id fleet.TaskID) time.Duration {
				if w.failsAlways(id) {
					return 300 * time.Millisecond
				}
				return time.Hour
			}
			for n := range 20 {
				w.submit(jobID(n), hourTasks(4, 1))
				w.run(100 * time.Millisecond)
			}
			w.run(12 * time.Second)
			w.mustStartSoon(20, 24)
			for n := range hopeless {
				w.mustState(jobID(n), fleet.JobFailed)
			}
			w.checkInvariants()
		})
	}
}

package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// longestAway runs the world for a time, and returns the longest time that a task of a
// long-running step was away from the runners.
func (w *world) longestAway(id fleet.JobID, tasks int, d time.Duration) time.Duration {
	var longest time.Duration
	since := make(map[int]time.Time)
	for end := w.now.Add(d); w.now.Before(end); w.run(20 * time.Millisecond) {
		for n := range tasks {
			if w.isRunning(fleet.TaskID{Job: id, Index: n}) {
				delete(since, n)
				continue
			}
			if _, away := since[n]; !away {
				since[n] = w.now
			}
			longest = max(longest, w.now.Sub(since[n]))
		}
	}
	return longest
}

// maxRelocationTime is far below the six seconds after which a task counts as lost.
const maxRelocationTime = 2 * time.Second

// TestWaveStopsNoTaskWithoutRoomElsewhere requests the maintenance of instances that have a
// long-running task each, with one to a runner, beside tasks that run on for long. There is room
// for one of them elsewhere. A second one was stopped for the same room and was away until
// a long task had ended, as runners that are vacated take no task (review/8).
func TestWaveStopsNoTaskWithoutRoomElsewhere(t *testing.T) {
	for _, spare := range []int{0, 1, 2} {
		for seed := range int64(5) {
			t.Run(fmt.Sprint("spare=", spare, " seed=", seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 260+seed, 3, 8)
				w.withInstances(0)
				w.run(2 * time.Second)
				monitors := 8 - spare
				spec := longRunningJob(monitors, 3)
				spec.Steps[0].MaxPerRunner = 1
				w.submit(jobID(0), spec)
				w.run(time.Second)
				long := &fleet.JobSpec{Text: "text", Steps: []fleet.Step{
					{Count: 4, Needs: fleet.Capacity{CPU: 12_000, Memory: 100}, Estimate: 40 * time.Second},
				}}
				w.submit(jobID(1), long)
				w.run(2 * time.Second)
				var busy []fleet.InstanceID
				for n := range 4 {
					r := w.runnerUnder(fleet.TaskID{Job: jobID(1), Index: n})
					must.NotNil(t, r)
					busy = append(busy, r.instance)
				}
				wave := w.askForWave(3, busy...)
				must.Less(t, maxRelocationTime, w.longestAway(jobID(0), monitors, 25*time.Second))
				if spare > 0 {
					w.run(90 * time.Second)
					must.True(t, w.waveDone[wave], must.Sprint("the wave is never done"))
				}
				w.checkInvariants()
			})
		}
	}
}

// TestVacatedRunnerTakesTasksAgain loses a runner with a long-running task for good while
// others are vacated. With no room for the task on the remaining runners, a vacated one has
// to take it.
func TestVacatedRunnerTakesTasksAgain(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		w := newWorld(t, 270+seed, 3, 4)
		w.withInstances(0)
		w.run(2 * time.Second)
		spec := longRunningJob(3, 3)
		spec.Steps[0].MaxPerRunner = 1
		w.submit(jobID(0), spec)
		w.run(time.Second)
		long := &fleet.JobSpec{Text: "text", Steps: []fleet.Step{
			{Count: 4, Needs: fleet.Capacity{CPU: 12_000, Memory: 100}, Estimate: 40 * time.Second},
		}}
		w.submit(jobID(1), long)
		w.run(time.Second)
		monitored := w.runnerUnder(firstTask(jobID(0)))
		w.askForWave(2, monitored.instance)
		w.run(3 * time.Second) // its task has moved to the runner without one
		other := w.runnerUnder(firstTask(jobID(0)))
		must.NotEq(t, monitored.id, other.id)
		other.crash()
		other.comesBack = true
		must.Less(t, 8*time.Second, w.longestAway(jobID(0), 3, 20*time.Second))
		w.checkInvariants()
	}
}

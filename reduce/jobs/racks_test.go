package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// worldWithRacks returns a world of three racks of four runners, and a check of the numbers of
// runners and racks that run tasks of jobs.
func worldWithRacks(t *testing.T, seed int64, entries int) (*world, func(runners, racks int, of ...fleet.JobID)) {
	w := newWorld(t, seed, entries, 12)
	for n, listed := range w.listed() {
		w.runners[listed.ID].rack = fleet.Rack(fmt.Sprint("rack", n/4))
	}
	w.run(2 * time.Second)
	return w, func(runners, racks int, of ...fleet.JobID) {
		t.Helper()
		usedRunners, usedRacks := make(map[fleet.RunnerID]bool), make(map[fleet.Rack]bool)
		for _, r := range w.runners {
			for task := range r.runs {
				if slices.Contains(of, task.Job) {
					usedRunners[r.id], usedRacks[r.rack] = true, true
				}
			}
		}
		must.MapLen(t, runners, usedRunners, must.Sprint("packed as without racks"))
		must.MapLen(t, racks, usedRacks)
	}
}

// TestLossOfARackLeavesTasksAtWork: the long-running tasks of a step were packed on runners in
// the order of their ids, which may all be in one rack. When it lost power, all were away. The
// other racks are full of tasks that come and go, which long-running ones precede.
func TestLossOfARackLeavesTasksAtWork(t *testing.T) {
	w, mustUse := worldWithRacks(t, 240, 2)
	w.submit(jobID(1), longRunningJob(2, 1))
	w.submit(jobID(2), longRunningJob(6, 1))
	w.run(time.Second)
	mustUse(2, 2, jobID(1))
	mustUse(3, 3, jobID(2))
	for n := range 20 {
		w.submit(jobID(10+n), longStepJob(8))
	}
	w.run(500 * time.Millisecond)
	w.loseRack("rack0", 6*time.Second)
	mustUse(2, 2, jobID(2))
	w.run(9 * time.Second)
	for id, tasks := range map[fleet.JobID]int{jobID(1): 2, jobID(2): 6} {
		for n := range tasks {
			must.True(t, w.isRunning(fleet.TaskID{Job: id, Index: n}), must.Sprint(id, n))
		}
	}
	w.checkInvariants()
}

// TestWorkOfAPoolIsInSeveralRacks: the tasks of a queue that needs a few runners of its pool
// were all in one rack.
func TestWorkOfAPoolIsInSeveralRacks(t *testing.T) {
	w, mustUse := worldWithRacks(t, 241, 1)
	for n := range 3 {
		w.submit(jobID(n), longStepJob(16))
		w.run(200 * time.Millisecond)
		mustUse(1, 1, jobID(n))
	}
	mustUse(3, 3, jobID(0), jobID(1), jobID(2))
	w.checkInvariants()
}

package jobs_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// runnersByRack returns the runners that run tasks of a job, and the number of those tasks in
// each rack.
func (w *world) runnersByRack(id fleet.JobID) (int, map[fleet.Rack]int) {
	runners, racks := 0, make(map[fleet.Rack]int)
	for _, r := range w.runners {
		n := 0
		for task := range r.runs {
			if task.Job == id {
				n++
			}
		}
		if n > 0 {
			runners++
			racks[r.rack] += n
		}
	}
	return runners, racks
}

// TestLossOfARackLeavesTasksAtWork: the long-running tasks of a step were packed on runners in
// the order of their ids, which may all be in one rack. When it lost power, all were away. The
// other racks are full of tasks that come and go, which long-running ones precede.
func TestLossOfARackLeavesTasksAtWork(t *testing.T) {
	w := newWorld(t, 240, 2, 12)
	for n, id := range slices.Sorted(maps.Keys(w.runners)) {
		w.runners[id].rack = fleet.Rack(fmt.Sprint("rack", n/4))
	}
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(2, 1))
	w.submit(jobID(2), longRunningJob(6, 1))
	w.run(time.Second)
	runners, racks := w.runnersByRack(jobID(1))
	must.Eq(t, 2, runners)
	must.MapLen(t, 2, racks)
	runners, racks = w.runnersByRack(jobID(2))
	must.Eq(t, 3, runners, must.Sprint("packed as without racks"))
	must.MapLen(t, 3, racks)

	for n := range 20 {
		w.submit(jobID(10+n), longStepJob(8))
	}
	w.run(500 * time.Millisecond)
	w.loseRack("rack0", 6*time.Second)
	_, racks = w.runnersByRack(jobID(2))
	must.MapLen(t, 2, racks, must.Sprint("the other racks are at work"))
	w.run(9 * time.Second)
	for _, id := range []fleet.JobID{jobID(1), jobID(2)} {
		for n := range w.submitted[id].Steps[0].Count {
			must.True(t, w.isRunning(fleet.TaskID{Job: id, Index: n}), must.Sprint(id, n))
		}
	}
	w.checkInvariants()
}

// TestWorkOfAPoolIsInSeveralRacks: the tasks of a queue that needs a few runners of its pool
// were all in one rack.
func TestWorkOfAPoolIsInSeveralRacks(t *testing.T) {
	w := newWorld(t, 241, 1, 12)
	for n, id := range slices.Sorted(maps.Keys(w.runners)) {
		w.runners[id].rack = fleet.Rack(fmt.Sprint("rack", n/4))
	}
	w.run(2 * time.Second)
	racks, runners := make(map[fleet.Rack]bool), 0
	for n := range 3 {
		w.submit(jobID(n), longStepJob(16))
		w.run(200 * time.Millisecond)
	}
	for n := range 3 {
		count, of := w.runnersByRack(jobID(n))
		runners += count
		for rack := range of {
			racks[rack] = true
		}
	}
	must.MapLen(t, 3, racks)
	must.Eq(t, 3, runners, must.Sprint("packed as without racks"))
	w.checkInvariants()
}

package jobs_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

var eventStop = event.JobsStopRequested{}

// regressions lists seeds that reproduce faults found earlier:
//   - 35, 95: a failed run on a runner that was given up was counted too late.
//   - 168, 217, 248, 278, 396: an acknowledgement reached a new incarnation of the
//     runner.
//   - 210, 283: a start reached a new incarnation with the same id.
//   - 616: leases were granted to a new incarnation before its restart was known.
//   - 6865: a poll sent before a run was given up was taken as evidence of its end.
//   - 900: runners with long-running tasks were never probed again.
//   - 6220: an acknowledgement reached a runner that was back under its id in a second.
//   - 5022: an acknowledgement reached a new incarnation after an outage of the store.
var regressions = []int64{35, 95, 168, 210, 217, 248, 278, 283, 396, 616, 900, 5022, 6220, 6865}

var (
	seeds     = flag.Int("jobs.seeds", 25, "number of random histories")
	traced    = flag.Bool("jobs.trace", false, "print all decisions")
	firstSeed = flag.Int64("jobs.seed", 1, "seed of the first random history")
)

// TestJobsHoldUnderDrawnFaults runs random jobs under random faults, which may
// overlap. It checks that no task runs twice at a time or before its predecessors
// are done, that refused jobs never run, and that every accepted job reaches the
// right state.
func TestJobsHoldUnderDrawnFaults(t *testing.T) {
	for _, seed := range drawnSeeds(regressions) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runRandomHistory(t, seed)
		})
	}
}

// drawnSeeds returns the seeds of the random histories, with those that reproduce faults
// found earlier.
func drawnSeeds(regressions []int64) []int64 {
	drawn := slices.Clone(regressions)
	for n := range *seeds {
		drawn = append(drawn, *firstSeed+int64(n))
	}
	slices.Sort(drawn)
	return slices.Compact(drawn)
}

func runRandomHistory(t *testing.T, seed int64, with ...func(*world)) {
	w := newWorld(t, seed, 4, 5, with...)
	w.run(2 * time.Second)
	for n := range 40 {
		w.submitRandomJob(jobID(n))
		if w.rng.Intn(3) == 0 {
			w.injectRandomFault()
		}
		w.run(time.Duration(w.rng.Intn(600)) * time.Millisecond)
	}
	w.endFaults()
	w.run(40 * time.Second)
	w.checkStates()
	w.checkInvariants()
}

func (w *world) submitRandomJob(id fleet.JobID) {
	spec := twoStepJob()
	switch w.rng.Intn(6) {
	case 0:
		spec = longRunningJob(1+w.rng.Intn(5), 1)
	case 1:
		w.alwaysFails[id] = true
	case 2:
		spec.Steps[0].MaxPerRunner = 2
	}
	w.submit(id, spec)
	if w.rng.Intn(8) == 0 {
		w.after(time.Duration(w.rng.Intn(2000))*time.Millisecond, func() { w.cancel(id) })
	}
}

// injectRandomFault begins one fault, which ends after a random time.
func (w *world) injectRandomFault() {
	ids := make([]fleet.RunnerID, 0, len(w.runners))
	for id := range w.runners {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	e, r := w.entries[w.rng.Intn(len(w.entries))], w.runners[ids[w.rng.Intn(len(ids))]]
	if o := w.owner(); o != nil && w.rng.Intn(2) == 0 {
		e = o
	}
	length := time.Duration(500+w.rng.Intn(6000)) * time.Millisecond
	kind := w.rng.Intn(10)
	w.trace("fault %d on %s or %s for %v", kind, e.id, r.id, length)
	switch kind {
	case 0:
		e.kill()
		w.after(length, func() { e.restart() })
	case 1:
		if e.up && !e.frozen {
			e.freeze(length)
		}
	case 2:
		e.storeCut = true
		w.after(length, func() { e.storeCut = false })
	case 3:
		w.store.down = true
		w.after(length, func() { w.store.down = false })
	case 4:
		w.store.lossShare = 0.3
		w.after(length, func() { w.store.lossShare = 0 })
	case 5:
		r.unreachable = true
		w.after(length, func() { r.unreachable = false })
	case 6:
		if r.up {
			r.crash()
			crash := r.crashCount
			w.after(length, func() {
				if r.crashCount == crash {
					r.restart()
				}
			})
		}
	case 7:
		w.lossShare = 0.2
		w.after(length, func() { w.lossShare = 0 })
	case 8:
		e.cutRunners[r.id] = true
		w.after(length, func() { delete(e.cutRunners, r.id) })
	case 9:
		if e.up {
			e.post(eventStop)
			w.after(2*time.Second, func() { e.kill(); e.restart() })
		}
	}
}

func (e *fakeEntry) restart() {
	if !e.up {
		e.boot()
	}
}

func (r *fakeRunner) restart() {
	if !r.up && !r.ended {
		r.boot()
	}
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.store.down, w.store.lossShare, w.lossShare = false, 0, 0
	for _, e := range w.entries {
		e.storeCut = false
		clear(e.cutRunners)
		e.restart()
	}
	for _, r := range w.runners {
		r.unreachable = false
		if !r.comesBack {
			r.restart()
		}
	}
}

// checkStates reads the state of each job. It checks that no job is lost, and that
// each state agrees with the outcomes of the tasks.
func (w *world) checkStates() { w.checkStatesOf(40) }

// checkStatesOf does so for the first jobs.
func (w *world) checkStatesOf(jobs int) {
	for n := range jobs {
		id := jobID(n)
		spec, accepted := w.accepted[id]
		started := false
		for task := range w.tasks {
			started = started || task.Job == id
		}
		if started && !accepted && !w.maybeStored[id] {
			w.violation("%s was refused each time and ran", id)
		}
		if accepted {
			w.checkState(id, spec)
		}
	}
}

func (w *world) checkState(id fleet.JobID, spec *fleet.JobSpec) {
	got := w.state(id)
	if got.Kind != effect.AnswerState {
		w.violation("%s was accepted and is unknown: %v", id, got)
		return
	}
	_, cancelled := w.cancelledAt[id]
	if w.crashes[firstTask(id)] && !w.cancelling[id] {
		if got.State != fleet.JobFailed {
			w.violation("%s has the final state %s, and its task crashes runners", id, got.State)
		}
		return
	}
	allDone := true
	for s, step := range spec.Steps {
		for i := range step.Count {
			allDone = allDone && w.doneOnce[fleet.TaskID{Job: id, Step: s, Index: i}]
		}
	}
	switch {
	case got.State == fleet.JobDone && !allDone:
		w.violation("%s has state done before all its tasks are", id)
	case got.State == fleet.JobFailed && w.mayBeGivenUp(id):
	case got.State == fleet.JobFailed && !w.alwaysFails[id]:
		w.violation("%s has state failed, but its tasks do not fail", id)
	case cancelled || got.State == fleet.JobCancelled:
		if !cancelled && w.submitted[id] == nil {
			w.violation("%s has state cancelled and was never submitted", id)
		}
	case spec.Steps[0].LongRunning && got.State != fleet.JobRunning,
		!spec.Steps[0].LongRunning && w.alwaysFails[id] && got.State != fleet.JobFailed,
		!spec.Steps[0].LongRunning && !w.alwaysFails[id] && got.State != fleet.JobDone:
		w.violation("%s has the final state %s", id, got.State)
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	counts := make([]int, 2)
	for i := range counts {
		w := newWorld(t, 99, 3, 3)
		w.run(2 * time.Second)
		for n := range 10 {
			w.submit(jobID(n), twoStepJob())
			w.injectRandomFault()
			w.run(300 * time.Millisecond)
		}
		w.run(5 * time.Second)
		counts[i] = w.starts*1000 + w.store.appends
	}
	must.Eq(t, counts[0], counts[1])
}

// TestNothingIsAcknowledgedToANewIncarnation restarts runners while the store is down
// for longer than the owner may poll them, so that no poll fails. The next poll is sent
// before the list shows the restart. It must not acknowledge ends of the earlier
// incarnation, which the runner would take for its own (seed 5022).
func TestNothingIsAcknowledgedToANewIncarnation(t *testing.T) {
	for seed := range int64(30) {
		w := newWorld(t, 700+seed, 1, 3)
		w.run(2 * time.Second)
		for n := range 14 {
			w.submit(jobID(n), twoStepJob())
		}
		w.run(100 * time.Millisecond)
		w.store.down = true
		w.run(4900 * time.Millisecond)
		for _, r := range w.listed() {
			w.runners[r.ID].crash()
			w.runners[r.ID].boot()
		}
		polled := make(map[fleet.RunnerID]bool)
		w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
			if p, ok := out.(effect.PollRunner); ok && !polled[p.Runner] {
				polled[p.Runner] = true
				must.Eq(t, 0, p.Acknowledged)
			}
			return true
		}
		w.run(time.Duration(w.rng.Intn(1000)) * time.Millisecond)
		w.withholdRunners = true
		w.store.down = false
		w.run(3 * time.Second)
		must.MapLen(t, 3, polled)
	}
}

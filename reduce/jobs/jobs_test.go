package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

// twoStepJob returns a job with a step of four tasks, and one of three tasks that
// follows it.
func twoStepJob() *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{
		{Count: 4, Needs: taskNeeds, Estimate: 300 * time.Millisecond},
		{Count: 3, Needs: taskNeeds, Estimate: 200 * time.Millisecond, After: []int{0}},
	}}
}

func longRunningJob(count, maxUnavailable int) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: count, Needs: taskNeeds, LongRunning: true, MaxUnavailable: maxUnavailable}}}
}

func jobID(n int) fleet.JobID { return fleet.JobID(fmt.Sprintf("%016x", n)) }

// owner returns the entry that holds the tenure according to the log.
func (w *world) owner() *fakeEntry {
	for _, e := range w.entries {
		if e.id == w.store.newest().Owner {
			return e
		}
	}
	return nil
}

func (w *world) mustState(id fleet.JobID, want fleet.JobState) {
	w.t.Helper()
	got := w.state(id)
	must.Eq(w.t, effect.AnswerState, got.Kind, must.Sprintf("job %s", id))
	must.Eq(w.t, want, got.State, must.Sprintf("job %s", id))
}

func TestJobRunsToItsEnd(t *testing.T) {
	w := newWorld(t, 1, 3, 3)
	w.run(2 * time.Second)
	w.submit(jobID(1), twoStepJob())
	w.run(3 * time.Second)
	must.MapContainsKey(t, w.accepted, jobID(1))
	w.mustState(jobID(1), fleet.JobDone)
	must.Eq(t, 7, w.starts)
	w.checkInvariants()
}

func TestSameJobTwiceIsOneJob(t *testing.T) {
	w := newWorld(t, 2, 3, 3)
	w.run(2 * time.Second)
	for range 3 {
		w.submit(jobID(1), twoStepJob())
	}
	w.run(3 * time.Second)
	w.submit(jobID(1), twoStepJob())
	w.run(3 * time.Second)
	must.Eq(t, 7, w.starts)
	w.checkInvariants()
}

func TestUnknownJobAndQueue(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	w.run(2 * time.Second)
	must.Eq(t, effect.AnswerNoJob, w.state(jobID(9)).Kind)
	var got effect.CallAnswer
	w.call(w.entries[0], effect.CallState, "not-hexadecimal!", nil, func(a effect.CallAnswer) { got = a })
	must.Eq(t, effect.AnswerInvalid, got.Kind)
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	w := newWorld(t, 4, 3, 3)
	w.run(2 * time.Second)
	w.alwaysFails[jobID(1)] = true
	w.submit(jobID(1), twoStepJob())
	w.run(8 * time.Second)
	w.mustState(jobID(1), fleet.JobFailed)
	w.checkInvariants()
}

func TestCancelStopsLongRunningTasks(t *testing.T) {
	w := newWorld(t, 5, 3, 3)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(4, 1))
	w.run(3 * time.Second)
	must.Eq(t, 4, w.runningTasks())
	w.cancel(jobID(1))
	w.run(time.Second)
	must.MapContainsKey(t, w.cancelledAt, jobID(1))
	must.Eq(t, 0, w.runningTasks())
	w.mustState(jobID(1), fleet.JobCancelled)
	w.checkInvariants()
}

func (w *world) runningTasks() int {
	n := 0
	for _, r := range w.runners {
		n += len(r.runs)
	}
	return n
}

func TestNextOwnerContinuesAfterAKill(t *testing.T) {
	w := newWorld(t, 6, 3, 3)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(5, 1))
	w.submit(jobID(2), twoStepJob())
	w.run(400 * time.Millisecond)
	first := w.owner()
	first.kill()
	w.run(4 * time.Second)
	must.NotEq(t, first.id, w.owner().id)
	w.mustState(jobID(2), fleet.JobDone)
	must.Eq(t, 5, w.runningTasks())
	must.Eq(t, 12, w.starts, must.Sprint("no task is started a second time"))
	w.checkInvariants()
}

// TestTakeoverWaitsForLeasesOnAnUnreachableRunner checks that a task on a runner
// that the new owner cannot reach is not started elsewhere before its lease has
// expired.
func TestTakeoverWaitsForLeasesOnAnUnreachableRunner(t *testing.T) {
	w := newWorld(t, 7, 3, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(6, 1))
	w.run(2 * time.Second)
	for _, e := range w.entries {
		e.cutRunners["r0"] = true
	}
	w.owner().kill()
	w.run(20 * time.Second)
	must.Eq(t, 6, len(w.runners["r1"].runs))
	w.checkInvariants()
}

// TestLeaseOfUnreachableRunnerExpires guards against leases that never expire because
// each poll that fails extends the lease (day scale-2 with --seed 367897646529 on
// ccps-lahore).
func TestLeaseOfUnreachableRunnerExpires(t *testing.T) {
	w := newWorld(t, 8, 3, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(6, 1))
	w.run(2 * time.Second)
	w.runners["r0"].crash()
	w.run(9 * time.Second)
	must.Eq(t, 6, len(w.runners["r1"].runs))
	w.checkInvariants()
}

// TestEndIsCountedOnceOverATakeover guards against counting a failure twice when
// the owner changes after the failure is stored and before it is acknowledged
// (hunt-4f4c-11 on lawa-banyan).
func TestEndIsCountedOnceOverATakeover(t *testing.T) {
	w := newWorld(t, 9, 3, 3)
	w.run(2 * time.Second)
	w.runners["r0"].failing, w.runners["r1"].failing, w.runners["r2"].failing = true, true, true
	w.submit(jobID(1), &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 1, Needs: taskNeeds, Estimate: time.Second}}})
	// Kill the owner as soon as the ledger holds the failure.
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if poll, ok := out.(effect.PollRunner); ok && poll.Acknowledged > 0 {
			e.kill()
			w.onEffect = nil
			for _, r := range w.runners {
				r.failing = false
			}
			return false
		}
		return true
	}
	w.run(12 * time.Second)
	must.Nil(t, w.onEffect, must.Sprint("the owner was killed"))
	w.mustState(jobID(1), fleet.JobDone)
	w.checkInvariants()
}

// TestEndsAreCountedOnceAfterALeaseExpired checks that ends of runs are counted
// once when a runner is given up and becomes reachable again.
func TestEndsAreCountedOnceAfterALeaseExpired(t *testing.T) {
	w := newWorld(t, 10, 3, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(4, 1))
	w.run(2 * time.Second)
	w.runners["r0"].unreachable = true
	w.run(10 * time.Second)
	w.runners["r0"].unreachable = false
	w.run(4 * time.Second)
	must.Eq(t, 4, w.runningTasks())
	w.checkInvariants()
}

func TestReleaseHandsOverAtOnce(t *testing.T) {
	w := newWorld(t, 11, 3, 3)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(5, 1))
	w.run(2 * time.Second)
	first := w.owner()
	handed := false
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if _, ok := out.(effect.JobsHandedOver); ok && e == first {
			handed = true
		}
		return true
	}
	first.post(eventStop)
	w.run(700 * time.Millisecond)
	must.True(t, handed)
	must.NotEq(t, first.id, w.owner().id)
	w.checkInvariants()
}

func TestStoreOutageRefusesOnlyJobsThatAreNotStored(t *testing.T) {
	w := newWorld(t, 12, 3, 3)
	w.run(2 * time.Second)
	w.store.down = true
	w.submit(jobID(1), twoStepJob())
	w.run(1600 * time.Millisecond)
	must.MapContainsKey(t, w.maybeStored, jobID(1), must.Sprint("the append may still be carried out"))
	w.submit(jobID(2), twoStepJob())
	w.run(1600 * time.Millisecond)
	must.MapNotContainsKey(t, w.maybeStored, jobID(2), must.Sprint("a job is refused truthfully while the store is known to be down"))
	w.store.down = false
	w.run(15 * time.Second)
	w.mustState(jobID(1), fleet.JobDone)
	w.mustState(jobID(2), fleet.JobDone)
	w.checkInvariants()
}

func TestStalledRunsAreRestarted(t *testing.T) {
	w := newWorld(t, 13, 3, 3)
	w.run(2 * time.Second)
	for _, r := range w.runners {
		r.stalled = true
	}
	w.submit(jobID(1), &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: 3, Needs: taskNeeds, Estimate: time.Second}}})
	w.run(500 * time.Millisecond)
	for _, r := range w.runners {
		if len(r.runs) == 0 {
			r.stalled = false
		}
	}
	w.run(8 * time.Second)
	w.mustState(jobID(1), fleet.JobDone)
	w.checkInvariants()
}

func TestDrainingRunnerGetsNoNewTasks(t *testing.T) {
	w := newWorld(t, 14, 3, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(6, 1))
	w.run(2 * time.Second)
	w.runners["r0"].draining = true
	w.run(2 * time.Second)
	must.Eq(t, 0, len(w.runners["r0"].runs), must.Sprint("long-running tasks are moved"))
	must.Eq(t, 6, len(w.runners["r1"].runs))
	w.submit(jobID(2), twoStepJob())
	w.run(3 * time.Second)
	must.Eq(t, 0, w.runners["r0"].highestAttempt[fleet.TaskID{Job: jobID(2)}])
	w.mustState(jobID(2), fleet.JobDone)
	w.checkInvariants()
}

// TestResumedFormerOwnerStartsNothing resumes a suspended owner long after another
// entry has taken over.
func TestResumedFormerOwnerStartsNothing(t *testing.T) {
	w := newWorld(t, 15, 3, 3)
	w.run(2 * time.Second)
	for n := range 20 {
		w.submit(jobID(n), twoStepJob())
	}
	w.run(40 * time.Millisecond)
	w.owner().freeze(6 * time.Second)
	w.run(15 * time.Second)
	for n := range 20 {
		w.mustState(jobID(n), fleet.JobDone)
	}
	w.checkInvariants()
}

// TestEntryThatCannotFindTheOwnerIsNotReady guards against an entry that stays
// ready while the store rejects its reads: it refused clients for seconds although
// the other entries had an owner (incident inc-397a).
func TestEntryThatCannotFindTheOwnerIsNotReady(t *testing.T) {
	w := newWorld(t, 16, 3, 2)
	ready := make(map[fleet.EntryID]bool)
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if r, ok := out.(effect.SetReady); ok {
			ready[e.id] = r.Ready
		}
		return true
	}
	w.run(2 * time.Second)
	first := w.owner()
	must.Eq(t, map[fleet.EntryID]bool{"e0": true, "e1": true, "e2": true}, ready)
	// A store that is down for all leaves the owner in place.
	w.store.down = true
	w.submit(jobID(1), twoStepJob())
	w.run(2 * time.Second)
	must.Eq(t, map[fleet.EntryID]bool{"e0": true, "e1": true, "e2": true}, ready)
	w.store.down = false
	w.run(time.Second)
	// Only the owner is cut off from the store, and another entry takes over.
	first.storeCut = true
	w.run(5 * time.Second)
	must.NotEq(t, first.id, w.owner().id)
	must.False(t, ready[first.id])
	first.storeCut = false
	w.run(2 * time.Second)
	must.True(t, ready[first.id])
	w.checkInvariants()
}

// TestLostStoreAnswersDelayJobsLittle guards against a long fixed time-out of
// appends, with which each lost answer of the store delayed all jobs by 0.8 s (see
// deploy/days/store.toml).
func TestLostStoreAnswersDelayJobsLittle(t *testing.T) {
	w := newWorld(t, 17, 3, 3)
	w.run(2 * time.Second)
	w.store.lossShare = 0.5
	var limits []time.Duration
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if a, ok := out.(effect.AppendLedger); ok {
			limits = append(limits, a.Timeout)
		}
		return true
	}
	for n := range 10 {
		w.submit(jobID(n), twoStepJob())
		w.run(100 * time.Millisecond)
	}
	w.run(4 * time.Second)
	for n := range 10 {
		w.mustState(jobID(n), fleet.JobDone)
	}
	must.SliceContains(t, limits, 150*time.Millisecond)
	must.LessEq(t, 800*time.Millisecond, slices.Max(limits))
	w.checkInvariants()
}

// TestFormerOwnerDoesNotDenyJobs asks a former owner that is cut off from the store
// for a job that the next owner may have accepted.
func TestFormerOwnerDoesNotDenyJobs(t *testing.T) {
	w := newWorld(t, 18, 3, 2)
	w.run(2 * time.Second)
	first := w.owner()
	first.storeCut = true
	w.run(6 * time.Second)
	must.NotEq(t, first.id, w.owner().id)
	var got effect.CallAnswer
	w.call(first, effect.CallState, jobID(1), nil, func(a effect.CallAnswer) { got = a })
	w.run(time.Second)
	must.Eq(t, effect.AnswerRefused, got.Kind)
}

// failOneRun ends the first run of the first runner that has any as failed.
func (w *world) failOneRun() {
	for _, r := range w.listed() {
		f := w.runners[r.ID]
		if ids := f.taskIDs(); len(ids) > 0 {
			f.end(ids[0], fleet.RunFailed)
			return
		}
	}
}

// TestEntryWithoutConfigurationOwnsNothing guards against an entry that cannot read
// the configuration after its restart and claims its earlier tenure again: it
// assumed that a task may not fail even once, and failed the job (hunt-adba-7 on
// ccps-lahore-grown).
func TestEntryWithoutConfigurationOwnsNothing(t *testing.T) {
	w := newWorld(t, 12, 2, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), twoStepJob())
	w.run(60 * time.Millisecond)
	w.withholdQueues = true
	w.rebootAll()
	w.failOneRun()
	w.run(2 * time.Second)
	w.withholdQueues = false
	w.configureAll()
	w.run(20 * time.Second)
	w.mustState(jobID(1), fleet.JobDone)
	w.checkInvariants()
}

// TestJobOutlivesItsQueue removes the queue from the configuration and replaces the
// owner. The job continues with the settings of its acceptance.
func TestJobOutlivesItsQueue(t *testing.T) {
	w := newWorld(t, 13, 2, 2)
	w.run(2 * time.Second)
	w.submit(jobID(1), twoStepJob())
	w.run(60 * time.Millisecond)
	w.queues = fleet.NewQueues(2, nil, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}})
	w.rebootAll()
	w.failOneRun()
	w.run(20 * time.Second)
	w.queues = fleet.NewQueues(3, []*fleet.Queue{{Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 2}},
		[]*fleet.JobService{{Name: "desk", EnforcesCapacity: true}})
	w.configureAll()
	w.mustState(jobID(1), fleet.JobDone)
	w.checkInvariants()
}

// TestCutOffOwnerDeniesNoJob guards against an owner that is cut off from the store
// and answers that a job does not exist which the next owner has accepted (soak
// seed 335).
func TestCutOffOwnerDeniesNoJob(t *testing.T) {
	w := newWorld(t, 14, 2, 2)
	w.run(2 * time.Second)
	former := w.owner()
	former.storeCut = true
	for w.owner() == former {
		w.run(20 * time.Millisecond)
	}
	w.run(50 * time.Millisecond)
	accepted := false
	w.submitted[jobID(1)] = twoStepJob()
	w.call(w.owner(), effect.CallSubmit, jobID(1), twoStepJob(), func(a effect.CallAnswer) { accepted = a.Kind == effect.AnswerAccepted })
	w.run(20 * time.Millisecond)
	must.True(t, accepted)
	var got effect.CallAnswer
	w.call(former, effect.CallState, jobID(1), nil, func(a effect.CallAnswer) { got = a })
	w.run(2 * time.Second)
	must.Eq(t, effect.AnswerRefused, got.Kind)
}

package jobs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/shoenig/test/must"
)

// shrunkRoomGrace is the time after which the platform counts room that has shrunk.
const shrunkRoomGrace = 4500 * time.Millisecond

// unguarded makes the runners start whatever they are ordered to.
func unguarded(w *world) {
	w.queues = fleet.NewQueues(1, []*fleet.Queue{{
		Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: time.Second,
	}}, []*fleet.JobService{{Name: "desk"}})
}

func (r *fakeRunner) shrink(cpu int64) {
	r.capacity.CPU, r.roomSince = cpu, r.w.now
}

func longStepJob(count int) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: count, Needs: taskNeeds, Estimate: 6 * time.Second}}}
}

// TestPlannedStartsRespectRoomThatShrank: tasks planned on a runner were started there
// after its room had shrunk while their intents waited for the store.
func TestPlannedStartsRespectRoomThatShrank(t *testing.T) {
	w := newWorld(t, 120, 3, 2, unguarded)
	w.run(2 * time.Second)
	planned := false
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if a, ok := out.(effect.AppendLedger); ok && !planned && plansRuns(a.Records) {
			planned, w.store.down = true, true
			for _, r := range w.runners {
				r.shrink(2000)
			}
		}
		return true
	}
	w.submit(jobID(1), longStepJob(8))
	w.run(5 * time.Second)
	must.True(t, planned)
	w.store.down = false
	w.run(40 * time.Second)
	w.checkInvariants()
	w.mustState(jobID(1), fleet.JobDone)
}

// plansRuns reports whether records hold intents to start tasks.
func plansRuns(records []ledger.Record) bool {
	return slices.ContainsFunc(records, func(r ledger.Record) bool {
		return r.Progress != nil && len(r.Progress.Occurrences) > 0 && len(r.Progress.Occurrences[0].Tasks) > 0
	})
}

// TestRoomThatShrinksAndGrows is followed in both directions.
func TestRoomThatShrinksAndGrows(t *testing.T) {
	w := newWorld(t, 121, 3, 2, unguarded)
	w.run(2 * time.Second)
	for n := range 8 {
		w.submit(jobID(n), longStepJob(10))
		for _, r := range w.runners {
			if cpu := int64(1000 * (1 + w.rng.Intn(20))); cpu < r.capacity.CPU {
				r.shrink(cpu)
			} else {
				r.capacity.CPU = cpu
			}
		}
		w.run(5 * time.Second)
	}
	for _, r := range w.runners {
		r.capacity = runnerCapacity
	}
	w.run(60 * time.Second)
	w.checkInvariants()
	for n := range 8 {
		must.MapContainsKey(t, w.accepted, jobID(n))
	}
	w.mustState(jobID(7), fleet.JobDone)
}

// TestRunsOfNoJobTakeRoom: a start that was carried out late, after its run was given up,
// takes room until the stop that follows has ended it.
func TestRunsOfNoJobTakeRoom(t *testing.T) {
	for seed := range int64(40) {
		w := newWorld(t, 130+seed, 3, 2, unguarded)
		w.run(2 * time.Second)
		for _, r := range w.runners {
			r.capacity.CPU = 4000
		}
		w.run(500 * time.Millisecond)
		w.lossShare = 0.5
		for n := range 12 {
			w.submit(jobID(n), twoStepJob())
			w.run(200 * time.Millisecond)
			if n == 6 {
				o := w.owner()
				o.kill()
				w.after(time.Second, o.restart)
			}
		}
		w.run(12 * time.Second)
		w.lossShare = 0
		w.run(20 * time.Second)
		w.checkInvariants()
	}
}

// TestStoppingRunsOfAnEndedJobTakeRoomAfterATakeover cancels a job that fills the runners and
// stops the owner as planned. The next one did not count the runs that were still being
// stopped, since their job had ended, and started others beside them (review-stray-room).
func TestStoppingRunsOfAnEndedJobTakeRoomAfterATakeover(t *testing.T) {
	t.Parallel()
	for seed := range int64(20) {
		w := newWorld(t, 133+seed, 3, 2, unguarded)
		for _, r := range w.runners {
			r.capacity.CPU = 4000
		}
		w.run(2 * time.Second)
		w.submit(jobID(0), longRunningJob(8, 8))
		w.run(2 * time.Second)
		must.Eq(t, 8, w.runningTasks())
		for n := range 4 {
			w.submit(jobID(1+n), twoStepJob())
		}
		w.run(50 * time.Millisecond)
		epoch := w.store.newest().Epoch
		w.cancel(jobID(0))
		w.owner().post(eventStop)
		w.runUntilOwnedAfter(epoch)
		w.run(20 * time.Second)
		w.checkInvariants()
		for n := range 4 {
			w.mustState(jobID(1+n), fleet.JobDone)
		}
	}
}

// TestRunnerOfAnUnknownServiceIsNotCalled until a configuration names its service: the
// entry may be another writer's, with nobody at its address.
func TestRunnerOfAnUnknownServiceIsNotCalled(t *testing.T) {
	w := newWorld(t, 122, 2, 2)
	w.addRunner("odd").service = "nowhere"
	polls := 0
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if p, ok := out.(effect.PollRunner); ok && p.Runner == "odd" {
			polls++
		}
		return true
	}
	w.run(5 * time.Second)
	must.Eq(t, 0, polls)
	w.queues = fleet.NewQueues(2, []*fleet.Queue{w.queues.ByName[queueName]},
		[]*fleet.JobService{{Name: "desk", EnforcesCapacity: true}, {Name: "nowhere", EnforcesCapacity: true}})
	w.configureAll()
	w.run(time.Second)
	must.Positive(t, polls)
}

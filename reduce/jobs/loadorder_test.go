package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/shoenig/test/must"
)

// loadOrders are the orders in which a new owner reads the list of runners and the ledger.
var loadOrders = []struct {
	name               string
	listDelay, loading time.Duration
}{
	{"list first", 0, 40 * time.Millisecond},
	{"several lists first", 0, 900 * time.Millisecond},
	{"together", 6 * time.Millisecond, 0},
	{"ledger first", 60 * time.Millisecond, 0},
	{"list much later", 1200 * time.Millisecond, 0},
}

// delayReads has new owners read the list of runners and the ledger after some time.
func (w *world) delayReads(list, load time.Duration) {
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		incarnation, delay := e.incarnation, time.Duration(0)
		switch o := out.(type) {
		case effect.FollowRunners:
			if o.Epoch != 0 {
				delay = list
			}
		case effect.LoadLedger:
			delay = load
		}
		if delay == 0 {
			return true
		}
		w.after(delay, func() {
			if e.incarnation == incarnation {
				e.perform(out)
			}
		})
		return false
	}
}

// restartInTheDark restarts a runner that nobody knows to be down. A start that it gets
// meanwhile reaches its next incarnation and gives it a lease by the former clock. It returns
// a task that runs there afterwards.
func (w *world) restartInTheDark() (fleet.TaskID, *fakeRunner) {
	w.submit(jobID(1), longRunningJob(1, 1))
	w.run(time.Second)
	r := w.runnerUnder(firstTask(jobID(1)))
	r.crash()
	r.dark = true
	w.submit(jobID(2), longRunningJob(1, 1))
	w.run(600 * time.Millisecond)
	must.SliceNotEmpty(w.t, r.held)
	r.boot()
	w.run(1200 * time.Millisecond)
	must.Greater(w.t, r.clock()+5000, r.leaseDeadline, must.Sprint("no lease by the former clock"))
	w.submit(jobID(0), longRunningJob(1, 1))
	task := firstTask(jobID(0))
	w.runUntilRuns(task)
	return task, w.runnerUnder(task)
}

// TestNextOwnerKnowsOfStaleLeasesInAnyOrderOfReads restarts a runner under its id, so that
// it takes a lease by its former clock, and replaces the owner and cuts the runner off soon
// after. An owner that had read the list of runners before the ledger missed what the ledger
// tells of them, and the task ran twice (the users' runs, recut-kill).
func TestNextOwnerKnowsOfStaleLeasesInAnyOrderOfReads(t *testing.T) {
	for _, order := range loadOrders {
		for _, back := range []time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
			for _, owners := range []int{1, 2} {
				for seed := range int64(4) {
					t.Run(fmt.Sprint(order.name, " back=", back, " owners=", owners, " seed=", seed), func(t *testing.T) {
						t.Parallel()
						w := newWorld(t, 230+seed, 3, 2, slowClock)
						w.run(30 * time.Second)
						task, runner := w.restartInTheDark()
						w.delayReads(order.listDelay, order.loading)
						w.run(time.Duration(w.rng.Intn(500)) * time.Millisecond)
						for n := range owners {
							epoch, owner := w.store.newest().Epoch, w.owner()
							owner.kill()
							w.after(back, owner.restart)
							if n == 0 {
								w.after(time.Duration(w.rng.Intn(600))*time.Millisecond, func() { runner.cutFor(9 * time.Second) })
							}
							w.runUntilOwnedAfter(epoch)
							w.run(time.Duration(w.rng.Intn(1200)) * time.Millisecond)
						}
						w.run(40 * time.Second)
						w.checkInvariants()
						must.NotNil(t, w.runnerUnder(task))
					})
				}
			}
		}
	}
}

// TestCallsOfADeadOwnerForAFormerIncarnation kills an owner before it has noticed that a
// runner has restarted. A call of the dead owner for the former incarnation reaches the next
// one before the next owner does, and gives it the longest lease. No run on the runner tells
// the next owner that it has restarted.
func TestCallsOfADeadOwnerForAFormerIncarnation(t *testing.T) {
	for _, down := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond} {
		for _, used := range []bool{false, true} {
			for seed := range int64(4) {
				t.Run(fmt.Sprint("down=", down, " used=", used, " seed=", seed), func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, 240+seed, 3, 2, slowClock)
					w.runners["r1"].draining = true
					w.run(30 * time.Second)
					r, owner := w.runners["r0"], w.owner()
					clock, epoch := r.clock(), w.store.newest().Epoch
					owner.kill()
					w.after(50*time.Millisecond, owner.restart)
					r.restartFor(down)
					w.run(down + time.Millisecond)
					must.Less(t, jobs.FirstToken(epoch+1), r.fence, must.Sprint("the next owner was first"))
					r.fence = jobs.FirstToken(epoch)
					r.extendLease(clock + 5000)
					w.runUntilOwnedAfter(epoch)
					w.submit(jobID(0), longRunningJob(1, 1))
					task := firstTask(jobID(0))
					w.runUntilRuns(task)
					must.EqOp(t, r, w.runnerUnder(task))
					w.runners["r1"].draining = false
					if next := w.owner(); used {
						next.kill()
						w.after(50*time.Millisecond, next.restart)
						w.runUntilOwnedAfter(epoch + 1)
					}
					r.cutFor(9 * time.Second)
					w.run(40 * time.Second)
					w.checkInvariants()
					must.Eq(t, 1, w.runningTasks())
				})
			}
		}
	}
}

// TestOwnLateCallAfterTheLeasesHaveExpired keeps a runner silent until its leases have expired
// and its runs are given up. It is back under its id then, and a call of this owner for the
// former incarnation gives it the longest lease.
func TestOwnLateCallAfterTheLeasesHaveExpired(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		w := newWorld(t, 250+seed, 2, 2, slowClock)
		w.run(30 * time.Second)
		w.submit(jobID(0), longRunningJob(1, 1))
		w.run(2 * time.Second)
		r := w.runnerUnder(firstTask(jobID(0)))
		clock := r.clock()
		r.crash()
		r.dark = true
		w.run(8 * time.Second)
		r.held = nil
		r.boot()
		w.run(time.Second)
		r.extendLease(clock + 5000)
		for id, other := range w.runners {
			other.draining = id != r.id
		}
		w.run(300 * time.Millisecond)
		w.submit(jobID(1), longRunningJob(1, 1))
		w.runUntilRuns(firstTask(jobID(1)))
		must.EqOp(t, r, w.runnerUnder(firstTask(jobID(1))))
		for _, other := range w.runners {
			other.draining = false
		}
		r.cutFor(9 * time.Second)
		w.run(30 * time.Second)
		w.checkInvariants()
	}
}

// TestReadsOfTheListBeforeTheLedgerAreOne has changes of the list come one by one before the
// ledger. The newest of each runner has to be in force afterwards.
func TestReadsOfTheListBeforeTheLedgerAreOne(t *testing.T) {
	w := newWorld(t, 250, 1, 3)
	w.delayReads(0, 2*time.Second)
	w.withholdRunners = true
	listed := w.listed()
	w.run(500 * time.Millisecond)
	e := w.entries[0]
	epoch := w.store.newest().Epoch
	must.Positive(t, epoch)
	draining := listed[1]
	draining.Draining = true
	for _, b := range []event.RunnersRead{
		{Epoch: epoch, Full: true, Runners: listed[:2]},
		{Epoch: epoch, Runners: listed[2:]},
		{Epoch: epoch, Removed: ids(listed[:1])},
		{Epoch: epoch, Runners: listed[1:2]},
		{Epoch: epoch, Runners: append(listed[1:1:1], draining)},
	} {
		e.post(b)
	}
	w.submit(jobID(0), longRunningJob(3, 3))
	w.run(4 * time.Second)
	must.Eq(t, 3, len(w.runners["r2"].runs))
	w.checkInvariants()
}

func ids(runners []fleet.Runner) []fleet.RunnerID {
	var out []fleet.RunnerID
	for i := range runners {
		out = append(out, runners[i].ID)
	}
	return out
}

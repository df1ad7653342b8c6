package jobs_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/shoenig/test/must"
)

// TestOwnersDieAtAnyMoment ends the owner, once or twice in a row, at each of many moments of a history in which a start has no
// answer, the task ends, and the runner restarts unseen and carries the start out. It guards against whatever an owner
// knows and does not store before it acts on it (review case 13).
func TestOwnersDieAtAnyMoment(t *testing.T) {
	var histories, lateStarts atomic.Int64
	t.Run("moments", func(t *testing.T) { ownersDieAt(t, &histories, &lateStarts) })
	must.Positive(t, histories.Load())
	must.GreaterEq(t, histories.Load()/2, lateStarts.Load(), must.Sprint("late starts at other incarnations"))
}

func ownersDieAt(t *testing.T, histories, lateStarts *atomic.Int64) {
	const ms = time.Millisecond
	for _, trouble := range []int{1, 2, 6} {
		for _, owners := range []int{1, 2} {
			for after := 0 * ms; after < 1600*ms; after += 80 * ms {
				t.Run(fmt.Sprint(ownerTroubles[trouble].name, " owners=", owners, " after=", after), func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, 500+int64(after/ms), 4, 3, slowClock)
					w.run(30 * time.Second)
					u, task := w.unseenRestart(11800*ms, 0), firstTask(jobID(0))
					w.submit(jobID(0), &fleet.JobSpec{Text: "text", Steps: []fleet.Step{
						{Count: 1, Needs: taskNeeds, Estimate: 300 * ms}, {Count: 2, Needs: taskNeeds, Estimate: 2 * time.Second, After: []int{0}},
					}})
					w.submit(jobID(1), longRunningJob(2, 1))
					u.awaitStart()
					w.run(after)
					for range owners {
						ownerTroubles[trouble].happen(w.owner())
						w.run(2500 * ms)
					}
					w.run(u.sentAt.Add(9 * time.Second).Sub(w.now))
					u.restart(600*ms, time.Second)
					w.run(60 * time.Second)
					w.checkInvariants()
					must.True(t, w.doneOnce[task])
					w.mustState(jobID(0), fleet.JobDone)
					must.Eq(t, 2, w.runningTasks())
					histories.Add(1)
					lateStarts.Add(int64(w.strayStarts))
				})
			}
		}
	}
}

// TestRestartIsStoredBeforeWhatFollowsFromIt has a job in the outbox since before a restart of its runner is seen, and more changes
// than one append takes in between. The ledger had the run as lost, and not yet that the runner had restarted: an owner that took
// over then did not wait for leases by calls for the former incarnation.
func TestRestartIsStoredBeforeWhatFollowsFromIt(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 520, 3, 2, withStoreLimits(4000, 4000))
	w.run(30 * time.Second)
	w.submit(jobID(0), longStepJob(2))
	task := firstTask(jobID(0))
	w.runUntilRuns(task)
	w.run(500 * ms)
	r := w.runnerUnder(task)
	isLost := func(l codec.Ledger) bool {
		for _, j := range l.Jobs {
			if j.Job == jobID(0) && j.Progress != nil && len(j.Progress.Occurrences) > 0 {
				return slices.ContainsFunc(j.Progress.Occurrences[0].Tasks, func(t ledger.Task) bool { return t.Runner != r.id || t.Attempt > 1 })
			}
		}
		return false
	}
	delayed, lost := false, false
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if o, ok := out.(effect.AppendLedger); ok {
			if !delayed {
				delayed = true
				w.after(600*ms, func() { e.appendLedger(o) })
				return false
			}
			if content := w.store.content(); isLost(content) {
				lost = true
				must.SliceContains(t, content.Restarted, r.id)
			}
		}
		return true
	}
	w.submit(jobID(1), oneTaskJob(time.Hour)) // its append takes long
	w.run(20 * ms)
	r.end(fleet.TaskID{Job: jobID(0), Index: 1}, fleet.RunDone)
	w.run(40 * ms)
	for n := 2; n < 40; n++ {
		spec := oneTaskJob(time.Hour)
		spec.Text = strings.Repeat("x", 500)
		w.submit(jobID(n), spec)
	}
	w.run(20 * ms)
	r.restartFor(20 * ms)
	w.run(3 * time.Second)
	must.True(t, delayed && lost, must.Sprint("the run was not lost"))
	w.checkInvariants()
}

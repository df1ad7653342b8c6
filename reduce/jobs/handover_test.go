package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestOwnersDieAtAnyMoment ends the owner, once or twice in a row, at each of many moments of a history in which a start has no
// answer, the task ends, and the runner restarts unseen and carries the start out. It guards against whatever an owner
// knows and does not store before it acts on it (review case 13).
func TestOwnersDieAtAnyMoment(t *testing.T) {
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
				})
			}
		}
	}
}

package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/shoenig/test/must"
)

// TestOwnersInTurnDoNotRenewTheWaitForAnOutcome: a task fails, and its next run is given up on a runner that is cut off, so the outcome of that
// run decides whether the task may run again. Owners replace one another meanwhile.
func TestOwnersInTurnDoNotRenewTheWaitForAnOutcome(t *testing.T) {
	for _, c := range []successors{
		{0, "none", nil},
		{5, "released", func(e *fakeEntry) {
			e.post(eventStop)
			e.w.after(time.Second, func() { e.kill(); e.boot() })
		}},
		{5, "killed", (*fakeEntry).kill},
		{5, "restarted under its name", func(e *fakeEntry) { e.kill(); e.boot() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 450, 7, 3, slowClock)
			w.run(30 * time.Second)
			task := firstTask(jobID(0))
			w.alwaysFails[jobID(0)] = true
			w.submit(jobID(0), oneTaskJob(time.Second))
			w.runUntilRuns(task)
			w.run(700 * time.Millisecond)
			for w.attemptOf(task) != 2 {
				w.run(20 * time.Millisecond)
			}
			w.alwaysFails[jobID(0)] = false
			w.run(20 * time.Millisecond) // its start is answered
			w.runnerUnder(task).cutFor(5 * time.Minute)
			lost := w.countDecisions("run lost")
			for *lost == 0 {
				w.run(20 * time.Millisecond)
			}
			given := w.now
			for n := range 15 {
				if n%3 == 0 && n/3 < c.number {
					c.end(w.owner())
				}
				w.run(time.Second)
			}
			// The wait, a takeover, what an owner that has vanished may still do, and the run.
			w.run(given.Add(10*time.Second + 2500*time.Millisecond + tenure.HeartbeatValidity + 1500*time.Millisecond).Sub(w.now))
			t.Log("epochs", w.store.newest().Epoch, "first success after", w.history(task).doneAt.Sub(given))
			must.GreaterEq(t, 1+c.number, int(w.store.newest().Epoch))
			must.True(t, w.doneOnce[task])
			w.checkInvariants()
		})
	}
}

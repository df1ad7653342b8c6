package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowClock keeps the clocks of all runners at the slowest rate that they may have.
func slowClock(w *world) { w.clockRate = 0.98 }

// successors is the number of owners that follow the first one before the last.
type successors struct {
	number int
	// end ends a tenure. The entry may be gone for good.
	name string
	end  func(*fakeEntry)
}

var successions = []successors{
	{1, "released", func(e *fakeEntry) { e.post(eventStop) }},
	{2, "released", func(e *fakeEntry) { e.post(eventStop) }},
	{1, "restarted under its name", func(e *fakeEntry) { e.kill(); e.boot() }},
	{3, "restarted under its name", func(e *fakeEntry) { e.kill(); e.boot() }},
	{1, "killed", (*fakeEntry).kill},
	{1, "released and back", func(e *fakeEntry) {
		e.post(eventStop)
		e.w.after(150*time.Millisecond, func() { e.kill(); e.boot() })
	}},
}

// losses are the ways in which the first owner is lost to the others while it still reaches
// a runner.
var losses = map[string]func(e *fakeEntry){
	"cut off from the store": func(e *fakeEntry) {
		e.storeCut = true
		e.w.after(5500*time.Millisecond, func() { e.storeCut = false })
	},
	"paused": func(e *fakeEntry) { e.freeze(2500 * time.Millisecond) },
	"slow":   func(e *fakeEntry) { e.eventTime = 700 * time.Millisecond },
}

// TestLastOwnerWaitsForTheLeasesOfTheFirst loses the first owner, which goes on extending
// the lease of a runner that only it reaches, and replaces its successors in a short time.
// The last owner must not start the runner's task elsewhere before the first one's leases
// have expired (review/6).
func TestLastOwnerWaitsForTheLeasesOfTheFirst(t *testing.T) {
	for lost, lose := range losses {
		for _, next := range successions {
			for _, after := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond} {
				t.Run(fmt.Sprint(lost, ", ", next.number, " ", next.name, " after ", after), func(t *testing.T) {
					t.Parallel()
					w := newWorld(t, 210, 6, 3, slowClock)
					w.run(2 * time.Second)
					w.submit(jobID(0), longRunningJob(1, 1))
					w.run(2 * time.Second)
					first, task := w.owner(), firstTask(jobID(0))
					runner := w.runnerUnder(task)
					must.NotNil(t, runner)
					for _, e := range w.entries {
						if e != first {
							e.cutRunners[runner.id] = true
						}
					}
					lose(first)
					for range next.number {
						w.runUntilOwnedAfter(1)
						w.run(after)
						next.end(w.owner())
						w.run(20 * time.Millisecond)
					}
					w.run(20 * time.Second)
					must.GreaterEq(t, int64(2+next.number), w.store.newest().Epoch, must.Sprint("no owner followed"))
					w.checkInvariants()
					must.NotNil(t, w.runnerUnder(task), must.Sprint("the task does not run again"))
				})
			}
		}
	}
}

// runUntilOwnedAfter runs the world until an entry holds a tenure of a later epoch.
func (w *world) runUntilOwnedAfter(epoch int64) {
	for range 500 {
		if r, e := w.store.newest(), w.owner(); r.Epoch > epoch && !r.Released && e.up && r.Incarnation == uint64(e.incarnation) {
			return
		}
		w.run(10 * time.Millisecond)
	}
	w.t.Fatal("no entry took over")
}

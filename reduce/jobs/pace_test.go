package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// pacedWorld has one runner with a serving task, whose tail latency is returned, in
// milliseconds, and a best-effort task beside it, which is returned too.
func pacedWorld(t *testing.T, seed int64) (w *world, latency *int64, beside fleet.TaskID) {
	w = newWorld(t, seed, 2, 1)
	w.run(2 * time.Second)
	serving := longRunningJob(1, 1)
	serving.Steps[0].LatencyTarget = 40 * time.Millisecond
	bestEffort := longRunningJob(1, 1)
	bestEffort.Steps[0].BestEffort = true
	latency = new(int64)
	w.load = func(id fleet.TaskID) int64 {
		if id.Job == jobID(0) {
			return *latency
		}
		return 0
	}
	w.submit(jobID(0), serving)
	w.submit(jobID(1), bestEffort)
	beside = firstTask(jobID(1))
	w.runUntilRuns(beside)
	w.run(2 * time.Second)
	return w, latency, beside
}

// paceOf returns the pace at which a task works.
func (w *world) paceOf(id fleet.TaskID) int {
	w.t.Helper()
	r := w.runnerUnder(id)
	must.NotNil(w.t, r)
	return r.runs[id].pace
}

const (
	harmed   = 60
	unharmed = 10
)

// losesPace leaves the next order about a pace without an answer. Its runner carries it out some
// time later.
func (w *world) losesPace(late time.Duration) *effect.OrderTask {
	lost := &effect.OrderTask{}
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.OrderTask)
		if !ok || o.Kind != effect.OrderPace || lost.Runner != "" {
			return true
		}
		*lost = o
		w.after(late, func() { w.runners[o.Runner].carryOut(o) })
		e.postAfter(orderTimeout, event.TaskOrdered{
			Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
		})
		return false
	}
	return lost
}

// TestLatePaceIsReplaced has an order about a pace, which got no answer, carried out after a
// newer one. The newer one was not repeated, so the older stayed in force.
func TestLatePaceIsReplaced(t *testing.T) {
	for _, late := range []time.Duration{2 * time.Second, 6 * time.Second, 11 * time.Second} {
		for _, slowed := range []bool{true, false} {
			t.Run(fmt.Sprint("late=", late, " slowed=", slowed), func(t *testing.T) {
				w, latency, beside := pacedWorld(t, 180)
				first, then, want := int64(harmed), int64(unharmed), 100
				if !slowed {
					*latency = harmed
					w.run(2 * time.Second)
					must.Eq(t, 0, w.paceOf(beside))
					first, then, want = unharmed, harmed, 0
				}
				lost := w.losesPace(late)
				*latency = first
				for range 5000 {
					if lost.Runner == "" {
						w.run(time.Millisecond)
					}
				}
				must.NotEq(t, "", lost.Runner)
				w.run(1200 * time.Millisecond)
				*latency = then
				w.run(30 * time.Second)
				must.Eq(t, want, w.paceOf(beside))
			})
		}
	}
}

// TestPaceOfAFormerOwnerIsReplaced kills the owner that has paused a task. The next one took
// it for working at its full pace, and it stayed paused.
func TestPaceOfAFormerOwnerIsReplaced(t *testing.T) {
	w, latency, beside := pacedWorld(t, 181)
	*latency = harmed
	w.run(2 * time.Second)
	must.Eq(t, 0, w.paceOf(beside))
	w.owner().kill()
	*latency = unharmed
	w.run(12 * time.Second)
	must.Eq(t, 100, w.paceOf(beside))
}

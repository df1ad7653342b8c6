package jobs_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// TestLateStopDoesNotEndALaterAttempt has a stop without an answer carried out by the next
// incarnation of the runner, which runs a later attempt of the task.
func TestLateStopDoesNotEndALaterAttempt(t *testing.T) {
	for _, late := range []time.Duration{6 * time.Second, 9 * time.Second, 12 * time.Second} {
		t.Run(fmt.Sprint("late=", late), func(t *testing.T) {
			w := newWorld(t, 190, 2, 2)
			w.run(2 * time.Second)
			w.submit(jobID(0), oneTaskJob(20*time.Second))
			task := firstTask(jobID(0))
			w.runUntilRuns(task)
			r := w.runnerUnder(task)
			var lost *effect.OrderTask
			w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
				o, ok := out.(effect.OrderTask)
				if !ok || o.Kind != effect.OrderStop || lost != nil {
					return true
				}
				lost = &o
				w.after(late, func() { r.carryOut(o) })
				e.postAfter(orderTimeout, event.TaskOrdered{
					Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
				})
				return false
			}
			r.stalled = true
			for range 5000 {
				if lost == nil {
					w.run(time.Millisecond)
				}
			}
			must.NotNil(t, lost)
			for _, other := range w.runners {
				if other != r {
					other.crash()
				}
			}
			r.restartFor(500 * time.Millisecond)
			w.run(late - time.Second)
			attempt := w.attemptOf(task)
			must.Greater(t, lost.Attempt, attempt)
			w.run(5 * time.Second)
			must.Eq(t, attempt, w.attemptOf(task))
			w.checkInvariants()
		})
	}
}

// TestLateMoveEndsTasksOnce has a move without an answer, which was repeated with success, carried
// out after a newer order has moved the instance back. What it ends runs again.
func TestLateMoveEndsTasksOnce(t *testing.T) {
	w := newWorld(t, 191, 2, 2)
	w.withInstances(2)
	w.run(8 * time.Second)
	spec := twoStepJob()
	spec.Steps[0].Count = 16
	for n := range 30 {
		w.submit(jobID(n), spec)
	}
	var lost effect.OrderInstance
	w.lateOrder = func(o effect.OrderInstance) time.Duration {
		if lost.Instance != "" || o.Kind != effect.InstanceMove || o.Pool != sparePool {
			return 0
		}
		lost = o
		return 11 * time.Second
	}
	for range 60_000 {
		if lost.Instance == "" {
			w.run(time.Millisecond)
		}
	}
	must.NotEq(t, "", lost.Instance)
	w.run(3 * time.Second)
	for n := range 80 {
		w.submit(jobID(100+n), longRunningJob(1, 0))
	}
	w.run(9 * time.Second)
	ended := slices.DeleteFunc(slices.Clone(w.violations), func(v string) bool { return !strings.Contains(v, "an order about its instance ends") })
	must.Positive(t, len(ended), must.Sprint("the late order has ended no task"))
	w.run(20 * time.Second)
	for n := range 80 {
		must.NotNil(t, w.runnerUnder(fleet.TaskID{Job: jobID(100 + n)}), must.Sprint(n))
	}
	// The platform excuses what an order that was held up ends.
	w.violations = slices.DeleteFunc(w.violations, func(v string) bool { return strings.Contains(v, "an order about its instance ends") })
	w.checkInvariants()
}

package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// countWaiting reads the number of waiting jobs at an entry.
func (w *world) countWaiting(e *fakeEntry) effect.CallAnswer {
	var got effect.CallAnswer
	w.call(e, effect.CallState, "", nil, func(a effect.CallAnswer) { got = a })
	w.run(100 * time.Millisecond)
	return got
}

// TestJobsWaitUntilATaskHasBegun holds back the orders to start tasks. The jobs have
// to be counted as waiting meanwhile: an owner that lags plans starts long before they
// are carried out (sweep at 300 entries: 30 jobs said to wait, 96 did).
func TestJobsWaitUntilATaskHasBegun(t *testing.T) {
	w := newWorld(t, 40, 3, 3)
	w.run(2 * time.Second)
	holdBack := true
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.OrderTask)
		if !ok || o.Kind != effect.OrderStart || !holdBack {
			return true
		}
		e.postAfter(orderTimeout, event.TaskOrdered{
			Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
		})
		return false
	}
	for n := range 5 {
		w.submit(jobID(n), twoStepJob())
	}
	w.run(600 * time.Millisecond)
	must.Eq(t, 5, w.countWaiting(w.owner()).Waiting)

	// A new owner, which only reads that starts were planned, still counts them.
	first := w.owner()
	first.kill()
	for w.owner() == first {
		w.run(50 * time.Millisecond)
	}
	w.run(200 * time.Millisecond)
	must.Eq(t, 5, w.countWaiting(w.owner()).Waiting)

	holdBack = false
	w.run(12 * time.Second)
	got := w.countWaiting(w.owner())
	must.Eq(t, effect.AnswerWaiting, got.Kind)
	must.Eq(t, 0, got.Waiting)
	w.checkInvariants()
}

// TestJobsWhoseStartsWereRefusedWait has all starts refused by an unhealthy runner, or planned
// and never sent, and replaces the owner. The next one took these jobs for begun (review/10).
func TestJobsWhoseStartsWereRefusedWait(t *testing.T) {
	t.Parallel()
	for _, outcome := range []event.OrderOutcome{event.OrderUnhealthy, event.OrderNoRoom, event.OrderNotSent, event.OrderInvalid} {
		for _, owners := range []int{1, 3} {
			w := newWorld(t, 42, 3, 3)
			w.run(2 * time.Second)
			refuse := true
			w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
				o, ok := out.(effect.OrderTask)
				if !ok || o.Kind != effect.OrderStart || !refuse {
					return true
				}
				e.postAfter(5*time.Millisecond, event.TaskOrdered{
					Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: outcome,
				})
				return false
			}
			for n := range 12 {
				w.submit(jobID(n), twoStepJob())
			}
			w.run(2 * time.Second)
			for range owners {
				epoch, owner := w.store.newest().Epoch, w.owner()
				owner.kill()
				w.after(100*time.Millisecond, owner.restart)
				w.runUntilOwnedAfter(epoch)
				w.run(700 * time.Millisecond)
			}
			must.Eq(t, 12, w.countWaiting(w.owner()).Waiting, must.Sprint(outcome))
			refuse = false
			w.run(20 * time.Second)
			must.Eq(t, 0, w.countWaiting(w.owner()).Waiting)
			w.checkInvariants()
		}
	}
}

// TestFormerOwnerGivesNoCount asks a former owner that is cut off from the store for
// the number of waiting jobs. The next owner may have accepted others.
func TestFormerOwnerGivesNoCount(t *testing.T) {
	w := newWorld(t, 41, 3, 2)
	w.run(2 * time.Second)
	first := w.owner()
	first.storeCut = true
	w.run(1500 * time.Millisecond)
	must.Eq(t, effect.AnswerRefused, w.countWaiting(first).Kind)
}

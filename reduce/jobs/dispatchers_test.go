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

// fakeLink is the offer of a dispatcher to an owner. It ends when either of them
// restarts.
type fakeLink struct {
	from        *fakeEntry
	incarnation int
	closed      bool
}

func (l *fakeLink) alive() bool { return !l.closed && l.from.up && l.from.incarnation == l.incarnation }

// dispatchFor offers the entry as a dispatcher to the owner at an address.
func (e *fakeEntry) dispatchFor(o effect.DispatchFor) {
	if e.offer != nil {
		e.offer.closed = true
	}
	if o.Address == "" {
		return
	}
	link := &fakeLink{from: e, incarnation: e.incarnation}
	e.offer = link
	e.w.after(e.w.latency(), func() {
		for _, owner := range e.w.entries {
			if owner.address == o.Address && owner.up {
				owner.acceptLink(link)
			}
		}
	})
}

func (e *fakeEntry) acceptLink(link *fakeLink) {
	e.w.lastLink++
	id := e.w.lastLink
	e.links[id] = link
	e.post(event.DispatcherJoined{Dispatcher: id, Entry: link.from.id})
	e.watchLink(id, link)
}

// watchLink checks every 250 ms whether an offer has ended.
func (e *fakeEntry) watchLink(id uint64, link *fakeLink) {
	incarnation := e.incarnation
	e.w.after(250*time.Millisecond, func() {
		switch {
		case e.incarnation != incarnation:
			link.closed = true
		case !link.alive():
			delete(e.links, id)
			e.post(event.DispatcherLeft{Dispatcher: id, Reason: "gone"})
		default:
			e.watchLink(id, link)
		}
	})
}

// dispatchTimeout is how long the owner waits for a dispatcher to answer a call.
const dispatchTimeout = 3 * time.Second

// callThrough carries out a call at this entry or through a dispatcher. A frozen
// dispatcher carries out the call when it resumes. Its answer is dropped if the
// owner's time-out has passed by then.
func (e *fakeEntry) callThrough(id uint64, call func(*fakeEntry, func(time.Duration, event.Body)), unknown func() event.Body) {
	if id == 0 {
		call(e, e.postAfter)
		return
	}
	e.w.dispatchedCalls++
	link := e.links[id]
	settled := false
	settle := func(d time.Duration, b event.Body) {
		e.w.after(d+e.w.latency(), func() {
			if !settled && link != nil && link.alive() {
				settled = true
				e.post(b)
			}
		})
	}
	e.w.after(dispatchTimeout, func() {
		if !settled {
			settled = true
			e.post(unknown())
		}
	})
	if link == nil || !link.alive() {
		return
	}
	e.w.after(e.w.latency(), func() {
		do := func() { call(link.from, settle) }
		if link.from.frozen {
			link.from.heldEvents = append(link.from.heldEvents, do)
		} else if link.alive() {
			do()
		}
	})
}

func withDispatchers(maxDirectRunners int) func(*world) {
	return func(w *world) { w.maxDirectRunners, w.canDispatch = maxDirectRunners, true }
}

func TestOwnerCallsFewRunnersItself(t *testing.T) {
	w := newWorld(t, 1, 3, 5, withDispatchers(5))
	w.run(3 * time.Second)
	w.submit(jobID(1), twoStepJob())
	w.run(10 * time.Second)
	w.checkStates()
	w.checkInvariants()
	must.Eq(t, 0, w.dispatchedCalls)
}

func TestDispatchersShareManyRunners(t *testing.T) {
	w := newWorld(t, 1, 3, 6, withDispatchers(5))
	counts := make(map[string]int)
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if poll, ok := out.(effect.PollRunner); ok {
			counts[fmt.Sprint(poll.Dispatcher, " ", poll.Runner)]++
		}
		return true
	}
	w.run(3 * time.Second)
	for n := range 4 {
		w.submit(jobID(n), twoStepJob())
	}
	w.run(10 * time.Second)
	w.checkStates()
	w.checkInvariants()
	must.Positive(t, w.dispatchedCalls)
	perDispatcher := make(map[byte]int)
	for key := range counts {
		perDispatcher[key[0]]++
	}
	must.Eq(t, 3, perDispatcher['1'])
	must.Eq(t, 3, perDispatcher['2'])
}

// TestCutOffDispatcherIsBypassed cuts a dispatcher off from the runners. The
// owner can reach them and calls them itself, so no run is lost.
func TestCutOffDispatcherIsBypassed(t *testing.T) {
	w := newWorld(t, 1, 2, 4, withDispatchers(0))
	w.run(3 * time.Second)
	w.submit(jobID(1), longRunningJob(4, 1))
	w.run(2 * time.Second)
	must.Positive(t, w.dispatchedCalls)
	for _, e := range w.entries {
		if e != w.owner() {
			for id := range w.runners {
				e.cutRunners[id] = true
			}
		}
	}
	w.run(20 * time.Second)
	w.mustStillRun(t)
}

// mustStillRun checks that the four tasks of the long-running job run, and that
// none was started a second time.
func (w *world) mustStillRun(t *testing.T) {
	t.Helper()
	for i := range 4 {
		must.True(t, w.isRunning(fleet.TaskID{Job: jobID(1), Index: i}))
	}
	must.Eq(t, 4, w.starts)
	w.checkInvariants()
}

// TestOwnerCallsRunnersOfAKilledDispatcher kills the dispatcher. The owner calls
// its runners itself, so no run is lost.
func TestOwnerCallsRunnersOfAKilledDispatcher(t *testing.T) {
	w := newWorld(t, 1, 2, 4, withDispatchers(0))
	w.run(3 * time.Second)
	w.submit(jobID(1), longRunningJob(4, 1))
	w.run(2 * time.Second)
	for _, e := range w.entries {
		if e != w.owner() {
			e.kill()
		}
	}
	w.run(20 * time.Second)
	w.mustStillRun(t)
}

// TestJobsHoldWithDispatchers is TestJobsHoldUnderDrawnFaults with all calls to
// runners sent by other entries, which are also killed, frozen and cut off.
func TestJobsHoldWithDispatchers(t *testing.T) {
	for n := range *seeds {
		seed := *firstSeed + int64(n)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runRandomHistory(t, seed, withDispatchers(0))
		})
	}
}

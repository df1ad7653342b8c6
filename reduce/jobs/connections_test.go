package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

// TestFormerOwnersCloseTheirConnections: entries that had led in turn kept their connections to every runner, until a
// runner took none of the next owner's and all leases ran out.
func TestFormerOwnersCloseTheirConnections(t *testing.T) {
	w := newWorld(t, 495, 3, 2)
	w.run(5 * time.Second)
	w.submit(jobID(0), longRunningJob(2, 1))
	w.run(time.Second)
	closed := make(map[*fakeEntry]int)
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if _, ok := out.(effect.CloseRunnerConnections); ok {
			closed[e]++
		}
		return true
	}
	var former []*fakeEntry
	for range 2 {
		e := w.owner()
		former = append(former, e)
		e.storeCut = true
		w.run(5 * time.Second)
		must.NotEq(t, e, w.owner())
		must.Eq(t, 1, closed[e])
	}
	for _, e := range former {
		e.storeCut = false
	}
	w.run(3 * time.Second)
	must.MapLen(t, 2, closed)
	w.checkInvariants()
}

// TestDispatchersOfAFormerOwnerCloseTheirConnections: the next owner may assign the runners to others, which then find their
// connections taken.
func TestDispatchersOfAFormerOwnerCloseTheirConnections(t *testing.T) {
	w := newWorld(t, 496, 4, 6, withDispatchers(0))
	w.run(5 * time.Second)
	w.submit(jobID(0), longRunningJob(4, 1))
	w.run(2 * time.Second)
	must.Positive(t, w.dispatchedCalls)
	closed := make(map[*fakeEntry]int)
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if _, ok := out.(effect.CloseRunnerConnections); ok {
			closed[e]++
		}
		return true
	}
	former := w.owner()
	former.kill()
	w.run(5 * time.Second)
	next := w.owner()
	for _, e := range w.entries {
		switch e {
		case former, next: // one is down, and the other uses its connections
			must.Zero(t, closed[e])
		default:
			must.Eq(t, 1, closed[e])
		}
	}
	w.checkInvariants()
}

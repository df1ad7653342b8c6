package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

func TestDrainWaitsForTheRequestsOfEveryEntry(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	slow := c.occupy(1, "runner-1")
	must.EqOp(t, control.Accepted, c.command(0, drainOf("runner-1", control.PurposeReboot)).Outcome)
	c.run(8 * time.Second)
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	must.MapEmpty(t, c.commands)
	c.finish(1, slow, 200)
	c.until(0, "runner-1", "probation")
	must.MapLen(t, 1, c.commands)
	c.until(2, "runner-1", "in-service")
}

func TestOverdueDrainSaysWhatItWaitsFor(t *testing.T) {
	text := fleetText(4, 1, 0)
	text.Maintenance.DrainLimit = 3 * time.Second
	c := newCluster(t, 3, text)
	slow := c.occupy(1, "runner-1")
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.run(2 * time.Second)
	must.SliceEmpty(t, c.overdue)
	c.run(5 * time.Second)
	must.SliceContainsAll(t, c.overdue, []string{
		"entry-1 waits for [entry-2]", "entry-2 waits for [entry-2]", "entry-3 waits for [entry-2]",
	})
	c.finish(1, slow, 200)
	c.until(0, "runner-1", "drained")
}

func TestDrainingInstanceGetsNoNewRequest(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.run(time.Second)
	for i := range 12 {
		_, on := c.request(i % 2)
		must.NotEqOp(t, fleet.InstanceID("runner-1"), on)
	}
}

func TestSilentEntryIsWaitedForAsLongAsItsRequestsLast(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	c.occupy(2, "runner-1")
	c.entries[2].noLog, c.entries[2].noPeers = true, true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	patience := 10*time.Second + drains.IsolationLimit
	c.run(patience - time.Second)
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	c.run(4 * time.Second)
	must.NotEqOp(t, "draining", c.phase(0, "runner-1"))
}

func TestEntryCutOffFromTheLogFollowsADrainByItsPeers(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	slow := c.occupy(2, "runner-1")
	c.entries[2].noLog = true
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.run(2 * time.Second)
	for range 7 {
		_, on := c.request(2)
		must.NotEqOp(t, fleet.InstanceID("runner-1"), on)
	}
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	c.finish(2, slow, 200)
	c.until(0, "runner-1", "drained")
}

// TestAnotherEntryGoesOnWhenOneDies kills each entry in turn at each phase of a
// reboot.
func TestAnotherEntryGoesOnWhenOneDies(t *testing.T) {
	for _, phase := range []string{"draining", "drained", "probation"} {
		for victim := range 3 {
			t.Run(fmt.Sprintf("%s/%d", phase, victim), func(t *testing.T) {
				c := newCluster(t, 3, fleetText(4, 1, 0))
				c.workersDown = phase == "drained"
				c.command(0, drainOf("runner-1", control.PurposeReboot))
				c.until(0, "runner-1", phase)
				c.entries[victim].dead = true
				c.workersDown = false
				c.until((victim+1)%3, "runner-1", "probation")
				c.until((victim+1)%3, "runner-1", "in-service")
				must.MapLen(t, 1, c.commands)
			})
		}
	}
}

func TestCancelledDrainReopensAndResumes(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	slow := c.occupy(1, "runner-1")
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.run(time.Second)
	undrain := control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}
	must.EqOp(t, control.Accepted, c.command(1, undrain).Outcome)
	c.run(time.Second)
	must.EqOp(t, "in-service", c.phase(0, "runner-1"))
	c.finish(1, slow, 200)
	c.run(5 * time.Second)
	must.MapEmpty(t, c.commands)
	must.EqOp(t, control.Accepted, c.command(1, drainOf("runner-1", control.PurposeReboot)).Outcome)
	c.until(0, "runner-1", "probation")
	c.until(0, "runner-1", "in-service")
	must.MapLen(t, 1, c.commands)
}

func TestRebootUnderWayIsNotCancelled(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.workersDown = true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.until(0, "runner-1", "drained")
	undrain := control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}
	must.EqOp(t, control.Conflict, c.command(0, undrain).Outcome)
	c.run(drains.RebootTimeout + 5*time.Second)
	must.EqOp(t, "failed", c.phase(0, "runner-1"))
	must.EqOp(t, control.Accepted, c.command(0, undrain).Outcome)
	c.until(1, "runner-1", "in-service")
}

func TestHeldInstanceStaysDrainedUntilUndrained(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.until(1, "runner-1", "drained")
	c.run(time.Minute)
	must.EqOp(t, "drained", c.phase(1, "runner-1"))
	c.command(1, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch})
	must.EqOp(t, "probation", c.phase(1, "runner-1"))
	c.until(0, "runner-1", "in-service")
}

func TestProbationTakesSingleRequests(t *testing.T) {
	c := newCluster(t, 1, fleetText(2, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.until(0, "runner-1", "drained")
	c.command(0, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch})
	onProbation := 0
	for range 6 {
		if _, on := c.request(0); on == "runner-1" {
			onProbation++
		}
	}
	must.EqOp(t, 1, onProbation)
}

func TestInstanceThatFailsItsRequestsFailsProbation(t *testing.T) {
	c := newCluster(t, 1, fleetText(2, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.until(0, "runner-1", "drained")
	c.command(0, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch})
	for range drains.RequestsToFail {
		c.finish(0, c.occupy(0, "runner-1"), 500)
	}
	c.until(0, "runner-1", "failed")
}

func TestNewTextDuringADrainKeepsIt(t *testing.T) {
	text := fleetText(4, 1, 0)
	c := newCluster(t, 2, text)
	slow := c.occupy(1, "runner-1")
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.run(time.Second)
	must.EqOp(t, control.Accepted, c.command(0, control.Publish{Base: 1, Text: fleetText(4, 2, 0)}).Outcome)
	c.run(time.Second)
	for range 7 {
		_, on := c.request(0)
		must.NotEqOp(t, fleet.InstanceID("runner-1"), on)
	}
	must.EqOp(t, "draining", c.phase(1, "runner-1"))
	c.finish(1, slow, 200)
	c.until(1, "runner-1", "drained")
}

func TestLaggingListDoesNotReopen(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	list := func(leaving ...fleet.InstanceID) { c.do(c.entries[0], event.EndpointsListed{Leaving: leaving}) }
	c.command(0, drainOf("runner-1", control.PurposeHold))
	list("runner-1")
	list()
	for range 6 {
		_, on := c.request(0)
		must.NotEqOp(t, fleet.InstanceID("runner-1"), on)
	}
}

func TestListedLeavingClosesWhileTheLogIsDown(t *testing.T) {
	c := newCluster(t, 1, fleetText(2, 1, 0))
	c.logDown = true
	c.do(c.entries[0], event.ReadFailed{})
	c.do(c.entries[0], event.EndpointsListed{Leaving: []fleet.InstanceID{"runner-1"}})
	for range 4 {
		_, on := c.request(0)
		must.NotEqOp(t, fleet.InstanceID("runner-1"), on)
	}
	c.do(c.entries[0], event.EndpointsListed{})
	must.MapContainsValues(t, c.entries[0].running, []fleet.InstanceID{"runner-1"})
}

func TestRacingOperatorsOfADrain(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	first := control.Drain{Instance: "runner-1", Reason: control.ReasonOperator, Purpose: control.PurposeHold}
	second := first
	second.Purpose = control.PurposeStop
	must.EqOp(t, control.Accepted, c.command(0, first).Outcome)
	res := c.command(1, second)
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "based on epoch 0")
}

func TestDrainThatThePoolCannotSpareIsRefused(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 6))
	res := c.command(0, drainOf("runner-1", control.PurposeHold))
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "can't spare")
	forced := drainOf("runner-1", control.PurposeHold)
	forced.Force = true
	must.EqOp(t, control.Accepted, c.command(0, forced).Outcome)
}

// TestReplayOrdersNothing starts an entry anew after a reboot: it reads all the
// records again, page by page, and must not reboot the instance again.
func TestReplayOrdersNothing(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.until(0, "runner-1", "in-service")
	must.EqOp(t, 1, c.commanded["entry-1"])
	fresh := &member{id: "entry-1", state: reduce.New(reduce.Config{Entry: "entry-1", MaxRequests: 1})}
	c.do(fresh, event.Started{})
	for i, p := range c.log {
		c.do(fresh, event.RecordsRead{Records: c.log[i : i+1], Next: p.Offset + 1, Oldest: 1})
		c.now = c.now.Add(drains.StepInterval)
		c.do(fresh, event.TimerFired{})
	}
	must.EqOp(t, 1, c.commanded["entry-1"])
}

// TestPausedEntryOrdersNothing lets an entry sleep while another carries out
// the reboot that both were about to order.
func TestPausedEntryOrdersNothing(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.workersDown = true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.until(0, "runner-1", "drained")
	c.until(1, "runner-1", "drained")
	for paused := range c.entries {
		m := c.entries[paused]
		c.now = c.now.Add(time.Minute)
		before := c.commanded[m.id]
		c.do(m, event.TimerFired{})
		must.EqOp(t, before, c.commanded[m.id])
	}
	c.workersDown = false
	c.until(0, "runner-1", "in-service")
}

// TestPausedEntrySendsNothingBeforeTheNews lets an entry sleep through a drain.
// The request that came in the meantime is taken before the news.
func TestPausedEntrySendsNothingBeforeTheNews(t *testing.T) {
	c := newCluster(t, 2, fleetText(2, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.entries[1].paused = true
	c.run(30 * time.Second)
	var waiting []fleet.AttemptID
	for range 3 {
		a, _ := c.request(1)
		waiting = append(waiting, a)
	}
	c.entries[1].noLog, c.entries[1].noPeers = true, true
	c.resume(c.entries[1])
	c.run(2 * time.Second)
	must.MapEmpty(t, c.entries[1].running)
	c.entries[1].noLog, c.entries[1].noPeers = false, false
	c.run(time.Second)
	must.MapLen(t, 2, c.entries[1].running) // the slots of the other instance
	for _, a := range waiting {
		must.NotEqOp(t, fleet.InstanceID("runner-1"), c.entries[1].running[a])
	}
}

// TestEntryThatDoesNotKnowItsPeersEndsNoDrain starts an entry that sees no list
// and hears nobody, while another has a request in flight.
func TestEntryThatDoesNotKnowItsPeersEndsNoDrain(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	fresh := &member{id: "entry-9", state: reduce.New(reduce.Config{Entry: "entry-9", MaxRequests: 1})}
	c.occupy(0, "runner-1")
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.do(fresh, event.Started{})
	c.entries = append(c.entries, fresh)
	c.run(time.Minute)
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	must.MapEmpty(t, c.commands)
}

// TestIsolatedEntryLeavesTheBalancer cuts an entry off from log and peers: it
// must have stopped taking new work by the time that others no longer wait.
func TestIsolatedEntryLeavesTheBalancer(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	m := c.entries[2]
	m.noLog = true
	c.run(time.Minute)
	must.True(t, m.ready) // it still hears its peers
	m.noPeers = true
	c.run(drains.IsolationLimit - time.Second)
	must.False(t, m.ready)
	m.noPeers = false
	c.run(2 * time.Second)
	must.True(t, m.ready)
}

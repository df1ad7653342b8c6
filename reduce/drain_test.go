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
	c.runUntilPhase(0, "runner-1", "probation")
	must.MapLen(t, 1, c.commands)
	c.runUntilPhase(2, "runner-1", "in-service")
}

func TestOverdueDrainReportsBusyEntries(t *testing.T) {
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
	c.runUntilPhase(0, "runner-1", "drained")
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

func TestDrainWaitsForASilentEntryAsLongAsItsRequestsMayRun(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	c.occupy(2, "runner-1")
	c.entries[2].noLog, c.entries[2].noPeers = true, true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	maxSilence := 10*time.Second + drains.IsolationLimit
	c.run(maxSilence - time.Second)
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	c.run(4 * time.Second)
	must.NotEqOp(t, "draining", c.phase(0, "runner-1"))
}

func TestEntryWithoutLogLearnsOfADrainFromItsPeers(t *testing.T) {
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
	c.runUntilPhase(0, "runner-1", "drained")
}

// TestAnotherEntryContinuesARebootWhenOneFails kills each entry in turn in each
// phase of a reboot.
func TestAnotherEntryContinuesARebootWhenOneFails(t *testing.T) {
	for _, phase := range []string{"draining", "drained", "probation"} {
		for victim := range 3 {
			t.Run(fmt.Sprintf("%s/%d", phase, victim), func(t *testing.T) {
				c := newCluster(t, 3, fleetText(4, 1, 0))
				c.workersDown = phase == "drained"
				c.command(0, drainOf("runner-1", control.PurposeReboot))
				c.runUntilPhase(0, "runner-1", phase)
				c.entries[victim].dead = true
				c.workersDown = false
				c.runUntilPhase((victim+1)%3, "runner-1", "probation")
				c.runUntilPhase((victim+1)%3, "runner-1", "in-service")
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
	c.runUntilPhase(0, "runner-1", "probation")
	c.runUntilPhase(0, "runner-1", "in-service")
	must.MapLen(t, 1, c.commands)
}

func TestRebootUnderWayIsNotCancelled(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.workersDown = true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.runUntilPhase(0, "runner-1", "drained")
	undrain := control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}
	must.EqOp(t, control.Conflict, c.command(0, undrain).Outcome)
	c.run(drains.RebootTimeout + 5*time.Second)
	must.EqOp(t, "failed", c.phase(0, "runner-1"))
	must.EqOp(t, control.Accepted, c.command(0, undrain).Outcome)
	c.runUntilPhase(1, "runner-1", "in-service")
}

func TestHeldInstanceStaysDrainedUntilUndrained(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.runUntilPhase(1, "runner-1", "drained")
	c.run(time.Minute)
	must.EqOp(t, "drained", c.phase(1, "runner-1"))
	c.command(1, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch})
	must.EqOp(t, "probation", c.phase(1, "runner-1"))
	c.runUntilPhase(0, "runner-1", "in-service")
}

func TestProbationTakesSingleRequests(t *testing.T) {
	c := newCluster(t, 1, fleetText(2, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeHold))
	c.runUntilPhase(0, "runner-1", "drained")
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
	c.runUntilPhase(0, "runner-1", "drained")
	c.command(0, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch})
	for range drains.RequestsToFail {
		c.finish(0, c.occupy(0, "runner-1"), 500)
	}
	c.runUntilPhase(0, "runner-1", "failed")
}

func TestNewTextDuringADrainKeepsTheDrain(t *testing.T) {
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
	c.runUntilPhase(1, "runner-1", "drained")
}

func TestLaggingListDoesNotReopenAnInstance(t *testing.T) {
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

func TestListedLeavingInstanceIsClosedWhileTheLogIsDown(t *testing.T) {
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

// TestReplayRepeatsNoCommand restarts an entry after a reboot. The entry reads
// all records again, page by page, and must not reboot the instance a second
// time.
func TestReplayRepeatsNoCommand(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.runUntilPhase(0, "runner-1", "in-service")
	must.EqOp(t, 1, c.commandsBy["entry-1"])
	fresh := &clusterEntry{id: "entry-1", state: reduce.New(reduce.Config{Entry: "entry-1", MaxRequests: 1})}
	c.do(fresh, event.Started{})
	for i, p := range c.log {
		c.do(fresh, event.RecordsRead{Records: c.log[i : i+1], Next: p.Offset + 1, Oldest: 1})
		c.now = c.now.Add(drains.StepInterval)
		c.do(fresh, event.TimerFired{})
	}
	must.EqOp(t, 1, c.commandsBy["entry-1"])
}

// TestPausedEntryRepeatsNoCommand pauses an entry while another carries out the
// reboot that both were about to order.
func TestPausedEntryRepeatsNoCommand(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.workersDown = true
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.runUntilPhase(0, "runner-1", "drained")
	c.runUntilPhase(1, "runner-1", "drained")
	for paused := range c.entries {
		m := c.entries[paused]
		c.now = c.now.Add(time.Minute)
		before := c.commandsBy[m.id]
		c.do(m, event.TimerFired{})
		must.EqOp(t, before, c.commandsBy[m.id])
	}
	c.workersDown = false
	c.runUntilPhase(0, "runner-1", "in-service")
}

// TestPausedEntryDispatchesNothingBeforeFreshInput pauses an entry during a
// drain. Requests that arrived during the pause are reduced before the records
// of the drain.
func TestPausedEntryDispatchesNothingBeforeFreshInput(t *testing.T) {
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

// TestEntryThatDoesNotKnowItsPeersEndsNoDrain starts an entry that gets no list
// and no peer messages, while another entry has a request in flight.
func TestEntryThatDoesNotKnowItsPeersEndsNoDrain(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	fresh := &clusterEntry{id: "entry-9", state: reduce.New(reduce.Config{Entry: "entry-9", MaxRequests: 1})}
	c.occupy(0, "runner-1")
	c.command(0, drainOf("runner-1", control.PurposeReboot))
	c.do(fresh, event.Started{})
	c.entries = append(c.entries, fresh)
	c.run(time.Minute)
	must.EqOp(t, "draining", c.phase(0, "runner-1"))
	must.MapEmpty(t, c.commands)
}

// TestIsolatedEntryLeavesTheBalancer cuts an entry off from the log and its
// peers. It must have left the load balancer by the time that the other entries
// no longer wait for it.
func TestIsolatedEntryLeavesTheBalancer(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	m := c.entries[2]
	m.noLog = true
	c.run(time.Minute)
	must.True(t, m.ready) // its peers still reach it
	m.noPeers = true
	c.run(drains.IsolationLimit - time.Second)
	must.False(t, m.ready)
	m.noPeers = false
	c.run(2 * time.Second)
	must.True(t, m.ready)
}

package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/banyanrail/banyanrail/reduce/usage"
	"github.com/shoenig/test/must"
)

var (
	loseDC2     = rehearsal.Domain{DataCentre: "dc2"}
	rehearseDC2 = control.StartRehearsal{Domain: loseDC2, Duration: 30 * time.Second}
)

// rehearsal returns the last rehearsal as an entry sees it.
func (c *cluster) rehearsal(i int) effect.RehearsalStatus {
	all := c.status(i).Rehearsals
	if len(all) == 0 {
		return effect.RehearsalStatus{}
	}
	return all[len(all)-1]
}

func (c *cluster) runUntilRehearsal(i int, phase string) {
	c.t.Helper()
	for range 1000 {
		if c.rehearsal(i).Phase == phase {
			return
		}
		c.run(drains.StepInterval)
	}
	c.t.Fatalf("rehearsal is %+v", c.rehearsal(i))
}

func (c *cluster) mustBeInService(i int) {
	c.t.Helper()
	for _, in := range c.status(i).Instances {
		must.EqOp(c.t, "in-service", in.Phase, must.Sprint(in.ID))
	}
}

func TestRehearsalDrainsItsDomainAndBringsItBack(t *testing.T) {
	c := newCluster(t, 3, fleetText(8, 1, 4))
	must.EqOp(t, control.Accepted, c.command(0, rehearseDC2).Outcome)
	c.runUntilPhase(1, "runner-5", "drained")
	must.EqOp(t, 4, c.maxOutOfService)
	must.EqOp(t, "in-service", c.phase(1, "runner-1"))
	c.run(20 * time.Second)
	must.EqOp(t, "running", c.rehearsal(1).Phase)

	c.runUntilRehearsal(1, "ended")
	must.EqOp(t, "done", c.rehearsal(1).Reason)
	c.run(10 * time.Second)
	c.mustBeInService(1)
}

func TestRehearsalReportsForecastAndObservations(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	c.command(0, rehearseDC2)
	for range 3 {
		a, _ := c.request(0)
		c.finish(0, a, 200)
		c.run(time.Second)
	}
	c.runUntilRehearsal(1, "ended")
	r := c.rehearsal(1)
	must.Len(t, 1, r.Forecast)
	must.EqOp(t, 8, r.Forecast[0].Slots)
	must.EqOp(t, 16, r.Forecast[0].Before)
	must.Len(t, 1, r.Observed)
	must.EqOp(t, 3, r.Observed[0].Answered)
	must.EqOp(t, 0, r.Observed[0].Failed)
	must.EqOp(t, 8, r.Observed[0].LeastSlots)
	must.GreaterEq(t, rehearseDC2.Duration, r.Watched)
}

func TestForecastChangesNothing(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 12))
	before := len(c.log)
	c.do(c.entries[0], event.ForecastRequested{ID: 1, Domain: loseDC2})
	f := c.entries[0].forecast
	must.EqOp(t, 4, f.Instances)
	must.Len(t, 1, f.Services)
	must.True(t, f.Services[0].Breaks)
	must.EqOp(t, "survey", f.Services[0].Cause)
	must.EqOp(t, before, len(c.log))
	c.mustBeInService(0)
}

func TestRehearsalThatBreaksAServiceIsRefusedUnlessForced(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 12))
	res := c.command(0, rehearseDC2)
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "survey answers 66.67 %")
	c.mustBeInService(0)

	forced := rehearseDC2
	forced.Force = true
	must.EqOp(t, control.Accepted, c.command(0, forced).Outcome)
	must.True(t, c.rehearsal(0).Forced)
}

// TestForecastIsMadeAtTheOffsetOfTheRecord drains an instance between the
// operator's forecast and the record of the rehearsal.
func TestForecastIsMadeAtTheOffsetOfTheRecord(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 8))
	c.appendRecord(forcedDrainAt("runner-1", 0))
	must.EqOp(t, control.Conflict, c.command(0, rehearseDC2).Outcome)
}

func forcedDrainAt(id fleet.InstanceID, epoch fleet.Offset) control.Drain {
	d := drainOf(id, control.PurposeHold)
	d.Base, d.Force = epoch, true
	return d
}

func TestRehearsalEndsWhenABudgetBurnsTooFast(t *testing.T) {
	c := newCluster(t, 3, fleetText(8, 1, 4))
	long := rehearseDC2
	long.Duration = time.Hour
	c.command(0, long)
	c.run(5 * time.Second)
	for range 5 {
		a, _ := c.request(1)
		c.finish(1, a, 500)
	}
	c.runUntilRehearsal(0, "ended")
	must.EqOp(t, "budget", c.rehearsal(0).Reason)
	must.StrContains(t, c.rehearsal(0).Detail, "survey")
	must.EqOp(t, 5, c.rehearsal(0).Observed[0].Failed)
	c.run(10 * time.Second)
	c.mustBeInService(0)
}

func TestFewFailuresDoNotEndTheRehearsal(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	long := rehearseDC2
	long.Duration = time.Hour
	c.command(0, long)
	for range 2 {
		a, _ := c.request(1)
		c.finish(1, a, 500)
	}
	c.run(2 * usage.LongWindow)
	must.EqOp(t, "running", c.rehearsal(0).Phase)
}

func TestRehearsalEndWaitsForTheLog(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	c.command(0, rehearseDC2)
	c.runUntilPhase(0, "runner-5", "drained")
	c.logDown = true
	c.run(time.Minute)
	must.EqOp(t, "running", c.rehearsal(0).Phase)
	c.logDown = false
	c.runUntilRehearsal(0, "ended")
}

func TestOneRehearsalAtATime(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	must.EqOp(t, control.Accepted, c.command(0, rehearseDC2).Outcome)
	res := c.command(1, control.StartRehearsal{Domain: rehearsal.Domain{DataCentre: "dc1"}, Duration: time.Second, Force: true})
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "of dc2 is under way")
}

func TestRehearsalAndWaveExcludeEachOther(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	c.command(0, rehearseDC2)
	res := c.command(1, rebootMainPool)
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "rehearsal 2 of dc2 is under way in pool main")
	spares := control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{"spare"}}}
	must.EqOp(t, control.Accepted, c.command(1, spares).Outcome)
	c.runUntilRehearsal(0, "ended")
	c.run(10 * time.Second)

	must.EqOp(t, control.Accepted, c.command(1, rebootMainPool).Outcome)
	res = c.command(0, rehearseDC2)
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "is running in pool main")
}

func TestOperatorStopsARehearsal(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	start := c.command(0, rehearseDC2)
	c.run(drains.StepInterval)
	stop := control.EndRehearsal{Rehearsal: start.Offset, Base: control.CurrentEpoch, Reason: control.EndOperator}
	must.EqOp(t, control.Accepted, c.command(1, stop).Outcome)
	c.run(drains.StepInterval)
	must.EqOp(t, "operator", c.rehearsal(0).Reason)
	must.Len(t, 1, c.rehearsal(0).Observed)
	must.EqOp(t, control.Conflict, c.command(0, stop).Outcome)
}

func TestInstanceThatAnOperatorDrainedStaysOutAfterTheRehearsal(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	c.command(0, rehearseDC2)
	c.runUntilPhase(0, "runner-5", "drained")
	c.command(1, control.Undrain{Instance: "runner-5", Base: control.CurrentEpoch})
	c.command(1, drainOf("runner-5", control.PurposeHold))
	c.runUntilRehearsal(0, "ended")
	c.run(10 * time.Second)
	must.EqOp(t, "drained", c.phase(0, "runner-5"))
	must.EqOp(t, "in-service", c.phase(0, "runner-6"))
}

func TestTextWithoutTheDomainEndsTheRehearsal(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 4))
	c.command(0, rehearseDC2)
	c.command(1, control.Publish{Base: 1, Text: fleetText(4, 1, 4)})
	c.run(drains.StepInterval)
	must.EqOp(t, "conflict", c.rehearsal(0).Reason)
	c.run(time.Minute)
	c.mustBeInService(0)
}

// TestRehearsalContinuesWhenAnEntryFailsAtAnyPoint kills an entry after each
// number of records of a rehearsal.
func TestRehearsalContinuesWhenAnEntryFailsAtAnyPoint(t *testing.T) {
	for victim := range 3 {
		for records := 2; records < 11; records++ {
			t.Run(fmt.Sprintf("%d/%d", victim, records), func(t *testing.T) {
				c := newCluster(t, 3, fleetText(8, 1, 4))
				other := (victim + 1) % 3
				must.EqOp(t, control.Accepted, c.command(other, rehearseDC2).Outcome)
				for range 1000 {
					if len(c.log) >= records {
						break
					}
					c.run(drains.StepInterval)
				}
				c.entries[victim].dead = true
				c.runUntilRehearsal(other, "ended")
				must.EqOp(t, "done", c.rehearsal(other).Reason)
				c.run(20 * time.Second)
				c.mustBeInService(other)
			})
		}
	}
}

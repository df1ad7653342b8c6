package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

var rebootMainPool = control.StartWave{Scope: control.Scope{Pools: []fleet.PoolName{"main"}}}

// wave returns the last wave as an entry sees it.
func (c *cluster) wave(i int) effect.WaveStatus {
	waves := c.status(i).Waves
	if len(waves) == 0 {
		return effect.WaveStatus{}
	}
	return waves[len(waves)-1]
}

func (c *cluster) runUntilWave(i int, reached func(effect.WaveStatus) bool) {
	c.t.Helper()
	for range 2000 {
		if reached(c.wave(i)) {
			return
		}
		c.run(drains.StepInterval)
	}
	c.t.Fatalf("wave is %+v", c.wave(i))
}

func inWavePhase(phase string) func(effect.WaveStatus) bool {
	return func(w effect.WaveStatus) bool { return w.Phase == phase }
}

func TestWaveRebootsEveryInstanceOnceWithinTheAllowance(t *testing.T) {
	c := newCluster(t, 3, fleetText(8, 3, 8))
	must.EqOp(t, control.Accepted, c.command(0, rebootMainPool).Outcome)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 8, c.wave(0).Done)
	must.MapLen(t, 8, c.commands)
	must.EqOp(t, 3, c.maxOutOfService)
}

func TestHighDemandMakesWaveStepsSmaller(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 4, 11))
	c.command(0, rebootMainPool)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 1, c.maxOutOfService)
}

func TestWavePausesWhenNoPoolCanSpareAnInstance(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 2, 100))
	c.command(0, rebootMainPool)
	c.runUntilWave(0, inWavePhase("paused"))
	must.StrContains(t, c.wave(0).Detail, "no pool can spare")
	must.MapEmpty(t, c.commands)
}

func TestCorrelatedFailuresPauseTheWave(t *testing.T) {
	c := newCluster(t, 3, fleetText(8, 2, 0))
	c.unhealthy["runner-3"], c.unhealthy["runner-4"] = true, true
	start := c.command(0, rebootMainPool)
	c.runUntilWave(0, inWavePhase("paused"))
	must.Len(t, 2, c.wave(0).Failed)
	must.StrContains(t, c.wave(0).Detail, "correlated")
	c.run(time.Minute)
	must.EqOp(t, 4, c.wave(0).Pending)

	for _, id := range []fleet.InstanceID{"runner-3", "runner-4"} {
		c.unhealthy[id] = false
		c.command(1, control.Undrain{Instance: id, Base: control.CurrentEpoch})
	}
	resume := control.ResumeWave{Wave: start.Offset, Base: control.CurrentEpoch}
	must.EqOp(t, control.Accepted, c.command(1, resume).Outcome)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 6, c.wave(0).Done)
}

func TestSingleFailureDoesNotPauseTheWave(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 2, 0))
	c.unhealthy["runner-3"] = true
	c.command(0, rebootMainPool)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 7, c.wave(0).Done)
	must.Eq(t, []fleet.InstanceID{"runner-3"}, c.wave(0).Failed)
}

func TestAbortedWaveBringsBackItsStep(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 2, 0))
	start := c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "probation")
	must.EqOp(t, control.Accepted, c.command(1, control.AbortWave{Wave: start.Offset, Base: control.CurrentEpoch}).Outcome)
	c.runUntilPhase(0, "runner-1", "in-service")
	c.run(time.Minute)
	must.EqOp(t, "aborted", c.wave(0).Phase)
	must.MapLen(t, 2, c.commands)
}

func TestPausedWaveStartsNoStepUntilResumed(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	start := c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "draining")
	c.command(0, control.PauseWave{Wave: start.Offset, Base: control.CurrentEpoch})
	c.run(time.Minute)
	must.EqOp(t, 1, c.wave(0).Steps)
	stale := control.ResumeWave{Wave: start.Offset, Base: start.Offset}
	must.EqOp(t, control.Conflict, c.command(1, stale).Outcome)
	c.command(1, control.ResumeWave{Wave: start.Offset, Base: control.CurrentEpoch})
	c.runUntilWave(0, inWavePhase("done"))
}

func TestInstanceIsInOneWaveAtATime(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 1, 0))
	must.EqOp(t, control.Accepted, c.command(0, control.StartWave{Scope: control.Scope{DataCentre: "dc2"}}).Outcome)
	res := c.command(1, rebootMainPool)
	must.EqOp(t, control.Conflict, res.Outcome)
	must.StrContains(t, res.Detail, "in wave 2 already")
	must.EqOp(t, control.Accepted, c.command(1, control.StartWave{Scope: control.Scope{DataCentre: "dc1"}}).Outcome)
	c.runUntilWave(0, inWavePhase("done"))
	c.run(time.Minute)
	must.MapLen(t, 10, c.commands)
}

func TestWavesTogetherStayWithinTheAllowance(t *testing.T) {
	c := newCluster(t, 2, fleetText(8, 4, 8))
	c.command(0, control.StartWave{Scope: control.Scope{DataCentre: "dc1", Pools: []fleet.PoolName{"main"}}})
	c.command(1, control.StartWave{Scope: control.Scope{DataCentre: "dc2", Pools: []fleet.PoolName{"main"}}})
	c.run(2 * time.Minute)
	must.MapLen(t, 8, c.commands)
	must.LessEq(t, 3, c.maxOutOfService)
}

func TestOperatorTakesAnInstanceOutOfAStep(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.occupy(1, "runner-1")
	c.command(0, rebootMainPool)
	c.runUntilPhase(1, "runner-1", "draining")
	must.EqOp(t, control.Accepted, c.command(1, control.Undrain{Instance: "runner-1", Base: control.CurrentEpoch}).Outcome)
	c.runUntilWave(0, inWavePhase("done"))
	must.Eq(t, []fleet.InstanceID{"runner-1"}, c.wave(0).Skipped)
	must.EqOp(t, 3, c.wave(0).Done)
}

func TestTextWithoutAPendingInstanceSkipsIt(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "draining")
	c.command(0, control.Publish{Base: 1, Text: fleetText(3, 1, 0)})
	c.runUntilWave(0, inWavePhase("done"))
	must.Eq(t, []fleet.InstanceID{"runner-4"}, c.wave(0).Skipped)
}

// TestWaveContinuesWhenAnEntryFailsAtAnyPoint kills an entry after each number
// of records of a wave.
func TestWaveContinuesWhenAnEntryFailsAtAnyPoint(t *testing.T) {
	for victim := range 3 {
		for records := 2; records < 24; records++ {
			t.Run(fmt.Sprintf("%d/%d", victim, records), func(t *testing.T) {
				c := newCluster(t, 3, fleetText(4, 1, 0))
				c.command((victim+1)%3, rebootMainPool)
				for range 1000 {
					if len(c.log) >= records {
						break
					}
					c.run(drains.StepInterval)
				}
				c.entries[victim].dead = true
				c.runUntilWave((victim+1)%3, inWavePhase("done"))
				must.EqOp(t, 4, c.wave((victim+1)%3).Done)
				must.MapLen(t, 4, c.commands)
			})
		}
	}
}

func TestStatusSharesNothingWithTheState(t *testing.T) {
	c := newCluster(t, 1, fleetText(8, 2, 0))
	c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "probation")
	st := c.wave(0)
	must.Eq(t, []fleet.InstanceID{"runner-1", "runner-2"}, st.Current)
	c.runUntilWave(0, inWavePhase("done"))
	must.Eq(t, []fleet.InstanceID{"runner-1", "runner-2"}, st.Current)
}

func TestWaveWaitsWhileABudgetBurns(t *testing.T) {
	text := fleetText(8, 2, 0)
	text.Services[0].Availability = 0.999
	c := newCluster(t, 1, text)
	c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "draining")
	for range 240 {
		if a, on := c.request(0); on != "" {
			c.finish(0, a, 500)
		}
		c.run(drains.StepInterval)
	}
	must.EqOp(t, 1, c.wave(0).Steps)
	must.StrContains(t, c.wave(0).Detail, "budget of survey")
	c.runUntilWave(0, inWavePhase("done"))
}

// TestStepCountsInstancesThatFailOnTheirOwn fails most of the second data
// centre while the first is in a wave, so that the pool can spare no instance
// any more.
func TestStepCountsInstancesThatFailOnTheirOwn(t *testing.T) {
	c := newCluster(t, 1, fleetText(8, 1, 7))
	c.command(0, rebootMainPool)
	c.runUntilPhase(0, "runner-1", "probation")
	for _, id := range []fleet.InstanceID{"runner-5", "runner-6", "runner-7"} {
		c.unhealthy[id] = true
		c.eject(0, id)
	}
	c.run(5 * time.Minute)
	must.EqOp(t, 1, c.wave(0).Steps)
	must.EqOp(t, "running", c.wave(0).Phase)
	must.StrContains(t, c.wave(0).Detail, "while others fail")
	clear(c.unhealthy)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 8, c.wave(0).Done)
}

// eject fails requests on an instance until it is ejected.
func (c *cluster) eject(i int, id fleet.InstanceID) {
	c.t.Helper()
	const failuresToEject = 5
	failed := 0
	for range 500 {
		a, on := c.request(i)
		if on != id {
			c.finish(i, a, 200)
			continue
		}
		c.finish(i, a, 500)
		if failed++; failed == failuresToEject {
			return
		}
	}
	c.t.Fatalf("%s is not ejected", id)
}

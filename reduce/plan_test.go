package reduce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/shoenig/test/must"
)

// plannedText is fleetText with prices and a number of spares.
func plannedText(n, spares int, demand float64, prices fleet.Prices) *fleet.Text {
	text := fleetText(n, 1, demand)
	text.Prices = prices
	for i := 2; i < spares; i++ {
		text.Instances = append(text.Instances, fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("spare-%d", i+1)), Address: fmt.Sprint("spare-", i+1), Pool: "spare",
			DataCentre: "dc1", Rack: "r9",
		})
	}
	return text
}

var costlyBuffer = fleet.Prices{Buffer: 60, Move: 0.5}

// poolSizes returns the number of instances in each pool as an entry sees it.
func (c *cluster) poolSizes(i int) map[fleet.PoolName]int { return c.status(i).Pools }

// movedCount returns how many records moved an instance to another pool.
func (c *cluster) movedCount() int {
	fold := control.New()
	for _, p := range c.log {
		fold.Apply(p)
	}
	return int(fold.Moves)
}

func TestPersistentShortfallTakesSpares(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 4, 9, costlyBuffer))
	c.run(planner.ShortfallHold / 2)
	must.EqOp(t, 0, c.movedCount())
	c.run(planner.ShortfallHold)
	must.EqOp(t, 2, c.movedCount())
	c.run(time.Minute)
	must.EqOp(t, 2, c.movedCount())
	for i := range c.entries {
		must.EqOp(t, 6, c.poolSizes(i)["main"])
	}
	c.mustBeInService(0)
}

func TestShortfallOfSecondsMovesNothing(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 2, 4, costlyBuffer))
	version := fleet.Version(1)
	for range 5 {
		for _, demand := range []float64{12, 4} {
			res := c.command(0, control.Publish{Base: version, Text: plannedText(4, 2, demand, costlyBuffer)})
			must.EqOp(t, control.Accepted, res.Outcome)
			version = res.Version
			c.run(5 * time.Second)
		}
	}
	must.EqOp(t, 0, c.movedCount())
}

func TestTextWithoutPricesDisablesThePlanner(t *testing.T) {
	c := newCluster(t, 2, plannedText(4, 2, 12, fleet.Prices{}))
	c.run(time.Minute)
	must.EqOp(t, 0, c.movedCount())
}

func TestCostlyBufferReturnsSurplusInstances(t *testing.T) {
	cheap := newCluster(t, 2, plannedText(8, 2, 2, costlyBuffer))
	dear := newCluster(t, 2, plannedText(8, 2, 2, fleet.Prices{Buffer: 1, Move: 100}))
	cheap.run(5 * time.Minute)
	dear.run(5 * time.Minute)
	must.Positive(t, cheap.movedCount())
	must.EqOp(t, 0, dear.movedCount())
	must.EqOp(t, 10, cheap.poolSizes(0)["main"]+cheap.poolSizes(0)["spare"])
}

func TestLostInstancesAreReplacedBySpares(t *testing.T) {
	c := newCluster(t, 2, plannedText(4, 4, 6, costlyBuffer))
	for _, id := range []fleet.InstanceID{"runner-1", "runner-2"} {
		d := drainOf(id, control.PurposeHold)
		d.Force = true
		must.EqOp(t, control.Accepted, c.command(0, d).Outcome)
	}
	c.run(time.Minute)
	must.EqOp(t, 6, c.poolSizes(1)["main"])
}

func TestMovesUnderWayAreBounded(t *testing.T) {
	text := plannedText(2, 12, 24, costlyBuffer)
	text.Maintenance.Probation = time.Minute
	c := newCluster(t, 2, text)
	c.run(50 * time.Second)
	must.EqOp(t, 4, c.movedCount())
	must.EqOp(t, 4, c.maxOutOfService)
	c.run(4 * time.Minute)
	must.EqOp(t, 12, c.movedCount())
}

// TestPlannerWaitsForWaves runs a wave whose steps take longer than the hold of
// a shortfall. During each step the pool lacks a part of its reserve.
func TestPlannerWaitsForWaves(t *testing.T) {
	text := plannedText(8, 2, 8, fleet.Prices{Buffer: 1, Move: 10000})
	text.Maintenance.Probation = 2 * planner.ShortfallHold
	c := newCluster(t, 2, text)
	must.EqOp(t, control.Accepted, c.command(0, rebootMainPool).Outcome)
	c.runUntilWave(0, inWavePhase("done"))
	must.EqOp(t, 8, c.wave(0).Done)
	must.EqOp(t, 0, c.movedCount())
}

func TestPlannerWaitsForRehearsals(t *testing.T) {
	c := newCluster(t, 2, plannedText(8, 2, 16, costlyBuffer))
	start := control.StartRehearsal{Domain: loseDC2, Duration: time.Minute, Force: true}
	must.EqOp(t, control.Accepted, c.command(0, start).Outcome)
	c.run(50 * time.Second)
	must.EqOp(t, 0, c.movedCount())
}

// TestAnotherEntryPlansWhenOneFails kills each entry at several times around
// the first move.
func TestAnotherEntryPlansWhenOneFails(t *testing.T) {
	for victim := range 3 {
		for at := 8 * time.Second; at < 14*time.Second; at += 4 * drains.StepInterval {
			t.Run(fmt.Sprintf("%d/%s", victim, at), func(t *testing.T) {
				c := newCluster(t, 3, plannedText(4, 2, 12, costlyBuffer))
				c.run(at)
				c.entries[victim].dead = true
				c.run(20 * time.Second)
				must.EqOp(t, 2, c.movedCount())
				must.EqOp(t, 6, c.poolSizes((victim + 1) % 3)["main"])
			})
		}
	}
}

// TestPartitionedEntriesMoveNoInstanceTwice cuts all entries off
// from each other, so that each of them ranks first and plans.
func TestPartitionedEntriesMoveNoInstanceTwice(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 2, 12, costlyBuffer))
	for _, m := range c.entries {
		m.noPeers = true
	}
	c.run(time.Minute)
	must.EqOp(t, 2, c.movedCount())
	must.EqOp(t, 6, c.poolSizes(0)["main"])
	must.EqOp(t, 0, c.poolSizes(0)["spare"])
}

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

var dearBuffer = fleet.Prices{Buffer: 60, Move: 0.5}

// sizes returns the number of instances in each pool as an entry sees it.
func (c *cluster) sizes(i int) map[fleet.PoolName]int { return c.status(i).Pools }

// moved returns how many records put an instance into another pool.
func (c *cluster) moved() int {
	fold := control.New()
	for _, p := range c.log {
		fold.Apply(p)
	}
	return int(fold.Moves)
}

func TestLastingShortfallTakesSpares(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 4, 9, dearBuffer))
	c.run(planner.ShortfallHold / 2)
	must.EqOp(t, 0, c.moved())
	c.run(planner.ShortfallHold)
	must.EqOp(t, 2, c.moved())
	c.run(time.Minute)
	must.EqOp(t, 2, c.moved())
	for i := range c.entries {
		must.EqOp(t, 6, c.sizes(i)["main"])
	}
	c.mustBeInService(0)
}

func TestShortfallOfSecondsMovesNothing(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 2, 4, dearBuffer))
	version := fleet.Version(1)
	for range 5 {
		for _, demand := range []float64{12, 4} {
			res := c.command(0, control.Publish{Base: version, Text: plannedText(4, 2, demand, dearBuffer)})
			must.EqOp(t, control.Accepted, res.Outcome)
			version = res.Version
			c.run(5 * time.Second)
		}
	}
	must.EqOp(t, 0, c.moved())
}

func TestTextWithoutPricesLeavesMovesToOperators(t *testing.T) {
	c := newCluster(t, 2, plannedText(4, 2, 12, fleet.Prices{}))
	c.run(time.Minute)
	must.EqOp(t, 0, c.moved())
}

func TestPriceOfBufferSendsSurplusBack(t *testing.T) {
	cheap := newCluster(t, 2, plannedText(8, 2, 2, dearBuffer))
	dear := newCluster(t, 2, plannedText(8, 2, 2, fleet.Prices{Buffer: 1, Move: 100}))
	cheap.run(5 * time.Minute)
	dear.run(5 * time.Minute)
	must.Positive(t, cheap.moved())
	must.EqOp(t, 0, dear.moved())
	must.EqOp(t, 10, cheap.sizes(0)["main"]+cheap.sizes(0)["spare"])
}

func TestLostInstancesAreReplacedBySpares(t *testing.T) {
	c := newCluster(t, 2, plannedText(4, 4, 6, dearBuffer))
	for _, id := range []fleet.InstanceID{"runner-1", "runner-2"} {
		d := drainOf(id, control.PurposeHold)
		d.Force = true
		must.EqOp(t, control.Accepted, c.command(0, d).Outcome)
	}
	c.run(time.Minute)
	must.EqOp(t, 6, c.sizes(1)["main"])
}

func TestMovesUnderWayAreBounded(t *testing.T) {
	text := plannedText(2, 12, 24, dearBuffer)
	text.Maintenance.Probation = time.Minute
	c := newCluster(t, 2, text)
	c.run(50 * time.Second)
	must.EqOp(t, 4, c.moved())
	must.EqOp(t, 4, c.mostOut)
	c.run(4 * time.Minute)
	must.EqOp(t, 12, c.moved())
}

// TestPlannerWaitsForWaves has a pool that lacks a part of its reserve for as
// long as a step takes.
func TestPlannerWaitsForWaves(t *testing.T) {
	text := plannedText(8, 2, 8, fleet.Prices{Buffer: 1, Move: 10000})
	text.Maintenance.Probation = 2 * planner.ShortfallHold
	c := newCluster(t, 2, text)
	must.EqOp(t, control.Accepted, c.command(0, wholeMain).Outcome)
	c.untilWave(0, isIn("done"))
	must.EqOp(t, 8, c.wave(0).Done)
	must.EqOp(t, 0, c.moved())
}

func TestPlannerWaitsForRehearsals(t *testing.T) {
	c := newCluster(t, 2, plannedText(8, 2, 16, dearBuffer))
	start := control.StartRehearsal{Domain: loseDC2, Duration: time.Minute, Force: true}
	must.EqOp(t, control.Accepted, c.command(0, start).Outcome)
	c.run(50 * time.Second)
	must.EqOp(t, 0, c.moved())
}

// TestAnotherEntryPlansWhenOneDies kills each entry at several times around the
// first move.
func TestAnotherEntryPlansWhenOneDies(t *testing.T) {
	for victim := range 3 {
		for at := 8 * time.Second; at < 14*time.Second; at += 4 * drains.StepInterval {
			t.Run(fmt.Sprintf("%d/%s", victim, at), func(t *testing.T) {
				c := newCluster(t, 3, plannedText(4, 2, 12, dearBuffer))
				c.run(at)
				c.entries[victim].dead = true
				c.run(20 * time.Second)
				must.EqOp(t, 2, c.moved())
				must.EqOp(t, 6, c.sizes((victim + 1) % 3)["main"])
			})
		}
	}
}

// TestEntriesThatDoNotHearEachOtherMoveNoInstanceTwice has every entry take
// itself for the one that plans.
func TestEntriesThatDoNotHearEachOtherMoveNoInstanceTwice(t *testing.T) {
	c := newCluster(t, 3, plannedText(4, 2, 12, dearBuffer))
	for _, m := range c.entries {
		m.noPeers = true
	}
	c.run(time.Minute)
	must.EqOp(t, 2, c.moved())
	must.EqOp(t, 6, c.sizes(0)["main"])
	must.EqOp(t, 0, c.sizes(0)["spare"])
}

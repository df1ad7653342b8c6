package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/shoenig/test/must"
)

func moveTo(id fleet.InstanceID, to fleet.PoolName) control.Move {
	return control.Move{Instance: id, To: to, Base: control.CurrentEpoch}
}

func (c *cluster) pool(i int, id fleet.InstanceID) fleet.PoolName {
	for _, in := range c.status(i).Instances {
		if in.ID == id {
			return in.Pool
		}
	}
	return ""
}

func TestMoveOfABusyInstanceWaitsForItsRequests(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 0))
	slow := c.occupy(2, "runner-1")
	must.EqOp(t, control.Accepted, c.command(0, moveTo("runner-1", "spare")).Outcome)
	c.run(5 * time.Second)
	must.EqOp(t, "main", c.pool(0, "runner-1"))
	c.finish(2, slow, 200)
	c.runUntilPhase(0, "runner-1", "probation")
	c.runUntilPhase(0, "runner-1", "in-service")
	for i := range c.entries {
		must.EqOp(t, "spare", c.pool(i, "runner-1"))
	}
}

func TestMoveOfASpareTakesOneRecord(t *testing.T) {
	c := newCluster(t, 2, fleetText(1, 1, 0))
	before := len(c.log)
	must.EqOp(t, control.Accepted, c.command(0, moveTo("spare-1", "main")).Outcome)
	must.EqOp(t, 1, len(c.log)-before)
	must.EqOp(t, "main", c.pool(0, "spare-1"))
	c.runUntilPhase(1, "spare-1", "probation")
	c.runUntilPhase(1, "spare-1", "in-service")
	c.occupy(1, "spare-1")
}

func TestRacingMovesOfOneInstance(t *testing.T) {
	text := fleetText(4, 1, 0)
	text.Pools = append(text.Pools, fleet.Pool{Name: "other", Slots: 2, MaxSize: 10})
	c := newCluster(t, 2, text)
	first := control.Move{Instance: "spare-1", From: "spare", To: "main"}
	second := control.Move{Instance: "spare-1", From: "spare", To: "other"}
	must.EqOp(t, control.Accepted, c.command(0, first).Outcome)
	must.EqOp(t, control.Conflict, c.command(1, second).Outcome)
	must.EqOp(t, "main", c.pool(1, "spare-1"))
}

func TestMoveWithAWrongPoolIsRefused(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 0))
	res := c.command(0, control.Move{Instance: "spare-1", From: "main", To: "spare"})
	must.NotEqOp(t, control.Accepted, res.Outcome)
	must.EqOp(t, "spare", c.pool(0, "spare-1"))
	must.EqOp(t, control.Invalid, c.command(0, moveTo("spare-1", "nowhere")).Outcome)
	must.EqOp(t, control.Invalid, c.command(0, moveTo("nobody", "main")).Outcome)
}

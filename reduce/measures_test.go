package reduce_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/shoenig/test/must"
)

func TestRollOutLastsUntilTheSlowestEntryFollows(t *testing.T) {
	c := newCluster(t, 3, fleetText(4, 1, 4))
	c.run(time.Second)
	c.entries[2].noLog, c.entries[2].noPeers = true, true
	must.EqOp(t, control.Accepted, c.command(0, control.Publish{Base: 1, Text: fleetText(4, 2, 4)}).Outcome)
	c.run(time.Second)
	must.EqOp(t, 1, c.status(0).Measures.RollOuts.Pending)
	c.entries[2].noLog, c.entries[2].noPeers = false, false
	c.run(3 * time.Second)
	r := c.status(0).Measures.RollOuts
	must.EqOp(t, 0, r.Pending)
	must.EqOp(t, 1, r.Count)
	must.GreaterEq(t, time.Second, r.Last)
	c.run(5 * time.Second)
	must.EqOp(t, r.Last.Seconds(), c.gauges[gauge{"entry-1", effect.RollOutSeconds}])
}

func TestIdleInstancesCostTheirPrice(t *testing.T) {
	c := newCluster(t, 1, plannedText(8, 2, 8, fleet.Prices{Buffer: 36, Move: 1000}))
	before := c.status(0).Measures.Buffer
	c.run(100 * time.Second)
	after := c.status(0).Measures.Buffer
	must.EqOp(t, 5, after.Idle)
	must.InDelta(t, 5, after.Cost-before.Cost, 0.1)
	must.InDelta(t, after.Cost, 36*after.InstanceHours, 1e-6)
	must.EqOp(t, 5.0, c.gauges[gauge{"entry-1", effect.BufferInstances}])
}

func TestStatusReportsTheDurationOfAWave(t *testing.T) {
	c := newCluster(t, 2, fleetText(4, 1, 0))
	c.command(0, rebootMainPool)
	start := c.now
	c.runUntilWave(0, inWavePhase("done"))
	w := c.wave(0)
	must.True(t, w.Started.Equal(start))
	must.Positive(t, w.Ended.Sub(w.Started))
	must.LessEq(t, c.now.Sub(start), w.Ended.Sub(w.Started))
	c.run(6 * time.Second)
	must.EqOp(t, w.Ended.Sub(w.Started).Seconds(), c.gauges[gauge{"entry-2", effect.WaveSeconds}])
}

func TestStatusReportsTheBudgetBurnt(t *testing.T) {
	c := newCluster(t, 1, fleetText(4, 1, 4))
	for i := range 40 {
		a, _ := c.request(0)
		status := 200
		if i < 2 {
			status = 500
		}
		c.finish(0, a, status)
	}
	svc := c.status(0).Services[0]
	must.EqOp(t, 38, svc.Answered)
	must.EqOp(t, 2, svc.Failed)
	must.InDelta(t, 0.5, svc.Burnt, 1e-9)
	must.InDelta(t, 0.5, svc.Burn, 1e-9)
	must.False(t, svc.Observed)
	must.EqOp(t, 4.0, svc.Demand)
}

package measure_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/measure"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/shoenig/test/must"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestBufferAddsUpIdleInstancesOverTime(t *testing.T) {
	var s measure.State
	needs := []planner.Need{{Pool: "a", Available: 10, Required: 6}, {Pool: "b", Available: 3, Required: 5}, {Pool: "spare", Spare: true, Available: 2}}
	for second := range 601 {
		s.SampleIdle(epoch.Add(time.Duration(second)*time.Second), needs, fleet.Prices{Buffer: 10})
	}
	b := s.Buffer()
	must.EqOp(t, 6, b.Idle)
	must.InDelta(t, 1.0, b.InstanceHours, 1e-6)
	must.InDelta(t, 10.0, b.Cost, 1e-6)
}

func TestLongGapBetweenSamplesIsCapped(t *testing.T) {
	var s measure.State
	needs := []planner.Need{{Available: 60}}
	s.SampleIdle(epoch, needs, fleet.Prices{})
	s.SampleIdle(epoch.Add(24*time.Hour), needs, fleet.Prices{})
	must.InDelta(t, 1.0, s.Buffer().InstanceHours, 1e-6)
}

func TestRollOutEndsWhenTheLastEntryHasTheVersion(t *testing.T) {
	var s measure.State
	s.RecordPublished(3, epoch)
	s.RecordPublished(5, epoch.Add(time.Second))
	s.RecordInForce(2, epoch.Add(time.Second))
	must.EqOp(t, measure.RollOuts{Pending: 2}, s.RollOuts())
	s.RecordInForce(4, epoch.Add(2*time.Second))
	must.EqOp(t, measure.RollOuts{Count: 1, Last: 2 * time.Second, Longest: 2 * time.Second, Pending: 1}, s.RollOuts())
	s.RecordInForce(5, epoch.Add(2*time.Second))
	must.EqOp(t, measure.RollOuts{Count: 2, Last: time.Second, Longest: 2 * time.Second}, s.RollOuts())
}

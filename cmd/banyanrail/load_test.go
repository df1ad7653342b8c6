package main

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/load"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/measure"
	"github.com/shoenig/test/must"
)

func TestCostOfRunIsDifferenceOfMeasures(t *testing.T) {
	before := &effect.Measures{
		Buffer: measure.Buffer{InstanceHours: 1, Cost: 10}, RollOuts: measure.RollOuts{Count: 2, Last: time.Second}, Moves: 3,
	}
	after := &effect.Measures{
		Buffer:   measure.Buffer{InstanceHours: 1.5, Cost: 15},
		RollOuts: measure.RollOuts{Count: 3, Last: 20 * time.Millisecond, Longest: time.Second}, Moves: 7,
	}
	want := &load.FleetSummary{
		BufferCost: 5, BufferInstanceHours: 0.5, RollOuts: 1, LastRollOut: 20, LongestRollOut: 1000, Moves: 4,
	}
	must.Eq(t, want, costOfRun(before, after))
	must.Nil(t, costOfRun(nil, after))
	must.Nil(t, costOfRun(before, nil))
}

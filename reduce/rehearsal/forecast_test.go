package rehearsal_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
	"github.com/shoenig/test/must"
)

// input returns the input for a fleet with a pool "store" of two instances in
// dc1 and one in dc2, and a pool "web" of one instance in each.
func input(demand planner.Demand) rehearsal.Input {
	text := &fleet.Text{
		DataCentres: []fleet.DataCentre{"dc1", "dc2"},
		Pools:       []fleet.Pool{{Name: "store", Slots: 10}, {Name: "web", Slots: 10}},
		Instances: []fleet.Instance{
			{ID: "s1", DataCentre: "dc1", Rack: "r1"},
			{ID: "s2", DataCentre: "dc1", Rack: "r2"},
			{ID: "s3", DataCentre: "dc2", Rack: "r1"},
			{ID: "w1", DataCentre: "dc1", Rack: "r1"},
			{ID: "w2", DataCentre: "dc2", Rack: "r1"},
		},
		Services: []fleet.Service{
			{Name: "page", Pool: "web", DependsOn: []fleet.ServiceName{"rows"}, Availability: 0.9},
			{Name: "rows", Pool: "store", Availability: 0.99},
		},
	}
	pools := map[fleet.InstanceID]fleet.PoolName{"s1": "store", "s2": "store", "s3": "store", "w1": "web", "w2": "web"}
	return rehearsal.Input{Text: text, Pools: pools, Demand: demand}
}

func TestLossThatThePoolsCarryBreaksNothing(t *testing.T) {
	in := input(planner.Demand{"page": 10, "rows": 10})
	in.Domain = rehearsal.Domain{DataCentre: "dc1"}
	for _, s := range rehearsal.Forecast(in) {
		must.False(t, s.Breaks)
		must.EqOp(t, 1.0, s.Availability)
	}
}

func TestShortDependencyBreaksItsDependants(t *testing.T) {
	in := input(planner.Demand{"page": 5, "rows": 20})
	in.Domain = rehearsal.Domain{DataCentre: "dc1"}
	got := rehearsal.Forecast(in)
	page, rows := got[0], got[1]
	must.True(t, page.Breaks)
	must.EqOp(t, "rows", page.Cause)
	must.EqOp(t, 0.5, page.Availability)
	must.True(t, rows.Breaks)
	must.EqOp(t, 10, rows.Slots)
	must.EqOp(t, 30, rows.Before)
	// Half of the requests fail; one in a hundred may.
	must.EqOp(t, 30*24*time.Hour/50, rows.Exhausted.Round(time.Second))
}

func TestRackIsASmallerDomain(t *testing.T) {
	in := input(planner.Demand{"page": 5, "rows": 20})
	in.Domain = rehearsal.Domain{DataCentre: "dc1", Rack: "r2"}
	got := rehearsal.Forecast(in)
	must.False(t, got[1].Breaks)
	must.EqOp(t, 20, got[1].Slots)
}

func TestUnavailableInstancesCountAsLost(t *testing.T) {
	in := input(planner.Demand{"rows": 20})
	in.Domain = rehearsal.Domain{DataCentre: "dc1", Rack: "r2"}
	in.Unavailable = map[fleet.InstanceID]bool{"s1": true}
	must.True(t, rehearsal.Forecast(in)[1].Breaks)
}

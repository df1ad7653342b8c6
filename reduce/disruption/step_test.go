package disruption_test

import (
	"testing"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/disruption"
	"github.com/shoenig/test/must"
)

// twoPools returns a fleet of two pools with four instances each, two per data
// centre. The service of pool "a" depends on that of pool "b".
func twoPools(demand, availability float64) disruption.Input {
	text := &fleet.Text{
		Pools: []fleet.Pool{{Name: "a", Slots: 10}, {Name: "b", Slots: 10}},
		Services: []fleet.Service{
			{Name: "front", Pool: "a", DependsOn: []fleet.ServiceName{"back"}, Demand: demand, Availability: availability},
			{Name: "back", Pool: "b", Demand: 1, Availability: 0.5},
		},
		Maintenance: fleet.Maintenance{MaxStep: 8},
	}
	in := disruption.Input{Text: text, Pools: make(map[fleet.InstanceID]fleet.PoolName), Unavailable: make(map[fleet.InstanceID]bool)}
	for i, id := range []fleet.InstanceID{"a1", "a2", "b1", "b2", "a3", "a4", "b3", "b4"} {
		centre := fleet.DataCentre("dc1")
		if i >= 4 {
			centre = "dc2"
		}
		pool := fleet.PoolName(id[:1])
		text.Instances = append(text.Instances, fleet.Instance{ID: id, Pool: pool, DataCentre: centre})
		in.Pools[id] = pool
	}
	return in
}

func pending(in disruption.Input) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, i := range in.Text.Instances {
		ids = append(ids, i.ID)
	}
	return ids
}

func TestDependantsDemandLeavesLessToSpare(t *testing.T) {
	left := disruption.Allowance(twoPools(15, 0.5))
	must.EqOp(t, 2, left["a"])
	must.EqOp(t, 2, left["b"])
	must.EqOp(t, 1, disruption.Allowance(twoPools(17, 0.5))["b"])
}

func TestStrictDependantKeepsAReserveInBothPools(t *testing.T) {
	left := disruption.Allowance(twoPools(15, 0.999))
	must.EqOp(t, 1, left["a"])
	must.EqOp(t, 1, left["b"])
}

func TestOutOfServiceInstancesReduceTheAllowance(t *testing.T) {
	in := twoPools(15, 0.999)
	in.Unavailable["a3"] = true
	must.EqOp(t, 0, disruption.Allowance(in)["a"])
	must.Eq(t, []fleet.InstanceID{"b1"}, disruption.NextStep(in, pending(in)))
}

func TestStepStaysInOneDataCentre(t *testing.T) {
	in := twoPools(1, 0.5)
	must.Eq(t, []fleet.InstanceID{"a1", "a2", "b1", "b2"}, disruption.NextStep(in, pending(in)))
	in.Text.Maintenance.MaxStep = 3
	must.Len(t, 3, disruption.NextStep(in, pending(in)))
}

func TestNothingIsSparedBelowDemand(t *testing.T) {
	in := twoPools(100, 0.5)
	must.Len(t, 0, disruption.NextStep(in, pending(in)))
}

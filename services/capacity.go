package services

import (
	"math"

	"github.com/banyanrail/banyanrail/fleet"
)

// budgetTolerance absorbs the rounding of products of shares.
const budgetTolerance = 1e-12

// checkBudgets reports services that promise more than their dependencies do
// together: a request needs all of them, so their shares multiply.
func (r *reader) checkBudgets(t *fleet.Text) {
	for i := range t.Services {
		s := &t.Services[i]
		supported := 1.0
		for _, name := range s.DependsOn {
			if dep, ok := t.Service(name); ok {
				supported *= dep.Availability
			}
		}
		if s.Availability > supported+budgetTolerance {
			r.fault(r.at(blockService, string(s.Name), attrAvailability), "Unsupported availability",
				"Service %q has the availability %v, but its dependencies support no more than %.6g.",
				s.Name, s.Availability, supported)
		}
	}
}

// checkCapacity reports pools whose expected demand would not fit after the
// loss of a data centre, even with all spare instances left elsewhere.
func (r *reader) checkCapacity(t *fleet.Text) {
	demand := make(map[fleet.PoolName]float64)
	for i := range t.Services {
		demand[t.Services[i].Pool] += t.Services[i].Demand
	}
	worst := fleet.DataCentre("")
	worstMissing := 0
	for _, lost := range t.DataCentres {
		if missing := missingInstances(t, demand, lost); missing > worstMissing {
			worst, worstMissing = lost, missing
		}
	}
	if worstMissing == 0 {
		return
	}
	left := instancesLeft(t, worst)
	for i := range t.Pools {
		p := &t.Pools[i]
		if need := shortfall(p, demand[p.Name], left[p.Name]); need > 0 {
			r.fault(r.at(blockPool, string(p.Name), attrSlots), "Capacity cannot be met",
				"Pool %q expects a demand of %v slots; after the loss of data centre %q it has %d instances of %d slots and needs %d more, but the spare instances left are %d too few for all pools.",
				p.Name, demand[p.Name], worst, left[p.Name], p.Slots, need, worstMissing)
		}
	}
}

// missingInstances is the number of instances that all pools lack together
// after the loss of a data centre, once the spare ones left are lent.
func missingInstances(t *fleet.Text, demand map[fleet.PoolName]float64, lost fleet.DataCentre) int {
	left := instancesLeft(t, lost)
	missing := 0
	for i := range t.Pools {
		p := &t.Pools[i]
		if p.Spare {
			missing -= left[p.Name]
			continue
		}
		missing += shortfall(p, demand[p.Name], left[p.Name])
	}
	return missing
}

func instancesLeft(t *fleet.Text, lost fleet.DataCentre) map[fleet.PoolName]int {
	left := make(map[fleet.PoolName]int, len(t.Pools))
	for i := range t.Instances {
		if t.Instances[i].DataCentre != lost {
			left[t.Instances[i].Pool]++
		}
	}
	return left
}

func shortfall(p *fleet.Pool, demand float64, instances int) int {
	need := int(math.Ceil(demand / float64(p.Slots)))
	return max(0, need-instances)
}

package services

import (
	"math"

	"github.com/banyanrail/banyanrail/fleet"
)

// budgetTolerance allows for rounding errors in products of availabilities.
const budgetTolerance = 1e-12

// checkBudgets reports services whose availability exceeds that of their
// dependencies combined. A request needs all dependencies, so their
// availabilities multiply.
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
			r.addFault(r.rangeOf(blockService, string(s.Name), attrAvailability), "Unsupported availability",
				"Service %q has the availability %v, but its dependencies support no more than %.6g.",
				s.Name, s.Availability, supported)
		}
	}
}

// checkCapacity reports pools that could not carry their expected demand after
// the loss of a data centre, even with all spare instances of the others.
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
	remaining := remainingInstances(t, worst)
	for i := range t.Pools {
		p := &t.Pools[i]
		if need := shortfall(p, demand[p.Name], remaining[p.Name]); need > 0 {
			r.addFault(r.rangeOf(blockPool, string(p.Name), attrSlots), "Capacity cannot be met",
				"Pool %q expects a demand of %v slots; after the loss of data centre %q it has %d instances of %d slots and needs %d more, but the spare instances left are %d too few for all pools.",
				p.Name, demand[p.Name], worst, remaining[p.Name], p.Slots, need, worstMissing)
		}
	}
}

// missingInstances returns the number of instances that all pools together lack
// after the loss of a data centre, once the remaining spare instances have been
// moved to them. It is negative when spare instances are left over.
func missingInstances(t *fleet.Text, demand map[fleet.PoolName]float64, lost fleet.DataCentre) int {
	remaining := remainingInstances(t, lost)
	missing := 0
	for i := range t.Pools {
		p := &t.Pools[i]
		if p.Spare {
			missing -= remaining[p.Name]
			continue
		}
		missing += shortfall(p, demand[p.Name], remaining[p.Name])
	}
	return missing
}

func remainingInstances(t *fleet.Text, lost fleet.DataCentre) map[fleet.PoolName]int {
	remaining := make(map[fleet.PoolName]int, len(t.Pools))
	for i := range t.Instances {
		if t.Instances[i].DataCentre != lost {
			remaining[t.Instances[i].Pool]++
		}
	}
	return remaining
}

func shortfall(p *fleet.Pool, demand float64, instances int) int {
	need := int(math.Ceil(demand / float64(p.Slots)))
	return max(0, need-instances)
}

// Package disruption decides how many instances may be out of service at once
// without breaking a service's availability budget, and which a wave takes
// next.
package disruption

import (
	"math"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

const (
	// strictAvailability is the availability from which on a pool also keeps a
	// reserve for an unplanned failure during a step.
	strictAvailability = 0.99
	// undeclaredShare is the share of a pool that stays in service when the text
	// declares no demand for it.
	undeclaredShare = 0.5
)

// Input is what the decisions are made from.
type Input struct {
	Text *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Out holds the instances that are out of service or on probation.
	Out map[fleet.InstanceID]bool
}

// Allowance returns how many more instances each pool can spare. It is
// negative for a pool that has too few left already.
func Allowance(in Input) map[fleet.PoolName]int {
	have := make(map[fleet.PoolName]int)
	inService := make(map[fleet.PoolName]int)
	for id, pool := range in.Pools {
		have[pool]++
		if !in.Out[id] {
			inService[pool]++
		}
	}
	left := make(map[fleet.PoolName]int)
	if in.Text == nil {
		return left
	}
	demand := planner.Declared(in.Text).ByPool(in.Text)
	for _, p := range in.Text.Pools {
		left[p.Name] = inService[p.Name] - keep(in.Text, p, have[p.Name], demand[p.Name])
	}
	return left
}

// keep returns how many instances of a pool have to stay in service.
func keep(text *fleet.Text, p fleet.Pool, have int, demand float64) int {
	if demand <= 0 || p.Capacity() <= 0 {
		return max(1, int(math.Ceil(float64(have)*undeclaredShare)))
	}
	return max(1, planner.InstancesFor(demand, p.Capacity())) + reserve(text, p.Name)
}

// reserve returns how many instances a pool keeps for an unplanned failure. A
// pool is as strict as the strictest service that needs it, dependants
// included.
func reserve(text *fleet.Text, pool fleet.PoolName) int {
	strictest := 0.0
	for i := range text.Services {
		if text.Services[i].Pool == pool {
			strictest = max(strictest, strictestOf(text, text.Services[i].Name, make(map[fleet.ServiceName]bool)))
		}
	}
	if strictest >= strictAvailability {
		return 1
	}
	return 0
}

// strictestOf returns the highest availability of a service and its
// dependants.
func strictestOf(text *fleet.Text, name fleet.ServiceName, seen map[fleet.ServiceName]bool) float64 {
	if seen[name] {
		return 0
	}
	seen[name] = true
	strictest := 0.0
	for i := range text.Services {
		svc := &text.Services[i]
		if svc.Name == name {
			strictest = max(strictest, svc.Availability)
		}
		for _, dep := range svc.DependsOn {
			if dep == name {
				strictest = max(strictest, strictestOf(text, svc.Name, seen))
			}
		}
	}
	return strictest
}

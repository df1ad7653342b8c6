// Package disruption decides how many instances may be out of service at once
// without breaking a service's availability budget, and which instances a wave
// drains next.
package disruption

import (
	"math"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

const (
	// reserveAvailability is the lowest availability target for which a pool also
	// keeps an instance in reserve for an unplanned failure during a step.
	reserveAvailability = 0.99
	// undeclaredShare is the share of a pool's instances that stays in service if
	// the services text declares no demand for the pool.
	undeclaredShare = 0.5
)

// Input is the input to the decisions.
type Input struct {
	Text *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Unavailable holds the instances that are out of service or on probation.
	Unavailable map[fleet.InstanceID]bool
}

// Allowance returns how many more instances each pool can spare. The number is
// negative for a pool that already has too few instances in service.
func Allowance(in Input) map[fleet.PoolName]int {
	total := make(map[fleet.PoolName]int)
	inService := make(map[fleet.PoolName]int)
	for id, pool := range in.Pools {
		total[pool]++
		if !in.Unavailable[id] {
			inService[pool]++
		}
	}
	allowance := make(map[fleet.PoolName]int)
	if in.Text == nil {
		return allowance
	}
	demand := planner.Declared(in.Text).ByPool(in.Text)
	for _, p := range in.Text.Pools {
		allowance[p.Name] = inService[p.Name] - required(in.Text, p, total[p.Name], demand[p.Name])
	}
	return allowance
}

// required returns how many instances of a pool have to stay in service.
func required(text *fleet.Text, p fleet.Pool, total int, demand float64) int {
	if demand <= 0 || p.Capacity() <= 0 {
		return max(1, int(math.Ceil(float64(total)*undeclaredShare)))
	}
	return max(1, planner.InstancesFor(demand, p.Capacity())) + reserve(text, p.Name)
}

// reserve returns how many instances a pool keeps for an unplanned failure. The
// highest availability target among the pool's services and their dependants
// counts.
func reserve(text *fleet.Text, pool fleet.PoolName) int {
	highest := 0.0
	for i := range text.Services {
		if text.Services[i].Pool == pool {
			highest = max(highest, highestAvailability(text, text.Services[i].Name, make(map[fleet.ServiceName]bool)))
		}
	}
	if highest >= reserveAvailability {
		return 1
	}
	return 0
}

// highestAvailability returns the highest availability of a service and its
// dependants.
func highestAvailability(text *fleet.Text, name fleet.ServiceName, seen map[fleet.ServiceName]bool) float64 {
	if seen[name] {
		return 0
	}
	seen[name] = true
	highest := 0.0
	for i := range text.Services {
		svc := &text.Services[i]
		if svc.Name == name {
			highest = max(highest, svc.Availability)
		}
		for _, dep := range svc.DependsOn {
			if dep == name {
				highest = max(highest, highestAvailability(text, svc.Name, seen))
			}
		}
	}
	return highest
}

package planner

import (
	"math"

	"github.com/banyanrail/banyanrail/fleet"
)

// Demand is the mean number of slots that each service needs.
type Demand map[fleet.ServiceName]float64

// Declared returns the demand that a services text declares. A request of a
// service needs one request of each service that it depends on, so a service's
// demand includes that of its dependants.
func Declared(text *fleet.Text) Demand {
	own := make(Demand, len(text.Services))
	for i := range text.Services {
		own[text.Services[i].Name] = text.Services[i].Demand
	}
	all := make(Demand, len(own))
	for i := range text.Services {
		addDemand(text, all, text.Services[i].Name, own[text.Services[i].Name], make(map[fleet.ServiceName]bool))
	}
	return all
}

// addDemand adds demand to a service and to each service that it depends on,
// once however many dependency paths lead there.
func addDemand(text *fleet.Text, all Demand, name fleet.ServiceName, demand float64, seen map[fleet.ServiceName]bool) {
	if seen[name] {
		return
	}
	seen[name] = true
	all[name] += demand
	svc, ok := text.Service(name)
	if !ok {
		return
	}
	for _, dep := range svc.DependsOn {
		addDemand(text, all, dep, demand, seen)
	}
}

// Merge returns the observed demand where there is one, and the declared demand
// elsewhere. Declared demand is often far off.
func Merge(declared, observed Demand) Demand {
	merged := make(Demand, len(declared))
	for name, d := range declared {
		merged[name] = d
	}
	for name, d := range observed {
		merged[name] = d
	}
	return merged
}

// ByPool returns the demand of each pool, in slots.
func (d Demand) ByPool(text *fleet.Text) map[fleet.PoolName]float64 {
	pools := make(map[fleet.PoolName]float64, len(text.Pools))
	for i := range text.Services {
		pools[text.Services[i].Pool] += d[text.Services[i].Name]
	}
	return pools
}

// TargetUtilisation is the share of a pool's slots that its mean demand may
// use. With nearly all slots in use, queues grow without bound.
const TargetUtilisation = 0.8

// InstancesFor returns how many instances carry a mean demand, in slots, at the
// target utilisation. slots is the number of slots of an instance.
func InstancesFor(demand float64, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(demand / (float64(slots) * TargetUtilisation)))
}

// instancesAtFullUse returns how many instances carry a demand, in slots, with
// all slots in use. This suffices for bursts of seconds, since the queues empty
// again afterwards.
func instancesAtFullUse(demand float64, slots int) int {
	if slots <= 0 {
		return 0
	}
	return int(math.Ceil(demand / float64(slots)))
}

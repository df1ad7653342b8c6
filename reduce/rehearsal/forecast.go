// Package rehearsal forecasts the effect of losing a failure domain on each
// service, and collects what entries observe while the loss is rehearsed.
package rehearsal

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

// budgetPeriod is the period that an availability budget covers.
const budgetPeriod = 30 * 24 * time.Hour

// Domain is a failure domain: a data centre, or a rack within one.
type Domain struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Rack is empty for a whole data centre.
	Rack fleet.Rack `json:"rack,omitempty"`
}

// Contains reports whether an instance is in the domain.
func (d Domain) Contains(in *fleet.Instance) bool {
	return in.DataCentre == d.DataCentre && (d.Rack == "" || in.Rack == d.Rack)
}

// String returns the domain as "data centre" or "data centre/rack".
func (d Domain) String() string {
	if d.Rack == "" {
		return string(d.DataCentre)
	}
	return string(d.DataCentre) + "/" + string(d.Rack)
}

// Input is the input to a forecast.
type Input struct {
	Text *fleet.Text
	// Pools holds the pool of each instance.
	Pools map[fleet.InstanceID]fleet.PoolName
	// Unavailable holds the instances that serve no requests even before the
	// loss.
	Unavailable map[fleet.InstanceID]bool
	Demand      planner.Demand
	Domain      Domain
}

// Service is the forecast for one service.
type Service struct {
	Name fleet.ServiceName `json:"name"`
	Pool fleet.PoolName    `json:"pool"`
	// Slots and Before are the slots in the service's pool after and before the
	// loss.
	Slots  int `json:"slots"`
	Before int `json:"before"`
	// PoolDemand is the total demand on the pool, in slots.
	PoolDemand float64 `json:"pool_demand"`
	// Availability is the share of requests that can be answered, taking into
	// account all services that the service depends on.
	Availability float64 `json:"availability"`
	// Breaks is set if Availability is below the service's availability target.
	Breaks bool `json:"breaks"`
	// Cause is the service whose pool has the largest shortage of slots: this one
	// or one that it depends on. It is empty if no pool has too few slots.
	Cause fleet.ServiceName `json:"cause,omitempty"`
	// Exhausted is how long the loss may last before it has spent the budget of
	// 30 days; zero means that it spends none.
	Exhausted time.Duration `json:"exhausted_ns,omitempty"`
}

// Forecast returns the forecast for every service, ordered by name.
func Forecast(in Input) []Service {
	f := forecaster{in: in, before: slots(in, Domain{}), after: slots(in, in.Domain), pools: in.Demand.ByPool(in.Text)}
	out := make([]Service, 0, len(in.Text.Services))
	for i := range in.Text.Services {
		out = append(out, f.service(&in.Text.Services[i]))
	}
	slices.SortFunc(out, func(a, b Service) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

type forecaster struct {
	in            Input
	before, after map[fleet.PoolName]int
	pools         map[fleet.PoolName]float64
}

func (f *forecaster) service(svc *fleet.Service) Service {
	availability, cause := f.availability(svc)
	out := Service{
		Name:         svc.Name,
		Pool:         svc.Pool,
		Slots:        f.after[svc.Pool],
		Before:       f.before[svc.Pool],
		PoolDemand:   f.pools[svc.Pool],
		Availability: availability,
		Cause:        cause,
	}
	// If no pool has too few slots, the loss does not affect the service.
	if cause == "" {
		return out
	}
	out.Breaks = availability < svc.Availability
	out.Exhausted = timeToExhaust(availability, svc.Availability)
	return out
}

// availability returns the product of the shares of demand met by the pools of
// a service and of all services that it depends on directly or indirectly, each
// counted once. It also returns the service with the smallest share; an empty
// name if all demand is met.
func (f *forecaster) availability(svc *fleet.Service) (float64, fleet.ServiceName) {
	product, worst := 1.0, 1.0
	var cause fleet.ServiceName
	seen := make(map[fleet.ServiceName]bool)
	var visit func(s *fleet.Service)
	visit = func(s *fleet.Service) {
		if seen[s.Name] {
			return
		}
		seen[s.Name] = true
		share := f.share(s.Pool)
		product *= share
		if share < worst {
			worst, cause = share, s.Name
		}
		for _, dep := range s.DependsOn {
			if d, ok := f.in.Text.Service(dep); ok {
				visit(d)
			}
		}
	}
	visit(svc)
	return product, cause
}

// share returns the share of a pool's demand that its slots can meet.
func (f *forecaster) share(pool fleet.PoolName) float64 {
	demand := f.pools[pool]
	if demand <= 0 {
		return 1
	}
	return math.Min(1, float64(f.after[pool])/demand)
}

func timeToExhaust(availability, budget float64) time.Duration {
	loss := 1 - availability
	if loss <= 0 {
		return 0
	}
	return time.Duration((1 - budget) / loss * float64(budgetPeriod))
}

// slots returns the available slots of each pool without the instances of the
// lost domain. The zero Domain contains no instances.
func slots(in Input, lost Domain) map[fleet.PoolName]int {
	left := make(map[fleet.PoolName]int, len(in.Text.Pools))
	for i := range in.Text.Instances {
		it := &in.Text.Instances[i]
		if in.Unavailable[it.ID] || (lost != Domain{} && lost.Contains(it)) {
			continue
		}
		pool, ok := in.Text.Pool(in.Pools[it.ID])
		if ok {
			left[pool.Name] += pool.Capacity()
		}
	}
	return left
}

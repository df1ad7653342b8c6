package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Parameters of all layouts.
const (
	dataCentres = 4
	rackSize    = 4
	timeLimit   = 10 * time.Second
	drainLimit  = 30 * time.Second
	probation   = 5 * time.Second
)

// SparePool is the name of the spare pool of a layout.
const SparePool fleet.PoolName = "spare"

// Layout distributes a fleet's runners over several services.
type Layout struct {
	// Services get equal shares of the runners, each in a pool of its own.
	Services []LayoutService
	Members  []fleet.MemberName
	// Spares is the number of runners in the spare pool.
	Spares int
	Slots  int
}

// LayoutService is a service of a layout.
type LayoutService struct {
	Name       fleet.ServiceName
	Idempotent bool
}

// LayoutText returns a services text that distributes each service's instances
// evenly over the data centres.
func (f *Fleet) LayoutText(l Layout) *fleet.Text {
	text := &fleet.Text{Maintenance: fleet.Maintenance{DrainLimit: drainLimit, MaxStep: 1, Probation: probation}}
	for i := range dataCentres {
		text.DataCentres = append(text.DataCentres, fleet.DataCentre(fmt.Sprintf("dc%d", i+1)))
	}
	for _, name := range l.Members {
		text.Members = append(text.Members, fleet.Member{Name: name, Weight: 1})
	}
	for _, svc := range l.Services {
		text.Pools = append(text.Pools, fleet.Pool{
			Name: fleet.PoolName(svc.Name), Slots: l.Slots, Connections: fleet.DefaultConnections, MaxSize: 1,
		})
		text.Services = append(text.Services, fleet.Service{
			Name: svc.Name, Pool: fleet.PoolName(svc.Name), Availability: 0.999, Idempotent: svc.Idempotent,
			TimeLimit: timeLimit, MaxBody: fleet.DefaultMaxBody, MaxQueue: fleet.DefaultMaxQueue, MaxAttempts: 3,
		})
	}
	for i, r := range f.Runners {
		text.Instances = append(text.Instances, fleet.Instance{
			ID:         r.ID,
			Address:    r.Address,
			DataCentre: text.DataCentres[i/len(l.Services)%dataCentres],
			Rack:       fleet.Rack(fmt.Sprintf("r%d", i/(rackSize*dataCentres)+1)),
			Pool:       l.poolOf(i, len(f.Runners)),
		})
	}
	if l.Spares > 0 {
		text.Pools = append(text.Pools, fleet.Pool{
			Name: SparePool, Spare: true, Slots: l.Slots, Connections: fleet.DefaultConnections, MaxSize: 1,
		})
	}
	return text
}

// poolOf returns the pool of a runner, given by its index.
func (l Layout) poolOf(runner, runners int) fleet.PoolName {
	if runner >= runners-l.Spares {
		return SparePool
	}
	return fleet.PoolName(l.Services[runner%len(l.Services)].Name)
}

// Runs returns how often the runners ran the request of each idempotency key.
func (f *Fleet) Runs(ctx context.Context) (map[fleet.Key]int, error) {
	all := make(map[fleet.Key]int)
	for _, r := range f.Runners {
		runs, err := r.Runs(ctx)
		if err != nil {
			return nil, err
		}
		for key, n := range runs.ByKey {
			all[fleet.Key(key)] += n
		}
	}
	return all, nil
}

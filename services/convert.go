package services

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/samber/oops"
)

// text maps the decoded HCL to the vocabulary types.
func (f *file) text() (*fleet.Text, error) {
	t := &fleet.Text{}
	for _, dc := range f.DataCentres {
		t.DataCentres = append(t.DataCentres, fleet.DataCentre(dc.Name))
		t.Instances = append(t.Instances, dc.instances()...)
	}
	for _, m := range f.Members {
		t.Members = append(t.Members, fleet.Member{
			Name:   fleet.MemberName(m.Name),
			Weight: or(m.Weight, 1),
			Quota:  or(m.Quota, 0),
		})
	}
	for _, p := range f.Pools {
		t.Pools = append(t.Pools, fleet.Pool{
			Name:        fleet.PoolName(p.Name),
			Spare:       or(p.Spare, false),
			Slots:       or(p.Slots, fleet.DefaultSlots),
			Connections: or(p.Connections, fleet.DefaultConnections),
			MaxSize:     or(p.MaxSize, defaultMaxSize),
		})
	}
	for _, s := range f.Services {
		svc, err := s.service()
		if err != nil {
			return nil, err
		}
		t.Services = append(t.Services, svc)
	}
	if f.Prices != nil {
		t.Prices = fleet.Prices{Buffer: f.Prices.Buffer, Move: f.Prices.Move}
	}
	var err error
	t.Maintenance, err = f.Maintenance.limits()
	return t, err
}

func (dc dataCentre) instances() []fleet.Instance {
	var all []fleet.Instance
	for _, r := range dc.Racks {
		for _, in := range r.Instances {
			all = append(all, fleet.Instance{
				ID:         fleet.InstanceID(in.ID),
				Address:    in.Address,
				DataCentre: fleet.DataCentre(dc.Name),
				Rack:       fleet.Rack(r.Name),
				Pool:       fleet.PoolName(in.Pool),
			})
		}
	}
	return all
}

func (s service) service() (fleet.Service, error) {
	limit, err := duration(s.TimeLimit, fleet.DefaultTimeLimit)
	if err != nil {
		return fleet.Service{}, oops.With("service", s.Name).Wrapf(err, "service %q: time_limit", s.Name)
	}
	svc := fleet.Service{
		Name:         fleet.ServiceName(s.Name),
		Pool:         fleet.PoolName(s.Pool),
		Availability: or(s.Availability, defaultAvailability),
		Idempotent:   or(s.Idempotent, true),
		Urgent:       or(s.Urgent, false),
		TimeLimit:    limit,
		MaxBody:      or(s.MaxBody, fleet.DefaultMaxBody),
		MaxQueue:     or(s.MaxQueue, fleet.DefaultMaxQueue),
		MaxAttempts:  or(s.MaxAttempts, defaultMaxAttempts),
		Demand:       or(s.Demand, 0),
	}
	for _, dep := range s.DependsOn {
		svc.DependsOn = append(svc.DependsOn, fleet.ServiceName(dep))
	}
	return svc, nil
}

func (m *maintenance) limits() (fleet.Maintenance, error) {
	if m == nil {
		m = &maintenance{}
	}
	drain, err := duration(m.DrainLimit, defaultDrainLimit)
	if err != nil {
		return fleet.Maintenance{}, oops.Wrapf(err, "maintenance: drain_limit")
	}
	probation, err := duration(m.Probation, defaultProbation)
	if err != nil {
		return fleet.Maintenance{}, oops.Wrapf(err, "maintenance: probation")
	}
	return fleet.Maintenance{DrainLimit: drain, MaxStep: or(m.MaxStep, defaultMaxStep), Probation: probation}, nil
}

func duration(text *string, def time.Duration) (time.Duration, error) {
	if text == nil {
		return def, nil
	}
	return time.ParseDuration(*text)
}

// or returns the setting, or its default when it is absent.
func or[T any](setting *T, def T) T {
	if setting == nil {
		return def
	}
	return *setting
}

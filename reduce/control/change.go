package control

import "github.com/banyanrail/banyanrail/fleet"

func (s *State) setPool(id fleet.InstanceID, pool fleet.PoolName) {
	s.removePool(id)
	s.Pools[id] = pool
	s.itemsDigest += digestPool(id, pool)
}

func (s *State) removePool(id fleet.InstanceID) {
	if pool, known := s.Pools[id]; known {
		s.itemsDigest -= digestPool(id, pool)
		delete(s.Pools, id)
	}
}

// withPresentPools returns a copy of a change of the text in which each instance
// has its present pool, including recorded moves. All instances of changed pools
// are added to the changed instances.
func (s *State) withPresentPools(d *fleet.Delta) *fleet.Delta {
	change := *d
	change.Instances = make([]fleet.Instance, 0, len(d.Instances))
	if len(d.Pools) == 0 && len(d.RemovedPools) == 0 {
		for _, in := range d.Instances {
			in.Pool = s.Pools[in.ID]
			change.Instances = append(change.Instances, in)
		}
		return &change
	}
	instances := make(map[fleet.InstanceID]bool, len(d.Instances))
	for i := range d.Instances {
		instances[d.Instances[i].ID] = true
	}
	pools := make(map[fleet.PoolName]bool, len(d.Pools)+len(d.RemovedPools))
	for i := range d.Pools {
		pools[d.Pools[i].Name] = true
	}
	for _, name := range d.RemovedPools {
		pools[name] = true
	}
	for _, in := range s.Text.Instances {
		in.Pool = s.Pools[in.ID]
		if instances[in.ID] || pools[in.Pool] {
			change.Instances = append(change.Instances, in)
		}
	}
	return &change
}

// instanceChange returns a change that contains one instance with its present
// pool.
func (s *State) instanceChange(id fleet.InstanceID) *fleet.Delta {
	d := &fleet.Delta{Instances: []fleet.Instance{{ID: id}}}
	d.Instances = s.Text.Replaced(d).Instances
	return s.withPresentPools(d)
}

// changeSince returns the change that turns an earlier fold into this one.
func (s *State) changeSince(before *State) *fleet.Delta {
	d := fleet.Compare(before.textOrEmpty(), s.textOrEmpty())
	changed := make(map[fleet.InstanceID]bool, len(d.Instances))
	for i := range d.Instances {
		changed[d.Instances[i].ID] = true
	}
	for _, in := range s.textOrEmpty().Instances {
		if !changed[in.ID] && before.Pools[in.ID] != s.Pools[in.ID] {
			d.Instances = append(d.Instances, in)
		}
	}
	return s.withPresentPools(d)
}

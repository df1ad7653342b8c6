package placement

import (
	"slices"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// ApplyDelta updates the state after a change of the services text in force.
// The delta lists each instance with the pool that it currently belongs to.
// ApplyDelta returns the requests that waited for a removed pool; they are no
// longer queued. An instance keeps its slots in use whatever pool it is in, and
// gets no grant until fewer slots are in use than the new limit.
func (s *State) ApplyDelta(d *fleet.Delta) []fleet.RequestID {
	s.applyMembers(d)
	orphans := s.applyPools(d)
	s.applyInstances(d)
	s.runTimes.deleteRemoved(d)
	return orphans
}

func (s *State) applyMembers(d *fleet.Delta) {
	for _, cfg := range d.Members {
		m := s.member(cfg.Name)
		m.weight, m.quota, m.configured = max(1, cfg.Weight), cfg.Quota, true
	}
	for _, name := range d.RemovedMembers {
		m := s.member(name)
		m.weight, m.quota, m.configured = 1, 0, false
	}
	for name, m := range s.members {
		if !m.configured && m.held == 0 && !slices.ContainsFunc(m.flows, (*flow).hasWaiting) {
			m.removeFlows()
			delete(s.members, name)
		}
	}
	if len(d.Members) == 0 && len(d.RemovedMembers) == 0 {
		return
	}
	for _, m := range s.members {
		m.applyQuota()
	}
	for _, p := range s.pools {
		p.recomputeWeights()
	}
}

// applyQuota parks or unparks the member's flows after its quota changed.
func (m *member) applyQuota() {
	for _, f := range m.flows {
		switch {
		case m.atQuota():
			f.park()
		case f.parked:
			f.unpark()
		}
	}
}

// removeFlows removes the member's flows and queues from their pools. None of
// them may hold a waiting request.
func (m *member) removeFlows() {
	for _, f := range m.flows {
		delete(f.pool.flows, m.name)
		for _, service := range f.pool.services {
			delete(service.byMember, m.name)
		}
	}
}

// recomputeWeights recomputes the sums of the weights of members with waiting
// requests.
func (p *pool) recomputeWeights() {
	p.weight = 0
	for _, f := range p.flows {
		if f.hasWaiting() {
			p.weight += f.member.weight
		}
	}
	for _, service := range p.services {
		service.weight = 0
		for _, q := range service.byMember {
			if q.queued > 0 {
				service.weight += q.flow.member.weight
			}
		}
	}
}

func (s *State) applyPools(d *fleet.Delta) []fleet.RequestID {
	var orphans []fleet.RequestID
	for _, name := range d.RemovedPools {
		p, ok := s.pools[name]
		if !ok {
			continue
		}
		for id, w := range s.waiting {
			if w.memberQueue.flow.pool == p {
				orphans = append(orphans, id)
			}
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		s.Remove(id)
	}
	for _, name := range d.RemovedPools {
		if p, ok := s.pools[name]; ok {
			s.removePool(p)
		}
	}
	for _, cfg := range d.Pools {
		p, ok := s.pools[cfg.Name]
		if !ok {
			p = newPool(cfg.Name)
			s.pools[cfg.Name] = p
		}
		p.instanceSlots = cfg.Capacity()
	}
	return orphans
}

// removePool removes a pool with its flows and detaches its instances.
func (s *State) removePool(p *pool) {
	for _, f := range p.flows {
		f.member.flows = slices.DeleteFunc(f.member.flows, func(other *flow) bool { return other == f })
	}
	for _, it := range slices.Clone(p.instances) {
		s.detach(it)
	}
	delete(s.pools, p.name)
}

func (s *State) applyInstances(d *fleet.Delta) {
	for _, id := range d.RemovedInstances {
		if it, ok := s.instances[id]; ok {
			s.detach(it)
		}
	}
	for i := range d.Instances {
		s.attach(&d.Instances[i])
	}
}

// attach puts an instance into its pool. An instance whose pool is unknown is
// detached.
func (s *State) attach(cfg *fleet.Instance) {
	it, known := s.instances[cfg.ID]
	p, ok := s.pools[cfg.Pool]
	if !ok {
		if known {
			s.detach(it)
		}
		return
	}
	if !known {
		it = &instance{id: cfg.ID, limit: NoLimit}
		s.instances[cfg.ID] = it
	}
	it.leave()
	it.address, it.slots, it.entryLimit = cfg.Address, p.instanceSlots, p.entryLimit()
	it.join(p)
}

// detach takes an instance out of its pool. The instance is kept while requests
// run on it.
func (s *State) detach(it *instance) {
	it.leave()
	if it.running == 0 {
		delete(s.instances, it.id)
	}
}

// join inserts the instance into a pool's list, which is sorted by id.
func (it *instance) join(p *pool) {
	at, _ := p.find(it.id)
	p.instances = slices.Insert(p.instances, at, it)
	p.free += it.freeSlots()
	p.slots += it.usableSlots()
	it.pool = p
}

func (it *instance) leave() {
	p := it.pool
	if p == nil {
		return
	}
	if at, ok := p.find(it.id); ok {
		p.instances = slices.Delete(p.instances, at, at+1)
	}
	p.free -= it.freeSlots()
	p.slots -= it.usableSlots()
	it.pool = nil
}

func (p *pool) find(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(p.instances, id, func(it *instance, id fleet.InstanceID) int {
		return strings.Compare(string(it.id), string(id))
	})
}

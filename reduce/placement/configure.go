package placement

import (
	"slices"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// ApplyDelta brings the state in line with a change of the text in force, in which
// each instance is in the pool that it belongs to. It returns the requests that
// waited for a pool that is gone; they are out of the queue. An instance keeps
// its slots in use, whatever pool it is in, and gets no grant until they are
// below the new limit.
func (s *State) ApplyDelta(d *fleet.Delta) []fleet.RequestID {
	s.followMembers(d)
	orphans := s.followPools(d)
	s.followInstances(d)
	s.costs.drop(d)
	return orphans
}

func (s *State) followMembers(d *fleet.Delta) {
	for _, cfg := range d.Members {
		m := s.member(cfg.Name)
		m.weight, m.quota, m.listed = max(1, cfg.Weight), cfg.Quota, true
	}
	for _, name := range d.RemovedMembers {
		m := s.member(name)
		m.weight, m.quota, m.listed = 1, 0, false
	}
	for name, m := range s.members {
		if !m.listed && m.held == 0 && !slices.ContainsFunc(m.flows, (*flow).waits) {
			m.forget()
			delete(s.members, name)
		}
	}
	if len(d.Members) == 0 && len(d.RemovedMembers) == 0 {
		return
	}
	for _, m := range s.members {
		m.reconsider()
	}
	for _, p := range s.pools {
		p.reweigh()
	}
}

// reconsider parks or unparks the member's flows after its quota changed.
func (m *member) reconsider() {
	for _, f := range m.flows {
		switch {
		case m.atQuota():
			f.park()
		case f.parked:
			f.unpark()
		}
	}
}

// forget drops the member's lines; none of them has a request that waits.
func (m *member) forget() {
	for _, f := range m.flows {
		delete(f.pool.flows, m.name)
		for _, q := range f.pool.services {
			delete(q.lines, m.name)
		}
	}
}

// reweigh sums up the weights of the members that wait.
func (p *pool) reweigh() {
	p.weight = 0
	for _, f := range p.flows {
		if f.waits() {
			p.weight += f.member.weight
		}
	}
	for _, q := range p.services {
		q.weight = 0
		for _, l := range q.lines {
			if l.queued > 0 {
				q.weight += l.flow.member.weight
			}
		}
	}
}

func (s *State) followPools(d *fleet.Delta) []fleet.RequestID {
	var orphans []fleet.RequestID
	for _, name := range d.RemovedPools {
		p, ok := s.pools[name]
		if !ok {
			continue
		}
		for id, w := range s.waiting {
			if w.line.flow.pool == p {
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
			s.dissolve(p)
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

// dissolve drops a pool, and takes its flows from their members.
func (s *State) dissolve(p *pool) {
	for _, f := range p.flows {
		f.member.flows = slices.DeleteFunc(f.member.flows, func(other *flow) bool { return other == f })
	}
	for _, it := range slices.Clone(p.instances) {
		s.detach(it)
	}
	delete(s.pools, p.name)
}

func (s *State) followInstances(d *fleet.Delta) {
	for _, id := range d.RemovedInstances {
		if it, ok := s.instances[id]; ok {
			s.detach(it)
		}
	}
	for i := range d.Instances {
		s.attach(&d.Instances[i])
	}
}

// attach puts an instance into its pool, if the pool is known.
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
	it.address, it.slots, it.share = cfg.Address, p.instanceSlots, p.share()
	it.join(p)
}

// detach takes an instance out of its pool. It is kept while it runs requests.
func (s *State) detach(it *instance) {
	it.leave()
	if it.running == 0 {
		delete(s.instances, it.id)
	}
}

// join adds the instance to a pool's list, which is ordered by id.
func (it *instance) join(p *pool) {
	at, _ := p.find(it.id)
	p.instances = slices.Insert(p.instances, at, it)
	p.free += it.free()
	p.slots += it.usable()
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
	p.free -= it.free()
	p.slots -= it.usable()
	it.pool = nil
}

func (p *pool) find(id fleet.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(p.instances, id, func(it *instance, id fleet.InstanceID) int {
		return strings.Compare(string(it.id), string(id))
	})
}

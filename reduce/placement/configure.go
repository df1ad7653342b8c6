package placement

import (
	"slices"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// Configure follows a services text and the pool that each instance is in. It
// returns the requests that waited for a pool that is gone; they are out of
// the queue. An instance keeps its slots in use, whatever pool it is in, and
// gets no grant until they are below the new limit.
func (s *State) Configure(text *fleet.Text, member map[fleet.InstanceID]fleet.PoolName) []fleet.RequestID {
	s.configureMembers(text)
	orphans := s.configurePools(text)
	s.configureInstances(text, member)
	s.costs.keep(text)
	return orphans
}

func (s *State) configureMembers(text *fleet.Text) {
	for _, cfg := range text.Members {
		m := s.member(cfg.Name)
		m.weight, m.quota = max(1, cfg.Weight), cfg.Quota
	}
	for name, m := range s.members {
		if _, ok := text.Member(name); ok {
			continue
		}
		m.weight, m.quota = 1, 0
		if m.held == 0 && !slices.ContainsFunc(m.flows, (*flow).waits) {
			m.forget()
			delete(s.members, name)
		}
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

func (s *State) configurePools(text *fleet.Text) []fleet.RequestID {
	var orphans []fleet.RequestID
	for id, w := range s.waiting {
		if _, ok := text.Pool(w.line.flow.pool.name); !ok {
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		s.Remove(id)
	}
	for name, p := range s.pools {
		if _, ok := text.Pool(name); !ok {
			p.dissolve()
			delete(s.pools, name)
		}
	}
	for _, cfg := range text.Pools {
		p, ok := s.pools[cfg.Name]
		if !ok {
			p = newPool(cfg.Name)
			s.pools[cfg.Name] = p
		}
		p.instanceSlots = cfg.Slots
	}
	return orphans
}

// dissolve takes the pool's flows from their members.
func (p *pool) dissolve() {
	for _, f := range p.flows {
		f.member.flows = slices.DeleteFunc(f.member.flows, func(other *flow) bool { return other == f })
	}
}

func (s *State) configureInstances(text *fleet.Text, member map[fleet.InstanceID]fleet.PoolName) {
	for _, p := range s.pools {
		p.instances, p.free, p.slots = nil, 0, 0
	}
	for _, it := range s.instances {
		it.pool = nil
	}
	for _, cfg := range text.Instances {
		p, ok := s.pools[member[cfg.ID]]
		if !ok {
			continue
		}
		it, known := s.instances[cfg.ID]
		if !known {
			it = &instance{id: cfg.ID, limit: NoLimit, share: NoLimit}
			s.instances[cfg.ID] = it
		}
		it.address, it.pool, it.slots = cfg.Address, p, p.instanceSlots
		p.instances = append(p.instances, it)
		p.free += it.free()
		p.slots += it.usable()
	}
	for id, it := range s.instances {
		if it.pool == nil && it.running == 0 {
			delete(s.instances, id)
		}
	}
	for _, p := range s.pools {
		slices.SortFunc(p.instances, func(a, b *instance) int {
			return strings.Compare(string(a.id), string(b.id))
		})
	}
}

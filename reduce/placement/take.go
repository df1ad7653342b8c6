package placement

import "github.com/banyanrail/banyanrail/fleet"

// ApplyRemoteGrant gives a waiting request a slot that another entry granted. It returns
// false when the request does not wait or the instance takes no new work.
func (s *State) ApplyRemoteGrant(id fleet.RequestID, on fleet.InstanceID) (Grant, bool) {
	w, waits := s.waiting[id]
	it, known := s.instances[on]
	if !waits || !known || it.pool != w.line.flow.pool || it.closed {
		return Grant{}, false
	}
	it.pool.charge(w, s.now)
	return s.start(w, it), true
}

// AdoptGrant notes a slot that another entry uses. The slot counts also above the
// limits, since it is in use already.
func (s *State) AdoptGrant(a Request, on fleet.InstanceID) (Grant, bool) {
	it, ok := s.instances[on]
	if !ok {
		return Grant{}, false
	}
	it.setRunning(it.running + 1)
	g := Grant{Request: a, Instance: it.id, Address: it.address}
	p, ok := s.pools[a.Pool]
	if !ok {
		return g, true
	}
	g.line = s.line(p, a)
	g.Cost = g.line.runs.estimate(a.Size)
	p.settle(g.line.flow, g.Cost)
	g.line.flow.member.hold()
	return g, true
}

// HasPool reports whether the services text has a pool.
func (s *State) HasPool(name fleet.PoolName) bool {
	_, ok := s.pools[name]
	return ok
}

// DivideSlots divides the slots of each instance of a pool between a number of
// entries that grant them without asking each other.
func (s *State) DivideSlots(name fleet.PoolName, entries int) {
	p, ok := s.pools[name]
	if !ok {
		return
	}
	p.entries = entries
	for _, it := range p.instances {
		it.change(func() { it.share = p.share() })
	}
}

// share is the number of slots of one instance that this entry may grant.
func (p *pool) share() int { return max(1, p.instanceSlots/p.entries) }

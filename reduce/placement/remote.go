package placement

import "github.com/banyanrail/banyanrail/fleet"

// ApplyRemoteGrant starts a waiting request in a slot that another entry
// granted. It returns false when the request does not wait or the instance
// takes no new work.
func (s *State) ApplyRemoteGrant(id fleet.RequestID, on fleet.InstanceID) (Grant, bool) {
	w, waits := s.waiting[id]
	it, known := s.instances[on]
	if !waits || !known || it.pool != w.memberQueue.flow.pool || it.closed {
		return Grant{}, false
	}
	it.pool.charge(w, s.now)
	return s.start(w, it), true
}

// AdoptGrant counts a slot that a request of another entry already uses, and
// returns a grant for it. The slot counts even above the limits, since it is in
// use. AdoptGrant returns false when the instance is unknown.
func (s *State) AdoptGrant(r Request, on fleet.InstanceID) (Grant, bool) {
	it, ok := s.instances[on]
	if !ok {
		return Grant{}, false
	}
	it.setRunning(it.running + 1)
	g := Grant{Request: r, Instance: it.id, Address: it.address}
	p, ok := s.pools[r.Pool]
	if !ok {
		return g, true
	}
	g.memberQueue = s.memberQueue(p, r)
	g.Cost = g.memberQueue.runTimes.estimate(r.Size)
	p.settle(g.memberQueue.flow, g.Cost)
	g.memberQueue.flow.member.acquireSlot()
	return g, true
}

// HasPool reports whether the services text has a pool.
func (s *State) HasPool(name fleet.PoolName) bool {
	_, ok := s.pools[name]
	return ok
}

// DivideSlots divides the slots of each instance of a pool evenly between a
// number of entries that grant them without coordination.
func (s *State) DivideSlots(name fleet.PoolName, entries int) {
	p, ok := s.pools[name]
	if !ok {
		return
	}
	p.entries = entries
	for _, it := range p.instances {
		it.update(func() { it.entryLimit = p.entryLimit() })
	}
}

// entryLimit returns the number of slots of one instance that this entry may
// grant: at least one.
func (p *pool) entryLimit() int { return max(1, p.instanceSlots/p.entries) }

package placement

import "github.com/banyanrail/banyanrail/fleet"

// Take gives a waiting request a slot that another entry granted. It returns
// false when the request does not wait or the instance takes no new work.
func (s *State) Take(id fleet.RequestID, on fleet.InstanceID) (Grant, bool) {
	it, ok := s.instances[on]
	if !ok || it.gone || it.closed {
		return Grant{}, false
	}
	p, ok := s.pools[s.waiting[id]]
	if !ok {
		return Grant{}, false
	}
	for _, a := range p.queue {
		if a.Request == id {
			s.Remove(id)
			it.running++
			return Grant{Ask: a, Instance: it.id, Address: it.address}, true
		}
	}
	return Grant{}, false
}

// Hold takes a slot of an instance that another entry uses, also above the
// limit: it is in use already.
func (s *State) Hold(id fleet.InstanceID) bool {
	it, ok := s.instances[id]
	if ok {
		it.running++
	}
	return ok
}

// SetShare bounds the slots that are granted on each instance of a pool below
// the number that the services text gives it.
func (s *State) SetShare(name fleet.PoolName, share func(slots int) int) {
	p, ok := s.pools[name]
	if !ok {
		return
	}
	for _, it := range p.instances {
		it.slots = share(it.textSlots)
	}
}

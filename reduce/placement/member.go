package placement

import "github.com/banyanrail/banyanrail/fleet"

// member is a customer with the slots that it holds at this entry, over all
// pools.
type member struct {
	name   fleet.MemberName
	weight int
	// quota is the number of slots the member may hold; zero means no limit.
	quota int
	held  int
	// configured is set while the services text lists the member.
	configured bool
	flows      []*flow
}

// member returns a member, and adds it if it is unknown. A member that the
// services text does not list, such as one that was just removed from it, has
// the smallest weight.
func (s *State) member(name fleet.MemberName) *member {
	m, ok := s.members[name]
	if !ok {
		m = &member{name: name, weight: 1}
		s.members[name] = m
	}
	return m
}

func (m *member) atQuota() bool { return m.quota > 0 && m.held >= m.quota }

// acquireSlot counts a slot that the member now holds. The flows of a member at
// its quota leave the heaps of all pools.
func (m *member) acquireSlot() {
	m.held++
	if !m.atQuota() {
		return
	}
	for _, f := range m.flows {
		f.park()
	}
}

// releaseSlot counts a slot that the member returned. When the member falls
// below its quota, the pools in which it has waiting requests are appended to
// unblocked.
func (m *member) releaseSlot(unblocked []fleet.PoolName) []fleet.PoolName {
	if m.held == 0 {
		return unblocked
	}
	blocked := m.atQuota()
	m.held--
	if !blocked || m.atQuota() {
		return unblocked
	}
	return m.unpark(unblocked)
}

func (m *member) unpark(unblocked []fleet.PoolName) []fleet.PoolName {
	for _, f := range m.flows {
		if f.unpark() {
			unblocked = append(unblocked, f.pool.name)
		}
	}
	return unblocked
}

package placement

import "github.com/banyanrail/banyanrail/fleet"

// member is a customer's share of the entry's slots, over all pools.
type member struct {
	name   fleet.MemberName
	weight int
	// quota is the number of slots the member may hold; zero means no limit.
	quota int
	held  int
	// listed is set while the text names the member.
	listed bool
	flows  []*flow
}

// member returns the account of a member. One that the text doesn't name, such
// as one that has just left it, has the smallest weight.
func (s *State) member(name fleet.MemberName) *member {
	m, ok := s.members[name]
	if !ok {
		m = &member{name: name, weight: 1}
		s.members[name] = m
	}
	return m
}

func (m *member) atQuota() bool { return m.quota > 0 && m.held >= m.quota }

// hold takes a slot. A member at its quota leaves the heaps of all pools.
func (m *member) hold() {
	m.held++
	if !m.atQuota() {
		return
	}
	for _, f := range m.flows {
		f.park()
	}
}

// unhold returns a slot and appends the pools in which the member waits again.
func (m *member) unhold(unblocked []fleet.PoolName) []fleet.PoolName {
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

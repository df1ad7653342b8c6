package control

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
)

// Move puts an instance into another pool. The instance must be draining for
// this move, or be in a pool that serves nothing, where it needs no drain.
type Move struct {
	Instance fleet.InstanceID
	From, To fleet.PoolName
	// Base is the instance's epoch that the record is based on.
	Base fleet.Offset
}

func (Move) isRecord() {}

func (s *State) move(at fleet.Offset, r Move) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, InService, Draining); out != Accepted {
		return out, why
	}
	if pool := s.Pools[r.Instance]; pool != r.From {
		return Conflict, fmt.Sprintf("%s is in pool %s, not in %s", r.Instance, pool, r.From)
	}
	if out, why := s.checkTarget(r.Instance, r.To); out != Accepted {
		return out, why
	}
	m := s.Drains[r.Instance]
	switch {
	case m.Phase == Draining && (m.Purpose != PurposeMove || m.To != r.To):
		return Conflict, fmt.Sprintf("%s is drained for another purpose: %s", r.Instance, m.Purpose)
	case m.Phase == InService && !s.isIdle(r.From):
		return Conflict, fmt.Sprintf("%s serves pool %s and has to be drained first", r.Instance, r.From)
	}
	s.setPool(r.Instance, r.To)
	s.setPhase(r.Instance, at, Probation)
	m = s.Drains[r.Instance]
	m.Reason, m.Purpose = ReasonMove, PurposeMove
	s.setMaintenance(r.Instance, m)
	s.Moves++
	s.changed = s.instanceChange(r.Instance)
	return Accepted, ""
}

func (s *State) checkTarget(id fleet.InstanceID, to fleet.PoolName) (Outcome, string) {
	if s.Text == nil {
		return Invalid, "no services text is in force"
	}
	if _, ok := s.Text.Pool(to); !ok {
		return Invalid, fmt.Sprintf("unknown pool %q", to)
	}
	if s.Pools[id] == to {
		return Conflict, fmt.Sprintf("%s is in pool %s already", id, to)
	}
	return Accepted, ""
}

// isIdle reports whether a pool is spare and has no services, so that its
// instances have no requests in flight.
func (s *State) isIdle(pool fleet.PoolName) bool {
	p, ok := s.Text.Pool(pool)
	if !ok || !p.Spare {
		return false
	}
	for i := range s.Text.Services {
		if s.Text.Services[i].Pool == pool {
			return false
		}
	}
	return true
}

// rebaseMove completes an operator's move. An instance in a pool that serves
// requests is drained first; entries propose the move once the drain is done.
func (s *State) rebaseMove(r Move) Body {
	r.Base = s.epochOr(r.Base, r.Instance)
	if r.From == "" {
		r.From = s.Pools[r.Instance]
	}
	if s.Text == nil || s.isIdle(r.From) {
		return r
	}
	return Drain{Instance: r.Instance, Base: r.Base, Reason: ReasonMove, Purpose: PurposeMove, To: r.To}
}

// Arriving returns the instances that are being moved, with the pool that they
// are moved to: those that drain for a move, and those on probation after one.
func (s *State) Arriving() map[fleet.InstanceID]fleet.PoolName {
	arriving := make(map[fleet.InstanceID]fleet.PoolName)
	for id, m := range s.Drains {
		switch {
		case m.Purpose != PurposeMove:
		case m.Phase == Draining:
			arriving[id] = m.To
		case m.Phase == Probation:
			arriving[id] = s.Pools[id]
		}
	}
	return arriving
}

// PoolsWithoutAllowance returns the pools that serve requests and can spare no
// instance now.
func (s *State) PoolsWithoutAllowance() map[fleet.PoolName]bool {
	pools := make(map[fleet.PoolName]bool)
	if s.Text == nil {
		return pools
	}
	allowance := s.allowance()
	for i := range s.Text.Pools {
		name := s.Text.Pools[i].Name
		if !s.isIdle(name) && allowance[name] < 1 {
			pools[name] = true
		}
	}
	return pools
}

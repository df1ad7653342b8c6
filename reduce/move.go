package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// applyMove applies the move of an instance into its new pool, where it starts
// on probation.
func (s *State) applyMove(r control.Move, change *fleet.Delta) {
	s.emit(effect.LogChange{
		Change: effect.ChangeInstance, Instance: r.Instance, Version: s.control.Version,
		Detail: fmt.Sprintf("moved from %s to %s", r.From, r.To),
	})
	s.emit(effect.Count{Name: effect.InstancesMoved, N: 1})
	s.applyDelta(change)
	s.grantAll()
	s.onPhaseChanged(r.Instance)
}

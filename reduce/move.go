package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// moved follows an instance into its new pool, where it begins on probation.
func (s *State) moved(r control.Move, change *fleet.Delta) {
	s.emit(effect.LogChange{
		Change: effect.ChangeInstance, Instance: r.Instance, Version: s.control.Version,
		Detail: fmt.Sprintf("moved from %s to %s", r.From, r.To),
	})
	s.emit(effect.Count{Name: effect.InstancesMoved, N: 1})
	s.applyDelta(change)
	s.grantAll()
	s.phaseChanged(r.Instance)
}

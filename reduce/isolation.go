package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// isolation tells whether the entry hears neither log nor peers. Others can't
// wait for such an entry for ever, and it can't learn of a drain: it leaves the
// balancer.
type isolation struct {
	// lastRead is when the control stream was last read.
	lastRead time.Time
	isolated bool
}

// followIsolation changes the entry's readiness when it becomes isolated, or is
// no longer.
func (s *State) followIsolation() {
	alone := len(s.peers.All()) > 0 && len(s.peers.Alive()) == 1
	isolated := alone && s.now.Sub(s.isolation.lastRead) >= drains.ReadSilence
	if isolated == s.isolation.isolated {
		return
	}
	s.isolation.isolated = isolated
	if !s.ready {
		return
	}
	s.emit(effect.SetReady{Ready: !isolated})
	change := effect.ChangeReady
	if isolated {
		change = effect.ChangeIsolated
	}
	s.emit(effect.LogChange{Change: change, Version: s.control.Version})
}

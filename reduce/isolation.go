package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// isolation tracks whether the entry receives neither log records nor messages
// of peers. Such an entry leaves the load balancer, because it can't learn of a
// drain and the other entries can't wait for it indefinitely.
//
// It also tracks whether the process continues after a pause. The state is
// outdated then, and requests may arrive before the input that updates the
// state.
type isolation struct {
	// lastRead is when the control stream was last read.
	lastRead time.Time
	isolated bool
	// holdsGrants is set from a pause until fresh input arrives. holdTimer runs
	// for pauseHoldTime after the pause; input that arrives in that time is not
	// fresh.
	holdsGrants bool
	holdTimer   timer.Timer
}

// pauseHoldTime is how long after a pause an entry may still receive input that
// was sent before the end of the pause.
const pauseHoldTime = time.Second

// advanceTime sets the current time, and detects that the process was paused.
func (s *State) advanceTime(now time.Time) {
	if now.Sub(s.now) > drains.PauseLimit {
		s.drains.CaughtUp = false
		s.holdAfterPause(now)
	}
	s.now = now
}

// holdAfterPause stops granting slots after a pause, until a read of the log or
// a message of a peer. An entry that starts was not paused.
func (s *State) holdAfterPause(now time.Time) {
	if s.now.IsZero() {
		return
	}
	s.isolation.holdsGrants = true
	s.timers.Set(&s.isolation.holdTimer, now.Add(pauseHoldTime), &s.isolation)
}

// onHoldTimer ends the hold of an entry that has no peers. With peers, the hold
// lasts until fresh input: what arrived so far may be as old as the pause.
func (s *State) onHoldTimer() {
	if len(s.peers.All()) == 0 {
		s.endHold()
	}
}

// onFreshInput handles a read of the log or a message of a peer: it ends a hold
// whose timer has fired.
func (s *State) onFreshInput() {
	if s.isolation.holdsGrants && !s.isolation.holdTimer.IsSet() {
		s.endHold()
	}
}

func (s *State) endHold() {
	s.isolation.holdsGrants = false
	s.grantAll()
}

// updateIsolation changes the entry's readiness when it becomes isolated or is
// no longer isolated.
func (s *State) updateIsolation() {
	alone := len(s.peers.All()) > 0 && len(s.peers.Alive()) == 1
	isolated := alone && s.now.Sub(s.isolation.lastRead) >= drains.LogReadTimeout
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

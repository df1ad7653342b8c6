package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// isolation tells whether the entry hears neither log nor peers. Others can't
// wait for such an entry for ever, and it can't learn of a drain: it leaves the
// balancer.
//
// It also tells when the process went on after a pause. What it holds is old
// then, and requests may have come in before the news.
type isolation struct {
	// lastRead is when the control stream was last read.
	lastRead time.Time
	isolated bool
	// holding is set from a pause to the news after it; timer runs for
	// catchUpTime before such news counts.
	holding bool
	timer   timer.Timer
}

// catchUpTime is how long after a pause an entry may still be taking in what
// was sent to it before.
const catchUpTime = time.Second

// advance moves the time on, and notes when the process was paused.
func (s *State) advance(now time.Time) {
	if now.Sub(s.now) > drains.PauseLimit {
		s.drains.CaughtUp = false
		s.catchUp(now)
	}
	s.now = now
}

// catchUp holds back what is new after a pause, until the entry hears the log or
// a peer again. An entry that starts has had no pause.
func (s *State) catchUp(now time.Time) {
	if s.now.IsZero() {
		return
	}
	s.isolation.holding = true
	s.timers.Set(&s.isolation.timer, now.Add(catchUpTime), &s.isolation)
}

// onCaughtUp ends the wait of an entry that has no peer to hear. Others wait on
// for news: what they took in so far may be as old as the pause.
func (s *State) onCaughtUp() {
	if len(s.peers.All()) == 0 {
		s.release()
	}
}

// hearNews notes a message of a peer, or a read of the log.
func (s *State) hearNews() {
	if s.isolation.holding && !s.isolation.timer.IsSet() {
		s.release()
	}
}

func (s *State) release() {
	s.isolation.holding = false
	s.grantAll()
}

// followIsolation changes the entry's readiness when it becomes isolated, or is
// no longer.
func (s *State) followIsolation() {
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

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
	// timer runs for catchUpTime after a pause.
	timer timer.Timer
}

// catchUpTime is how long an entry that was paused sends nothing new. Its reads
// and the messages of its peers come in that time.
const catchUpTime = time.Second

// advance moves the time on, and notes when the process was paused.
func (s *State) advance(now time.Time) {
	if now.Sub(s.now) > drains.PauseLimit {
		s.drains.Current = false
		s.catchUp(now)
	}
	s.now = now
}

// catchUp holds back what is new after a pause. An entry that starts has had
// none.
func (s *State) catchUp(now time.Time) {
	if s.now.IsZero() {
		return
	}
	s.timers.Set(&s.isolation.timer, now.Add(catchUpTime), &s.isolation)
}

func (s *State) isCatchingUp() bool { return s.isolation.timer.IsSet() }

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

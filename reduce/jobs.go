package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// jobManager is the part of the state that manages jobs.
type jobManager struct {
	state *jobs.State
	tick  timer.Timer
}

// reduceJobs folds one event of an entry that manages jobs. Such an entry
// serves no requests, so the rest of the state is not used.
func (s *State) reduceJobs(ev event.Event) []effect.Effect {
	j := s.jobs
	s.now = ev.Now
	switch b := ev.Body.(type) {
	case event.Job:
		s.effects = j.state.Step(ev.Now, b, s.effects)
	case event.TimerFired:
		s.wakeAt = time.Time{}
	}
	for {
		if _, due := s.timers.Pop(ev.Now); !due {
			break
		}
		s.effects = j.state.Tick(ev.Now, s.effects)
	}
	if next := ev.Now.Add(j.state.TickInterval()); !j.tick.IsSet() || next.Before(j.tick.At()) {
		s.timers.Set(&j.tick, next, j)
	}
	s.armTimer()
	return s.effects
}

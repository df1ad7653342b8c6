package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// jobSide is the part of the state that manages jobs.
type jobSide struct {
	state *jobs.State
	tick  timer.Timer
}

// reduceJobs folds one event of an entry that manages jobs. Such an entry serves
// no requests, so that nothing else is touched.
func (s *State) reduceJobs(ev event.Event) []effect.Effect {
	j := s.jobs
	s.now = ev.Now
	switch b := ev.Body.(type) {
	case event.Job:
		s.out = j.state.Step(ev.Now, b, s.out)
	case event.TimerFired:
		s.armed = time.Time{}
	}
	for {
		if _, due := s.timers.Pop(ev.Now); !due {
			break
		}
		s.out = j.state.Tick(ev.Now, s.out)
	}
	if !j.tick.IsSet() {
		s.timers.Set(&j.tick, ev.Now.Add(j.state.TickInterval()), j)
	}
	s.armTimer()
	return s.out
}

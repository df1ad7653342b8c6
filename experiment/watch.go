package experiment

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// leavingLimit is how long a leaving endpoint may still get new work.
const leavingLimit = 3 * time.Second

// Events of the watch.
type (
	watchEvent interface{ isWatchEvent() }

	leftService    struct{ instance fleet.InstanceID }
	cameBack       struct{ instance fleet.InstanceID }
	sent           struct{ instance fleet.InstanceID }
	lateCountAsked struct{ call uint64 }
)

func (leftService) isWatchEvent()    {}
func (cameBack) isWatchEvent()       {}
func (sent) isWatchEvent()           {}
func (lateCountAsked) isWatchEvent() {}

// lateCount answers a lateCountAsked.
type lateCount struct {
	call uint64
	late int
	last time.Duration
}

// watchState counts the requests that were sent to leaving instances.
type watchState struct {
	leaving map[fleet.InstanceID]time.Time
	late    int
	last    time.Duration
}

func (s *watchState) reduce(now time.Time, ev watchEvent) []lateCount {
	switch e := ev.(type) {
	case leftService:
		// The first entry to read the record starts the time.
		if _, known := s.leaving[e.instance]; !known {
			s.leaving[e.instance] = now
		}
	case cameBack:
		delete(s.leaving, e.instance)
	case sent:
		s.onSent(now, e.instance)
	case lateCountAsked:
		return []lateCount{{call: e.call, late: s.late, last: s.last}}
	}
	return nil
}

func (s *watchState) onSent(now time.Time, id fleet.InstanceID) {
	since, leaving := s.leaving[id]
	if !leaving {
		return
	}
	after := now.Sub(since)
	s.last = max(s.last, after)
	if after > leavingLimit {
		s.late++
	}
}

// watch sees the effects of all entries.
type watch struct {
	loop  *loop.Loop[watchEvent, lateCount]
	calls *loop.Calls[lateCount]
}

// watchQueue holds the events of all entries for some seconds.
const watchQueue = 1 << 16

func newWatch() *watch {
	w := &watch{calls: loop.NewCalls[lateCount]()}
	state := &watchState{leaving: make(map[fleet.InstanceID]time.Time)}
	w.loop = loop.New(loop.Config[watchEvent, lateCount]{
		QueueSize: watchQueue,
		Reduce:    state.reduce,
		Act:       func(c lateCount) { w.calls.Resolve(c.call, c) },
		Timer:     func(lateCount) (time.Time, bool) { return time.Time{}, false },
	})
	return w
}

func (w *watch) run(ctx context.Context) { w.loop.Run(ctx) }

// tap reports what an entry read and sent. It runs on the entry's control
// goroutine, so a full queue drops events instead of blocking.
func (w *watch) tap(ev event.Event, out []effect.Effect) []effect.Effect {
	if read, ok := ev.Body.(event.RecordsRead); ok {
		w.read(read)
	}
	for _, e := range out {
		if d, ok := e.(effect.Dispatch); ok {
			_ = w.loop.Offer(sent{d.Instance})
		}
	}
	return out
}

func (w *watch) read(read event.RecordsRead) {
	for _, p := range read.Records {
		switch r := p.Record.Body.(type) {
		case control.StepWave:
			for _, id := range r.Instances {
				_ = w.loop.Offer(leftService{id})
			}
		case control.Return:
			_ = w.loop.Offer(cameBack{r.Instance})
		}
	}
}

// result returns how many requests were sent to leaving instances too late,
// and the longest time after which one was.
func (w *watch) result(ctx context.Context) (int, time.Duration) {
	c, err := w.calls.Do(ctx, func(call uint64) error { return w.loop.Post(lateCountAsked{call: call}) })
	if err != nil {
		return 0, 0
	}
	return c.late, c.last
}

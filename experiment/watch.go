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

// leavingGrace is how long a draining instance may still get new requests.
const leavingGrace = 3 * time.Second

// Inputs of the reducer.
type (
	watchEvent interface{ isWatchEvent() }

	instanceDrained    struct{ instance fleet.InstanceID }
	instanceReturned   struct{ instance fleet.InstanceID }
	requestSent        struct{ instance fleet.InstanceID }
	lateCountRequested struct{ call uint64 }
)

func (instanceDrained) isWatchEvent()    {}
func (instanceReturned) isWatchEvent()   {}
func (requestSent) isWatchEvent()        {}
func (lateCountRequested) isWatchEvent() {}

// lateCount answers a lateCountAsked.
type lateCount struct {
	call uint64
	late int
	last time.Duration
}

// watchState counts the requests that were sent to draining instances.
type watchState struct {
	leaving map[fleet.InstanceID]time.Time
	late    int
	last    time.Duration
}

func (s *watchState) reduce(now time.Time, ev watchEvent) []lateCount {
	switch e := ev.(type) {
	case instanceDrained:
		// The time counts from when the first entry reads the record.
		if _, known := s.leaving[e.instance]; !known {
			s.leaving[e.instance] = now
		}
	case instanceReturned:
		delete(s.leaving, e.instance)
	case requestSent:
		s.countLate(now, e.instance)
	case lateCountRequested:
		return []lateCount{{call: e.call, late: s.late, last: s.last}}
	}
	return nil
}

func (s *watchState) countLate(now time.Time, id fleet.InstanceID) {
	since, leaving := s.leaving[id]
	if !leaving {
		return
	}
	after := now.Sub(since)
	s.last = max(s.last, after)
	if after > leavingGrace {
		s.late++
	}
}

// watch counts requests to draining instances from the effects of all entries.
type watch struct {
	loop  *loop.Loop[watchEvent, lateCount]
	calls *loop.Calls[lateCount]
}

// watchQueueSize is enough for the events of all entries for some seconds.
const watchQueueSize = 1 << 16

func newWatch() *watch {
	w := &watch{calls: loop.NewCalls[lateCount]()}
	state := &watchState{leaving: make(map[fleet.InstanceID]time.Time)}
	w.loop = loop.New(loop.Config[watchEvent, lateCount]{
		QueueSize: watchQueueSize,
		Reduce:    state.reduce,
		Act:       func(c lateCount) { w.calls.Resolve(c.call, c) },
		Timer:     func(lateCount) (time.Time, bool) { return time.Time{}, false },
	})
	return w
}

func (w *watch) run(ctx context.Context) { w.loop.Run(ctx) }

// tap reports the drain records that an entry reads and the requests that it
// sends. It runs on the entry's control goroutine, so it drops events instead of
// blocking when the queue is full.
func (w *watch) tap(ev event.Event, out []effect.Effect) []effect.Effect {
	if read, ok := ev.Body.(event.RecordsRead); ok {
		w.read(read)
	}
	for _, e := range out {
		if d, ok := e.(effect.Dispatch); ok {
			_ = w.loop.Offer(requestSent{d.Instance})
		}
	}
	return out
}

func (w *watch) read(read event.RecordsRead) {
	for _, p := range read.Records {
		switch r := p.Record.Body.(type) {
		case control.StepWave:
			for _, id := range r.Instances {
				_ = w.loop.Offer(instanceDrained{id})
			}
		case control.Return:
			_ = w.loop.Offer(instanceReturned{r.Instance})
		}
	}
}

// result returns the number of requests that were sent to an instance later than
// leavingGrace after its drain, and the longest time between a drain and a request.
func (w *watch) result(ctx context.Context) (int, time.Duration) {
	c, err := w.calls.Do(ctx, func(call uint64) error { return w.loop.Post(lateCountRequested{call: call}) })
	if err != nil {
		return 0, 0
	}
	return c.late, c.last
}

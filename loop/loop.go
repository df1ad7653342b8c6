// Package loop runs a reducer on one goroutine: events come from one bounded
// queue, effects go to a driver. Every process of banyanrail that holds state
// uses it: entries, stand-ins and the load tool.
//
// The goroutine sleeps until an event or the timer; it never blocks on a
// driver, so Act has to return at once.
package loop

import (
	"context"
	"errors"
	"time"
)

// Errors of Loop.
var (
	// ErrFull means that the queue had no place; nothing was queued.
	ErrFull = errors.New("loop: event queue is full")
	// ErrClosed means that the loop has ended; nothing was queued.
	ErrClosed = errors.New("loop: closed")
)

// DefaultQueueSize is the number of events that wait when Config.Queue is zero.
const DefaultQueueSize = 4096

// Config tells a loop what to run.
type Config[In, Out any] struct {
	// QueueSize is the number of events that wait; zero means DefaultQueue.
	QueueSize int
	// Reduce folds one event. The loop hands all effects to Act before it
	// calls Reduce again, so their slice may be used again.
	Reduce func(now time.Time, in In) []Out
	// Act hands an effect to a driver. It must not block.
	Act func(Out)
	// Timer returns the time of an effect that asks for a wake-up.
	Timer func(Out) (time.Time, bool)
	// Wake is the event of a wake-up.
	Wake In
	// Clock tells the time; nil means the system's clock, kept from going back.
	Clock func() time.Time
}

// Loop owns the state behind Config.Reduce.
type Loop[In, Out any] struct {
	cfg   Config[In, Out]
	queue chan In
	done  chan struct{}
	timer *time.Timer
}

// New returns a loop that does nothing until Run.
func New[In, Out any](cfg Config[In, Out]) *Loop[In, Out] {
	if cfg.QueueSize == 0 {
		cfg.QueueSize = DefaultQueueSize
	}
	if cfg.Clock == nil {
		cfg.Clock = MonotonicClock()
	}
	return &Loop[In, Out]{
		cfg:   cfg,
		queue: make(chan In, cfg.QueueSize),
		done:  make(chan struct{}),
		timer: newStoppedTimer(),
	}
}

// MonotonicClock returns a clock that starts at the wall time and never goes
// back, whatever happens to the wall clock.
func MonotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time {
		return start.Add(time.Since(start)).Round(0)
	}
}

// Offer queues an event, or returns ErrFull or ErrClosed at once. It is for
// new work, which a full loop refuses early.
func (l *Loop[In, Out]) Offer(in In) error {
	select {
	case <-l.done:
		return ErrClosed
	default:
	}
	select {
	case l.queue <- in:
		return nil
	default:
		return ErrFull
	}
}

// Post queues an event and waits for a place. It is for the results of
// effects, which must not be lost, and returns ErrClosed when the loop ends.
func (l *Loop[In, Out]) Post(in In) error {
	select {
	case l.queue <- in:
		return nil
	case <-l.done:
		return ErrClosed
	}
}

// Done is closed when Run has returned.
func (l *Loop[In, Out]) Done() <-chan struct{} { return l.done }

// Run reduces events until the context ends. Call it once.
func (l *Loop[In, Out]) Run(ctx context.Context) {
	defer close(l.done)
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.queue:
			l.step(in)
		case <-l.timer.C:
			l.step(l.cfg.Wake)
		}
	}
}

func (l *Loop[In, Out]) step(in In) {
	now := l.cfg.Clock()
	for _, out := range l.cfg.Reduce(now, in) {
		if at, ok := l.cfg.Timer(out); ok {
			l.timer.Reset(max(0, at.Sub(now)))
			continue
		}
		l.cfg.Act(out)
	}
}

func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

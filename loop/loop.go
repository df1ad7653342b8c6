// Package loop runs a reducer on one goroutine. Events come from one bounded
// queue; effects are passed to drivers. Every process of banyanrail that holds
// state uses a loop: entries, stand-ins and the load tool.
//
// The goroutine sleeps until an event arrives or the timer fires. It must not
// block on a driver, so Config.Act has to return at once.
package loop

import (
	"context"
	"errors"
	"time"
)

// Errors of Loop.
var (
	// ErrFull means that the event queue is full and the event was not queued.
	ErrFull = errors.New("loop: event queue is full")
	// ErrClosed means that Run has returned and the event was not queued.
	ErrClosed = errors.New("loop: closed")
)

// DefaultQueueSize is the capacity of the event queue, in events, if
// Config.QueueSize is zero.
const DefaultQueueSize = 4096

// Config holds the reducer of a loop and the functions that carry out effects.
type Config[In, Out any] struct {
	// QueueSize is the capacity of the event queue, in events; zero means
	// DefaultQueueSize.
	QueueSize int
	// Reduce applies one event to the state and returns the effects. The loop
	// passes all of them to Act before it calls Reduce again, so Reduce may reuse
	// the slice.
	Reduce func(now time.Time, in In) []Out
	// Act passes an effect to its driver. It must not block.
	Act func(Out)
	// Timer returns the time for which an effect sets the timer, or false if the
	// effect does not set it. The loop has one timer; each setting replaces the
	// previous one.
	Timer func(Out) (time.Time, bool)
	// Wake is the event that is reduced when the timer fires.
	Wake In
	// Clock returns the current time; nil means MonotonicClock.
	Clock func() time.Time
}

// Loop runs one reducer. Only the goroutine of Run calls Config.Reduce and
// Config.Act, so the reducer's state needs no lock.
type Loop[In, Out any] struct {
	cfg   Config[In, Out]
	queue chan In
	done  chan struct{}
	timer *time.Timer
}

// New returns a loop. It processes events only while Run is running.
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

// MonotonicClock returns a clock that starts at the wall time and ignores steps
// of the wall clock.
func MonotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time {
		return start.Add(time.Since(start)).Round(0)
	}
}

// Offer queues an event without waiting. It returns ErrFull if the queue is full
// and ErrClosed if the loop has ended. Use it for new work, which can be rejected
// under overload.
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

// Post queues an event and waits while the queue is full. It returns ErrClosed
// if the loop ends first. Use it for the results of effects, which must not be
// lost.
func (l *Loop[In, Out]) Post(in In) error {
	select {
	case l.queue <- in:
		return nil
	case <-l.done:
		return ErrClosed
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop[In, Out]) Done() <-chan struct{} { return l.done }

// Run processes events until the context ends. It must be called only once.
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

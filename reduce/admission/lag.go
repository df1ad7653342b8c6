package admission

import "time"

// Lag is how long events wait for their turn at the control loop. The zero value
// means that they do not wait.
//
// Load pattern: a burst gives the loop more events a second than it can handle, and
// each of them, a heartbeat or an end of a run included, waits behind the others.
type Lag struct {
	peak time.Duration
	at   time.Time
}

// Observe records that an event, which has its turn now, has waited for a time.
func (l *Lag) Observe(now time.Time, waited time.Duration) {
	if waited >= l.At(now) {
		l.peak, l.at = waited, now
	}
}

// At returns the lag at a time. Without new observations it declines as fast as a
// queue that nothing joins.
func (l *Lag) At(now time.Time) time.Duration { return max(0, l.peak-now.Sub(l.at)) }

// Weights of the lag in Interval.
const (
	// PlacingWeight applies to passes that place tasks. Their result is what ends the
	// overload, so they get rarer last.
	PlacingWeight = 0.5
	// PlanningWeight applies to planning and to checks of instances, whose moves take
	// seconds.
	PlanningWeight = 4
)

// Interval returns the time between two passes of work that can wait. It is base
// without a lag, and longer with one, so that heartbeats, leases and
// acknowledgements have their turn first.
func Interval(base, lag time.Duration, weight float64) time.Duration {
	return base + time.Duration(weight*float64(lag))
}

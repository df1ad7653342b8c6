package peer

import "time"

const (
	// slowestDispatcherRate is the rate of the slowest dispatcher's clock, relative to
	// the owner's.
	slowestDispatcherRate = 0.98
	// clockWindow is the time for which the best reading is kept, once or twice over. An
	// older one would be too high after a dispatcher's clock has stood still.
	clockWindow = 3 * time.Second
)

// clockReading is what a dispatcher's clock showed when it sent a message.
type clockReading struct {
	shown, received time.Time
}

// earliest returns the lowest time that the clock may show at the time t of the owner's
// clock. The reading was taken before it was received, so the clock is ahead of it.
func (r clockReading) earliest(t time.Time) time.Time {
	return r.shown.Add(time.Duration(slowestDispatcherRate * float64(t.Sub(r.received))))
}

// dispatcherClock is a lower bound of a dispatcher's clock. It keeps the readings with the
// highest bounds of the current window and the one before, because a reading that was
// delayed gives a low bound.
type dispatcherClock struct {
	previous, current clockReading
	windowStart       time.Time
}

// observe takes a reading into account, which is newer than those before.
func (c *dispatcherClock) observe(shown, received time.Time) {
	r := clockReading{shown: shown, received: received}
	switch age := received.Sub(c.windowStart); {
	case age > 2*clockWindow:
		c.previous, c.current, c.windowStart = r, r, received
	case age > clockWindow:
		c.previous, c.current, c.windowStart = c.current, r, received
	case shown.After(c.current.earliest(received)):
		c.current = r
	}
}

// earliest returns the lowest time that the dispatcher's clock may show at the time t of
// the owner's clock.
func (c *dispatcherClock) earliest(t time.Time) time.Time {
	previous, current := c.previous.earliest(t), c.current.earliest(t)
	if previous.After(current) {
		return previous
	}
	return current
}

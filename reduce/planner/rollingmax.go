package planner

import "time"

// rollingMax is the maximum of a series of numbers over the last one to two
// periods.
type rollingMax struct {
	since             time.Time
	previous, current int
	// complete is set once a whole period has passed.
	complete bool
}

func (m *rollingMax) add(n int, now time.Time, period time.Duration) {
	if now.Sub(m.since) >= period {
		m.previous, m.current = m.current, 0
		m.since, m.complete = now, true
	}
	m.current = max(m.current, n)
}

func (m *rollingMax) value() int { return max(m.previous, m.current) }

package planner

import "time"

// highest is the highest of numbers over the last one to two periods.
type highest struct {
	since             time.Time
	previous, current int
	// full is set once a whole period has passed.
	full bool
}

func (h *highest) add(n int, now time.Time, period time.Duration) {
	if now.Sub(h.since) >= period {
		h.previous, h.current = h.current, 0
		h.since, h.full = now, true
	}
	h.current = max(h.current, n)
}

func (h *highest) value() int { return max(h.previous, h.current) }

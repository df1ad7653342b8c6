package placement

import "time"

const (
	// rateMemory is the length of time that a measured rate reaches back.
	rateMemory = 10 * time.Second
	// ratePrior is the length of time for which a pool's slots count as a
	// first measurement.
	ratePrior = time.Second
)

// rate measures how much run time a pool starts in a span of time while
// requests wait: the slots that this entry gets in effect.
type rate struct {
	since   time.Time
	work    time.Duration
	elapsed time.Duration
}

// resume starts measuring when the first request waits.
func (r *rate) resume(now time.Time) { r.since = now }

// add notes the start of a request that had to wait.
func (r *rate) add(now time.Time, cost time.Duration) {
	r.elapsed += now.Sub(r.since)
	r.since = now
	r.work += cost
	for r.elapsed > rateMemory {
		r.elapsed /= 2
		r.work /= 2
	}
}

// slots returns the slots that are used in effect, of those that are there.
func (r *rate) slots(usable int) float64 {
	started := r.work + ratePrior*time.Duration(usable)
	effective := float64(started) / float64(r.elapsed+ratePrior)
	return min(effective, float64(usable))
}

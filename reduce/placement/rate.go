package placement

import "time"

const (
	// rateMemory is the time that a rate covers at most. A rate that covers
	// more is halved, so that old work counts less.
	rateMemory = 10 * time.Second
	// ratePrior is the time for which a pool's slots count as an initial
	// observation.
	ratePrior = time.Second
)

// rate measures the run time that a pool starts per unit of time while requests
// wait: the number of slots that this entry gets in effect.
type rate struct {
	since   time.Time
	work    time.Duration
	elapsed time.Duration
}

// resume restarts the measurement when the first request waits.
func (r *rate) resume(now time.Time) { r.since = now }

// add records the start of a request that had to wait.
func (r *rate) add(now time.Time, cost time.Duration) {
	r.elapsed += now.Sub(r.since)
	r.since = now
	r.work += cost
	for r.elapsed > rateMemory {
		r.elapsed /= 2
		r.work /= 2
	}
}

// slots returns the number of slots used in effect, of the usable ones.
func (r *rate) slots(usable int) float64 {
	started := r.work + ratePrior*time.Duration(usable)
	effective := float64(started) / float64(r.elapsed+ratePrior)
	return min(effective, float64(usable))
}

package placement

import "time"

const (
	// rateMemory is the longest time that a rate covers. A rate that covers
	// more is halved, so that old work counts less.
	rateMemory = 10 * time.Second
	// ratePrior is the length of an assumed observation, with all usable slots in
	// use, that is added to the measured one.
	ratePrior = time.Second
)

// rate measures the run time that a pool starts per unit of time while requests
// wait: the effective number of slots that this entry uses.
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

// slots returns the effective number of slots in use, at most the usable ones.
func (r *rate) slots(usable int) float64 {
	started := r.work + ratePrior*time.Duration(usable)
	effective := float64(started) / float64(r.elapsed+ratePrior)
	return min(effective, float64(usable))
}

package admission

import (
	"hash/fnv"
	"time"
)

const (
	// minRetryAfter is the shortest delay that a refusal asks for.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the delay: the estimate on which it is based gets worse with
	// the time.
	maxRetryAfter = 10 * time.Second
	// delayConfidence is the share of an estimated delay that is taken as known. Work
	// ahead may be cancelled or may take less time than its client has guessed.
	delayConfidence = 0.6
)

// RetryAfter returns in how many whole seconds a refused client may come back: when
// the work ahead of it, which takes a known time, is through. The key, which names the
// request, spreads the clients over twice that time.
//
// Load pattern: all clients of a burst are refused within a second and would return
// within one.
func RetryAfter(delay time.Duration, key string) time.Duration {
	base := min(max(delay, minRetryAfter), maxRetryAfter)
	seconds := uint64((base + time.Second - 1) / time.Second)
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	return time.Duration(seconds+h.Sum64()%(seconds+1)) * time.Second
}

// StartDelay returns how long new work waits until a pool has done the work ahead of
// it. Work is in thousandths of a core times seconds, capacity in thousandths of a
// core. Without a known capacity there is no delay.
func StartDelay(workAhead float64, capacity int64) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(workAhead / float64(capacity) * float64(time.Second))
}

// TooLate reports whether a job is known to end after the time from which its end has
// no value, because it starts only after startDelay. path is the estimated run time of
// its longest chain of steps. A job that would have no value without the delay either
// is not refused: its client wants it all the same.
//
// Load pattern: a burst asks for several times what all instances together can do
// within the jobs' deadlines. What is accepted beyond that displaces work that could
// still be in time.
func TooLate(now time.Time, startDelay, path time.Duration, noValueAfter time.Time) bool {
	known := time.Duration(delayConfidence * float64(startDelay))
	return !now.Add(path).After(noValueAfter) && now.Add(known+path).After(noValueAfter)
}

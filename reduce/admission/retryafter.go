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

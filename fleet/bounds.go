package fleet

import (
	"math"
	"math/bits"
	"time"
)

const (
	// MaxDuration bounds durations from outside: some 139 years, so that the sum of two of them
	// is a duration.
	MaxDuration = (1 << 42) * time.Millisecond
	// MaxNeeds bounds each figure of what a task needs, so that sums over the tasks of all jobs
	// stay far below the largest integer.
	MaxNeeds = 1 << 31
	// maxWhole is the largest number up to which a float64 holds every whole number.
	maxWhole = 1 << 53
)

// Milliseconds returns a duration of n milliseconds, at most MaxDuration in either direction.
func Milliseconds(n int64) time.Duration {
	limit := MaxDuration.Milliseconds()
	return time.Duration(min(max(n, -limit), limit)) * time.Millisecond
}

// AddDurations returns a + b, at most MaxDuration in either direction.
func AddDurations(a, b time.Duration) time.Duration {
	return clampDuration(clampDuration(a) + clampDuration(b))
}

// ScaleDuration returns d * factor, at most MaxDuration in either direction; zero if that is not
// a number.
func ScaleDuration(d time.Duration, factor float64) time.Duration {
	switch f := float64(d) * factor; {
	case math.IsNaN(f):
		return 0
	case f >= float64(MaxDuration):
		return MaxDuration
	case f <= -float64(MaxDuration):
		return -MaxDuration
	default:
		return time.Duration(f)
	}
}

func clampDuration(d time.Duration) time.Duration { return min(max(d, -MaxDuration), MaxDuration) }

// WholeNumber returns the whole part of a number, at most 2^53 in either direction; zero if f is
// not a number. The conversion of larger ones differs between processors.
func WholeNumber(f float64) int64 {
	if math.IsNaN(f) {
		return 0
	}
	return int64(min(max(f, -maxWhole), maxWhole))
}

// DueAt returns when occurrence n of a repeated job is due, to the millisecond: the farthest
// time that milliseconds since 1970 can express if it is beyond that.
func (s *JobSpec) DueAt(n int) time.Time {
	first := s.FirstAt.UnixMilli()
	high, low := bits.Mul64(uint64(max(n, 0)), uint64(max(s.Interval.Milliseconds(), 0)))
	if high != 0 || low > math.MaxInt64 || (first > 0 && int64(low) > math.MaxInt64-first) {
		return time.UnixMilli(math.MaxInt64)
	}
	return time.UnixMilli(first + int64(low))
}

package admission

import (
	"cmp"
	"time"
)

// ValueClass ranks work by the value that its completion still has.
type ValueClass uint8

// Classes of work, from the first to the last. ClassOnTime and ClassLate are for jobs within
// the share of their tenant, the classes after them for those beyond it.
const (
	ClassLongRunning ValueClass = iota
	ClassOnTime
	ClassLate
	ClassBeyondOnTime
	ClassBeyondLate
	ClassNoValue
)

// Beyond returns the class of work whose job is beyond the share of its tenant.
func (c ValueClass) Beyond() ValueClass {
	switch c {
	case ClassOnTime:
		return ClassBeyondOnTime
	case ClassLate:
		return ClassBeyondLate
	default:
		return c
	}
}

// onTimeMargin is the part of its expected time, as a divisor, by which work of a tenant has to be
// able to end early to count as on time. With expectations that are wrong by 0.3 in logarithms, a
// tenth is as good as none in the replays of reduce/shares and better than a quarter; with
// estimates, which are wrong by 0.7, it costs nothing.
const onTimeMargin = 10

// Margin returns the time by which work that takes an expected time has to be able to end early
// to count as on time where tenants share the fleet. Work that can't is put behind at once, not
// only when it is late.
//
// Load pattern: more work than capacity for a while. With the earliest latest start first,
// each job begins when it just no longer fits.
func Margin(expected time.Duration) time.Duration { return expected / onTimeMargin }

// Waiting describes work that waits for a runner.
type Waiting struct {
	Class    ValueClass
	Priority int
	// Started is set when other work of the same job has started.
	Started bool
	// Remaining is the expected time until the end of the job if the work started now; zero
	// where it does not count. The shorter goes first: of more work than fits, more jobs end
	// on time. The replays of reduce/shares show that within a tenant.
	Remaining time.Duration
	// LatestStart is when the work has to start for its job to be on time.
	LatestStart time.Time
}

// Compare orders waiting work: first what still has the most value, then by priority,
// then jobs that have started, because what they have used so far is lost if they end
// late, then by the remaining time where it counts, then by the latest start.
//
// Load pattern: queues that take turns at four times their mean load, more than their
// pools hold.
func Compare(a, b Waiting) int {
	// Each comparison is made only if those before it are equal: an owner makes thousands in a
	// pass.
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareBool(b.Started, a.Started); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Remaining, b.Remaining); c != 0 {
		return c
	}
	return a.LatestStart.Compare(b.LatestStart)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

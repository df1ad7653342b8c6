package admission

import (
	"cmp"
	"time"
)

// ValueClass ranks work by the value that its completion still has.
type ValueClass uint8

// Classes of work, from the first to the last.
const (
	ClassLongRunning ValueClass = iota
	ClassOnTime
	ClassLate
	ClassNoValue
)

// Waiting describes work that waits for a runner.
type Waiting struct {
	Class    ValueClass
	Priority int
	// Started is set when other work of the same job has started.
	Started bool
	// LatestStart is when the work has to start for its job to be on time.
	LatestStart time.Time
}

// Compare orders waiting work: first what still has the most value, then by priority,
// then jobs that have started, because what they have used so far is lost if they end
// late, then by the latest start.
//
// Load pattern: queues that take turns at four times their mean load, more than their
// pools hold.
func Compare(a, b Waiting) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Priority, b.Priority),
		compareBool(b.Started, a.Started),
		a.LatestStart.Compare(b.LatestStart),
	)
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

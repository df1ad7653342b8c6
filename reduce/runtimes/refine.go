package runtimes

import (
	"math/bits"
	"time"
)

// stepPrior is the weight of the expectation beside the runs of the same step, in runs. The tasks
// of a step resemble one another more than their estimate tells.
const stepPrior = 2

// Ended sums up the runs of a step that have ended.
type Ended struct {
	count int
	// logs is the sum of the logarithms of the run times.
	logs float64
}

// Add adds a run.
func (e *Ended) Add(actual time.Duration) {
	e.count++
	e.logs += logOf(actual)
}

// Count returns the number of runs.
func (e *Ended) Count() int { return e.count }

// Doubled reports whether the number of runs has doubled since it last had, so that a step with
// many tasks is not looked at for each of them.
func (e *Ended) Doubled() bool { return e.count > 1 && bits.OnesCount(uint(e.count)) == 1 }

// Refine returns what is expected of the step's other tasks, given what was expected of all, and
// the number of tasks that have begun. The runs that end first are the shortest ones, so they
// count only once half of the tasks that have begun are done.
func (e *Ended) Refine(x Expectation, begun int) Expectation {
	if e.count == 0 || 2*e.count < begun || x.Typical <= 0 {
		return x
	}
	before := logOf(x.Typical)
	after := (stepPrior*before + e.logs) / float64(stepPrior+e.count)
	return Expectation{Typical: timeOf(after), Mean: timeOf(logOf(x.Mean) + after - before), Tail: timeOf(logOf(x.Tail) + after - before), Samples: x.Samples + float64(e.count)}
}

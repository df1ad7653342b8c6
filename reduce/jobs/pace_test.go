package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// pacedWorld has one runner with a serving task, whose tail latency is returned, in
// milliseconds, and a best-effort task beside it, which is returned too.
func pacedWorld(t *testing.T, seed int64) (w *world, latency *int64, beside fleet.TaskID) {
	w = newWorld(t, seed, 2, 1)
	w.run(2 * time.Second)
	serving := longRunningJob(1, 1)
	serving.Steps[0].LatencyTarget = 40 * time.Millisecond
	bestEffort := longRunningJob(1, 1)
	bestEffort.Steps[0].BestEffort = true
	latency = new(int64)
	w.load = func(id fleet.TaskID) int64 {
		if id.Job == jobID(0) {
			return *latency
		}
		return 0
	}
	w.submit(jobID(0), serving)
	w.submit(jobID(1), bestEffort)
	beside = firstTask(jobID(1))
	w.runUntilRuns(beside)
	w.run(2 * time.Second)
	return w, latency, beside
}

// paceOf returns the pace at which a task works.
func (w *world) paceOf(id fleet.TaskID) int {
	w.t.Helper()
	r := w.runnerUnder(id)
	must.NotNil(w.t, r)
	return r.runs[id].pace
}

const (
	harmed   = 60
	unharmed = 10
)

// TestPaceOfAFormerOwnerIsReplaced kills the owner that has paused a task. The next one took
// it for working at its full pace, and it stayed paused.
func TestPaceOfAFormerOwnerIsReplaced(t *testing.T) {
	w, latency, beside := pacedWorld(t, 181)
	*latency = harmed
	w.run(2 * time.Second)
	must.Eq(t, 0, w.paceOf(beside))
	w.owner().kill()
	*latency = unharmed
	w.run(12 * time.Second)
	must.Eq(t, 100, w.paceOf(beside))
}

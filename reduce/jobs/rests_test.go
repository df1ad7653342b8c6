package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestRunnerThatFailsForLongKeepsResting has a runner fail each run for minutes. The length of its rests overflowed after 33 of them, and it got no rest any more.
func TestRunnerThatFailsForLongKeepsResting(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 280, 1, 1, func(w *world) {
		w.queues = fleet.NewQueues(1, []*fleet.Queue{{
			Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 10_000, Stretch: 2, Slack: time.Second,
		}}, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}})
	})
	w.run(2 * time.Second)
	w.runners["r0"].failing = true
	w.submit(jobID(0), longStepJob(1))
	w.run(5 * time.Minute)
	before := w.starts
	must.Greater(t, 33, before)
	w.run(time.Minute)
	must.Less(t, 30, w.starts-before)
}

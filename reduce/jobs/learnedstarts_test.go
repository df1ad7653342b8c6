package jobs_test

import (
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestLearnedRunTimesChangeStarts guards against starts in the order and at the places of the
// clients' estimates after run times were learned, and the reverse. Tasks of "long" take 4 s and
// are estimated at 1 s, those of "short" the opposite. Runner r0 is preferred and leaves after 5.5 s.
func TestLearnedRunTimesChangeStarts(t *testing.T) {
	lengths := map[string]time.Duration{"long": 4 * time.Second, "short": time.Second, "blocker": time.Second}
	for _, c := range []struct {
		learns, trained, longFirst bool
		// long and short are the places of tasks when r0 reports its notice, late that of a
		// short task 4 s later.
		long, short, late fleet.RunnerID
	}{
		{learns: true, longFirst: true, long: "r0", short: "r1", late: "r1"},
		{learns: true, trained: true, long: "r1", short: "r0", late: "r1"},
		{trained: true, longFirst: true, long: "r0", short: "r0", late: "r0"},
	} {
		w := newWorld(t, 560, 1, 2)
		w.length = func(id fleet.TaskID) time.Duration { return lengths[w.submitted[id.Job].Steps[0].Image] }
		w.runners["r0"].capacity.CPU /= 2
		w.learnRunTimes = c.learns
		w.rebootAll()
		w.run(2 * time.Second)
		submit := func(image string, cpu int64, training bool) fleet.TaskID {
			id, spec := jobID(len(w.submitted)), oneTaskJob(5*time.Second-lengths[image])
			spec.Steps[0].Image, spec.Steps[0].Needs.CPU = image, cpu
			spec.Steps[0].Gang = training // gangs are not restarted as stragglers
			w.submit(id, spec)
			return firstTask(id)
		}
		for n := 0; c.trained && n < 12; n++ {
			submit("long", 1000, true)
			submit("short", 1000, true)
		}
		w.run(6 * time.Second)

		submit("blocker", runnerCapacity.CPU, false)
		w.run(200 * time.Millisecond)
		long, short := submit("long", runnerCapacity.CPU, false), submit("short", runnerCapacity.CPU, false)
		w.run(8 * time.Second)
		must.True(t, w.doneOnce[long] && w.doneOnce[short])
		must.Eq(t, c.longFirst, w.history(long).firstStart.Before(w.history(short).firstStart), must.Sprintf("order of %+v", c))

		placed := func(image string) fleet.RunnerID {
			id := submit(image, 1000, false)
			w.runUntilRuns(id)
			return w.runnerUnder(id).id
		}
		w.runners["r0"].remaining = 5500 * time.Millisecond
		w.run(300 * time.Millisecond)
		must.Eq(t, c.long, placed("long"), must.Sprintf("long task of %+v", c))
		must.Eq(t, c.short, placed("short"), must.Sprintf("short task of %+v", c))
		w.run(3700 * time.Millisecond)
		must.Eq(t, c.late, placed("short"), must.Sprintf("late task of %+v", c))
		w.checkInvariants()
	}
}

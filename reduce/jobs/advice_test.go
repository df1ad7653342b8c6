package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// advisedWorld is a world whose queue requires advice. The service answers after 40 ms, and good tells which runners may
// run a step. It returns the number of requests.
func advisedWorld(t *testing.T, seed int64, runners int, validFor time.Duration, good func(fleet.RunnerID) bool) (*world, *int) {
	w := newWorld(t, seed, 3, runners, func(w *world) {
		w.hasAdvice = true
		w.queues = fleet.NewQueues(1, []*fleet.Queue{{
			Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: time.Second, RequiresAdvice: true,
		}}, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}})
	})
	requests := 0
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		switch o := out.(type) {
		case effect.RequestAdvice:
			requests++
			tickets := make(map[fleet.RunnerID]string)
			for _, id := range o.Runners {
				if good(id) {
					tickets[id] = "ticket for " + string(id)
				}
			}
			e.postAfter(40*time.Millisecond, event.AdviceReceived{
				Epoch: o.Epoch, Job: o.Job, Step: o.Step, Tickets: tickets, Runners: o.Runners, ValidFor: validFor,
			})
			return false
		case effect.OrderTask:
			if o.Kind == effect.OrderStart {
				must.True(t, good(o.Runner))
				must.Eq(t, "ticket for "+string(o.Runner), o.Ticket)
			}
		}
		return true
	}
	w.run(5 * time.Second)
	return w, &requests
}

// TestTicketsOfRunnersThatLeft has all runners replaced: a lasting task waited until the tickets of those that had left expired.
func TestTicketsOfRunnersThatLeft(t *testing.T) {
	w, requests := advisedWorld(t, 498, 3, time.Minute, func(fleet.RunnerID) bool { return true })
	w.submit(jobID(0), longRunningJob(2, 1))
	w.run(2 * time.Second)
	must.Eq(t, 2, w.runningTasks())
	for n := range 3 {
		w.addRunner(fleet.RunnerID(fmt.Sprint("next", n)))
		w.run(time.Second)
		old := w.runners[fleet.RunnerID(fmt.Sprint("r", n))]
		old.draining = true
		w.run(2500 * time.Millisecond)
		old.crash()
		w.run(time.Second)
	}
	w.run(longestAbsence)
	must.Eq(t, 2, w.runningTasks())
	must.Less(t, 10, *requests)
	w.checkInvariants()
}

// TestAdviceAboutMoreRunnersOnceThoseWithTicketsAreFull has more tasks than the runners with tickets of the first request have room
// for. It also guards against requests that repeat while nothing new can be asked.
func TestAdviceAboutMoreRunnersOnceThoseWithTicketsAreFull(t *testing.T) {
	isGood := func(id fleet.RunnerID) bool { return slices.Contains([]fleet.RunnerID{"r3", "r17", "r33", "r38"}, id) }
	w, requests := advisedWorld(t, 499, 40, time.Minute, isGood)
	w.submit(jobID(0), hourTasks(70, 0))
	w.run(5 * time.Second)
	must.Eq(t, 70, w.runningTasks())
	must.Eq(t, 2, *requests)
	w.submit(jobID(1), hourTasks(20, 0)) // there is room for ten of them
	w.run(5 * time.Second)
	must.Eq(t, 80, w.runningTasks())
	must.Eq(t, 4, *requests)
	w.checkInvariants()
}

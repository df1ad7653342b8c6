package jobs_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
)

// singleTask returns a job of one task that runs for a time.
func singleTask(runs time.Duration, cpu int64) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: 1, Needs: fleet.Capacity{CPU: cpu, Memory: 100}, Estimate: runs}}}
}

// busiest returns the n runners with the most runs.
func (w *world) busiest(n int) []*fakeRunner {
	var all []*fakeRunner
	for _, r := range w.listed() {
		all = append(all, w.runners[r.ID])
	}
	slices.SortStableFunc(all, func(a, b *fakeRunner) int { return len(b.runs) - len(a.runs) })
	return all[:n]
}

// untilRunning runs the world until n tasks run, and returns after what time they do.
func (w *world) untilRunning(n int, most time.Duration) time.Duration {
	began := w.now
	for w.runningTasks() < n && w.now.Sub(began) < most {
		w.run(20 * time.Millisecond)
	}
	return w.now.Sub(began)
}

// noteDecisions collects decisions with some names.
func (w *world) noteDecisions(names ...string) *[]effect.Decision {
	var out []effect.Decision
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out1 effect.Effect) bool {
		if d, ok := out1.(effect.Decision); ok && slices.Contains(names, d.Name) {
			out = append(out, d)
		}
		return inner == nil || inner(e, out1)
	}
	return &out
}

// TestTasksOfALostRackAreNotTried: settled tasks queued for isolated trials after four runners of a rack had ended at once.
func TestTasksOfALostRackAreNotTried(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for seed := range int64(3) {
			t.Run(fmt.Sprint("silent=", silent, " seed=", seed), func(t *testing.T) {
				w := newWorld(t, 900+seed, 3, 16)
				w.withInstances(0)
				w.run(2 * time.Second)
				const jobs = 36
				for n := range jobs {
					w.submit(jobID(n), singleTask(time.Minute, 5000))
				}
				w.run(5 * time.Second)
				must.Eq(t, jobs, w.runningTasks())
				lost := w.busiest(4)
				for _, r := range lost {
					r.rack = "r1-0"
				}
				w.run(time.Second) // their reports name the rack
				crashed := w.noteDecisions("runner crashed")
				for _, r := range lost {
					w.instanceOf(r).crashFor(w, 15*time.Second, silent)
				}
				noticed := time.Second + orderTimeout + 300*time.Millisecond // a long poll, its time-out, a rack's loss
				must.Less(t, longestStand+noticed, w.untilRunning(jobs, 20*time.Second))
				for _, d := range *crashed {
					must.Eq(t, "with its rack", d.Outcome, must.Sprintf("%+v", d))
				}
				w.checkInvariants()
			})
		}
	}
}

// TestOneListWithAnotherRunnerEndsNoRun: one list had another runner on the instance of a runner that was cut off and went on.
func TestOneListWithAnotherRunnerEndsNoRun(t *testing.T) {
	w := newWorld(t, 921, 3, 3, slowClock)
	w.withInstances(0)
	w.run(5 * time.Second)
	w.submit(jobID(0), longRunningJob(1, 1))
	w.run(2 * time.Second)
	r := w.runnerUnder(firstTask(jobID(0)))
	i := w.instanceOf(r)
	r.unreachable = true
	w.run(1500 * time.Millisecond)
	lists := w.owner().lists
	i.runner = w.busiest(1)[0]
	must.NotEq(t, r.id, i.runner.id)
	for w.owner().lists == lists {
		w.run(10 * time.Millisecond)
	}
	i.runner = r
	w.run(20 * time.Second)
	w.checkInvariants()
}

// TestTaskThatEndsItsInstancesForGoodIsGivenUp: a task that ended each instance on which it began used up one after another.
func TestTaskThatEndsItsInstancesForGoodIsGivenUp(t *testing.T) {
	const most = 5
	for _, c := range []string{"down", "missing"} {
		t.Run(c, func(t *testing.T) {
			w := newWorld(t, 922, 3, 30)
			w.withInstances(0)
			w.run(2 * time.Second)
			task, ended := firstTask(jobID(0)), 0
			w.submit(jobID(0), singleTask(10*time.Second, 1000))
			for began := w.now; w.now.Sub(began) < time.Minute; w.run(5 * time.Millisecond) {
				r := w.runnerUnder(task)
				if r == nil {
					continue
				}
				w.run(20 * time.Millisecond)
				if r.runs[task] == nil {
					continue
				}
				ended++
				w.history(task).crashed++
				if c == "down" {
					w.instanceOf(r).crashFor(w, time.Minute, false)
				} else {
					w.instanceOf(r).vanish(w, false)
				}
			}
			must.Between(t, 1, ended, most)
			must.Eq(t, fleet.JobFailed, w.state(jobID(0)).State)
		})
	}
}

// TestRunIsBlamedForOneCrash: a run counted for the restart of its runner, and again as the instance was listed as down.
func TestRunIsBlamedForOneCrash(t *testing.T) {
	const ms = time.Millisecond
	w := newWorld(t, 923, 3, 2, slowClock)
	w.withInstances(0)
	w.run(5 * time.Second)
	u := w.unseenRestart(20*time.Second, 0)
	w.submit(jobID(0), longRunningJob(1, 1))
	r := u.awaitStart()
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		o, ok := out.(effect.OrderTask)
		if !ok || o.Kind != effect.OrderStop {
			return inner(e, out)
		}
		e.postAfter(orderTimeout, event.TaskOrdered{
			Epoch: o.Epoch, Token: o.Token, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderUnknown,
		})
		return false
	}
	crashed := w.noteDecisions("runner crashed")
	w.run(50 * ms)
	r.crash()
	w.run(200 * ms)
	r.boot()
	w.run(800 * ms)
	w.instanceOf(r).crashFor(w, time.Minute, false)
	w.run(2 * time.Second)
	blamed := 0
	for _, d := range *crashed {
		blamed += d.Count
	}
	must.Eq(t, 1, blamed)
}

// TestCrashSoonAfterAMoveIsNotTakenForPlanned: a crash of a runner that had just joined was taken for the end by the move before.
func TestCrashSoonAfterAMoveIsNotTakenForPlanned(t *testing.T) {
	w := newWorld(t, 931, 3, 2)
	w.withInstances(2)
	w.run(2 * time.Second)
	for n := range 40 {
		w.submit(jobID(n), singleTask(time.Minute, 5000))
	}
	var joined *fakeRunner
	for began := w.now; joined == nil && w.now.Sub(began) < 20*time.Second; w.run(10 * time.Millisecond) {
		for _, i := range w.instances {
			if i.pool == "desk" && strings.HasPrefix(string(i.id), "s-") && i.runner != nil && len(i.runner.runs) > 0 {
				joined = i.runner
			}
		}
	}
	must.NotNil(t, joined, must.Sprint("no instance has joined and taken tasks"))
	ended := w.noteDecisions("runner crashed", "runner left")
	w.instanceOf(joined).crashFor(w, time.Minute, false)
	w.run(3 * time.Second)
	must.SliceLen(t, 1, *ended)
	must.Eq(t, "runner crashed", (*ended)[0].Name)
}

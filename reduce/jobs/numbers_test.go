package jobs_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

// TestJobsWithNumbersAtTheirEdgesHoldUpNothing: with a job due in the year 9999 no deadline of the owner fired any more, and
// what ran on a runner that crashed was never started again, by the next owner neither (review case 11).
func TestJobsWithNumbersAtTheirEdgesHoldUpNothing(t *testing.T) {
	scheduled := func(first, interval int64, repeats int) *fleet.JobSpec {
		s := oneTaskJob(100 * time.Millisecond)
		s.FirstAt, s.Interval, s.Repeats = time.UnixMilli(first), fleet.Milliseconds(interval), repeats
		return s
	}
	step := func(change func(*fleet.Step)) *fleet.JobSpec {
		s := oneTaskJob(100 * time.Millisecond)
		change(&s.Steps[0])
		return s
	}
	chain := &fleet.JobSpec{Text: "text"}
	for i := range 40 {
		chain.Steps = append(chain.Steps, fleet.Step{Count: 1, Needs: taskNeeds, Estimate: fleet.MaxDuration})
		if i > 0 {
			chain.Steps[i].After = []int{i - 1}
		}
	}
	specs := map[string]*fleet.JobSpec{
		"estimate": step(func(s *fleet.Step) { s.Estimate = fleet.MaxDuration }), "chain": chain,
		"no estimate": step(func(s *fleet.Step) { s.Estimate = 0 }),
		"target":      step(func(s *fleet.Step) { s.LongRunning, s.LatencyTarget = true, fleet.MaxDuration }),
		"per runner":  step(func(s *fleet.Step) { s.MaxPerRunner = math.MaxInt }),
		"unavailable": step(func(s *fleet.Step) { s.LongRunning, s.MaxUnavailable = true, math.MaxInt }),
		"needs": step(func(s *fleet.Step) {
			s.Count, s.Needs = 100, fleet.Capacity{CPU: fleet.MaxNeeds, Memory: fleet.MaxNeeds, Accelerators: fleet.MaxNeeds}
		}),
	}
	for _, first := range []int64{math.MinInt64, -1, 0, 1 << 53, 253402300799999, math.MaxInt64} {
		for _, interval := range []int64{0, 1, 1 << 31, math.MaxInt64} {
			specs[fmt.Sprint("first=", first, " interval=", interval)] = scheduled(first, interval, math.MaxInt)
		}
	}
	for name, spec := range specs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 470, 3, 4)
			w.run(30 * time.Second)
			w.submit(jobID(0), spec)
			w.run(500 * time.Millisecond)
			w.cancel(jobID(0)) // else its own tasks would fill the runners
			if spec.Repeats > 0 && spec.FirstAt.After(w.now) {
				w.submit(jobID(1), spec)
			}
			for n := range 2 {
				lasting := jobID(10 + n)
				w.submit(lasting, longRunningJob(1, 1))
				w.runUntilRuns(firstTask(lasting))
				r := w.runnerUnder(firstTask(lasting))
				must.NotNil(t, r)
				r.crash()
				must.Less(t, longestAbsence+4*time.Second, w.awayFor(firstTask(lasting), time.Minute))
				w.submit(jobID(20+n), oneTaskJob(100*time.Millisecond))
				w.run(2 * time.Second)
				w.mustState(jobID(20+n), fleet.JobDone)
				o := w.owner() // the next one reads the job from the ledger
				o.kill()
				w.after(time.Second, o.restart)
				w.run(5 * time.Second)
			}
			w.checkInvariants()
		})
	}
}

// TestHugeNumbersTakeNoInstances: a job whose tasks fit nowhere, or whose estimate is years, made its pool need every instance, for as long as
// it waited or for a minute.
func TestHugeNumbersTakeNoInstances(t *testing.T) {
	huge := &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{
		Count: 10_000, Needs: fleet.Capacity{CPU: fleet.MaxNeeds, Memory: fleet.MaxNeeds}, Estimate: fleet.MaxDuration,
	}}}
	long := oneTaskJob(fleet.MaxDuration)
	for name, spec := range map[string]*fleet.JobSpec{"needs": huge, "estimate": long} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 471, 3, 2)
			w.withInstances(6)
			w.run(5 * time.Second)
			w.submit(jobID(0), oneTaskJob(100*time.Millisecond))
			w.run(15 * time.Second)
			before := w.instancesIn("desk")
			w.submit(jobID(1), spec)
			w.run(20 * time.Second)
			must.LessEq(t, before+1, w.instancesIn("desk"))
			w.checkInvariants()
		})
	}
}

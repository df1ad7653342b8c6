package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/standin"
)

const (
	// crashTime is how long the runner is down, and cutTime how long it is cut off
	// afterwards.
	crashTime   = 500 * time.Millisecond
	cutTime     = 5500 * time.Millisecond
	runnerCount = 8
	// quietTime is the time before the crash.
	quietTime = 8 * time.Second
)

// playLease checks that no task runs twice at the same time when a runner restarts
// under its id and is cut off soon after.
func playLease(b *bed, trouble bool) ([]string, error) {
	// A runner has room for one task.
	capacity := fleet.Capacity{CPU: 64_000, Memory: 128_000}
	needs := fleet.Capacity{CPU: 40_000, Memory: 1000}
	if err := b.configure(); err != nil {
		return nil, err
	}
	for i := range runnerCount {
		if _, err := b.addRunner(fmt.Sprintf("m%d", i+1), capacity); err != nil {
			return nil, err
		}
	}
	if err := b.startEntries(3, ""); err != nil {
		return nil, err
	}
	// The short jobs keep the other runners busy until after the cut has begun.
	long, short := fleet.JobID("00000000000000a1"), fleet.JobID("00000000000000b2")
	b.plans[long] = standin.TaskPlan{Needs: needs, Duration: 30 * time.Second}
	b.plans[short] = standin.TaskPlan{Needs: needs, Duration: 12500 * time.Millisecond}
	for i, id := range []fleet.JobID{long, short} {
		count := 1
		if id == short {
			count = runnerCount - 1
		}
		spec := &fleet.JobSpec{Text: "t", Steps: []fleet.Step{{Count: count, Needs: needs, Estimate: b.plans[id].Duration}}}
		if !b.submit(id, i, spec) {
			return nil, errors.New("a job was not accepted")
		}
	}
	b.sleep(quietTime)
	r := b.runnerOf(long)
	if r == nil || b.runnerOf(short) == nil {
		return nil, errors.New("the jobs do not run")
	}
	if trouble {
		r.crash()
		b.sleep(crashTime)
		r.boot(false)
		for range 50 {
			b.sleep(100 * time.Millisecond)
			if b.runnerOf(long) == r {
				break
			}
		}
		if b.runnerOf(long) != r {
			return nil, errors.New("the job does not run on the restarted runner")
		}
		b.sleep(time.Second)
		b.rec.printf("runner %s is cut off", r.id)
		r.proxy.setMode(drop)
		b.sleep(cutTime)
		b.rec.printf("runner %s is reachable again", r.id)
		r.proxy.setMode(forward)
		b.sleep(4 * time.Second)
	} else {
		b.sleep(13 * time.Second)
	}
	return b.parallelRuns(), nil
}

// parallelRuns returns the pairs of runs of one task that overlap.
func (b *bed) parallelRuns() []string {
	var out []string
	for task, runs := range b.intervals() {
		slices.SortFunc(runs, func(a, b interval) int { return a.begin.Compare(b.begin) })
		for i := 1; i < len(runs); i++ {
			if first, second := runs[i-1], runs[i]; second.begin.Before(first.end) {
				out = append(out, fmt.Sprintf("TWICE: task %v runs as attempt %d on %s from %.3f s to %.3f s, and as attempt %d on %s from %.3f s to %.3f s",
					task, first.event.Attempt, first.event.Runner, b.rec.since(first.begin), b.rec.since(first.end),
					second.event.Attempt, second.event.Runner, b.rec.since(second.begin), b.rec.since(second.end)))
			}
		}
	}
	return out
}

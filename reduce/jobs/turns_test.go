package jobs_test

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/shoenig/test/must"
)

var (
	replaySeeds = flag.Int64("jobs.replays", 1, "number of seeds of each replay")
	replaySize  = flag.Int("jobs.replaysize", 10, "runners of each pool in replays")
)

// turns is the load of queues that take turns of turnLength, as a share of what a pool holds at
// the start: in its turn, a queue has peak times its mean load, which is a third of its pool, and
// slackShare of it in between.
func turns(peak float64) func(int, time.Duration) float64 {
	return func(queue int, at time.Duration) float64 {
		if int(at/turnLength)%benchPools == queue {
			return peak / 3
		}
		return slackShare / 3
	}
}

// drawn is a load with bursts at times without a period.
func drawn(queue int, at time.Duration) float64 {
	n := uint32(at/turnLength)*2654435761 + uint32(queue)*40503*65537
	if (n>>16)%4 == 0 {
		return 4. / 3
	}
	return slackShare / 3
}

// replayWorld returns a world with a pool for each queue, and a spare pool as large as one whose
// instances are off.
func replayWorld(t *testing.T, seed int64, runners int) *world {
	w := newWorld(t, seed, 1, benchPools*runners)
	entries := w.entries
	w.entries = nil // they restart once all pools are known
	w.withInstances(runners)
	w.entries = entries
	var queues []*fleet.Queue
	services := []*fleet.JobService{{Name: sparePool, Spare: true}}
	for n := range benchPools {
		name := poolName(n)
		queues = append(queues, &fleet.Queue{
			Name: fleet.QueueName(name), Host: "host", Prefix: "/" + string(name) + "/", Service: name, MaxAttempts: 2, Stretch: 1.5, Slack: 600 * time.Millisecond,
		})
		services = append(services, &fleet.JobService{Name: name, EnforcesCapacity: true})
	}
	for n, i := range w.instances[:benchPools*runners] {
		i.runner.service, i.pool = poolName(n), fleet.PoolName(poolName(n))
	}
	w.queues = fleet.NewQueues(2, queues, services)
	w.rebootAll()
	w.run(3 * time.Second)
	return w
}

// replay adds the counts of 80 s of a load without a network. Its jobs have two steps of 8 tasks
// of 0.8 s. A runner holds 7 tasks.
func (c counts) replay(t *testing.T, seed int64, runners int, load func(queue int, at time.Duration) float64) {
	w := replayWorld(t, seed, runners)
	w.onEffect = c.ofEffects
	rng := rand.New(rand.NewSource(seed)) // of its own, so that the load does not depend on decisions
	const tick = 10 * time.Millisecond
	perLoad := float64(runnerCapacity.CPU) * float64(runners) / (16 * 0.8 * 2800) // jobs a second
	submitted, began := make(map[fleet.JobID]time.Time), w.now
	step := fleet.Step{Count: 8, Needs: fleet.Capacity{CPU: 2800, Memory: 100}, Estimate: 800 * time.Millisecond}
	next := step
	next.After = []int{0}
	for at := time.Duration(0); at < 80*time.Second; at += tick {
		for q := range benchPools {
			for chance := load(q, at) * perLoad * tick.Seconds(); chance > 0; chance-- {
				if rng.Float64() < chance {
					id := jobID(len(w.submitted))
					submitted[id] = w.now
					w.submitTo(poolName(q), id, &fleet.JobSpec{Text: "text", Steps: []fleet.Step{step, next}})
				}
			}
		}
		w.run(tick)
		c.ofInstances(w, tick)
	}
	w.run(5 * time.Second)
	for id, at := range submitted {
		c.ofJob(w, id, at, at.Sub(began) < 8*time.Second)
	}
	c["reduce ms"] += w.reduceTime.Seconds() * 1000
	c["starts"] += float64(w.starts)
	w.checkInvariants()
}

// ofJob counts a job: tasks that began within 0.6 s after they were ready, and whether it was on
// time. A task that begins has a step before it that is done, which the world checks.
func (c counts) ofJob(w *world, id fleet.JobID, submitted time.Time, early bool) {
	ready, done := submitted, true
	for step := range 2 {
		var ended time.Time
		for n := range 8 {
			h := w.history(fleet.TaskID{Job: id, Step: step, Index: n})
			if c["tasks"]++; !h.firstStart.IsZero() && h.firstStart.Sub(ready) <= 600*time.Millisecond {
				c["begun"]++
			}
			if done = done && !h.doneAt.IsZero(); h.doneAt.After(ended) {
				ended = h.doneAt
			}
		}
		ready = ended
	}
	onTime := done && ready.Sub(submitted) <= 3*time.Second
	for name, counted := range map[string]bool{"jobs": true, "on time": onTime, "early": early, "early on time": early && onTime} {
		if counted {
			c[name]++
		}
	}
}

// TestReplays guards against plans of pools by which less work begins in time, or with more
// moves or instance seconds. The bounds are for pools of 10 runners and the first seed. Of loads
// without turns that go on, they are what the rule before the forecast reached (1 % beside for
// instance seconds); of turns, it reached 0.808 and 0.802. Without the period of the first pool
// whose turn comes back, two forecasts fewer come true (8, 6 and 0).
func TestReplays(t *testing.T) {
	for name, load := range map[string]struct {
		load                       func(queue int, at time.Duration) float64
		begun, moves, seconds, met float64
	}{
		"turns of 4": {turns(4), 0.9, 780, 2750, 9},
		"turns of 5": {turns(5), 0.88, 840, 3120, 7},
		"calm":       {func(int, time.Duration) float64 { return 1. / 3 }, 0.967, 766, 2425, 0},
		"drawn":      {drawn, 0.85, 433, 2275, 0},
		"ending": {func(queue int, at time.Duration) float64 {
			if at < 40*time.Second {
				return turns(4)(queue, at)
			}
			return 1. / 6
		}, 0.883, 696, 2165, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := make(counts)
			for seed := range *replaySeeds {
				c.replay(t, seed+1, *replaySize, load.load)
			}
			t.Logf("begun in time %.3f, on time %.3f (%.3f in the first 8 s), %.0f moves, %.0f instance seconds, %.3f ms/run, forecasts %.0f met %.0f dropped",
				c["begun"]/c["tasks"], c["on time"]/c["jobs"], c["early on time"]/c["early"], c["moves"], c["seconds"], c["reduce ms"]/c["starts"],
				c["forecasts met"], c["forecasts dropped"])
			if *replaySize == 10 && *replaySeeds == 1 {
				must.GreaterEq(t, load.begun, c["begun"]/c["tasks"])
				must.LessEq(t, load.moves, c["moves"])
				must.Less(t, load.seconds+1, c["seconds"])
				must.GreaterEq(t, load.met, c["forecasts met"])
			}
		})
	}
}

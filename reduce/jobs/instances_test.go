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

// fakeInstance simulates an instance with its runner, which restarts with it.
type fakeInstance struct {
	id         fleet.InstanceID
	pool       fleet.PoolName
	state      fleet.InstanceState
	runner     *fakeRunner
	fence      int64
	maintained map[int64]bool
	// wave is the last wave for which the instance was maintained.
	wave int64
	// ordered is when the instance accepted the last order.
	ordered time.Time
	// runners is the number of runners that have followed the first one.
	runners int
}

// instanceLease is the time after an order of one tenure in which no order of the
// next tenure may arrive.
const instanceLease = 3 * time.Second

const sparePool = "spare"

// withInstances adds an instance under each runner, and spare instances.
func (w *world) withInstances(spare int) {
	w.queues = fleet.NewQueues(2, []*fleet.Queue{
		{Name: queueName, Host: "host", Prefix: "/plans/", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: time.Second},
	}, []*fleet.JobService{{Name: "desk", EnforcesCapacity: true}, {Name: sparePool, Spare: true}})
	for _, r := range w.listed() {
		f := w.runners[r.ID]
		f.instance = fleet.InstanceID("m-" + string(f.id))
		w.instances = append(w.instances, &fakeInstance{
			id: f.instance, pool: "desk", state: fleet.InstanceUp, runner: f, maintained: make(map[int64]bool),
		})
	}
	for n := range spare {
		w.instances = append(w.instances, &fakeInstance{
			id: fleet.InstanceID(fmt.Sprint("s-", n)), pool: sparePool, state: fleet.InstanceUp, maintained: make(map[int64]bool),
		})
	}
	w.rebootAll()
}

func (e *fakeEntry) listInstances(o effect.ListInstances) {
	w := e.w
	w.after(w.latency(), func() {
		if w.listFails != nil && w.listFails(e) {
			e.postAfter(w.latency(), event.InstancesRead{Epoch: o.Epoch, Failed: true})
			return
		}
		e.lists++
		var rows []fleet.ManagedInstance
		for _, i := range w.instances {
			if w.hidden != nil && w.hidden(e, i.id) {
				continue
			}
			row := fleet.ManagedInstance{ID: i.id, Pool: i.pool, State: i.state}
			if i.runner != nil && i.runner.up {
				row.Runner = i.runner.id
			}
			rows = append(rows, row)
		}
		read := w.latency()
		if w.listTime != nil {
			read += w.listTime(e)
		}
		e.noteShownEnds(o.Epoch, rows, read)
		e.postAfter(read, event.InstancesRead{Epoch: o.Epoch, Instances: rows})
	})
}

func (e *fakeEntry) orderInstance(o effect.OrderInstance) {
	w := e.w
	if w.lateOrder != nil {
		if delay := w.lateOrder(o); delay > 0 {
			w.after(delay, func() {
				for _, i := range w.instances {
					if i.id == o.Instance {
						w.trace("order for %s of epoch %d is carried out late", i.id, o.Epoch)
						sent := i.ordered // the lease is between orders that are sent
						i.order(w, o)
						i.ordered = sent
					}
				}
			})
			e.postAfter(1500*time.Millisecond, event.InstanceOrdered{
				Epoch: o.Epoch, Instance: o.Instance, Kind: o.Kind, Wave: o.Wave, Outcome: effect.InstanceUnknown,
			})
			return
		}
	}
	w.after(w.latency(), func() {
		outcome := effect.InstanceInvalid
		for _, i := range w.instances {
			if i.id == o.Instance {
				outcome = i.order(w, o)
			}
		}
		e.postAfter(w.latency(), event.InstanceOrdered{Epoch: o.Epoch, Instance: o.Instance, Kind: o.Kind, Wave: o.Wave, Outcome: outcome})
	})
}

func (i *fakeInstance) order(w *world, o effect.OrderInstance) effect.InstanceOutcome {
	if o.Epoch < i.fence {
		return effect.InstanceFenced
	}
	if took := w.now.Sub(i.ordered); o.Epoch > i.fence && i.fence > 0 && took < instanceLease {
		w.violation("%s received an order of epoch %d only %v after one of epoch %d", i.id, o.Epoch, took, i.fence)
	}
	i.fence, i.ordered = o.Epoch, w.now
	if o.Kind == effect.InstanceMaintain && i.maintained[o.Wave] || o.Kind == effect.InstanceMove && i.pool == o.Pool {
		return effect.InstanceOrderDone
	}
	if i.state != fleet.InstanceUp {
		return effect.InstanceBusy
	}
	away := 1500 * time.Millisecond
	i.state = fleet.InstanceMoving
	if o.Kind == effect.InstanceMaintain {
		away, i.state = 2*time.Second, fleet.InstanceMaintenance
		i.maintained[o.Wave], i.wave = true, o.Wave
		w.checkMaxAtOnce(o.Wave)
	} else {
		i.pool = o.Pool
	}
	w.checkInterruption(i)
	if i.runner != nil && i.runner.up {
		i.runner.crash()
		i.runner.comesBack, i.runner.ended = true, w.renewsRunners
	}
	w.after(away, func() {
		if slices.Contains(w.instances, i) {
			i.comeUp(w)
		}
	})
	return effect.InstanceOrderDone
}

func (i *fakeInstance) comeUp(w *world) {
	i.state = fleet.InstanceUp
	if i.pool == sparePool {
		return
	}
	switch {
	case i.runner == nil:
		i.runner = w.addRunner(fleet.RunnerID("r-" + string(i.id)))
		i.runner.instance = i.id
	case w.renewsRunners || i.runner.ended:
		i.addNextRunner()
	default:
		i.runner.boot()
	}
	i.runner.service = fleet.ServiceName(i.pool)
}

func (w *world) checkMaxAtOnce(wave int64) {
	down := 0
	for _, i := range w.instances {
		if i.state == fleet.InstanceMaintenance && i.wave == wave {
			down++
		}
	}
	if down > w.waves[wave-1].MaxAtOnce {
		w.violation("%d instances are down for maintenance; the wave allows %d", down, w.waves[wave-1].MaxAtOnce)
	}
}

// checkInterruption checks that an order about an instance ends no long-running
// task.
func (w *world) checkInterruption(i *fakeInstance) {
	if i.runner == nil {
		return
	}
	for id := range i.runner.runs {
		if w.longRunning(id) {
			w.violation("an order about its instance ends %v, which is at work", id)
			w.checkUnavailable(id)
		}
	}
}

// checkUnavailable checks the end of a long-running task by an order about its instance against the
// MaxUnavailable of its step.
func (w *world) checkUnavailable(id fleet.TaskID) {
	step := &w.submitted[id.Job].Steps[id.Step]
	unavailable := 0
	for n := range step.Count {
		other := fleet.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: n}
		if n != id.Index && !w.isRunning(other) {
			unavailable++
		}
	}
	if unavailable >= step.MaxUnavailable {
		w.violation("an order about its instance ends %v while %d other tasks of its step are unavailable", id, unavailable)
	}
}

func TestWaveMaintainsEachInstanceWithinItsCap(t *testing.T) {
	w := newWorld(t, 21, 3, 6)
	w.waves = []fleet.MaintenanceWave{{
		ID: 1, MaxAtOnce: 2, Within: 25 * time.Second,
		Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2", "m-r3", "m-r4", "s-0"},
	}}
	w.withInstances(1)
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(6, 1))
	w.run(25 * time.Second)
	for _, i := range w.instances {
		must.Eq(t, i.id != "m-r5", i.maintained[1], must.Sprint(i.id))
	}
	must.True(t, w.waveDone[1], must.Sprint("the wave is published as done"))
	must.Eq(t, 6, w.runningTasks())
	w.checkInvariants()
}

func TestWaveContinuesAfterATakeover(t *testing.T) {
	w := newWorld(t, 22, 3, 6)
	w.waves = []fleet.MaintenanceWave{{
		ID: 1, MaxAtOnce: 2, Within: 25 * time.Second, Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2", "m-r3", "m-r4", "m-r5"},
	}}
	w.withInstances(0)
	w.run(6500 * time.Millisecond)
	w.owner().kill()
	w.run(20 * time.Second)
	must.True(t, w.waveDone[1])
	w.checkInvariants()
}

func TestSpareInstancesJoinABusyPoolAndLeaveIt(t *testing.T) {
	w := newWorld(t, 23, 3, 2)
	w.withInstances(4)
	w.run(8 * time.Second)
	spec := twoStepJob()
	spec.Steps[0].Count = 16
	for n := range 30 {
		w.submit(jobID(n), spec)
	}
	w.run(3 * time.Second)
	must.Greater(t, 2, w.instancesIn("desk"))
	w.run(30 * time.Second)
	for n := range 30 {
		w.mustState(jobID(n), fleet.JobDone)
	}
	must.LessEq(t, 2, w.instancesIn("desk"), must.Sprint("idle instances are turned off again"))
	w.checkInvariants()
}

// TestInstanceOfTwoWavesIsMaintainedForBoth asks for two waves with the same instance, on
// which a task runs. The wave that had begun to vacate it when the other one maintained it
// did not vacate it again, and never ended.
func TestInstanceOfTwoWavesIsMaintainedForBoth(t *testing.T) {
	w := newWorld(t, 27, 3, 1)
	w.waves = []fleet.MaintenanceWave{
		{ID: 1, MaxAtOnce: 1, Within: 15 * time.Second, Instances: []fleet.InstanceID{"m-r0", "s-0"}},
		{ID: 2, MaxAtOnce: 1, Within: 15 * time.Second, Instances: []fleet.InstanceID{"m-r0"}},
	}
	w.withInstances(1)
	spare := w.instances[1]
	spare.state = fleet.InstanceMoving
	w.run(4 * time.Second)
	spec := twoStepJob()
	spec.Steps[0].Estimate = 4 * time.Second
	w.submit(jobID(0), spec)
	w.run(2700 * time.Millisecond)
	spare.comeUp(w) // the first wave, which vacates m-r0, takes it before m-r0 is idle
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(1, 1)) // m-r0 is never idle again unless it is vacated
	w.run(25 * time.Second)
	w.checkInvariants()
	must.True(t, w.waveDone[1])
	must.True(t, w.waveDone[2])
}

// TestLateOrderOfADeadOwnerKeepsTheLimitOfAWave kills the owner while it waits for the answer
// to an order, which is carried out late. The next owner went on with the wave meanwhile,
// and more instances were down than may be.
func TestLateOrderOfADeadOwnerKeepsTheLimitOfAWave(t *testing.T) {
	for late := 3 * time.Second; late <= 12*time.Second; late += 300 * time.Millisecond {
		for _, limit := range []int{1, 2} {
			t.Run(fmt.Sprint(late, " limit=", limit), func(t *testing.T) {
				w := newWorld(t, 28, 3, 6)
				w.waves = []fleet.MaintenanceWave{{
					ID: 1, MaxAtOnce: limit, Within: 30 * time.Second, Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2", "m-r3"},
				}}
				w.withInstances(0)
				done := false
				w.lateOrder = func(o effect.OrderInstance) time.Duration {
					if done || o.Kind != effect.InstanceMaintain {
						return 0
					}
					done = true
					return late
				}
				for !done {
					w.run(50 * time.Millisecond)
				}
				w.run(100 * time.Millisecond)
				o := w.owner()
				o.kill()
				w.after(time.Second, o.restart)
				w.submit(jobID(0), longRunningJob(2, 1)) // the instance is not idle for the next owner
				w.run(45 * time.Second)
				must.True(t, w.waveDone[1])
				// The platform excuses what an order that was held up ends.
				w.violations = slices.DeleteFunc(w.violations, func(v string) bool { return strings.Contains(v, "an order about its instance ends") })
				w.checkInvariants()
				for _, id := range w.waves[0].Instances {
					must.True(t, w.instances[slices.IndexFunc(w.instances, func(i *fakeInstance) bool { return i.id == id })].maintained[1])
				}
			})
		}
	}
}

// TestOwnersRespectInstanceLeases kills and freezes owners during bursts and a wave.
// An instance must not receive orders of two tenures within one lease.
// Instances without recent orders can be moved immediately.
func TestOwnersRespectInstanceLeases(t *testing.T) {
	for n := range max(*seeds/5, 5) {
		seed := *firstSeed + int64(n)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed, 4, 6)
			w.waves = []fleet.MaintenanceWave{{
				ID: 1, MaxAtOnce: 2, Within: 40 * time.Second, Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2", "s-0"},
			}}
			w.withInstances(5)
			w.run(2 * time.Second)
			spec := twoStepJob()
			spec.Steps[0].Count = 12
			for n := range 40 {
				w.submit(jobID(n), spec)
				if n%8 == 7 {
					w.disturbOwner()
				}
				w.run(time.Duration(w.rng.Intn(500)) * time.Millisecond)
			}
			w.endFaults()
			w.run(50 * time.Second)
			must.True(t, w.waveDone[1], must.Sprint("the wave is published as done"))
			w.checkStates()
			w.checkInvariants()
		})
	}
}

// disturbOwner kills, restarts, freezes or stops the owner.
func (w *world) disturbOwner() {
	o := w.owner()
	if o == nil {
		return
	}
	switch w.rng.Intn(4) {
	case 0:
		o.kill()
		w.after(time.Duration(w.rng.Intn(3000))*time.Millisecond, o.boot)
	case 1:
		o.kill()
		o.boot()
	case 2:
		o.freeze(time.Duration(1000+w.rng.Intn(4000)) * time.Millisecond)
	default:
		o.post(eventStop)
		w.after(2*time.Second, func() { o.kill(); o.boot() })
	}
}

// TestSpareInstancesMoveSoonAfterATakeover starts a burst right after the failure
// of the owner. Instances without recent orders join the pool immediately.
func TestSpareInstancesMoveSoonAfterATakeover(t *testing.T) {
	w := newWorld(t, 23, 3, 2)
	w.withInstances(4)
	w.run(8 * time.Second)
	before := w.owner()
	before.kill()
	for w.owner() == before {
		w.run(50 * time.Millisecond)
	}
	spec := twoStepJob()
	spec.Steps[0].Count = 16
	for n := range 30 {
		w.submit(jobID(n), spec)
	}
	w.run(2 * time.Second)
	must.Greater(t, 2, w.instancesIn("desk"))
}

// TestPoolsGrowForTasksThatNeedMemory runs long-running tasks that need all the
// memory of a runner and an eighth of its CPU time.
func TestPoolsGrowForTasksThatNeedMemory(t *testing.T) {
	w := newWorld(t, 26, 3, 2)
	w.withInstances(4)
	w.run(8 * time.Second)
	spec := longRunningJob(4, 1)
	spec.Steps[0].Needs = fleet.Capacity{CPU: runnerCapacity.CPU / 8, Memory: runnerCapacity.Memory}
	w.submit(jobID(1), spec)
	w.run(4 * time.Second)
	for i := range 4 {
		must.True(t, w.isRunning(fleet.TaskID{Job: jobID(1), Index: i}))
	}
	w.checkInvariants()
}

// instancesIn returns the number of instances in a pool.
func (w *world) instancesIn(pool fleet.PoolName) int {
	n := 0
	for _, i := range w.instances {
		if i.pool == pool {
			n++
		}
	}
	return n
}

// TestWaveWaitsForUnavailableTasks keeps one task of each step unavailable by a
// runner that is cut off. No other task may be interrupted for the wave meanwhile.
func TestWaveWaitsForUnavailableTasks(t *testing.T) {
	w := newWorld(t, 24, 3, 4)
	w.waves = []fleet.MaintenanceWave{{
		ID: 1, MaxAtOnce: 2, Within: 20 * time.Second, Instances: []fleet.InstanceID{"m-r0", "m-r1", "m-r2", "m-r3"},
	}}
	w.withInstances(0)
	w.run(time.Second)
	for n := range 3 {
		spec := longRunningJob(4, 1)
		spec.Steps[0].MaxPerRunner = 1
		w.submit(jobID(n), spec)
	}
	w.run(time.Second)
	w.runners["r3"].unreachable = true
	w.run(12 * time.Second)
	w.runners["r3"].unreachable = false
	w.run(20 * time.Second)
	w.checkInvariants()
}

// TestStartReachesTheNextIncarnation covers a start that is retried for lack of an
// answer and reaches a new incarnation of the runner with the same id (seed 283 of
// TestJobsHoldUnderDrawnFaults).
func TestStartReachesTheNextIncarnation(t *testing.T) {
	w := newWorld(t, 25, 3, 3)
	w.run(2 * time.Second)
	for n := range 6 {
		w.submit(jobID(n), twoStepJob())
	}
	w.run(4 * time.Millisecond)
	for _, id := range []fleet.RunnerID{"r0", "r1", "r2"} {
		w.runners[id].crash()
	}
	w.after(620*time.Millisecond, func() {
		for _, id := range []fleet.RunnerID{"r0", "r1", "r2"} {
			w.runners[id].boot()
		}
	})
	w.run(15 * time.Second)
	for n := range 6 {
		w.mustState(jobID(n), fleet.JobDone)
	}
	w.checkInvariants()
}

// TestDrainDuringWaveKeepsTasksAvailable guards against stopping two tasks of a
// step at the same time, one on a draining runner and another on a runner that is
// vacated for a wave (hunt-4ccb-27 on ccps-lahore).
func TestDrainDuringWaveKeepsTasksAvailable(t *testing.T) {
	for seed := range int64(8) {
		w := newWorld(t, 30+seed, 3, 3)
		w.waves = []fleet.MaintenanceWave{{ID: 1, MaxAtOnce: 2, Within: 20 * time.Second, Instances: []fleet.InstanceID{"m-r0"}}}
		w.withInstances(0)
		w.runners["r2"].unreachable = true
		w.run(2 * time.Second)
		spec := longRunningJob(2, 1)
		spec.Steps[0].MaxPerRunner = 1
		w.submit(jobID(1), spec)
		w.run(time.Second)
		w.runners["r1"].draining = true
		w.run(4 * time.Second)
		w.runners["r2"].unreachable = false
		w.run(10 * time.Second)
		w.checkInvariants()
	}
}

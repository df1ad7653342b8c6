package jobs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/shoenig/test/must"
)

// withTenants gives the world's configuration tenants whose keys are their names, and lets
// keyOf tell which of them hands in a job.
func withTenants(keyOf func(fleet.JobID) string, tenants ...*fleet.Tenant) func(*world) {
	return func(w *world) {
		w.keyOf = keyOf
		w.useTenants(tenants...)
	}
}

// useTenants puts a configuration with tenants in force. Entries that run have to be told.
func (w *world) useTenants(tenants ...*fleet.Tenant) {
	for _, caps := range w.caps {
		if last := &caps[len(caps)-1]; last.until.IsZero() {
			last.until = w.now
		}
	}
	for _, t := range tenants {
		t.Keys = []string{string(t.Name)}
		w.caps[t.Keys[0]] = append(w.caps[t.Keys[0]], inForce{cpu: t.Cap.CPU})
	}
	w.setTenants(w.t, tenants...)
}

// TestStoredJobKeepsItsTenant: the record of a job's definition lacked the tenant, so a new
// owner took all jobs for those of public queues, which have no cap.
func TestStoredJobKeepsItsTenant(t *testing.T) {
	w := newWorld(t, 801, 2, 2, withTenants(func(fleet.JobID) string { return "ann" }, &fleet.Tenant{Name: "ann"}))
	w.run(2 * time.Second)
	w.submit(jobID(1), longRunningJob(1, 1))
	w.run(time.Second)
	stored := w.store.content().Jobs
	must.SliceLen(t, 1, stored)
	must.Eq(t, "ann", stored[0].Definition.Tenant)
	w.checkInvariants()
}

// useOf returns what the runs of a tenant use on all runners.
func (w *world) useOf(key string) fleet.Capacity {
	var use fleet.Capacity
	for _, r := range w.runners {
		for id := range r.runs {
			if w.keyFor(id.Job) == key {
				use = use.Plus(w.submitted[id.Job].Steps[id.Step].Reservation())
			}
		}
	}
	return use
}

// checkCap checks a start against the cap of its tenant: the use stays within the highest cap
// that was in force lately and a tenth more, except for one task.
func (w *world) checkCap(o effect.OrderTask) {
	key := w.keyFor(o.Task.Job)
	var limit int64
	for _, c := range w.caps[key] {
		if c.until.IsZero() || w.now.Sub(c.until) <= applyLimit {
			limit = max(limit, c.cpu)
		}
	}
	if limit == 0 {
		return
	}
	if use := w.useOf(key).CPU; use*10 > limit*11 {
		w.violation("%v was started while %s uses %d, above its cap of %d", o.Task, key, use, limit)
	}
}

// inForce is a cap that was in force until a time; zero for the present one.
type inForce struct {
	cpu   int64
	until time.Time
}

func tenantCap(name fleet.TenantName, cpu int64) *fleet.Tenant {
	return &fleet.Tenant{Name: name, Weight: 1, Cap: fleet.Capacity{CPU: cpu}}
}

// cappedTenants returns three tenants: two with short jobs, whose caps are far below what they
// ask for, and one with long-running tasks, whose cap leaves room for all of them.
func cappedTenants(cpu int64) []*fleet.Tenant {
	return []*fleet.Tenant{tenantCap("ann", cpu), tenantCap("bob", 2*cpu), tenantCap("lasting", 80_000)}
}

func (w *world) cappedKey(id fleet.JobID) string {
	spec := w.submitted[id]
	switch {
	case spec != nil && spec.Steps[0].LongRunning:
		return "lasting"
	case id[len(id)-1]%2 == 0:
		return "ann"
	default:
		return "bob"
	}
}

// withCaps gives the world capped tenants and audits their accounts after each event.
func withCaps(w *world) {
	w.keyOf, w.audit = w.cappedKey, jobs.AuditShares
	w.useTenants(cappedTenants(2000)...)
}

// TestCapsHoldUnderDrawnFaults plays random histories of faults with tenants whose caps are
// lowered and raised. It guards against uses that are counted twice or lost, with an owner that
// dies, a runner that crashes or falls silent, late starts and cancelled jobs.
func TestCapsHoldUnderDrawnFaults(t *testing.T) {
	for seed := range int64(12) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			runRandomHistory(t, 900+seed, withCaps, func(w *world) {
				for n := range 8 {
					w.after(time.Duration(2+3*n)*time.Second, func() {
						w.useTenants(cappedTenants(int64(1+w.rng.Intn(4)) * 1000)...)
						w.configureAll()
					})
				}
			})
		})
	}
}

// cappedWorld returns a world in which all jobs are those of a tenant with a cap.
func cappedWorld(t *testing.T, seed int64, entries, runners int, cpu int64) *world {
	w := newWorld(t, seed, entries, runners, withTenants(func(fleet.JobID) string { return "ann" }, tenantCap("ann", cpu)))
	w.audit = jobs.AuditShares
	w.run(2 * time.Second)
	return w
}

// lowerCap puts a lower cap in force at all entries.
func (w *world) lowerCap(cpu int64) {
	w.useTenants(tenantCap("ann", cpu))
	w.configureAll()
}

// tasksJob returns a job of independent tasks that take a time.
func tasksJob(count int, length time.Duration) *fleet.JobSpec {
	return &fleet.JobSpec{Text: "text", Steps: []fleet.Step{{Count: count, Needs: taskNeeds, Estimate: length}}}
}

// countDecisions counts the decisions with a name from now on.
func (w *world) countDecisions(name string) *int {
	n := new(int)
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if d, ok := out.(effect.Decision); ok && d.Name == name {
			*n++
		}
		return true
	}
	return n
}

// TestCapIsFilledAndKept: a tenant that asks for more gets its cap, no more and no less, and no
// run is planned that the cap forbids to start.
func TestCapIsFilledAndKept(t *testing.T) {
	w := cappedWorld(t, 811, 1, 3, 5000)
	dropped := w.countDecisions("planned run given up")
	for n := range 5 {
		w.submit(jobID(n), tasksJob(8, time.Second))
	}
	w.run(200 * time.Millisecond)
	for range 30 {
		w.run(100 * time.Millisecond)
		must.Between(t, 0, w.useOf("ann").CPU, 5000)
	}
	must.Greater(t, 14, w.starts)
	must.Eq(t, 0, *dropped)
	w.run(10 * time.Second)
	w.mustState(jobID(4), fleet.JobDone)
	w.checkInvariants()
}

// TestLoweredCapStopsNothingAndStartsNothing lowers a cap while runs are planned and running.
// The planned ones, whose starts were not sent, have to be given up; the others go on.
func TestLoweredCapStopsNothingAndStartsNothing(t *testing.T) {
	w := cappedWorld(t, 812, 1, 3, 8000)
	w.submit(jobID(1), tasksJob(4, 5*time.Second))
	w.run(time.Second)
	w.store.down = true
	w.submit(jobID(2), tasksJob(4, time.Second))
	w.run(100 * time.Millisecond)
	dropped := w.countDecisions("planned run given up")
	w.lowerCap(3000)
	w.store.down = false
	w.run(3500 * time.Millisecond)
	must.Eq(t, 4, w.starts, must.Sprint("nothing starts above the cap"))
	must.Eq(t, 4000, w.useOf("ann").CPU, must.Sprint("nothing is stopped"))
	must.Eq(t, 4, *dropped)
	w.run(5 * time.Second)
	w.mustState(jobID(2), fleet.JobDone)
	w.checkInvariants()
}

// TestTaskAboveTheCapStarts: a task larger than the cap would wait forever. One may start while
// the tenant uses less than half of its cap.
func TestTaskAboveTheCapStarts(t *testing.T) {
	w := cappedWorld(t, 813, 1, 3, 800)
	w.submit(jobID(1), tasksJob(3, time.Second))
	for range 40 {
		w.run(100 * time.Millisecond)
		must.LessEq(t, 1000, w.useOf("ann").CPU)
	}
	w.mustState(jobID(1), fleet.JobDone)
	w.checkInvariants()
}

// TestGangWaitsForTheCap: a gang starts as a whole or not at all.
func TestGangWaitsForTheCap(t *testing.T) {
	w := cappedWorld(t, 814, 1, 3, 5000)
	gang := tasksJob(4, time.Second)
	gang.Steps[0].Gang = true
	w.submit(jobID(1), tasksJob(3, time.Second))
	w.run(500 * time.Millisecond)
	w.submit(jobID(2), gang)
	w.run(300 * time.Millisecond)
	must.Eq(t, 3, w.starts)
	w.run(time.Second)
	must.Eq(t, 7, w.starts)
	w.run(5 * time.Second)
	w.mustState(jobID(2), fleet.JobDone)
	w.checkInvariants()
}

// TestTenantThatLeavesHasNoCap: the jobs of a tenant that is in the configuration no longer run
// on, without a cap.
func TestTenantThatLeavesHasNoCap(t *testing.T) {
	w := cappedWorld(t, 815, 1, 3, 2000)
	w.submit(jobID(1), tasksJob(8, 2*time.Second))
	w.run(500 * time.Millisecond)
	must.Eq(t, 2, w.starts)
	w.useTenants(tenantCap("bob", 1000))
	w.configureAll()
	w.run(500 * time.Millisecond)
	must.Eq(t, 8, w.starts)
}

// TestCapCountsWhatAFormerOwnerWasStopping lets an owner die after it has stored a cancellation,
// while its runner is cut off: the job's tasks run on until their leases expire, and no record
// tells the next owner of them.
func TestCapCountsWhatAFormerOwnerWasStopping(t *testing.T) {
	w := cappedWorld(t, 816, 2, 2, 20_000)
	before := w.owner()
	w.submit(jobID(1), tasksJob(20, 30*time.Second))
	w.run(time.Second)
	must.Eq(t, 20, w.runningTasks())
	r := w.runnerUnder(firstTask(jobID(1)))
	for _, e := range w.entries {
		e.cutRunners[r.id] = true
	}
	w.cancel(jobID(1))
	w.run(300 * time.Millisecond)
	must.MapContainsKey(t, w.cancelledAt, jobID(1))
	before.kill()
	for w.owner() == nil || w.owner() == before {
		w.run(10 * time.Millisecond)
	}
	w.run(100 * time.Millisecond)
	must.Greater(t, 10, w.runningTasks())
	w.submitted[jobID(2)] = tasksJob(20, time.Second)
	w.call(w.owner(), effect.CallSubmit, jobID(2), w.submitted[jobID(2)], func(effect.CallAnswer) {})
	for range 120 {
		w.run(100 * time.Millisecond)
		must.LessEq(t, 20_000, w.useOf("ann").CPU)
	}
	w.mustState(jobID(2), fleet.JobDone)
	w.checkInvariants()
}

// TestCapKeepsRoomForRestarts restarts a runner with long-running tasks of a tenant whose short
// jobs ask for all that is left of its cap: they must not take the room of the restarts.
func TestCapKeepsRoomForRestarts(t *testing.T) {
	w := cappedWorld(t, 817, 1, 3, 5000)
	w.runners["r0"].labels = []string{"large"}
	w.run(time.Second)
	lasting := longRunningJob(3, 3)
	lasting.Steps[0].Label = "large"
	w.submit(jobID(0), lasting)
	w.run(time.Second)
	for n := range 10 {
		w.submit(jobID(1+n), tasksJob(4, 9*time.Second))
	}
	w.run(time.Second)
	must.Eq(t, 5000, w.useOf("ann").CPU)
	w.runners["r0"].restartFor(500 * time.Millisecond)
	must.LessEq(t, 3*time.Second, w.longestAway(jobID(0), 3, 10*time.Second))
	w.checkInvariants()
}

// fewOrMany returns the keys of jobs by their numbers: those from 100 on are of a tenant with few
// jobs, the others of one with many.
func fewOrMany(id fleet.JobID) string {
	if id >= jobID(100) {
		return "few"
	}
	return "many"
}

// TestFewJobsDoNotWaitBehindABacklog: a tenant with few jobs waited until the backlog of another
// had begun, as that was older.
func TestFewJobsDoNotWaitBehindABacklog(t *testing.T) {
	w := newWorld(t, 821, 1, 2, withTenants(fewOrMany, &fleet.Tenant{Name: "many", Weight: 5}, &fleet.Tenant{Name: "few", Weight: 5}))
	w.audit = jobs.AuditShares
	var reasons []effect.Reason
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if d, ok := out.(effect.Decision); ok && d.Name == "work waits" && d.Tenant == "many" {
			reasons = append(reasons, d.Reason)
		}
		return true
	}
	w.run(2 * time.Second)
	for n := range 60 {
		w.submit(jobID(n), tasksJob(8, time.Second))
	}
	w.run(100 * time.Millisecond)
	w.submit(jobID(100), tasksJob(4, time.Second))
	w.run(2200 * time.Millisecond)
	w.mustState(jobID(100), fleet.JobDone)
	must.Between(t, 2, len(reasons), 4, must.Sprint("one line a second: ", reasons))
	must.Eq(t, "capacity", reasons[len(reasons)-1])
	w.run(30 * time.Second)
	w.mustState(jobID(59), fleet.JobDone)
	w.checkInvariants()
}

// TestNewOwnerKnowsWhatIsBeyondTheShare hands in more jobs than two tenants are owed, and lets the
// owner die. The next one has to find the same jobs beyond the share by the times at which they
// were accepted, in whatever order it reads them.
func TestNewOwnerKnowsWhatIsBeyondTheShare(t *testing.T) {
	w := newWorld(t, 822, 2, 1, withTenants(fewOrMany, &fleet.Tenant{Name: "many", Weight: 1}, &fleet.Tenant{Name: "few", Weight: 0.4}))
	var marked []fleet.JobID
	w.audit = func(s *jobs.State) error {
		if m, ok := jobs.BeyondShare(s); ok {
			marked = m
		}
		return nil
	}
	w.run(2 * time.Second)
	for n := range 14 {
		w.submit(jobID(13-n), tasksJob(20, time.Minute))
		w.run(400 * time.Millisecond)
	}
	for n := range 4 {
		w.submit(jobID(100+n), tasksJob(20, time.Minute))
	}
	w.run(500 * time.Millisecond)
	before, want := w.owner(), marked
	must.Between(t, 4, len(want), 8)
	before.kill()
	marked = nil
	w.run(9 * time.Second)
	must.NotEq(t, before, w.owner())
	must.Eq(t, want, marked)
}

// TestWorkBeyondTheShareWaits: a tenant hands in more than it is owed, and then another one what it
// is owed. The second one has used more for its weight, but the first one's jobs wait.
func TestWorkBeyondTheShareWaits(t *testing.T) {
	w := newWorld(t, 824, 1, 1, withTenants(fewOrMany, &fleet.Tenant{Name: "many", Weight: 10}, &fleet.Tenant{Name: "few", Weight: 0.4}))
	w.run(2 * time.Second)
	w.submit(jobID(100), tasksJob(20, time.Second))
	w.run(100 * time.Millisecond)
	for n := range 60 {
		w.submit(jobID(n), tasksJob(1, time.Second))
	}
	w.submit(jobID(101), tasksJob(20, time.Second))
	for !w.isRunning(firstTask(jobID(101))) {
		w.run(10 * time.Millisecond)
	}
	for n := 50; n < 60; n++ {
		must.False(t, w.isRunning(firstTask(jobID(n))) || w.doneOnce[firstTask(jobID(n))], must.Sprint("beyond the share: ", n))
	}
	w.run(10 * time.Second)
	w.mustState(jobID(59), fleet.JobDone)
	w.checkInvariants()
}

// TestCountersOfTenants: counters name the tenant, and what is beyond its share or held by its cap
// is counted once.
func TestCountersOfTenants(t *testing.T) {
	w := newWorld(t, 823, 1, 2, withTenants(func(fleet.JobID) string { return "ann" },
		&fleet.Tenant{Name: "ann", Weight: 1, Cap: fleet.Capacity{CPU: 2000}}))
	counts := make(map[string]int64)
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		if c, ok := out.(effect.CountJob); ok && c.Reason == "ann" {
			counts[c.Name] += c.N
		}
		return true
	}
	w.run(2 * time.Second)
	for n := range 7 {
		w.submit(jobID(n), tasksJob(1, 700*time.Millisecond))
	}
	w.run(500 * time.Millisecond)
	want := map[string]int64{"tenant_jobs_accepted": 7, "tenant_jobs_beyond_share": 2, "tenant_steps_held": 5}
	must.Eq(t, want, counts)
	w.submit(jobID(7), tasksJob(5, 700*time.Millisecond))
	w.run(8 * time.Second)
	w.mustState(jobID(7), fleet.JobDone)
	must.Eq(t, 6, counts["tenant_steps_held"], must.Sprint("the last step was held more than once"))
}

// TestWaveIsNotHeldUpByTheCap: a long-running task that the cap of its tenant holds was taken for
// one that waits for room, and the runner that had room for it was never vacated.
func TestWaveIsNotHeldUpByTheCap(t *testing.T) {
	w := newWorld(t, 825, 1, 3)
	w.withInstances(0)
	w.keyOf = func(fleet.JobID) string { return "ann" }
	w.lowerCap(2000)
	w.run(3 * time.Second)
	w.submit(jobID(1), longRunningJob(4, 4))
	w.run(time.Second)
	must.Eq(t, 2000, w.useOf("ann").CPU)
	var ids []fleet.InstanceID
	for _, i := range w.instances {
		ids = append(ids, i.id)
	}
	wave := w.askForWave(1, ids...)
	w.run(40 * time.Second)
	must.True(t, w.waveDone[wave])
	w.checkInvariants()
}

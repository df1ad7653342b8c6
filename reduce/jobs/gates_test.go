package jobs_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/gates"
	"github.com/banyanrail/banyanrail/reduce/jobs"
	"github.com/shoenig/test/must"
)

// gateLog holds the log lines about waits, and the gauges of each entry.
type gateLog struct {
	w      *world
	lines  []gateLine
	gauges map[fleet.EntryID]map[effect.SetJobGauge]int64
	// most holds the highest value of each gauge.
	most map[effect.SetJobGauge]int64
}

type gateLine struct {
	effect.Decision
	at time.Time
}

// gateLines are the names of the lines about waits.
var gateLines = []string{"task waits", "task waits no more", "tasks wait for room", "runs wait for a runner", "instance changed", "lines left out"}

// watchGates begins a log of waits, beside what the world does with effects already.
func watchGates(w *world) *gateLog {
	l := &gateLog{w: w, gauges: make(map[fleet.EntryID]map[effect.SetJobGauge]int64), most: make(map[effect.SetJobGauge]int64)}
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		switch o := out.(type) {
		case effect.Decision:
			if slices.Contains(gateLines, o.Name) {
				l.lines = append(l.lines, gateLine{o, w.now})
			}
		case effect.SetJobGauge:
			l.setGauge(e.id, o)
		}
		return inner == nil || inner(e, out)
	}
	return l
}

func (l *gateLog) setGauge(entry fleet.EntryID, g effect.SetJobGauge) {
	value := g.Value
	g.Value = 0
	if l.gauges[entry] == nil {
		l.gauges[entry] = make(map[effect.SetJobGauge]int64)
	}
	if before, set := l.gauges[entry][g]; set && before == value {
		l.w.violation("the gauge %s %q was set to %d again", g.Name, g.Reason, value)
	}
	l.gauges[entry][g] = value
	l.most[g] = max(l.most[g], value)
}

// of returns the lines with a name about a task.
func (l *gateLog) of(name string, task fleet.TaskID) []gateLine {
	var out []gateLine
	for _, line := range l.lines {
		if line.Name == name && line.Task == task.String() {
			out = append(out, line)
		}
	}
	return out
}

// named returns the lines with a name.
func (l *gateLog) named(name string) []gateLine {
	return slices.DeleteFunc(slices.Clone(l.lines), func(line gateLine) bool { return line.Name != name })
}

// mustWait checks that a task has waited once at a gate, from about a time on, until it was started,
// and that the gauge told so. It returns the first line.
func (l *gateLog) mustWait(t *testing.T, g gates.Gate, task fleet.TaskID, began time.Time) gateLine {
	t.Helper()
	for _, line := range l.lines {
		t.Logf("%.3f %s %s %s: %s (%s, %v, %d)", line.at.Sub(start).Seconds(), line.Name, line.Task, line.Reason, line.Outcome, line.Runner, line.Age, line.Count)
	}
	starts := slices.DeleteFunc(l.of("task waits", task), func(line gateLine) bool { return line.Reason != g.Reason() })
	must.SliceNotEmpty(t, starts)
	first := starts[0]
	must.Between(t, gates.MinLogged, first.at.Sub(began), gates.MinLogged+time.Second)
	must.NotEq(t, "", first.Outcome)
	must.Eq(t, queueName, string(first.Queue))
	must.Positive(t, first.Epoch)

	ends := slices.DeleteFunc(l.of("task waits no more", task), func(line gateLine) bool { return line.Reason != g.Reason() })
	must.SliceLen(t, 1, ends)
	must.Eq(t, "started", ends[0].Outcome)
	must.Between(t, ends[0].at.Sub(first.at), ends[0].Age, ends[0].at.Sub(began))
	l.mustHaveRisen(t, g)
	return first
}

// mustHaveRisen checks that a gate's gauge was above zero, and is zero everywhere now.
func (l *gateLog) mustHaveRisen(t *testing.T, g gates.Gate) {
	t.Helper()
	gauge := effect.SetJobGauge{Name: "tasks_waiting", Reason: g.Reason()}
	must.Positive(t, l.most[gauge])
	for entry, set := range l.gauges {
		must.Zero(t, set[gauge], must.Sprint(entry, g.Reason()))
	}
}

// TestNoLinesAboutWaitsOnACalmDay: work that starts at once leaves no line, and the gauges stay at zero.
func TestNoLinesAboutWaitsOnACalmDay(t *testing.T) {
	w := newWorld(t, 600, 3, 3)
	w.withInstances(0)
	l := watchGates(w)
	w.run(5 * time.Second)
	w.submit(jobID(100), longRunningJob(2, 1))
	for n := range 30 {
		w.submit(jobID(n), twoStepJob())
		w.run(time.Second)
	}
	w.checkInvariants()
	must.SliceEmpty(t, l.lines)
	must.Eq(t, len(gates.All())+1, len(l.gauges[w.owner().id]))
	for g, value := range l.most {
		must.Zero(t, value, must.Sprint(g))
	}
}

// TestWaitForALateStart: the start of a task has no answer, and its runner ends for good.
func TestWaitForALateStart(t *testing.T) {
	w := newWorld(t, 601, 3, 2)
	w.run(10 * time.Second)
	first := w.losesFirstStart(time.Minute)
	l := watchGates(w)
	w.submit(jobID(0), oneTaskJob(3*time.Second))
	for first.Runner == "" {
		w.run(time.Millisecond)
	}
	w.runners[first.Runner].crash()
	lost := w.lossOf(first.Task)
	w.run(35 * time.Second)
	line := l.mustWait(t, gates.LateStart, first.Task, *lost)
	must.Eq(t, first.Runner, line.Runner)
	must.Eq(t, first.Attempt, line.Attempt)
	must.StrContains(t, line.Outcome, "not listed")
	must.StrContains(t, line.Outcome, "silent")
	must.Between(t, 10*time.Second, line.Age, 23*time.Second)
	must.Greater(t, 1, len(l.of("task waits", first.Task))) // again every five seconds
	w.checkInvariants()
}

// TestWaitForALateStartOfAFormerOwner: a run of a short task goes on over a takeover and fails. The next owner
// cannot tell that its start was answered. Its runner is up, but the task avoids it.
func TestWaitForALateStartOfAFormerOwner(t *testing.T) {
	w := newWorld(t, 614, 3, 2)
	w.run(5 * time.Second)
	l := watchGates(w)
	task := firstTask(jobID(0))
	w.alwaysFails[task.Job] = true
	w.length = func(fleet.TaskID) time.Duration { return 4 * time.Second }
	w.submit(task.Job, oneTaskJob(1500*time.Millisecond))
	w.runUntilRuns(task)
	delete(w.alwaysFails, task.Job) // the run that has begun fails
	first := w.runnerUnder(task)
	w.run(300 * time.Millisecond)
	w.owner().kill()
	for first.runs[task] != nil {
		w.run(10 * time.Millisecond)
	}
	failed := w.now
	w.run(25 * time.Second)
	line := l.mustWait(t, gates.LateStart, task, failed)
	must.Eq(t, first.id, line.Runner)
	must.Eq(t, "until the runner answers a stop: answers", line.Outcome)
	must.Eq(t, "until no start can be carried out late: answers", l.of("task waits", task)[1].Outcome)
	end := l.of("task waits no more", task)[0]
	must.Between(t, line.Age, end.at.Sub(line.at), line.Age+1100*time.Millisecond) // a long poll takes a second
	w.checkInvariants()
}

// lossOf returns where the time will be at which a run of a task is lost next.
func (w *world) lossOf(task fleet.TaskID) *time.Time {
	lost := &time.Time{}
	inner := w.onEffect
	w.onEffect = func(e *fakeEntry, out effect.Effect) bool {
		if d, ok := out.(effect.Decision); ok && d.Name == "run lost" && d.Task == task.String() && lost.IsZero() {
			*lost = w.now
		}
		return inner(e, out)
	}
	return lost
}

// TestWaitForAnUnresolvedRun: a task has failed once, and its last allowed run is lost.
func TestWaitForAnUnresolvedRun(t *testing.T) {
	w := newWorld(t, 602, 3, 2)
	w.run(5 * time.Second)
	l := watchGates(w)
	task := firstTask(jobID(0))
	w.alwaysFails[task.Job] = true
	w.submit(task.Job, oneTaskJob(300*time.Millisecond))
	w.runUntilRuns(task)
	delete(w.alwaysFails, task.Job) // the run that has begun fails
	w.length = func(fleet.TaskID) time.Duration { return 8 * time.Second }
	w.run(320 * time.Millisecond)
	w.runUntilRuns(task)
	w.run(500 * time.Millisecond)
	lost := w.lossOf(task)
	dark := w.runnerUnder(task)
	dark.unreachable = true
	w.run(30 * time.Second)
	line := l.mustWait(t, gates.Resolution, task, *lost)
	must.Eq(t, dark.id, line.Runner)
	must.Eq(t, 2, line.Attempt)
	must.Eq(t, dark.incarnation(), line.Incarnation)
	must.Between(t, 8*time.Second, line.Age, 10*time.Second)

	// Before, the run waited for the lease of its runner.
	runs := l.named("runs wait for a runner")
	must.SliceLen(t, 1, runs)
	must.Eq(t, dark.id, runs[0].Runner)
	must.Eq(t, 1, runs[0].Count)
	must.Eq(t, "leases of this owner", string(runs[0].Reason))
	must.Between(t, lost.Sub(runs[0].at)-100*time.Millisecond, runs[0].Age, lost.Sub(runs[0].at))
	gauge := effect.SetJobGauge{Name: "runs_on_silent_runners"}
	must.Eq(t, 1, l.most[gauge])
	must.Zero(t, l.gauges[w.owner().id][gauge])
	w.checkInvariants()
}

// TestWaitForATrial: a task crashes the only runner, which is away for a while.
func TestWaitForATrial(t *testing.T) {
	w := newWorld(t, 603, 3, 1)
	w.run(5 * time.Second)
	l := watchGates(w)
	task := firstTask(jobID(0))
	w.submit(task.Job, oneTaskJob(2*time.Second))
	w.runUntilRuns(task)
	w.run(20 * time.Millisecond)
	lost := w.lossOf(task)
	w.runnerUnder(task).restartFor(200 * time.Millisecond)
	w.run(100 * time.Millisecond)
	for lost.IsZero() {
		w.run(time.Millisecond)
	}
	r := w.runners["r0"]
	r.draining = true
	w.after(3*time.Second, func() { r.draining = false })
	w.run(12 * time.Second)
	line := l.mustWait(t, gates.Trial, task, *lost)
	must.Eq(t, "until a runner has room: 0 of 1 runners usable", line.Outcome)
	w.checkInvariants()
}

// TestWaitForTheCap: the cap of a tenant lets two of three tasks run.
func TestWaitForTheCap(t *testing.T) {
	w := cappedWorld(t, 604, 1, 3, 2000)
	l := watchGates(w)
	task := fleet.TaskID{Job: jobID(1), Index: 2}
	began := w.now
	w.submit(jobID(1), tasksJob(3, 4*time.Second))
	w.run(10 * time.Second)
	line := l.mustWait(t, gates.Cap, task, began)
	must.Eq(t, "ann", string(line.Tenant))
	must.Eq(t, 1, l.most[effect.SetJobGauge{Name: "tasks_waiting", Reason: "cap"}])
	w.checkInvariants()
}

// TestWaitForAdvice: no runner gets a ticket for some seconds.
func TestWaitForAdvice(t *testing.T) {
	good := false
	w, _ := advisedWorld(t, 605, 2, time.Minute, func(fleet.RunnerID) bool { return good })
	l := watchGates(w)
	began := w.now
	w.submit(jobID(0), oneTaskJob(time.Second))
	w.run(3 * time.Second)
	good = true
	w.run(5 * time.Second)
	l.mustWait(t, gates.Advice, firstTask(jobID(0)), began)
	w.checkInvariants()
}

// TestWaitForTheGang: one of two members of a gang ends with its runner, while the other one's runner
// is cut off.
func TestWaitForTheGang(t *testing.T) {
	w := newWorld(t, 606, 3, 3)
	w.run(5 * time.Second)
	l := watchGates(w)
	spec := oneTaskJob(8 * time.Second)
	spec.Steps[0].Count, spec.Steps[0].Gang, spec.Steps[0].MaxPerRunner = 2, true, 1
	w.submit(jobID(0), spec)
	one, other := firstTask(jobID(0)), fleet.TaskID{Job: jobID(0), Index: 1}
	w.runUntilRuns(one)
	w.runUntilRuns(other)
	w.run(2 * time.Second)
	lost := w.lossOf(one)
	cut := w.runnerUnder(other)
	cut.cutFor(time.Minute)
	w.runnerUnder(one).restartFor(200 * time.Millisecond)
	w.run(30 * time.Second)
	line := l.mustWaitFor(t, gates.Gang, one, *lost)
	must.Eq(t, cut.id, line.Runner)
	must.StrContains(t, line.Outcome, "member 1")
	w.checkInvariants()
}

// mustWaitFor is mustWait for a gate after which another one may follow.
func (l *gateLog) mustWaitFor(t *testing.T, g gates.Gate, task fleet.TaskID, began time.Time) gateLine {
	t.Helper()
	for i, line := range l.lines {
		if line.Name == "task waits no more" && line.Reason == g.Reason() && line.Outcome == "gate opened" {
			l.lines[i].Outcome = "started"
		}
	}
	return l.mustWait(t, g, task, began)
}

// TestWaitOfAJobThatEnds: a job is cancelled while its task waits.
func TestWaitOfAJobThatEnds(t *testing.T) {
	w, _ := advisedWorld(t, 607, 2, time.Minute, func(fleet.RunnerID) bool { return false })
	l := watchGates(w)
	w.submit(jobID(0), oneTaskJob(time.Second))
	w.run(3 * time.Second)
	w.cancel(jobID(0))
	w.run(3 * time.Second)
	ends := l.of("task waits no more", firstTask(jobID(0)))
	must.SliceLen(t, 1, ends)
	must.Eq(t, "job ended", ends[0].Outcome)
	must.Between(t, 2*time.Second, ends[0].Age, 4*time.Second)
	l.mustHaveRisen(t, gates.Advice)
	w.checkInvariants()
}

// TestWaitForRoom: a pool is full for some seconds. There is a line a second for all of its tasks.
func TestWaitForRoom(t *testing.T) {
	w := newWorld(t, 608, 3, 1)
	w.run(5 * time.Second)
	l := watchGates(w)
	w.submit(jobID(0), tasksJob(20, 4*time.Second))
	w.run(500 * time.Millisecond)
	w.submit(jobID(1), tasksJob(15, 100*time.Millisecond))
	w.run(10 * time.Second)
	lines := l.named("tasks wait for room")
	must.Between(t, 2, len(lines), 4)
	for i, line := range lines {
		must.Eq(t, "desk", string(line.Queue))
		must.Eq(t, "capacity", string(line.Reason))
		must.Eq(t, 15, line.Count)
		must.Eq(t, "0 of 1 runners usable", line.Outcome)
		must.Greater(t, 500*time.Millisecond, line.Age)
		if i > 0 {
			must.GreaterEq(t, time.Second, line.at.Sub(lines[i-1].at))
		}
	}
	must.Eq(t, len(l.lines), len(lines))
	l.mustHaveRisen(t, gates.Capacity)
	w.checkInvariants()
}

// TestWaitForTheStore: nothing is placed while the store does not answer, although a runner has room.
func TestWaitForTheStore(t *testing.T) {
	w := newWorld(t, 609, 1, 1)
	w.run(5 * time.Second)
	l := watchGates(w)
	w.submit(jobID(0), tasksJob(10, time.Second))
	w.submit(jobID(1), tasksJob(10, 2500*time.Millisecond)) // frees room once it is known that the store is down
	w.run(500 * time.Millisecond)
	w.submit(jobID(2), tasksJob(15, 100*time.Millisecond))
	w.run(100 * time.Millisecond)
	w.store.down = true
	w.run(3 * time.Second)
	w.store.down = false
	w.run(10 * time.Second)
	paused := slices.DeleteFunc(l.named("tasks wait for room"), func(line gateLine) bool { return line.Reason != gates.Paused.Reason() })
	must.SliceNotEmpty(t, paused)
	last := paused[len(paused)-1]
	must.Positive(t, last.Count)
	must.Eq(t, "1 of 1 runners usable", last.Outcome)
	l.mustHaveRisen(t, gates.Paused)
	w.checkInvariants()
}

// TestGaugesOfAFormerOwnerAreCleared: an owner that is cut off from the store loses its tenure
// while tasks wait.
func TestGaugesOfAFormerOwnerAreCleared(t *testing.T) {
	w := newWorld(t, 610, 3, 1)
	w.run(5 * time.Second)
	l := watchGates(w)
	w.submit(jobID(0), tasksJob(40, time.Minute))
	w.run(3 * time.Second)
	first := w.owner()
	capacity := effect.SetJobGauge{Name: "tasks_waiting", Reason: "capacity"}
	must.Eq(t, 20, l.gauges[first.id][capacity])
	first.storeCut = true
	w.run(8 * time.Second)
	first.storeCut = false
	w.run(3 * time.Second)
	must.NotEq(t, first.id, w.owner().id)
	for g, value := range l.gauges[first.id] {
		must.Zero(t, value, must.Sprint(g))
	}
	must.Eq(t, 20, l.gauges[w.owner().id][capacity])
	w.checkInvariants()
}

// TestChangedInstanceIsLogged: an instance goes down with its runner and comes up with another one,
// and others are maintained for a wave by the owner's orders.
func TestChangedInstanceIsLogged(t *testing.T) {
	w := newWorld(t, 611, 3, 3)
	w.withInstances(0)
	w.run(5 * time.Second)
	l := watchGates(w)
	w.askForWave(1, w.instances[1].id)
	w.run(15 * time.Second)
	must.True(t, w.waveDone[1])
	must.SliceEmpty(t, l.named("instance changed"))

	i := w.instances[0]
	i.runner.crash()
	i.state = fleet.InstanceDown
	w.run(3 * time.Second)
	i.runner = nil
	i.comeUp(w)
	w.run(3 * time.Second)
	lines := l.named("instance changed")
	must.SliceLen(t, 2, lines)
	must.Eq(t, "up with r0, now down without a runner", lines[0].Outcome)
	must.Eq(t, "down without a runner, now up with r-m-r0", lines[1].Outcome)
	for _, line := range lines {
		must.Eq(t, string(i.id), line.Task)
		must.Less(t, time.Second, line.Age)
	}
	w.checkInvariants()
}

// TestLinesAboutWaitsAreBounded has 12,000 tasks wait for the cap of their tenant, more than one
// examination looks at, while the instances of a large fleet change and all runners fall silent.
func TestLinesAboutWaitsAreBounded(t *testing.T) {
	const tasks, running = 12_000, 40
	w := newWorld(t, 612, 1, 60)
	w.withInstances(0)
	w.useTenants(tenantCap("ann", running*1000))
	w.keyOf = func(fleet.JobID) string { return "ann" }
	w.rebootAll()
	w.run(3 * time.Second)
	for n := range tasks / 1000 {
		w.submit(jobID(n), tasksJob(1000, time.Minute))
	}
	l := watchGates(w)
	w.run(20 * time.Second)
	must.Eq(t, running, w.runningTasks())
	must.Eq(t, tasks-running, l.most[effect.SetJobGauge{Name: "tasks_waiting", Reason: "cap"}])
	must.SliceNotEmpty(t, l.named("task waits"))
	for _, i := range w.instances {
		i.state = fleet.InstanceDown
		i.runner.unreachable = true
	}
	w.run(10 * time.Second)
	for _, i := range w.instances {
		i.state = fleet.InstanceUp
		i.runner.unreachable = false
	}
	for n := range tasks / 1000 {
		w.cancel(jobID(n))
	}
	w.run(10 * time.Second)
	must.SliceNotEmpty(t, l.named("instance changed"))
	must.SliceNotEmpty(t, l.named("lines left out"))

	perSecond := make(map[string]int)
	for _, line := range l.lines {
		if line.Name != "lines left out" {
			perSecond[fmt.Sprint(line.Name, line.at.Truncate(time.Second))]++
		}
	}
	for second, n := range perSecond {
		must.LessEq(t, 2*gates.MaxLines, n, must.Sprint(second)) // an interval of lines overlaps two seconds
	}
	for _, name := range gateLines {
		must.LessEq(t, 42*gates.MaxLines, len(l.named(name)), must.Sprint(name))
	}
	w.checkInvariants()
}

// BenchmarkExamineGates examines 10,000 waiting tasks at one time, which is as many as an examination looks
// at. They wait for room or for the cap of their tenant.
func BenchmarkExamineGates(b *testing.B) {
	for _, capped := range []bool{false, true} {
		b.Run(fmt.Sprint("capped=", capped), func(b *testing.B) {
			w := newWorld(nil, 613, 1, 20)
			if capped {
				ann := tenantCap("ann", 1000)
				ann.Keys = []string{"ann"}
				tenants, err := fleet.NewTenants([]*fleet.Tenant{ann})
				must.NoError(b, err)
				w.queues.Tenants, w.key = tenants, "ann"
				w.rebootAll()
			}
			w.run(3 * time.Second)
			for n := range 10 {
				w.submit(jobID(n), tasksJob(1000, time.Minute))
			}
			var owner *jobs.State
			w.audit = func(s *jobs.State) error { owner = s; return nil }
			w.run(3 * time.Second)
			b.ResetTimer()
			for b.Loop() {
				jobs.ExamineGates(owner)
			}
		})
	}
}

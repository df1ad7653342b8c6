package jobs_test

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/shoenig/test/must"
)

const (
	// listInterval is the time between two reads of the list of instances.
	listInterval = time.Second
	// startTime is the time in which a start is stored, ordered and answered.
	startTime = 100 * time.Millisecond
	// longestTrial is how long a task that may have crashed its runner keeps its next one to
	// itself, and trialRunners the part of the runners, as divisor, that may be kept so at once.
	longestTrial = 1600 * time.Millisecond
	trialRunners = 3
	// settleTime is how long after a trouble of the owner or the store tasks may wait for it.
	settleTime = 3 * time.Second
	// longestHold is a time in which everything that may wait for a runner is over.
	longestHold = 45 * time.Second
)

// waitWatch checks that no task waits for runners whose end the owner's lists have shown.
type waitWatch struct {
	w *world
	// sent is when a run of a task was planned on a runner, or its start sent, and attempts holds the
	// newest attempt of each task.
	sent     map[fleet.TaskID]map[fleet.RunnerID]time.Time
	attempts map[fleet.TaskID]int64
	// troubled is when a runner was last cut off, down or left a call without an answer, and
	// disturbed when the owner or the store last was.
	troubled  map[fleet.RunnerID]time.Time
	disturbed time.Time
	epoch     int64
	// roomSince is since when there are runners enough that take tasks.
	roomSince time.Time
	// lostAt is when a run of a task was last lost with its runner.
	lostAt map[fleet.TaskID]time.Time
	lost   map[fleet.TaskID]int
	// ran is when a task last ran or a run was planned, and givenUp holds the jobs of tasks that crash their runners.
	ran     map[fleet.TaskID]time.Time
	givenUp map[fleet.JobID]bool
	// waits is the number of waits that were checked, longest the longest of them, and counted
	// and reported hold the tasks that have been counted and reported.
	waits             int
	longest           time.Duration
	counted, reported map[fleet.TaskID]bool
}

const watchInterval = 100 * time.Millisecond

func (w *world) watchWaits() *waitWatch {
	v := &waitWatch{
		w: w, attempts: make(map[fleet.TaskID]int64), sent: make(map[fleet.TaskID]map[fleet.RunnerID]time.Time), troubled: make(map[fleet.RunnerID]time.Time), disturbed: w.now,
		lostAt: make(map[fleet.TaskID]time.Time), lost: make(map[fleet.TaskID]int), ran: make(map[fleet.TaskID]time.Time),
		givenUp: make(map[fleet.JobID]bool), counted: make(map[fleet.TaskID]bool), reported: make(map[fleet.TaskID]bool),
	}
	w.onEffect = func(_ *fakeEntry, out effect.Effect) bool {
		v.onEffect(out)
		return true
	}
	var tick func()
	tick = func() {
		v.check()
		w.after(watchInterval, tick)
	}
	tick()
	return v
}

func (v *waitWatch) onEffect(out effect.Effect) {
	switch o := out.(type) {
	case effect.OrderTask:
		if o.Kind == effect.OrderStart {
			v.noteSent(o.Task, o.Runner, o.Attempt)
		}
	case effect.AppendLedger:
		for i := range o.Records {
			v.noteStored(&o.Records[i])
		}
	case effect.Decision:
		switch o.Name {
		case "runs lost":
			v.checkLoss(o)
		case "task given up":
			job, _, _ := strings.Cut(o.Task, ".")
			v.givenUp[fleet.JobID(job)] = true
		}
	}
}

// noteStored notes on which runners runs are planned: the next owner takes their starts for
// ordered.
func (v *waitWatch) noteStored(r *ledger.Record) {
	if r.Progress == nil {
		return
	}
	for _, occ := range r.Progress.Occurrences {
		for _, t := range occ.Tasks {
			if t.Runner != "" {
				v.noteSent(fleet.TaskID{Job: r.Job, Occurrence: occ.Number, Index: t.Number}, t.Runner, t.Attempt)
			}
		}
	}
}

func (v *waitWatch) noteSent(id fleet.TaskID, r fleet.RunnerID, attempt int64) {
	if v.sent[id] == nil {
		v.sent[id] = make(map[fleet.RunnerID]time.Time)
	}
	if at, ok := v.sent[id][r]; !ok || v.w.now.Sub(at) > longestHold {
		v.sent[id][r] = v.w.now
	}
	if attempt > v.attempts[id] {
		v.attempts[id], v.ran[id] = attempt, v.w.now
	}
}

// checkLoss checks that the runs on a runner that lives on are given up with its lease only.
func (v *waitWatch) checkLoss(d effect.Decision) {
	r, ok := v.w.runners[d.Runner]
	if ok && r.up && !r.ended && r.incarnation() == d.Incarnation && d.Reason != "the lease has run out" {
		v.w.violation("runs on %s, which lives, are given up: %s", r.id, d.Reason)
	}
}

// note notes troubles and which tasks run.
func (v *waitWatch) note() {
	w, room := v.w, 0
	o, epoch := w.owner(), w.store.newest().Epoch
	if o == nil || !o.up || o.frozen || o.storeCut || w.store.down || w.store.lossShare > 0 || epoch != v.epoch {
		v.epoch, v.disturbed = epoch, w.now
	}
	for id, r := range w.runners {
		if !r.up || r.dark || r.unreachable || r.unlisted || r.lossShare > 0 || (o != nil && o.cutRunners[id]) {
			v.troubled[id] = w.now
		}
		if at, ok := v.troubled[id]; (!ok || w.now.Sub(at) > settleTime) && r.service == "desk" {
			room++
		}
		for task, run := range r.runs {
			if !run.stopped {
				v.ran[task] = w.now
				delete(v.counted, task)
			}
		}
	}
	switch {
	case room < 3:
		v.roomSince = time.Time{}
	case v.roomSince.IsZero():
		v.roomSince = w.now
	}
	for task, h := range w.tasks {
		if h.lostRunners > v.lost[task] {
			v.lost[task], v.lostAt[task] = h.lostRunners, w.now
		}
	}
}

// suspects returns the number of tasks that have lost a run lately, and so may be isolated.
func (v *waitWatch) suspects() int {
	n := 0
	for task, at := range v.lostAt {
		r := v.w.runnerUnder(task)
		onTrial := r == nil || v.w.now.Sub(r.runs[task].began) < longestTrial
		if onTrial && v.w.now.Sub(at) < longestHold && !v.w.doneOnce[task] {
			n++
		}
	}
	return n
}

// limit returns how long a task may wait for another start after a list has shown the end of
// its runner.
func (v *waitWatch) limit() time.Duration {
	slots := max(1, len(v.w.listed())/trialRunners)
	rounds := (v.suspects() + slots - 1) / slots
	return listInterval + startTime + time.Duration(max(0, rounds-1))*longestTrial
}

func (v *waitWatch) check() {
	v.note()
	for id, spec := range v.w.accepted {
		if v.givenUp[id] || id == spreadJob {
			continue
		}
		for i := range spec.Steps[0].Count {
			v.checkTask(fleet.TaskID{Job: id, Index: i})
		}
	}
}

func (v *waitWatch) checkTask(task fleet.TaskID) {
	w := v.w
	if w.doneOnce[task] || w.runnerUnder(task) != nil || v.reported[task] || v.roomSince.IsZero() {
		return
	}
	from, ended := v.readyFrom(task)
	if !ended {
		return
	}
	if !v.counted[task] {
		v.counted[task] = true
		v.waits++
	}
	waits := w.now.Sub(from)
	v.longest = max(v.longest, waits)
	if limit := v.limit(); waits > limit {
		v.reported[task] = true
		w.violation("%v waits %.2f s after the lists have shown the end of its runners; limit %.2f s", task, waits.Seconds(), limit.Seconds())
	}
}

// readyFrom returns from when a task has waited for runners only whose end the lists have shown,
// and whether there is one.
func (v *waitWatch) readyFrom(task fleet.TaskID) (time.Time, bool) {
	w, any := v.w, false
	from := v.roomSince
	for _, at := range []time.Time{v.disturbed.Add(settleTime), v.ran[task]} {
		if at.After(from) {
			from = at
		}
	}
	for id, sent := range v.sent[task] {
		r := w.runners[id]
		if r.ended {
			shown := w.shownEnd(id).settledAt
			if shown.IsZero() {
				return from, false
			}
			if shown.After(from) {
				from = shown
			}
			any = true
			continue
		}
		if at, ok := v.troubled[id]; ok && !at.Before(sent.Add(-time.Second)) && w.now.Sub(at) < longestHold {
			return from, false // it may still tell of a run, or carry out a start
		}
	}
	return from, any && from.Before(w.now)
}

// spreadJob is the job of tasks that need a runner each, so that the pool keeps its instances and
// a runner that comes up has a task at once.
var spreadJob = jobID(1000)

// spread hands in that job.
func (w *world) spread(count int) {
	spec := longRunningJob(count, count)
	spec.Steps[0].MaxPerRunner = 1
	w.submit(spreadJob, spec)
}

// drawTarget draws an instance that has or had a runner, mostly one under tasks of other jobs than
// that which is spread.
func (w *world) drawTarget(rng *rand.Rand) *fakeInstance {
	var all, busy []*fakeInstance
	for _, i := range w.instances {
		if i.runner == nil {
			continue
		}
		all = append(all, i)
		if i.state == fleet.InstanceUp && slices.ContainsFunc(i.runner.taskIDs(), func(id fleet.TaskID) bool { return id.Job != spreadJob }) {
			busy = append(busy, i)
		}
	}
	if len(busy) > 0 && rng.Intn(4) > 0 {
		return busy[rng.Intn(len(busy))]
	}
	return all[rng.Intn(len(all))]
}

// endingFaults counts what a drawn history of endings has had.
type endingFaults struct {
	ended, cut, owners int
	// missed tells which instances lists miss; no two lists in a row miss the same one.
	missed func(*fakeEntry, fleet.InstanceID) bool
}

// playEnding hands in jobs, some with starts that get no answer, and ends, cuts off or silences
// runners, while lists miss instances, fail or take long, and owners die.
func (w *world) playEnding(rng *rand.Rand, id func() fleet.JobID, faults *endingFaults) {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.Intn(most-least)) * time.Millisecond
	}
	w.run(ms(0, 3000))
	w.drawLists(rng, faults)
	i := w.drawTarget(rng)
	r := i.runner
	if rng.Intn(2) == 0 && r.up && !r.unreachable {
		r.lossShare = []float64{0.3, 1}[rng.Intn(2)]
		w.after(ms(300, 3000), func() { r.lossShare = 0 })
	}
	for range 1 + rng.Intn(2) {
		w.submit(id(), drawnEndingJob(rng))
	}
	w.run(ms(5, 1500))
	if rng.Intn(3) == 0 {
		w.failOnce(rng)
		w.run(ms(0, 300))
	}
	if rng.Intn(3) == 0 { // what runs there may be given up before it ends
		faults.cut++
		r.cutFor(ms(500, 9000))
		w.run(ms(100, 9000))
	}
	if r.lossShare == 0 {
		i = w.drawTarget(rng)
	}
	for range 1 + rng.Intn(2) {
		w.endOrCut(rng, i, faults)
		i = w.drawTarget(rng)
		w.run(ms(0, 400))
	}
	if e := w.owner(); e != nil && e.up && !e.frozen && rng.Intn(3) == 0 {
		faults.owners++
		w.trouble(e, 1+rng.Intn(len(ownerTroubles)), i.runner)
	}
	if rng.Intn(6) == 0 {
		w.store.down = true
		w.after(ms(200, 2500), func() { w.store.down = false })
	}
	w.run(ms(0, 8000))
}

func drawnEndingJob(rng *rand.Rand) *fleet.JobSpec {
	switch rng.Intn(3) {
	case 0:
		return tasksJob(1+rng.Intn(3), time.Duration(300+rng.Intn(3000))*time.Millisecond)
	case 1:
		return tasksJob(1+rng.Intn(2), time.Duration(11+rng.Intn(8))*time.Second)
	default:
		return longRunningJob(1+rng.Intn(2), 2)
	}
}

// drawLists draws whether lists of instances miss some, fail or take long for a time.
func (w *world) drawLists(rng *rand.Rand, faults *endingFaults) {
	w.hidden, w.listFails, w.listTime = nil, nil, nil
	switch rng.Intn(7) {
	case 0:
		w.hidden = faults.missed
	case 1:
		w.listFails = func(*fakeEntry) bool { return rng.Intn(2) == 0 }
	case 2, 3, 4:
		least := rng.Intn(2000)
		w.listTime = func(*fakeEntry) time.Duration { return time.Duration(least+rng.Intn(1000)) * time.Millisecond }
	}
}

// failOnce fails a run of a task that has not failed before, if there is one.
func (w *world) failOnce(rng *rand.Rand) {
	for _, l := range w.listed() {
		r := w.runners[l.ID]
		for _, task := range r.taskIDs() {
			if !w.failedOnce[task] && !w.longRunning(task) && r.up && rng.Intn(2) == 0 {
				w.failedOnce[task] = true
				r.end(task, fleet.RunFailed)
				return
			}
		}
	}
}

// endOrCut ends the runner of an instance in one of the ways, or only cuts it off.
func (w *world) endOrCut(rng *rand.Rand, i *fakeInstance, faults *endingFaults) {
	silent, r := rng.Intn(2) == 0, i.runner
	kind := rng.Intn(7)
	w.trace("ending %d of %s, silent %v", kind, r.id, silent)
	if !r.up || i.state != fleet.InstanceUp {
		return
	}
	switch {
	case kind <= 1:
		faults.ended++
		i.vanish(w, silent)
		w.after(time.Duration(rng.Intn(5000))*time.Millisecond, func() { w.addJoining() })
	case kind <= 3:
		faults.ended++
		down := time.Duration(50+rng.Intn(6000)) * time.Millisecond
		if rng.Intn(2) == 0 {
			down = time.Duration(50+rng.Intn(800)) * time.Millisecond
		}
		i.crashFor(w, down, silent)
		if rng.Intn(2) == 0 { // lists that were requested before show no end of the next one
			w.after(down, func() { w.cutSoon(i.runner) })
			faults.cut++
		}
	case kind == 4:
		faults.ended++
		w.trace("%s is moved by a late order", i.id)
		r.endForGood(silent)
		i.state = fleet.InstanceMoving
		w.after(1500*time.Millisecond, func() { i.comeUp(w) })
	default:
		faults.cut++
		r.cutFor(time.Duration(1000+rng.Intn(13_000)) * time.Millisecond)
	}
}

// cutSoon cuts a runner off soon after it has come up and mostly got tasks.
func (w *world) cutSoon(r *fakeRunner) {
	after, cut := 250+w.rng.Intn(600), 5000+w.rng.Intn(6000)
	w.after(time.Duration(after)*time.Millisecond, func() { r.cutFor(time.Duration(cut) * time.Millisecond) })
}

// addJoining adds an instance with a runner, which may be cut off soon after.
func (w *world) addJoining() {
	w.nextID++
	i := w.addInstance(fleet.InstanceID(fmt.Sprint("m-joined", w.nextID)))
	if w.rng.Intn(2) == 0 {
		w.cutSoon(i.runner)
	}
}

// playUp has a runner come up just after a list was drawn up that takes long, and cuts it off soon
// after: what the list shows was before its last answer.
func (w *world) playUp(rng *rand.Rand, faults *endingFaults) {
	i := w.drawTarget(rng)
	comesUp := rng.Intn(2) == 0 && i.state == fleet.InstanceUp && i.runner.up
	if comesUp {
		faults.ended++
		i.crashFor(w, 10*time.Second, rng.Intn(2) == 0)
	}
	w.hidden, w.listFails = nil, nil
	w.listTime = func(*fakeEntry) time.Duration { return time.Duration(2300+rng.Intn(600)) * time.Millisecond }
	for n, o := 0, w.owner(); n < 400 && o != nil; n++ {
		lists := o.lists
		w.run(10 * time.Millisecond)
		if o.lists > lists {
			break
		}
	}
	if comesUp && i.state == fleet.InstanceDown {
		i.comeUp(w)
	} else {
		i = w.addInstance(fleet.InstanceID(fmt.Sprint("m-up", w.nextID)))
		w.nextID++
	}
	faults.cut++
	w.cutSoon(i.runner)
	w.run(time.Duration(rng.Intn(8000)) * time.Millisecond)
}

// TestTasksDoNotWaitForDrawnEndedRunners draws how runners end, are cut off and fall silent under
// tasks at work, late starts and missing outcomes, with lists that miss instances, fail or
// take long, and owners that die.
func TestTasksDoNotWaitForDrawnEndedRunners(t *testing.T) {
	for n := range max(*seeds/3, 8) {
		seed := *firstSeed + int64(n)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewSource(seed))
			w := newWorld(t, seed, 4, 8, func(w *world) {
				w.clockRate, w.statusRetention = 0.98+0.02*float64(rng.Intn(2)), time.Hour
				w.ordersReachNext, w.noStrayAcks, w.renewsRunners = true, true, true
				w.listLag = time.Duration(rng.Intn(2)) * keptListed
				w.failedOnce = make(map[fleet.TaskID]bool)
			})
			w.withInstances(2)
			w.run(2 * time.Second)
			w.spread(10)
			w.run(6 * time.Second)
			v, faults, jobs := w.watchWaits(), &endingFaults{missed: missSome(rng, 3)}, 0
			for range 10 {
				w.playEnding(rng, func() fleet.JobID { jobs++; return jobID(jobs - 1) }, faults)
				if rng.Intn(4) == 0 {
					w.playUp(rng, faults)
				}
			}
			w.drawnListsEnd()
			w.run(16 * time.Second)
			w.endFaults()
			w.run(60 * time.Second)
			w.checkStatesOf(jobs)
			w.checkInvariants()
			must.Positive(t, faults.ended, must.Sprint("no runner has ended"))
			must.MapNotEmpty(t, v.lostAt, must.Sprint("no task has lost its runner"))
			must.Positive(t, w.doneRuns)
			t.Logf("%d ended, %d cut, %d owners; %d waits, the longest %.2f s", faults.ended, faults.cut, faults.owners, v.waits, v.longest.Seconds())
		})
	}
}

func (w *world) drawnListsEnd() { w.hidden, w.listFails, w.listTime = nil, nil, nil }

// TestListRequestedBeforeAnAnswerShowsNoEnd has the answers to lists of instances take long. The
// lists show what was before a runner came up, which is cut off when they come.
func TestListRequestedBeforeAnAnswerShowsNoEnd(t *testing.T) {
	for _, joins := range []bool{false, true} {
		for cutAfter := 300 * time.Millisecond; cutAfter <= 2400*time.Millisecond; cutAfter += 300 * time.Millisecond {
			t.Run(fmt.Sprint("joins=", joins, " cut after=", cutAfter), func(t *testing.T) {
				w := endedWorld(t, 570, 0)
				w.watchWaits()
				for _, r := range w.listed() { // tasks run on the next runner only
					w.runners[r.ID].draining = true
				}
				w.listTime = func(*fakeEntry) time.Duration { return 2900 * time.Millisecond }
				i, requested := w.instances[0], w.owner().lists
				if !joins {
					i.crashFor(w, 2*listInterval, false)
				}
				for w.owner().lists == requested {
					w.run(10 * time.Millisecond)
				}
				if joins {
					i = w.addInstance("m-joined")
				} else {
					i.comeUp(w)
				}
				w.submit(jobID(0), lastingJob())
				task := firstTask(jobID(0))
				w.runUntilRuns(task)
				r := w.runnerUnder(task)
				must.Eq(t, i.runner, r)
				for id, other := range w.runners {
					other.draining = other.draining && id == r.id
				}
				w.run(cutAfter)
				r.cutFor(20 * time.Second)
				w.run(30 * time.Second)
				must.False(t, r.leaseExpiredAt.IsZero(), must.Sprint("the lease has not run out"))
				must.True(t, w.doneOnce[task] || w.runnerUnder(task) != nil)
				w.checkInvariants()
			})
		}
	}
}

// TestRunnersThatAreOnlyCutOffKeepTheirTasks until their leases have run out, whatever lists miss.
func TestRunnersThatAreOnlyCutOffKeepTheirTasks(t *testing.T) {
	lists := map[string]func(*world){
		"complete":       func(*world) {},
		"miss instances": func(w *world) { w.hidden = missSome(w.rng, 2) },
		"fail":           func(w *world) { w.listFails = func(*fakeEntry) bool { return w.rng.Intn(2) == 0 } },
		"take long":      func(w *world) { w.listTime = func(*fakeEntry) time.Duration { return 1500 * time.Millisecond } },
	}
	for name, set := range lists {
		for n, trouble := range ownerTroubles {
			t.Run(fmt.Sprint(name, " owner=", trouble.name), func(t *testing.T) {
				w := endedWorld(t, 571+int64(n), keptListed)
				w.watchWaits()
				set(w)
				task, r := w.startedTask(3 * time.Second)
				r.cutFor(25 * time.Second)
				trouble.happen(w.owner())
				for range 3000 {
					if w.runnerUnder(task) == nil || w.runnerUnder(task) == r {
						w.run(10 * time.Millisecond)
					}
				}
				must.NotNil(t, w.runnerUnder(task))
				must.False(t, r.leaseExpiredAt.IsZero(), must.Sprint("the lease has not run out"))
				w.checkInvariants()
			})
		}
	}
}

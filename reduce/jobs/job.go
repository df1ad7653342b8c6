package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// job is the owner's state of a job.
type job struct {
	id      fleet.JobID
	queue   fleet.QueueName
	service fleet.ServiceName
	tenant  fleet.TenantName
	// account is that of the tenant; nil for a job that has ended before this tenure.
	account *shares.Account
	// beyond is set if the tenant had handed in more jobs than it is owed when the job was
	// accepted.
	beyond bool
	// formerlyStopping is what runs of the job, which has ended, may still have used when a
	// former owner stored its end.
	formerlyStopping fleet.Capacity
	priority         int
	maxAttempts      int
	accepted         time.Time
	// deadline is when the job should have ended by its objective, and
	// noValueAfter the time after which its end has no value.
	deadline, noValueAfter time.Time
	// expectedPath is the run time of the longest chain of steps, as expected when the job was
	// accepted. It stays, so that the deadline does not change with what is learned.
	expectedPath time.Duration
	spec         *fleet.JobSpec
	state        fleet.JobState
	// storedState is the newest state that is stored.
	storedState fleet.JobState
	ended       time.Time
	// occurrences holds the occurrences that have begun and not ended.
	occurrences []*occurrence
	// occurrencesBegun and occurrencesEnded are the numbers of occurrences that
	// have begun and ended.
	occurrencesBegun, occurrencesEnded int
	// nextOccurrence is set for when the next occurrence is due to begin.
	nextOccurrence timer.Timer
	// activeIndex is the job's place in ownership.active.
	activeIndex int
	// started is set once a run of a task was planned, and begun once a runner has
	// confirmed one. adopted is set if an earlier owner has planned one.
	started, begun, adopted bool
	requiresAdvice          bool
	// hasUnresolved is set while a task has unresolved runs; the job is then in
	// ownership.unresolved.
	hasUnresolved bool

	// definitionStored and definitionDropped are set once the definition, or its
	// removal, is in a batch for the ledger. hasProgress is set once there is
	// progress to store, inOutbox while the job has changes that are in no batch,
	// and expired once its final state need not be kept.
	definitionStored, definitionDropped, hasProgress, inOutbox, expired bool
	// unstoredHolds lists the holds that are to be stored before the job's progress.
	unstoredHolds []*hold
	// generation is that of the parts of the job's progress, and parts the number of
	// parts that may be stored in each of their slots.
	generation int64
	parts      [ledger.GenerationSlots]int
}

// occurrence is one run of a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// stepsLeft is the number of steps with tasks that are not done.
	stepsLeft int
}

// step is a step of an occurrence.
type step struct {
	occ    *occurrence
	spec   *fleet.Step
	number int
	// firstTask is the number of the step's first task over all steps.
	firstTask int
	tasks     []*task
	// tasksLeft is the number of tasks that are not done.
	tasksLeft int
	// queued is set while the step is in its pool's queue, and queuedAt is since when.
	queued   bool
	queuedAt time.Time
	// held is set while the cap of the tenant holds a task of the step, and heldCounted once
	// that was counted.
	held, heldCounted bool
	// gangFailures counts the failed runs of a gang, and failedAttempts lists the attempts
	// of the last of them, in ascending order.
	gangFailures   int
	failedAttempts []int64
	// estimate is the client's estimate of the run time of a task, and expected what is expected.
	estimate time.Duration
	expected runtimes.Expectation
	// criticalPath is the expected run time of the longest chain of steps that
	// begins with this step, and following that of what follows it in the chain.
	criticalPath, following time.Duration
	// ended sums up the runs of the step from which was learned, and expectedFirst is what was
	// expected before them.
	ended         runtimes.Ended
	expectedFirst runtimes.Expectation
	advice        advice
}

type taskPhase uint8

const (
	taskWaiting taskPhase = iota
	taskActive
	taskDone
)

type task struct {
	step     *step
	index    int
	phase    taskPhase
	attempt  int64
	failures int
	crashes  crashes.Record
	// crashedOn identifies the runner that last crashed under the task, over its restarts.
	crashedOn  fleet.InstanceID
	checkpoint string
	run        *run
	// unresolved lists the earlier runs whose outcome is not known, and lateStarts the starts
	// of earlier runs that may still be carried out.
	unresolved []unresolvedRun
	lateStarts []*lateStart
	// attached is the number of runs on runners, and planned that of those whose start was
	// not sent. claim is what the task counts at its tenant's account.
	attached, planned int
	claim             shares.Claim
	// restarts is the number of runs that were stopped because they were too slow.
	restarts int
	// avoidRunner is the runner that last failed, refused or was too slow for the
	// task.
	avoidRunner fleet.RunnerID
}

func (t *task) id() fleet.TaskID {
	return fleet.TaskID{Job: t.step.occ.job.id, Occurrence: t.step.occ.number, Step: t.step.number, Index: t.index}
}

func (t *task) job() *job { return t.step.occ.job }

// countedFailures returns the number of failed runs of the task, or of its gang.
func (t *task) countedFailures() int {
	if t.step.spec.Gang {
		return t.step.gangFailures
	}
	return t.failures
}

// maxFailedAttempts bounds the attempts that are kept of a gang whose failures do not end its
// job. The ends of an attempt are listed together, or soon after one another.
const maxFailedAttempts = 8

// countGangFailure counts the failure of a member of a gang, unless one of the same attempt
// was counted.
func (st *step) countGangFailure(attempt int64) {
	i, counted := slices.BinarySearch(st.failedAttempts, attempt)
	if counted {
		return
	}
	st.gangFailures++
	st.failedAttempts = slices.Insert(st.failedAttempts, i, attempt)
	if n := len(st.failedAttempts); n > maxFailedAttempts {
		st.failedAttempts = st.failedAttempts[n-maxFailedAttempts:]
	}
}

// noValueFactor is the multiple of its objective after which the end of a job has
// no value.
const noValueFactor = 3

// newJob returns a job without occurrences.
func (o *ownership) newJob(id fleet.JobID, d *ledger.Definition) *job {
	j := &job{
		id: id, queue: d.Queue, service: d.Service, maxAttempts: d.MaxAttempts, accepted: d.Accepted, spec: d.Spec,
		tenant: d.Tenant, account: o.accounts.Of(d.Tenant), state: fleet.JobQueued, storedState: fleet.JobQueued,
	}
	switch {
	case d.ExpectedPath > 0:
		j.expectedPath = d.ExpectedPath
	case d.Spec != nil:
		j.expectedPath = o.expectedPath(j)
	}
	o.applyQueue(j)
	return j
}

// applyQueue applies the configuration of the job's queue. A job whose queue was
// removed keeps its settings.
func (o *ownership) applyQueue(j *job) {
	if o.s.queues == nil {
		return
	}
	q, ok := o.s.queues.ByName[j.queue]
	if !ok {
		return
	}
	j.priority, j.maxAttempts, j.requiresAdvice = q.Priority, max(1, q.MaxAttempts), q.RequiresAdvice && o.s.cfg.Bounds.HasAdvice
	if j.service != q.Service {
		o.reroute(j, q.Service)
	}
	if j.spec != nil {
		objective := fleet.AddDurations(fleet.ScaleDuration(j.expectedPath, q.Stretch), q.Slack)
		j.deadline = j.accepted.Add(objective)
		j.noValueAfter = j.accepted.Add(fleet.ScaleDuration(objective, noValueFactor))
	}
}

// reroute moves the waiting steps of a job to the queue of another pool.
func (o *ownership) reroute(j *job, service fleet.ServiceName) {
	old := o.pools[j.service]
	j.service = service
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.queued && old != nil {
				old.remove(st)
				st.queued = false
				o.enqueue(st)
			}
		}
	}
}

// beginOccurrence adds the next occurrence of a job. The caller queues its steps.
func (o *ownership) beginOccurrence(j *job) *occurrence {
	occ := &occurrence{job: j, number: j.occurrencesBegun, stepsLeft: len(j.spec.Steps)}
	j.occurrencesBegun++
	first := 0
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		st := &step{occ: occ, spec: spec, number: i, firstTask: first, tasksLeft: spec.Count, estimate: spec.Estimate}
		for n := range spec.Count {
			st.tasks = append(st.tasks, &task{step: st, index: n})
		}
		first += spec.Count
		occ.steps = append(occ.steps, st)
	}
	o.setPaths(occ)
	j.occurrences = append(j.occurrences, occ)
	return occ
}

// enqueueReady queues the steps whose predecessors are done.
func (o *ownership) enqueueReady(occ *occurrence) {
	for _, st := range occ.steps {
		if !st.queued && st.tasksLeft > 0 && occ.ready(st) && st.hasWaiting() {
			o.refreshExpected(st)
			o.enqueue(st)
		}
	}
}

// ready reports whether all predecessors of st are done.
func (occ *occurrence) ready(st *step) bool {
	for _, a := range st.spec.After {
		if occ.steps[a].tasksLeft > 0 {
			return false
		}
	}
	return true
}

// hasWaiting reports whether a task of the step waits for a runner.
func (st *step) hasWaiting() bool {
	for _, t := range st.tasks {
		if t.phase == taskWaiting {
			return true
		}
	}
	return false
}

// requeue makes a task that is not done wait for another run.
func (o *ownership) requeue(t *task) {
	t.run = nil
	if t.phase == taskDone || t.job().state.Final() {
		return
	}
	t.phase = taskWaiting
	o.recount(t)
	if !t.step.queued {
		o.enqueue(t.step)
	}
	o.markProgress(t.job())
}

// markProgress makes the progress of a job part of a later batch for the ledger.
func (o *ownership) markProgress(j *job) {
	j.hasProgress = true
	o.markDirty(j)
}

// finishTask marks a task as done. It queues the steps that become ready, and ends
// the job after its last occurrence.
func (o *ownership) finishTask(t *task) {
	o.addHolds(t)
	t.phase, t.checkpoint, t.run = taskDone, "", nil
	o.recount(t)
	st := t.step
	o.markProgress(t.job())
	if st.tasksLeft--; st.tasksLeft > 0 {
		return
	}
	occ := st.occ
	if occ.stepsLeft--; occ.stepsLeft > 0 {
		o.enqueueReady(occ)
		return
	}
	j := occ.job
	j.endOccurrence(occ)
	if j.occurrencesEnded == max(1, j.spec.Repeats) {
		o.endJob(j, fleet.JobDone)
		return
	}
	o.beginScheduled(j)
}

// endOccurrence removes an occurrence that has ended.
func (j *job) endOccurrence(occ *occurrence) {
	j.occurrencesEnded++
	j.occurrences = slices.DeleteFunc(j.occurrences, func(other *occurrence) bool { return other == occ })
}

// endJob sets the final state of a job. Its runs are stopped once the state is
// stored.
func (o *ownership) endJob(j *job, state fleet.JobState) {
	j.state, j.ended = state, o.now()
	if state == fleet.JobFailed {
		for _, occ := range j.occurrences {
			for _, t := range occ.allTasks() {
				o.addHolds(t)
			}
		}
	}
	o.markProgress(j)
	o.dequeue(j)
	o.whenStored(deferred{publish: j})
	o.whenStored(deferred{stopRuns: j})
	o.ended = append(o.ended, j)
	o.removeActive(j)
	o.timers.Clear(&j.nextOccurrence)
	o.s.count("jobs_ended", effect.Reason(state))
	o.s.logDecision(effect.Decision{
		Name: "job ended", Job: j.id, Queue: j.queue, Outcome: string(state), Epoch: o.epoch, Age: o.now().Sub(j.accepted),
	})
}

// dequeue takes all steps of a job out of its pool's queue.
func (o *ownership) dequeue(j *job) {
	p := o.pools[j.service]
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.queued && p != nil {
				p.remove(st)
				st.queued = false
			}
		}
	}
}

// progress returns the progress of the job as stored in the ledger.
func (j *job) progress() *ledger.Progress {
	p := &ledger.Progress{Queue: j.queue, State: j.state, Ended: j.ended}
	if j.state.Final() {
		p.Tenant, p.Stopping = j.tenant, j.stopping()
		return p
	}
	p.NotBegun = !j.begun
	p.Begun = j.occurrencesBegun
	for _, occ := range j.occurrences {
		p.Occurrences = append(p.Occurrences, occ.progress())
	}
	if last := j.occurrencesBegun - 1; last >= 0 && (len(j.occurrences) == 0 || j.occurrences[len(j.occurrences)-1].number != last) {
		// Versions that know no Begun take the highest number for it.
		p.Occurrences = append(p.Occurrences, ledger.Occurrence{Number: last, Done: slices.Repeat([]bool{true}, j.spec.Tasks())})
	}
	return p
}

func (occ *occurrence) progress() ledger.Occurrence {
	out := ledger.Occurrence{Number: occ.number}
	for _, st := range occ.steps {
		for _, t := range st.tasks {
			out.Done = append(out.Done, t.phase == taskDone)
			if r, ok := t.toLedger(); ok {
				out.Tasks = append(out.Tasks, r)
			}
		}
	}
	return out
}

// toLedger returns the state of the task as stored in the ledger, and whether
// there is any.
func (t *task) toLedger() (ledger.Task, bool) {
	if t.phase == taskDone || t.attempt == 0 {
		return ledger.Task{}, false
	}
	out := ledger.Task{Number: t.step.firstTask + t.index, Attempt: t.attempt, Failures: t.failures, Checkpoint: t.checkpoint}
	if t.step.spec.Gang {
		out.Failures, out.FailedAttempts = t.step.gangFailures, slices.Clone(t.step.failedAttempts)
	}
	out.Crashes, out.CertainCrashes, out.Trial, out.CrashedOn = t.crashes.Crashes, t.crashes.Certain, t.crashes.Trial, t.crashedOn
	if t.run != nil {
		out.Runner, out.Incarnation, out.Address = t.run.runner.ID, t.run.incarnation, t.run.runner.Address
		out.Instance = t.run.runner.Instance
		out.StaleLeases, out.Settled = t.run.staleLeases, t.run.settled
		if !t.run.settled {
			out.StartEpoch = t.run.startEpoch
		}
	}
	out.LateStarts = t.storedLateStarts()
	out.Unresolved = t.storedUnresolved()
	return out, true
}

// restoreJob restores a job from the ledger.
func (o *ownership) restoreJob(s *ledger.StoredJob) {
	if s.Definition == nil {
		if s.Progress != nil && s.Progress.State.Final() {
			o.restoreEnded(s)
		}
		return
	}
	j := o.newJob(s.Job, s.Definition)
	j.definitionStored = true
	o.jobs[j.id] = j
	if s.Progress != nil && s.Progress.State.Final() {
		j.state, j.storedState, j.ended = s.Progress.State, s.Progress.State, s.Progress.Ended
		o.noteFormerlyStopping(j, s.Progress)
		j.hasProgress, j.parts = true, s.Parts
		o.ended = append(o.ended, j)
		o.markDirty(j) // the definition has to be dropped before the final state is
		return
	}
	o.addActive(j)
	j.parts = s.Parts
	if s.Progress != nil {
		j.hasProgress, j.generation = true, s.Progress.Generation
		if hasBegun(s.Progress) {
			o.markBegun(j)
		}
		for i := range s.Progress.Occurrences {
			o.restoreOccurrence(j, &s.Progress.Occurrences[i])
		}
		if s.Progress.Begun > 0 {
			j.occurrencesBegun = s.Progress.Begun
			j.occurrencesEnded = j.occurrencesBegun - len(j.occurrences)
		}
	}
	if len(j.occurrences) == 0 {
		o.beginScheduled(j)
	}
	o.scheduleNext(j)
}

// hasBegun reports whether a run of a job had begun that runs no more. Versions that know no
// NotBegun leave it unset, also for jobs whose runs were only planned.
func hasBegun(p *ledger.Progress) bool {
	return !p.NotBegun && slices.ContainsFunc(p.Occurrences, func(occ ledger.Occurrence) bool {
		return slices.ContainsFunc(occ.Tasks, func(t ledger.Task) bool { return t.Runner == "" })
	})
}

func (o *ownership) restoreEnded(s *ledger.StoredJob) {
	j := &job{
		id: s.Job, queue: s.Progress.Queue, state: s.Progress.State, storedState: s.Progress.State,
		ended: s.Progress.Ended, definitionStored: true, hasProgress: true, definitionDropped: true, parts: s.Parts,
	}
	o.noteFormerlyStopping(j, s.Progress)
	o.jobs[j.id] = j
	o.ended = append(o.ended, j)
}

func (o *ownership) restoreOccurrence(j *job, r *ledger.Occurrence) {
	occ := o.beginOccurrence(j)
	occ.number = r.Number
	j.occurrencesBegun = max(j.occurrencesBegun, r.Number+1)
	tasks := occ.allTasks()
	for i, done := range r.Done {
		if done && i < len(tasks) {
			o.markBegun(j)
			tasks[i].phase = taskDone
			tasks[i].step.tasksLeft--
		}
	}
	for i := range r.Tasks {
		if n := r.Tasks[i].Number; n >= 0 && n < len(tasks) {
			o.restoreTask(tasks[n], &r.Tasks[i])
		}
	}
	for _, st := range occ.steps {
		if st.tasksLeft == 0 {
			occ.stepsLeft--
		}
	}
	if occ.stepsLeft == 0 {
		j.endOccurrence(occ)
		return
	}
	o.enqueueReady(occ)
}

func (o *ownership) restoreTask(t *task, r *ledger.Task) {
	t.attempt, t.failures, t.checkpoint = r.Attempt, r.Failures, r.Checkpoint
	if t.step.spec.Gang {
		t.failures, t.step.gangFailures = 0, max(t.step.gangFailures, r.Failures)
		t.step.failedAttempts = r.FailedAttempts
	}
	t.crashes, t.crashedOn = crashes.Record{Crashes: r.Crashes, Certain: r.CertainCrashes, Trial: r.Trial}, r.CrashedOn
	o.restoreUnresolved(t, r.Unresolved)
	o.restoreLateStarts(t, r.LateStarts)
	t.job().started = true
	o.recount(t)
	if r.Runner == "" {
		return
	}
	t.job().adopted = true
	o.adoptRun(t, r)
}

func (occ *occurrence) allTasks() []*task {
	var out []*task
	for _, st := range occ.steps {
		out = append(out, st.tasks...)
	}
	return out
}

// beginScheduled begins the occurrences of a job that have become due.
func (o *ownership) beginScheduled(j *job) {
	for j.mayBegin() && !o.now().Before(j.scheduledAt(j.occurrencesBegun)) {
		o.enqueueReady(o.beginOccurrence(j))
	}
	o.scheduleNext(j)
}

// maxOpenTasks bounds the tasks of a job's occurrences that have begun and not ended. More
// occurrences begin as others end, so that a job whose occurrences are all due at once
// stays small.
const maxOpenTasks = 4000

// mayBegin reports whether an occurrence is left and may begin once it is due.
func (j *job) mayBegin() bool {
	return j.occurrencesBegun < max(1, j.spec.Repeats) &&
		(len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.spec.Tasks() <= maxOpenTasks)
}

// scheduledAt returns when occurrence n is due to begin.
func (j *job) scheduledAt(n int) time.Time {
	if j.spec.Repeats == 0 {
		return j.accepted
	}
	return j.spec.DueAt(n)
}

// scheduleNext sets the job's timer for its next occurrence, if one is left.
func (o *ownership) scheduleNext(j *job) {
	if j.occurrencesBegun < j.spec.Repeats && j.mayBegin() {
		o.timers.Set(&j.nextOccurrence, j.scheduledAt(j.occurrencesBegun), j)
	}
}

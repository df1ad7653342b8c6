package jobs

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/endings"
	"github.com/banyanrail/banyanrail/reduce/gates"
)

const (
	// gateInterval is the time between two examinations of what ready tasks wait for.
	gateInterval = 500 * time.Millisecond
	// maxExaminedTasks is the number of tasks after which an examination stops. The next one goes on
	// there.
	maxExaminedTasks = 10_000
	// maxWaits bounds the waits of single tasks that are followed.
	maxWaits = 2000
	// gaugeInterval is the least time between two updates of the gauges.
	gaugeInterval = time.Second
)

// Names of the gauges.
const (
	gaugeTasksWaiting = "tasks_waiting"
	gaugeSilentRuns   = "runs_on_silent_runners"
)

// Names of lines that are bounded.
const (
	lineWaits           = "task waits"
	lineWaitsNoMore     = "task waits no more"
	lineWaitForRoom     = "tasks wait for room"
	lineRunsWait        = "runs wait for a runner"
	lineInstanceChanged = "instance changed"
)

// gateWatch is the owner's state of the gates at which ready tasks wait, for logs and metrics
// only.
type gateWatch struct {
	examinedAt, gaugesAt time.Time
	waits                gates.Waits[*task]
	// pool and step are where the next examination goes on, and counts holds what the present
	// round over all queues has found.
	pool, step int
	counts     gates.Counts
	// shared is the pool's wait for what any of its tasks could take, as found in this round,
	// and sharedBefore that of each pool in the round before.
	shared       sharedWait
	sharedBefore map[fleet.ServiceName]sharedWait
	silent       []silentRunner

	starts, ends, rooms, runners, instances gates.Lines
}

// sharedWait is how many tasks of a pool wait for room, or for placing to go on.
type sharedWait struct {
	gate     gates.Gate
	tasks    int
	oldest   time.Time
	loggedAt time.Time
}

// silentRunner is a runner that has stopped answering with runs on it.
type silentRunner struct {
	runner *runner
	since  time.Time
	logged bool
}

// examineGates finds out what ready tasks wait for, and logs the waits that last.
func (o *ownership) examineGates() {
	w := &o.gates
	if o.now().Sub(w.examinedAt) < gateInterval {
		return
	}
	w.examinedAt = o.now()
	for _, e := range w.waits.Review(o.now(), o.gateOf) {
		o.logWaitEnd(&e, endOfWait(e.Task))
	}
	if o.scanQueues() {
		o.setWaitGauges()
		w.counts = gates.Counts{}
	}
	w.waits.LogDue(o.now(), &w.starts, o.logWait)
	o.logSilentRunners()
	o.tellLeftOut(lineWaits, &w.starts)
	o.tellLeftOut(lineWaitsNoMore, &w.ends)
	o.tellLeftOut(lineWaitForRoom, &w.rooms)
	o.tellLeftOut(lineRunsWait, &w.runners)
	o.tellLeftOut(lineInstanceChanged, &w.instances)
}

// scanQueues looks at the tasks of the queues, from where the last examination stopped. It reports
// whether that completes a round over all queues. Steps that leave a queue between two
// examinations may make a round miss others.
func (o *ownership) scanQueues() bool {
	w := &o.gates
	left := maxExaminedTasks
	for ; w.pool < len(o.sortedPools); w.pool, w.step = w.pool+1, 0 {
		p := o.sortedPools[w.pool]
		for ; w.step < len(p.queue); w.step++ {
			if left <= 0 {
				return false
			}
			left -= len(p.queue[w.step].tasks)
			o.scanStep(p.queue[w.step])
		}
		o.logSharedWait(p)
		w.shared = sharedWait{}
	}
	w.pool = 0
	return true
}

func (o *ownership) scanStep(st *step) {
	w := &o.gates
	common := o.factsOf(st)
	usual, shared := common.Gate(), 0
	for _, t := range st.tasks {
		if t.phase != taskWaiting {
			continue
		}
		g := usual
		if len(t.lateStarts)+len(t.unresolved) > 0 || t.crashes.Suspected() {
			g = o.gateUnder(t, common)
		}
		w.counts.Add(g)
		if g.Shared() {
			w.shared.gate = g
			shared++
			continue
		}
		w.waits.Note(o.now(), t, g, maxWaits)
	}
	if shared == 0 || o.now().Sub(st.queuedAt) < gates.MinLogged {
		return
	}
	if w.shared.tasks == 0 || st.queuedAt.Before(w.shared.oldest) {
		w.shared.oldest = st.queuedAt
	}
	w.shared.tasks += shared
}

// gateOf returns the gate at which a task waits.
func (o *ownership) gateOf(t *task) gates.Gate {
	if t.phase != taskWaiting || !t.step.queued || t.job().state.Final() {
		return gates.None
	}
	return o.gateUnder(t, o.factsOf(t.step))
}

// gateUnder returns the gate of a waiting task, given what holds for its whole step.
func (o *ownership) gateUnder(t *task, common gates.Facts) gates.Gate {
	common.Resolution = o.wouldAwaitResolution(t)
	common.LateStart = t.heldByLateStart()
	common.Trial = common.Trial || t.crashes.Suspected()
	return common.Gate()
}

// factsOf returns what holds for all waiting tasks of a step.
func (o *ownership) factsOf(st *step) gates.Facts {
	j := st.occ.job
	f := gates.Facts{
		Cap:    st.held && j.account.Capped(),
		Advice: j.requiresAdvice && (len(st.advice.tickets) == 0 || !o.now().Before(st.advice.validUntil)),
		Paused: !o.s.tenure.Valid(o.now()) || o.storeDown(),
	}
	if st.spec.Gang {
		f.Gang = o.gangMember(st) != nil
		f.Trial = slices.ContainsFunc(st.tasks, func(t *task) bool { return t.crashes.Suspected() })
	}
	return f
}

// gangMember returns the first member of a gang that keeps the others from being started, or nil.
func (o *ownership) gangMember(st *step) *task {
	i := slices.IndexFunc(st.tasks, func(t *task) bool {
		return t.phase != taskWaiting || t.heldByLateStart() || o.wouldAwaitResolution(t)
	})
	if i < 0 {
		return nil
	}
	return st.tasks[i]
}

func (t *task) heldByLateStart() bool { return len(t.lateStarts) > 0 && !t.step.spec.Speculative }

// wouldAwaitResolution returns awaitsResolution of a copy, since that drops expired runs from the task.
func (o *ownership) wouldAwaitResolution(t *task) bool {
	if len(t.unresolved) == 0 {
		return false
	}
	c := *t
	c.unresolved = slices.Clone(t.unresolved)
	return o.awaitsResolution(&c)
}

// endOfWait returns how the wait of a task has ended.
func endOfWait(t *task) string {
	switch {
	case t.job().state.Final():
		return "job ended"
	case t.phase == taskDone:
		return "task done"
	case t.phase == taskActive:
		return "started"
	default:
		return "gate opened"
	}
}

// endWait ends the wait of a task that is being started.
func (o *ownership) endWait(t *task) {
	if e, ok := o.gates.waits.End(o.now(), t); ok {
		o.logWaitEnd(&e, "started")
	}
}

func (o *ownership) logWaitEnd(e *gates.Ended[*task], how string) {
	switch {
	case e.LeftOut():
		o.gates.starts.LeaveOut()
	case e.Logged && o.gates.ends.AllowOrLeaveOut(o.now()):
		t := e.Task
		o.s.logDecision(effect.Decision{
			Name: lineWaitsNoMore, Task: t.id().String(), Attempt: t.attempt, Queue: t.job().queue, Reason: e.Gate.Reason(), Outcome: how,
			Age: e.At.Sub(e.Since), Epoch: o.epoch,
		})
	}
}

// logWait logs at which gate a task waits, and for what.
func (o *ownership) logWait(w *gates.Wait[*task]) {
	t := w.Task
	d := effect.Decision{
		Name: lineWaits, Task: t.id().String(), Attempt: t.attempt, Queue: t.job().queue, Tenant: t.job().tenant, Reason: w.Gate.Reason(), Epoch: o.epoch,
	}
	switch w.Gate {
	case gates.LateStart:
		o.describeLateStart(t, &d)
	case gates.Resolution:
		o.describeUnresolved(t, &d)
	case gates.Gang:
		o.describeGang(t, &d)
	case gates.Trial:
		o.describeTrial(t, &d)
	case gates.Cap:
		d.Outcome = "until runs of the tenant end"
	case gates.Advice:
		d.Outcome = "until a runner has a ticket"
		if t.step.advice.inFlight {
			d.Outcome = "until the advice service answers"
		}
	default:
	}
	o.s.logDecision(d)
}

// describeLateStart describes the late start of a task that keeps it for longest.
func (o *ownership) describeLateStart(t *task, d *effect.Decision) {
	if len(t.lateStarts) == 0 {
		return
	}
	last := slices.MaxFunc(t.lateStarts, func(a, b *lateStart) int { return o.lateRunsUntil(a).Compare(o.lateRunsUntil(b)) })
	until := o.lateRunsUntil(last)
	if !last.runner.poll.unreachable {
		until = last.until // the next answer settles it
	}
	d.Attempt, d.Runner, d.Incarnation, d.Age = last.attempt, last.runner.ID, last.runner.Incarnation, max(0, until.Sub(o.now()))
	switch {
	case !last.barred:
		d.Outcome = "until the runner answers a stop: "
	case t.mayStartOn(last.runner):
		d.Outcome = "until this runner has room: "
	default: // the task avoids the runner, is suspected of a crash, or has other late starts
		d.Outcome = "until no start can be carried out late: "
	}
	d.Outcome += o.describeRunner(last.runner)
}

// describeUnresolved describes the newest unresolved run of a task.
func (o *ownership) describeUnresolved(t *task, d *effect.Decision) {
	if len(t.unresolved) == 0 {
		return
	}
	last := slices.MaxFunc(t.unresolved, func(a, b unresolvedRun) int { return a.since.Compare(b.since) })
	d.Attempt, d.Runner, d.Age = last.attempt, last.runner, last.since.Add(resolveLimit).Sub(o.now())
	d.Outcome = "until the runner lists its end: the runner is not known"
	if r, ok := o.runners[last.runner]; ok {
		d.Incarnation = r.Incarnation
		d.Outcome = "until the runner lists its end: " + o.describeRunner(r)
	}
}

// describeGang describes the first member that keeps the gang of a task.
func (o *ownership) describeGang(t *task, d *effect.Decision) {
	member := o.gangMember(t.step)
	if member == nil {
		return
	}
	d.Outcome = "until member " + strconv.Itoa(member.index) + " may start"
	if member.run != nil {
		d.Outcome = "until the run of member " + strconv.Itoa(member.index) + " has ended: " + o.describeRunner(member.run.runner)
		d.Runner, d.Incarnation = member.run.runner.ID, member.run.incarnation
	}
}

// describeTrial describes why no runner is found for an isolated run.
func (o *ownership) describeTrial(t *task, d *effect.Decision) {
	p := o.pool(t.job().service)
	usable := o.usableRunners(p)
	r := o.chooseForTrial(t, usable)
	switch {
	case r == nil:
		d.Outcome = "until a runner has room: " + usableOf(len(usable), p)
	case r.trialJob == nil && !(&pass{pool: p}).mayTake():
		d.Outcome = "until fewer runners are on trial"
	case !r.quietFor(t.job()):
		d.Runner, d.Incarnation, d.Outcome = r.ID, r.Incarnation, "until a runner is quiet"
	default:
		d.Runner, d.Incarnation, d.Outcome = r.ID, r.Incarnation, "until its turn"
	}
}

func usableOf(usable int, p *pool) string {
	return strconv.Itoa(usable) + " of " + strconv.Itoa(len(p.runners)) + " runners usable"
}

// describeRunner describes the state of a runner: whether it answers, is listed, and what
// became of its instance.
func (o *ownership) describeRunner(r *runner) string {
	parts := []string{"answers"}
	if r.poll.unreachable {
		parts[0] = "silent for " + o.now().Sub(r.poll.silentSince).Truncate(time.Millisecond).String()
	}
	if !r.listed {
		parts = append(parts, "not listed")
	}
	i, ok := o.instances.byID[r.Instance]
	switch {
	case r.end.Kind == endings.OtherRunner:
		parts = append(parts, "replaced")
	case ok && i.missing > 0:
		parts = append(parts, "instance missing")
	case ok && i.State != "":
		parts = append(parts, "instance "+string(i.State))
	case !ok && r.Instance != "" && o.instances.listed:
		parts = append(parts, "instance gone")
	}
	return strings.Join(parts, ", ")
}

// logSharedWait logs how many tasks of a pool wait for room. A wait that two rounds in a row have
// found is logged, at most once in waitLogInterval.
func (o *ownership) logSharedWait(p *pool) {
	w := &o.gates
	before := w.sharedBefore[p.name]
	w.shared.loggedAt = before.loggedAt
	if w.shared.tasks > 0 && before.tasks > 0 && o.now().Sub(before.loggedAt) >= waitLogInterval && w.rooms.AllowOrLeaveOut(o.now()) {
		w.shared.loggedAt = o.now()
		o.s.logDecision(effect.Decision{
			Name: lineWaitForRoom, Queue: fleet.QueueName(p.name), Reason: w.shared.gate.Reason(), Count: w.shared.tasks,
			Outcome: usableOf(len(o.usableRunners(p)), p), Age: o.now().Sub(w.shared.oldest), Epoch: o.epoch,
		})
	}
	switch {
	case w.shared.tasks > 0:
		if w.sharedBefore == nil {
			w.sharedBefore = make(map[fleet.ServiceName]sharedWait)
		}
		w.sharedBefore[p.name] = w.shared
	case before.tasks > 0:
		delete(w.sharedBefore, p.name)
	}
}

// watchSilent has the runs on a runner watched that has stopped answering.
func (o *ownership) watchSilent(r *runner) {
	o.gates.silent = append(o.gates.silent, silentRunner{runner: r, since: r.poll.silentSince})
}

// logSilentRunners logs which runs wait for the leases of runners that do not answer.
func (o *ownership) logSilentRunners() {
	w := &o.gates
	w.silent = slices.DeleteFunc(w.silent, func(s silentRunner) bool {
		return !s.runner.poll.unreachable || !s.since.Equal(s.runner.poll.silentSince) || len(s.runner.runs) == 0
	})
	for i := range w.silent {
		s := &w.silent[i]
		if s.logged || o.now().Sub(s.since) < gates.MinLogged || !w.runners.Allow(o.now()) {
			continue
		}
		s.logged = true
		r := s.runner
		o.s.logDecision(effect.Decision{
			Name: lineRunsWait, Runner: r.ID, Incarnation: r.Incarnation, Count: len(r.runs), Reason: effect.Reason(o.lastLease(r)),
			Outcome: "until the leases expire: " + o.describeRunner(r), Age: max(0, o.leasesExpireAt(r).Sub(o.now())), Epoch: o.epoch,
		})
	}
}

// noteInstanceChange logs that a list shows another state or runner of an instance than the list
// before, unless this owner has ordered that.
func (o *ownership) noteInstanceChange(i *instance, m fleet.ManagedInstance) {
	ordered := !i.orderedAt.IsZero() && (i.State == fleet.InstanceMoving || i.State == fleet.InstanceMaintenance)
	if i.State == "" || ordered || (i.State == m.State && i.Runner == m.Runner) || !o.gates.instances.AllowOrLeaveOut(o.now()) {
		return
	}
	state := func(m fleet.ManagedInstance) string {
		if m.Runner == "" {
			return string(m.State) + " without a runner"
		}
		return string(m.State) + " with " + string(m.Runner)
	}
	o.s.logDecision(effect.Decision{
		Name: lineInstanceChanged, Task: string(i.ID), Runner: i.Runner, Outcome: state(i.ManagedInstance) + ", now " + state(m),
		Age: o.now().Sub(o.instances.listRequestedAt), Epoch: o.epoch,
	})
}

// tellLeftOut logs how many lines of a name were left out.
func (o *ownership) tellLeftOut(name string, lines *gates.Lines) {
	if n := lines.TellLeftOut(o.now()); n > 0 {
		o.s.logDecision(effect.Decision{Name: "lines left out", Reason: effect.Reason(name), Count: n, Epoch: o.epoch})
	}
}

// setWaitGauges publishes how many tasks a round has found at each gate.
func (o *ownership) setWaitGauges() {
	w := &o.gates
	if o.now().Sub(w.gaugesAt) < gaugeInterval {
		return
	}
	w.gaugesAt = o.now()
	for _, g := range gates.All() {
		o.s.setGauge(gaugeTasksWaiting, g.Reason(), w.counts[g])
	}
	runs := 0
	for _, s := range w.silent {
		runs += len(s.runner.runs)
	}
	o.s.setGauge(gaugeSilentRuns, "", int64(runs))
}

// setGauge sets a gauge, unless it has the value.
func (s *State) setGauge(name string, reason effect.Reason, value int64) {
	g := effect.SetJobGauge{Name: name, Reason: reason, Value: value}
	i := slices.IndexFunc(s.gauges, func(set effect.SetJobGauge) bool { return set.Name == name && set.Reason == reason })
	switch {
	case i < 0:
		s.gauges = append(s.gauges, g)
	case s.gauges[i] == g:
		return
	default:
		s.gauges[i] = g
	}
	s.emit(g)
}

// clearGauges sets all gauges to zero: they are those of the owner.
func (s *State) clearGauges() {
	for _, g := range s.gauges {
		s.setGauge(g.Name, g.Reason, 0)
	}
}

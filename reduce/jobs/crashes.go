package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// onRunnerCrashed handles a runner of which evidence shows that it has ended with all its
// runs, such as an answer of another one at its address.
func (o *ownership) onRunnerCrashed(r *runner, evidence effect.Reason) {
	o.resolveEnded(r)
	runs := r.runsWhere(func(run *run) bool { return run.mayHaveBegun() && !run.crashCounted })
	for _, run := range runs {
		run.ended = o.endOf(run, runs)
	}
	o.onRunnerEnded(r, evidence, runs)
}

// suspectFormerRuns notes how the runs on a runner that has restarted as an incarnation
// may have ended. The first list of runs of that incarnation shows which have: a start
// without an answer may have reached it.
func (o *ownership) suspectFormerRuns(r *runner, incarnation fleet.Incarnation) {
	runs := r.runsWhere(func(run *run) bool {
		return !run.crashCounted && run.mayHaveBegun() && run.incarnation != 0 && run.incarnation < incarnation && run.ended == nil
	})
	for _, run := range runs {
		run.ended = o.endOf(run, runs)
	}
	for _, run := range runs {
		run.runningSince = time.Time{}
		run.setStable(false)
	}
}

// confirmFormerEnds handles the runs that a runner which has restarted does not list.
func (o *ownership) confirmFormerEnds(r *runner) {
	o.suspectFormerRuns(r, r.Incarnation)
	var runs []*run
	for _, run := range r.runsWhere(func(run *run) bool { return run.ended != nil }) {
		switch {
		case run.listedBy == r.poll.number:
			run.ended = nil
		case !run.orderInFlight:
			runs = append(runs, run)
		}
	}
	o.onRunnerEnded(r, reasonRestarted, runs)
	for _, run := range runs {
		run.incarnation = r.Incarnation
		if run.phase == runStarting || run.mayStartLate {
			o.stopRun(run) // a start for the former incarnation may still be carried out
		}
	}
}

// endOf returns how a run ended, given all runs that ended with the same runner.
func (o *ownership) endOf(run *run, all []*run) *crashes.Run {
	r := run.runner
	ended := o.now()
	if r.poll.unreachable {
		ended = r.poll.silentSince
	}
	proven := run.provenRunTime()
	return &crashes.Run{
		Began: !run.runningSince.IsZero(), Proven: proven, Longest: max(proven, ended.Sub(run.createdAt)),
		Alone:       !slices.ContainsFunc(all, isUnsettled),
		LongRunning: run.task.step.spec.LongRunning, Estimate: run.task.step.estimate,
	}
}

func isUnsettled(run *run) bool { return !crashes.Settled(run.provenRunTime()) }

// onRunnerEnded handles the end of runs with their runner. Unless it left as planned or was
// lost with its rack, their tasks may have crashed it, and those that do so again and again
// are given up.
func (o *ownership) onRunnerEnded(r *runner, evidence effect.Reason, runs []*run) {
	if len(runs) == 0 {
		return
	}
	planned := o.leftAsPlanned(r)
	rackLost := o.lostWithRack(r) || (evidence == reasonInstanceDown && o.downWithRack(r))
	d := effect.Decision{Name: "runner left", Runner: r.ID, Reason: evidence, Count: len(runs), Epoch: o.epoch}
	if !planned {
		d.Name, d.Warning = "runner crashed", true
		o.s.count("runners_crashed", evidence)
	}
	if rackLost {
		d.Outcome = "with its rack"
	}
	if r.poll.unreachable {
		d.Age = o.now().Sub(r.poll.silentSince)
	}
	o.s.logDecision(d)
	again := false
	for _, run := range runs {
		t, end := run.task, run.ended
		run.ended, run.crashCounted = nil, true
		if planned || (rackLost && o.unlikelyCause(run, end)) {
			continue
		}
		end.SameRunner = t.crashedOn == r.lastingID()
		again = again || end.SameRunner
		t.crashedOn = r.lastingID()
		giveUp := t.crashes.Add(*end)
		o.markProgress(t.job())
		if giveUp {
			o.giveUp(t, r.ID)
		}
	}
	if again {
		o.restAfterCrash(r)
	}
}

// lastingID returns what identifies a runner over its restarts: its instance, or its id if that is not known.
func (r *runner) lastingID() fleet.InstanceID { return cmp.Or(r.Instance, fleet.InstanceID(r.ID)) }

// leftAsPlanned reports whether a runner that has ended was draining, or its instance
// was or may have been ordered to stop it.
func (o *ownership) leftAsPlanned(r *runner) bool {
	if r.Draining || r.vacating {
		return true
	}
	i, ok := o.instances.byID[r.Instance]
	if !ok {
		return false
	}
	// A runner that has answered since the order was carried out has joined after it.
	joinedAfter := i.pending == nil && !i.changedAt.Before(i.orderedAt) && r.aliveAt.After(i.changedAt)
	ordered := i.pending != nil || (!i.orderedAt.IsZero() && !joinedAfter && o.now().Sub(i.orderedAt) <= o.s.cfg.Bounds.InstanceLease)
	return ordered || (!o.formerLeaseExpired() && o.instances.mayBeOrdered(i.ID))
}

// giveUp ends the job of a task that crashes its runners.
func (o *ownership) giveUp(t *task, last fleet.RunnerID) {
	j := t.job()
	if j.state.Final() {
		return
	}
	o.s.logDecision(effect.Decision{
		Name: "task given up", Warning: true, Task: t.id().String(), Attempt: t.attempt, Runner: last, Queue: j.queue,
		Reason: "its runners crash", Count: t.crashes.Crashes, Epoch: o.epoch,
	})
	o.s.count("tasks_given_up", "its runners crash")
	o.endJob(j, fleet.JobFailed)
}

// resolveEnded resolves the runs that were given up when their leases expired on a runner
// that has ended: it lists their ends no more.
func (o *ownership) resolveEnded(r *runner) {
	planned := o.leftAsPlanned(r)
	for _, j := range slices.Clone(o.unresolved) {
		if j.state.Final() {
			continue
		}
		for _, occ := range j.occurrences {
			for _, t := range occ.allTasks() {
				before := len(t.unresolved)
				t.unresolved = slices.DeleteFunc(t.unresolved, func(u unresolvedRun) bool { return u.runner == r.ID })
				o.recount(t)
				if len(t.unresolved) < before && !planned && t.phase != taskDone && t.crashes.AddLate() {
					o.giveUp(t, r.ID)
				}
			}
		}
	}
}

// mayHaveBegun reports whether the runner may have begun the run.
func (run *run) mayHaveBegun() bool {
	switch run.phase {
	case runIntent:
		return false
	case runStarting:
		return run.orderInFlight || run.mayStartLate || run.settled
	default:
		return true
	}
}

// provenRunTime returns how long the run has certainly lasted without its runner crashing.
func (run *run) provenRunTime() time.Duration {
	if run.runningSince.IsZero() {
		return 0
	}
	return run.runner.aliveAt.Sub(run.runningSince)
}

// noteAnswer notes an answer of the runner, unless its clock shows that the runner has
// restarted.
func (r *runner) noteAnswer(at time.Time, c event.Clock) {
	if c.Reading >= r.clock.Reading && at.After(r.aliveAt) {
		r.aliveAt = at
	}
}

// receivedAt returns when the answer with a reading of a clock was received.
func (o *ownership) receivedAt(c event.Clock) time.Time {
	if c.Received.IsZero() {
		return o.now()
	}
	return c.Received
}

package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/crashes"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// resolveLimit is how long a task waits for the outcome of an unresolved run, if
// that outcome decides whether the task may run again. Runners that are cut off are usually
// reachable again within about six seconds, or not for a long time.
const resolveLimit = 10 * time.Second

// unresolvedRun is a run whose lease expired on a runner that did not answer. The
// run may have ended before, and the runner may still report its outcome.
type unresolvedRun struct {
	attempt int64
	runner  fleet.RunnerID
	// instance is the instance of the runner; empty if it is not known.
	instance fleet.InstanceID
	// since is when it was given up, or at the latest was, and epoch that of the owner that gave
	// it up; zero if that is not known.
	since time.Time
	epoch int64
}

// expired reports whether the outcome of the run is waited for no longer.
func (u unresolvedRun) expired(now time.Time) bool { return now.Sub(u.since) > resolveLimit }

// addUnresolved adds an unresolved run to its task.
func (o *ownership) addUnresolved(t *task, u unresolvedRun) {
	t.unresolved = append(t.unresolved, u)
	counted := countedRun{task: t, since: u.since}
	at, _ := slices.BinarySearchFunc(o.countedUnresolved, counted, func(a, b countedRun) int {
		return cmp.Or(a.since.Compare(b.since), -1) // after those of the same time
	})
	o.countedUnresolved = slices.Insert(o.countedUnresolved, at, counted)
	o.recount(t)
	if j := t.job(); !j.hasUnresolved {
		j.hasUnresolved = true
		o.unresolved = append(o.unresolved, j)
	}
}

// restoreUnresolved restores the unresolved runs of former owners. Their outcomes are waited for
// since the owners that gave them up were last active: owners in turn do not renew the wait.
func (o *ownership) restoreUnresolved(t *task, stored []ledger.Run) {
	for _, s := range stored {
		since := o.now()
		if s.Epoch > 0 && s.Epoch < o.epoch {
			if at := o.s.tenure.ActiveUntil(s.Epoch); at.Before(since) {
				since = at
			}
		}
		r := o.runner(s.Runner)
		o.setInstance(r, s.Instance)
		r.unresolvedUntil = latest(r.unresolvedUntil, since.Add(resolveLimit))
		o.addUnresolved(t, unresolvedRun{attempt: s.Attempt, runner: s.Runner, instance: s.Instance, since: since, epoch: s.Epoch})
	}
}

// storedUnresolved returns the unresolved runs of a task as stored in the ledger.
func (t *task) storedUnresolved() []ledger.Run {
	var out []ledger.Run
	for _, u := range t.unresolved {
		out = append(out, ledger.Run{Attempt: u.attempt, Runner: u.runner, Instance: u.instance, Epoch: u.epoch})
	}
	return out
}

// awaitsResolution reports whether a task that has failed before would have no
// attempt left if all its unresolved runs had failed too, or one that may have crashed
// runners would be given up if it had crashed those of the unresolved runs too.
func (o *ownership) awaitsResolution(t *task) bool {
	if len(t.unresolved) == 0 || t.step.spec.LongRunning {
		return false
	}
	t.unresolved = slices.DeleteFunc(t.unresolved, func(u unresolvedRun) bool { return u.expired(o.now()) })
	failures := t.countedFailures()
	if t.crashes.Crashes > 0 && t.crashes.Crashes+len(t.unresolved) >= crashes.MaxCrashes {
		return true
	}
	return failures > 0 && failures+len(t.unresolved) >= t.job().maxAttempts
}

// processStrayEnd handles the end of a run that the owner gave up when its lease
// expired. Ends of other runs were handled before and are ignored.
func (o *ownership) processStrayEnd(r *runner, e *fleet.EndedTask) {
	if until, held := o.former.holds[heldTask{runner: r.ID, task: e.Task}]; held {
		r.holdEnd(e.Number, until, r)
	}
	t := o.findTask(e.Task)
	if t == nil {
		return
	}
	before := len(t.unresolved)
	t.unresolved = slices.DeleteFunc(t.unresolved, func(u unresolvedRun) bool { return u.attempt == e.Attempt })
	o.recount(t)
	late, resolved := t.lateStart(e.Attempt), len(t.unresolved) < before
	for _, l := range t.lateStarts {
		r.holdEnd(e.Number, l.until, l.runner)
	}
	switch {
	case late == nil && !resolved:
	case e.Outcome == fleet.RunDone && t.phase == taskWaiting:
		o.onTaskDone(t)
	case e.Outcome == fleet.RunFailed && t.phase != taskDone && (resolved || !late.ended):
		o.onStrayFailure(t, r, e.Attempt)
	}
}

// onStrayFailure counts the failure of an earlier run of a task. The current run of
// the task, if any, continues.
func (o *ownership) onStrayFailure(t *task, r *runner, attempt int64) {
	current := t.run
	o.onRunFailed(t, r, attempt)
	if current != nil && !t.job().state.Final() {
		t.phase, t.run = taskActive, current
	}
}

// resolveRuns drops the unresolved runs on a runner that has listed all its ended
// runs: those that it did not list have ended with their lease. A poll that was
// sent before a run was given up does not resolve the run.
func (o *ownership) resolveRuns(r *runner, sent time.Time) {
	unresolved := o.unresolved
	o.unresolved = nil
	for _, j := range unresolved {
		if j.state.Final() {
			continue
		}
		j.hasUnresolved = false
		for _, occ := range j.occurrences {
			for _, t := range occ.allTasks() {
				t.unresolved = slices.DeleteFunc(t.unresolved, func(u unresolvedRun) bool { return u.runner == r.ID && u.since.Before(sent) })
				o.recount(t)
				j.hasUnresolved = j.hasUnresolved || len(t.unresolved) > 0
			}
		}
		if j.hasUnresolved {
			o.unresolved = append(o.unresolved, j)
		}
	}
}

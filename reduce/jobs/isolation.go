package jobs

import (
	"cmp"
	"slices"

	"github.com/banyanrail/banyanrail/reduce/crashes"
)

// trialShare is the part of a pool's runners, as its divisor, that may be on trial or
// reserved for trials at a time. The others keep taking tasks, however many are suspected.
const trialShare = 3

// pass is one pass over the queue of a pool.
type pass struct {
	pool   *pool
	usable []*runner
	// waiting holds the jobs for which a runner is reserved until the end of the pass.
	waiting map[*job]bool
	// taken is the number of runners that are on trial or reserved, once it is counted.
	taken   int
	counted bool
	// formerStopsChecked is set once it was checked whether a runner may still run what a
	// former owner was stopping.
	formerStopsChecked bool
}

// mayTake reports whether one more runner may be used for a trial.
func (p *pass) mayTake() bool {
	if !p.counted {
		p.counted = true
		for _, r := range p.pool.runners {
			if r.trialJob != nil && !r.poll.unreachable {
				p.taken++
			}
		}
	}
	return p.taken < max(1, (len(p.pool.runners)+trialShare-1)/trialShare)
}

// reserve keeps other tasks from a runner for the rest of the pass. Passes choose alike,
// so the runs on it settle before long.
func (o *ownership) reserve(r *runner, j *job, p *pass) {
	p.usable = slices.DeleteFunc(p.usable, func(x *runner) bool { return x == r })
	if p.waiting == nil {
		p.waiting = make(map[*job]bool)
	}
	p.waiting[j] = true
	p.taken++
	r.reservedUntil = o.now().Add(crashes.SettleTime)
}

// placeSuspect plans a run of a task that may have crashed its last runner. The run is
// isolated: until it has passed its trial, only tasks of the same job begin on its
// runner, and none of another job has just begun there. So a second crash has one likely
// cause. A runner on which others have just begun is reserved until they have settled.
func (o *ownership) placeSuspect(t *task, p *pass) {
	st, j := t.step, t.job()
	r := o.chooseForTrial(t, p.usable)
	switch {
	case r == nil || p.waiting[j]:
		return
	case r.trialJob == nil && !p.mayTake():
		return
	case !r.quietFor(j):
		o.reserve(r, j, p)
		return
	}
	if r.trialJob == nil {
		p.taken++
	}
	o.planRun(t, r, t.attempt+1, st.advice.tickets[r.ID])
}

// chooseForTrial returns the runner for the isolated run of a task, or nil. It prefers
// another one than that which crashed, since a second crash there says little about the task; one
// on trial with the same job, one where no other run has to settle, and the runner with the
// fewest runs.
func (o *ownership) chooseForTrial(t *task, usable []*runner) *runner {
	j := t.job()
	rank := func(r *runner) int {
		n := 0
		for i, worse := range []bool{!r.quietFor(j), r.trialJob != j, r.lastingID() == t.crashedOn} {
			if worse {
				n |= 1 << i
			}
		}
		return n
	}
	var best *runner
	bestRank := 0
	for _, r := range usable {
		if !t.mayStartOn(r) || !o.feasible(t.step, r, gangShare{}) {
			continue
		}
		n := rank(r)
		if best == nil || cmp.Or(cmp.Compare(n, bestRank), cmp.Compare(len(r.runs), len(best.runs))) < 0 {
			best, bestRank = r, n
		}
	}
	return best
}

// placeSuspectedGang plans the isolated runs of a gang of which a task may have crashed
// its last runner. Its runners are reserved until all of them are quiet.
func (o *ownership) placeSuspectedGang(st *step, p *pass) {
	j := st.occ.job
	quiet := slices.DeleteFunc(slices.Clone(p.usable), func(r *runner) bool { return !r.quietFor(j) })
	if plan := o.planGangIn(st, quiet); plan != nil {
		o.startGang(st, plan)
		return
	}
	plan := o.planGangIn(st, p.usable)
	slices.SortFunc(plan, func(a, b *runner) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range slices.Compact(plan) {
		o.reserve(r, j, p)
	}
}

// quietFor reports whether all runs of other jobs on a runner have settled.
func (r *runner) quietFor(j *job) bool {
	for _, run := range r.runs {
		if run.task.job() != j && !crashes.Settled(run.provenRunTime()) {
			return false
		}
	}
	return true
}

// recordLasted records how long a run has lasted, and ends its trial if that is long
// enough.
func (o *ownership) recordLasted(run *run) {
	t := run.task
	if t.crashes.Lasted(run.provenRunTime(), t.step.spec.LongRunning) {
		o.markProgress(t.job())
	}
	if run.onTrial && !t.crashes.Suspected() {
		run.endTrial()
		o.pool(run.runner.Service).dirty = true
	}
}

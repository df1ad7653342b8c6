package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/shares"
)

const (
	// shortQueueSteps and longQueueSteps are the numbers of waiting steps above which
	// the tasks of a pool are placed at most once in placeInterval and in
	// longPlaceInterval. A pass takes about a microsecond for each step and runner.
	shortQueueSteps = 4
	longQueueSteps  = 50
	// placeInterval and longPlaceInterval are short compared to the run time of a
	// task, and long compared to the time between two ends of runs in a busy pool.
	placeInterval     = 5 * time.Millisecond
	longPlaceInterval = 20 * time.Millisecond
	// recheckInterval is the time after which the tasks of a pool are placed again
	// although nothing has changed: a quarantine or a wait for an outcome may have
	// ended.
	recheckInterval = 100 * time.Millisecond
)

// place plans runs of waiting tasks on runners with room for them.
func (o *ownership) place() {
	if o.phase != phaseActive || !o.s.tenure.Valid(o.now()) || o.storeDown() {
		return
	}
	o.expireCounted()
	lag := o.s.lag.At(o.now())
	for _, p := range o.sortedPools {
		if len(p.queue) > 0 && p.placingDue(o.now(), lag) {
			p.dirty, p.placedAt = false, o.now()
			o.placePool(p)
			o.explainWaits(p)
		}
	}
}

// placingDue reports whether the tasks of a pool are to be placed now, when the
// control loop has a lag.
func (p *pool) placingDue(now time.Time, lag time.Duration) bool {
	var interval time.Duration
	switch {
	case !p.dirty:
		interval = recheckInterval
	case len(p.queue) > longQueueSteps:
		interval = longPlaceInterval
	case len(p.queue) > shortQueueSteps:
		interval = placeInterval
	}
	return now.Sub(p.placedAt) >= admission.Interval(interval, lag, admission.PlacingWeight)
}

func (o *ownership) placePool(p *pool) {
	usable := o.usableRunners(p)
	if len(usable) == 0 {
		return
	}
	var tried shortages
	pass := &pass{pool: p, usable: usable}
	steps := stepsThatMayFit(p.queue, usable)
	order := o.rank(steps)
	for next, ok := order.Next(); ok; next, ok = order.Next() {
		st := steps[next.Index]
		if tried.covers(st) {
			continue
		}
		if !o.placeStep(st, pass) {
			tried.add(st)
		}
		if !st.hasWaiting() {
			st.queued = false
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(st *step) bool { return !st.queued })
}

// usableRunners returns the usable runners of a pool that have room for the task of
// some waiting step.
func (o *ownership) usableRunners(p *pool) []*runner {
	least := leastNeeds(p.queue)
	var out []*runner
	for _, r := range p.runners {
		if r.free().Fits(least) && o.usable(r) {
			out = append(out, r)
		}
	}
	return out
}

// rank returns the order in which the tasks of steps are placed.
func (o *ownership) rank(steps []*step) *shares.Order {
	entries := make([]shares.Entry, 0, len(steps))
	for i, st := range steps {
		j := st.occ.job
		w := admission.Waiting{Class: o.class(st), Priority: j.priority, Started: j.started, LatestStart: st.occ.due().Add(-st.criticalPath)}
		if j.tenant != "" && (w.Class == admission.ClassOnTime || w.Class == admission.ClassLate) {
			w.Remaining = st.criticalPath
		}
		if j.beyond {
			w.Class = w.Class.Beyond()
		}
		entries = append(entries, shares.Entry{Waiting: w, Account: j.account, Index: i})
	}
	return shares.NewOrder(o.now(), o.totalCapacity(), entries)
}

// due returns the deadline of an occurrence.
func (occ *occurrence) due() time.Time {
	j := occ.job
	return j.deadline.Add(j.scheduledAt(occ.number).Sub(j.accepted))
}

// class returns the value class of a step if it were started now.
func (o *ownership) class(st *step) admission.ValueClass {
	if st.spec.LongRunning {
		return admission.ClassLongRunning
	}
	end := o.now().Add(st.criticalPath)
	j := st.occ.job
	shift := st.occ.due().Sub(j.deadline)
	var margin time.Duration
	if j.tenant != "" {
		margin = admission.Margin(st.criticalPath)
	}
	switch {
	case !end.Add(margin).After(st.occ.due()):
		return admission.ClassOnTime
	case !end.After(j.noValueAfter.Add(shift)):
		return admission.ClassLate
	default:
		return admission.ClassNoValue
	}
}

// placeStep places as many tasks of a step as possible. It returns false if no
// runner was found for a task.
func (o *ownership) placeStep(st *step, pass *pass) bool {
	if st.occ.job.requiresAdvice && !o.ensureAdvice(st, pass.usable) {
		return true
	}
	if st.spec.Gang {
		o.placeGang(st, pass)
		return true
	}
	var last *runner
	for _, t := range st.tasks {
		if t.phase != taskWaiting || o.awaitsResolution(t) || !o.capAllows(t, pass) {
			continue
		}
		if t.crashes.Suspected() {
			o.placeSuspect(t, pass)
			continue
		}
		r := last
		if !o.staysBest(t, r) {
			r = o.chooseRunner(st, t, pass.usable, nil)
		}
		switch {
		case r == nil && len(t.lateStarts) > 0:
			continue // others of the step may start elsewhere
		case r == nil:
			return false
		}
		o.planRun(t, r, t.attempt+1, st.advice.tickets[r.ID])
		last = nil
		if st.packs() && t.avoidRunner == "" {
			last = r
		}
	}
	return true
}

// staysBest reports whether the runner of the task before, or nil, is the best for a task too.
func (o *ownership) staysBest(t *task, r *runner) bool {
	return r != nil && t.avoidRunner == "" && t.mayStartOn(r) && !r.mayForgetEnds() && o.feasible(t.step, r, gangShare{})
}

// packs reports whether the best runner for a task of the step stays the best for
// the next one, as long as it has room: it has less room than before, and nothing
// else counts.
func (st *step) packs() bool {
	return !st.spec.LongRunning && !st.spec.BestEffort && st.spec.LatencyTarget == 0
}

// chooseRunner returns the best runner for a task, or nil. extra holds what the
// other tasks of a gang that is being placed will use.
func (o *ownership) chooseRunner(st *step, t *task, usable []*runner, extra map[*runner]gangShare) *runner {
	var best *runner
	var bestScore int64
	for _, r := range usable {
		share := extra[r]
		if !t.mayStartOn(r) || !o.feasible(st, r, share) {
			continue
		}
		score := o.score(st, t, r, share)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// gangShare is what the tasks of a gang that is being placed use of a runner.
type gangShare struct {
	used  fleet.Capacity
	tasks int
}

// feasible reports whether a task of a step may run on a runner, in addition to
// a gang's share of it.
func (o *ownership) feasible(st *step, r *runner, share gangShare) bool {
	if (r.trialJob != nil && r.trialJob != st.occ.job) || !o.endsBeforeLeaving(st, r) {
		return false
	}
	if !o.healthAllowsRun(r) || !r.free().Minus(share.used).Fits(st.spec.Reservation()) || !r.HasLabel(st.spec.Label) {
		return false
	}
	if st.occ.job.requiresAdvice && st.advice.tickets[r.ID] == "" {
		return false
	}
	return st.spec.MaxPerRunner == 0 || st.countOn(r)+share.tasks < st.spec.MaxPerRunner
}

// countOn returns the number of the step's runs on a runner.
func (st *step) countOn(r *runner) int {
	n := 0
	for _, t := range st.tasks {
		if t.run != nil && t.run.runner == r {
			n++
		}
	}
	return n
}

// Weights of a runner's score, in thousandths of a core, the unit in which free
// CPU time counts. Except for packScore, each exceeds the CPU time of a whole
// runner.
const (
	affinityScore     = 1_000_000
	avoidScore        = -10_000_000
	forgetsScore      = -20_000_000
	spreadScore       = -100_000
	packScore         = 10_000
	interferenceScore = -1_000_000
)

// score returns the score of a runner for a task; the highest score is the best.
// It prefers the fullest runner with room, because a job on few runners is affected
// by few failures, and idle instances can move to other pools. A runner in the rack
// of the step's data has precedence over that, and a runner that the task avoids
// comes last. Long-running tasks of a step are spread over a few runners with other
// long-running tasks. Best-effort and serving tasks are kept apart.
func (o *ownership) score(st *step, t *task, r *runner, share gangShare) int64 {
	score := -r.free().Minus(share.used).CPU + o.domainScore(st, r)
	if st.spec.Affinity != "" && st.spec.Affinity == r.Rack {
		score += affinityScore
	}
	if t.avoidRunner == r.ID {
		score += avoidScore
	}
	if !st.spec.LongRunning && r.mayForgetEnds() {
		score += forgetsScore
	}
	if st.spec.LongRunning {
		score += o.longRunningScore(st, r)
	}
	if st.spec.BestEffort {
		score += int64(r.counts.serving) * interferenceScore
	}
	if st.spec.LatencyTarget > 0 {
		score += int64(r.counts.bestEffort) * interferenceScore
	}
	return score
}

// maxStepTasksPerRunner is the largest number of long-running tasks of one step
// that share a runner by preference.
const maxStepTasksPerRunner = 2

// longRunningScore packs long-running tasks on few runners, with at most
// maxStepTasksPerRunner tasks of a step on one runner if possible.
func (o *ownership) longRunningScore(st *step, r *runner) int64 {
	own := st.countOn(r)
	if own >= maxStepTasksPerRunner {
		return int64(own) * spreadScore
	}
	return int64(r.counts.longRunning) * packScore
}

// placeGang plans runs of all tasks of a gang, or of none. All runs have the same
// attempt number and start from the same checkpoint.
func (o *ownership) placeGang(st *step, pass *pass) {
	suspected := false
	for _, t := range st.tasks {
		if t.phase != taskWaiting || o.awaitsResolution(t) {
			return
		}
		suspected = suspected || t.crashes.Suspected()
	}
	if !o.capAllowsGang(st, pass) {
		return
	}
	if suspected {
		o.placeSuspectedGang(st, pass)
		return
	}
	if plan := o.planGangIn(st, pass.usable); plan != nil {
		o.startGang(st, plan)
	}
}

// planGangIn returns a plan for a gang on the first of its groups of runners that
// allows one, or nil.
func (o *ownership) planGangIn(st *step, usable []*runner) []*runner {
	for _, group := range o.gangGroups(st, usable) {
		if plan := o.planGang(st, group); plan != nil {
			return plan
		}
	}
	return nil
}

// gangGroups returns the sets of runners to try for a gang, in order. For a gang
// with SameRack, they are the racks, followed by all runners only if the step can
// no longer be on time.
func (o *ownership) gangGroups(st *step, usable []*runner) [][]*runner {
	var groups [][]*runner
	if st.spec.SameRack {
		byRack := make(map[fleet.Rack][]*runner)
		var racks []fleet.Rack
		for _, r := range usable {
			if byRack[r.Rack] == nil {
				racks = append(racks, r.Rack)
			}
			byRack[r.Rack] = append(byRack[r.Rack], r)
		}
		for _, rack := range racks {
			groups = append(groups, byRack[rack])
		}
		if o.class(st) == admission.ClassOnTime {
			return groups
		}
	}
	return append(groups, usable)
}

// planGang returns a runner for each task of a gang, or nil if a task has none.
func (o *ownership) planGang(st *step, usable []*runner) []*runner {
	extra := make(map[*runner]gangShare)
	plan := make([]*runner, 0, len(st.tasks))
	for _, t := range st.tasks {
		r := o.chooseRunner(st, t, usable, extra)
		if r == nil {
			return nil
		}
		share := extra[r]
		share.used, share.tasks = share.used.Plus(st.spec.Reservation()), share.tasks+1
		extra[r] = share
		plan = append(plan, r)
	}
	return plan
}

// startGang plans the runs of a gang on the given runners.
func (o *ownership) startGang(st *step, plan []*runner) {
	var attempt int64
	checkpoint := ""
	for _, t := range st.tasks {
		attempt = max(attempt, t.attempt+1)
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		o.planRun(t, plan[i], attempt, st.advice.tickets[plan[i].ID])
	}
}

package jobs

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// valueClass says what a step can still earn.
type valueClass uint8

const (
	classLongRunning valueClass = iota
	classOnTime
	classLate
	classNoValue
)

// ranked is a step with what decides its turn.
type ranked struct {
	step  *step
	class valueClass
	// latestStart is when the step has to start for its job to be on time.
	latestStart time.Time
}

const (
	// longQueueSteps is the number of waiting steps from which a pool is placed at
	// most once in placePause: ranking them costs a microsecond each.
	longQueueSteps = 50
	// minPlaceInterval is short beside a task's run time, and long beside the time
	// between two ends at a busy pool.
	minPlaceInterval = 20 * time.Millisecond
)

// place starts waiting tasks where there is room for them.
func (o *ownership) place() {
	if o.phase != phaseActive || !o.s.tenure.Valid(o.now()) || o.storeDown() {
		return
	}
	for _, name := range o.poolNames() {
		p := o.pools[name]
		if !p.dirty || (len(p.queue) > longQueueSteps && o.now().Sub(p.placedAt) < minPlaceInterval) {
			continue
		}
		p.dirty, p.placedAt = false, o.now()
		if len(p.queue) > 0 {
			o.placePool(p)
		}
	}
}

func (o *ownership) poolNames() []fleet.ServiceName {
	names := make([]fleet.ServiceName, 0, len(o.pools))
	for name := range o.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (o *ownership) placePool(p *pool) {
	usable := o.usableRunners(p.name)
	if len(usable) == 0 {
		return
	}
	var tried shortages
	for _, k := range o.rank(stepsThatMayFit(p.queue, usable)) {
		if tried.covers(k.step) {
			continue
		}
		if !o.placeStep(k.step, usable) {
			tried.add(k.step)
		}
		if !k.step.hasWaiting() {
			p.remove(k.step)
			k.step.queued = false
		}
	}
}

func (o *ownership) usableRunners(name fleet.ServiceName) []*runner {
	var out []*runner
	for _, r := range o.sortedRunners {
		if r.Service == name && o.usable(r) {
			out = append(out, r)
		}
	}
	return out
}

// rank orders steps by what they can still earn, then priority, then whether
// their job has begun, then urgency.
func (o *ownership) rank(queue []*step) []ranked {
	out := make([]ranked, 0, len(queue))
	for _, st := range queue {
		out = append(out, ranked{step: st, class: o.class(st), latestStart: st.occ.due().Add(-st.criticalPath)})
	}
	slices.SortStableFunc(out, func(a, b ranked) int {
		ja, jb := a.step.occ.job, b.step.occ.job
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			cmp.Compare(ja.priority, jb.priority),
			compareBool(jb.started, ja.started),
			a.latestStart.Compare(b.latestStart),
		)
	})
	return out
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// due returns when an occurrence should have ended.
func (occ *occurrence) due() time.Time {
	j := occ.job
	return j.deadline.Add(j.scheduledAt(occ.number).Sub(j.accepted))
}

func (o *ownership) class(st *step) valueClass {
	if st.spec.LongRunning {
		return classLongRunning
	}
	end := o.now().Add(st.criticalPath)
	j := st.occ.job
	shift := st.occ.due().Sub(j.deadline)
	switch {
	case !end.After(st.occ.due()):
		return classOnTime
	case !end.After(j.noValueAfter.Add(shift)):
		return classLate
	default:
		return classNoValue
	}
}

// placeStep places what it can of a step. It returns false if a task found no
// runner.
func (o *ownership) placeStep(st *step, usable []*runner) bool {
	if st.occ.job.requiresAdvice && !o.ensureAdvice(st, usable) {
		return true
	}
	if st.spec.Gang {
		o.placeGang(st, usable)
		return true
	}
	for _, t := range st.tasks {
		if t.phase != taskWaiting || o.awaitsResolution(t) {
			continue
		}
		r := o.chooseRunner(st, t, usable, nil)
		if r == nil {
			return false
		}
		o.planRun(t, r, t.attempt+1, st.advice.tickets[r.ID])
	}
	return true
}

// chooseRunner returns the runner for a task, or nil. Extra holds what a gang's other
// members will take.
func (o *ownership) chooseRunner(st *step, t *task, usable []*runner, extra map[*runner]gangShare) *runner {
	var best *runner
	var bestScore int64
	for _, r := range usable {
		share := extra[r]
		if !o.feasible(st, r, share) {
			continue
		}
		score := o.score(st, t, r, share)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// gangShare is what the members of a gang take of a runner.
type gangShare struct {
	used  fleet.Capacity
	tasks int
}

func (o *ownership) feasible(st *step, r *runner, share gangShare) bool {
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

// Weights of a runner's score, in thousandths of a core, as which free
// processor time counts: more than a whole runner each.
const (
	affinityScore     = 1_000_000
	avoidScore        = -10_000_000
	spreadScore       = -100_000
	packScore         = 10_000
	interferenceScore = -1_000_000
)

// score prefers the fullest runner that has room: a job on few runners is
// touched by few troubles, and idle instances can be lent to other pools. Data
// nearby goes before that; a runner on which the task ended badly comes last.
// Lasting tasks of a step are spread over a few runners with other lasting
// tasks, and filling tasks keep away from serving ones.
func (o *ownership) score(st *step, t *task, r *runner, share gangShare) int64 {
	score := -r.free().Minus(share.used).CPU
	if st.spec.Affinity != "" && st.spec.Affinity == r.Rack {
		score += affinityScore
	}
	if t.avoidRunner == r.ID {
		score += avoidScore
	}
	if st.spec.LongRunning {
		score += o.longRunningScore(st, r)
	}
	if st.spec.BestEffort {
		score += int64(r.count(isServing)) * interferenceScore
	}
	if st.spec.LatencyTarget > 0 {
		score += int64(r.count(isBestEffort)) * interferenceScore
	}
	return score
}

// maxStepTasksPerRunner is the number of a step's lasting tasks that share a runner without
// need.
const maxStepTasksPerRunner = 2

// longRunningScore gathers lasting tasks on few runners, but no more than two of a
// step on one.
func (o *ownership) longRunningScore(st *step, r *runner) int64 {
	own := st.countOn(r)
	if own >= maxStepTasksPerRunner {
		return int64(own) * spreadScore
	}
	return int64(r.count(isLongRunning)) * packScore
}

func isLongRunning(s *fleet.Step) bool { return s.LongRunning }
func isServing(s *fleet.Step) bool     { return s.LatencyTarget > 0 }
func isBestEffort(s *fleet.Step) bool  { return s.BestEffort }

func (r *runner) count(is func(*fleet.Step) bool) int {
	n := 0
	for _, run := range r.runs {
		if is(run.task.step.spec) {
			n++
		}
	}
	return n
}

// placeGang starts all tasks of a gang, or none. All carry one attempt number
// and one saved value.
func (o *ownership) placeGang(st *step, usable []*runner) {
	for _, t := range st.tasks {
		if t.phase != taskWaiting || o.awaitsResolution(t) {
			return
		}
	}
	for _, group := range o.gangGroups(st, usable) {
		if plan := o.planGang(st, group); plan != nil {
			o.startGang(st, plan)
			return
		}
	}
}

// gangGroups returns the sets of runners to try for a gang: for one that is
// slow over several racks, each rack first.
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
		if o.class(st) == classOnTime {
			return groups
		}
	}
	return append(groups, usable)
}

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

func (o *ownership) startGang(st *step, plan []*runner) {
	var attempt int64
	saved := ""
	for _, t := range st.tasks {
		attempt = max(attempt, t.attempt+1)
		saved = max(saved, t.checkpoint)
	}
	for i, t := range st.tasks {
		t.checkpoint = saved
		o.planRun(t, plan[i], attempt, st.advice.tickets[plan[i].ID])
	}
}

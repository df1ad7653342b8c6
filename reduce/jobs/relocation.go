package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// relocationInterval is the time between two plans of a pool. Room in a pool changes
	// with each run, but a long-running task is noticed as away only after seconds.
	relocationInterval = 100 * time.Millisecond
	// maxVacatingShare is the part of a pool's runners, as a divisor, that are vacated at
	// once. The others take the work that arrives meanwhile: a vacated runner takes none, and
	// its tasks may run on for long.
	maxVacatingShare = 2
	// keepRoomTime is how long a pool keeps room for long-running tasks after one of its
	// runners was to be vacated. It covers the time of one maintenance.
	keepRoomTime = 3 * time.Second
)

// relocation plans where the long-running tasks of a pool run that are waiting or have to
// leave their runners. A task leaves only once there is room for it, beside all others that
// were to leave before.
type relocation struct {
	at time.Time
	// shares is the room that the planned tasks take on each runner, and tasks their
	// number for each step and runner.
	shares map[*runner]fleet.Capacity
	tasks  map[stepOnRunner]int
	// placed holds the runs on leaving runners for whose tasks there is room, and arriving
	// those of them that are to go to each runner.
	placed   map[*run]bool
	arriving map[*runner][]*run
	// awaited holds the runners to which waiting tasks are to go.
	awaited map[*runner]bool
	// short is set if there is no room for a task that waits.
	short bool
	// usable lists the runners that take tasks, and vacating and listed are numbers of
	// runners.
	usable           []*runner
	vacating, listed int
}

type stepOnRunner struct {
	step   *step
	runner *runner
}

// relocationOf returns the plan of a pool, which is made anew after relocationInterval.
func (o *ownership) relocationOf(p *pool) *relocation {
	if p.relocation == nil || o.now().Sub(p.relocation.at) >= relocationInterval {
		p.relocation = o.planRelocation(p)
	}
	return p.relocation
}

func (o *ownership) planRelocation(p *pool) *relocation {
	plan := &relocation{
		at: o.now(), shares: make(map[*runner]fleet.Capacity), tasks: make(map[stepOnRunner]int), placed: make(map[*run]bool),
		arriving: make(map[*runner][]*run), awaited: make(map[*runner]bool),
	}
	var leaving []*runner
	held := &pass{pool: p}
	for _, r := range p.runners {
		if o.usable(r) {
			plan.usable = append(plan.usable, r)
		}
		if r.listed {
			plan.listed++
		}
		if r.vacating {
			plan.vacating++
		}
		if r.Draining || r.vacating {
			leaving = append(leaving, r)
		}
	}
	for _, st := range p.queue {
		if !st.spec.LongRunning {
			continue
		}
		for _, t := range st.tasks {
			if t.phase != taskWaiting || !o.capAllows(t, held) {
				continue // it does not wait for room
			}
			if r := o.placeIn(plan, st, nil); r != nil {
				plan.awaited[r] = true
			} else {
				plan.short = true
			}
		}
	}
	for _, r := range leaving {
		o.relocateRuns(plan, r)
	}
	return plan
}

// relocateRuns plans room for the long-running tasks on a runner elsewhere.
func (o *ownership) relocateRuns(plan *relocation, r *runner) {
	if r.counts.longRunning == 0 {
		return
	}
	for _, run := range r.runsWhere(func(run *run) bool { return run.task.step.spec.LongRunning }) {
		if !run.task.job().state.Final() {
			o.relocate(plan, run)
		}
	}
}

// relocate plans room for the task of a run elsewhere, if there is any.
func (o *ownership) relocate(plan *relocation, run *run) {
	if r := o.placeIn(plan, run.task.step, run.runner); r != nil {
		plan.placed[run] = true
		plan.arriving[r] = append(plan.arriving[r], run)
	}
}

// vacate takes a runner out of the plan. The tasks that were to go there go elsewhere, or stay
// while there is no room.
func (o *ownership) vacate(plan *relocation, r *runner) {
	plan.vacating++
	plan.usable = slices.DeleteFunc(plan.usable, func(other *runner) bool { return other == r })
	arriving := plan.arriving[r]
	delete(plan.arriving, r)
	for _, run := range arriving {
		delete(plan.placed, run)
		o.relocate(plan, run)
	}
}

// placeIn plans room for one task of a step on a runner other than the one it leaves. It
// returns that runner, or nil if none has room.
func (o *ownership) placeIn(plan *relocation, st *step, leaves *runner) *runner {
	for _, r := range plan.usable {
		key := stepOnRunner{step: st, runner: r}
		if r == leaves || !o.feasible(st, r, gangShare{used: plan.shares[r], tasks: plan.tasks[key]}) {
			continue
		}
		plan.shares[r] = plan.shares[r].Plus(st.spec.Reservation())
		plan.tasks[key]++
		return r
	}
	return nil
}

// mayVacate reports whether a pool can spare a runner: not too many are being vacated, and
// there is room for the long-running tasks that wait, elsewhere than on this runner. Its own
// stay until there is room for them.
func (o *ownership) mayVacate(r *runner) bool {
	if len(r.runs) == 0 {
		return true
	}
	p := o.pool(r.Service)
	if r.counts.longRunning > 0 {
		p.relocatesUntil = o.now().Add(keepRoomTime)
	}
	plan := o.relocationOf(p)
	if plan.awaited[r] || plan.short || (plan.vacating+1)*maxVacatingShare > plan.listed+1 {
		return false
	}
	o.vacate(plan, r)
	o.relocateRuns(plan, r)
	return true
}

// instancesToRelocate returns the number of instances with which a pool can vacate a runner
// whose long-running tasks may not share one with others of their step; zero while it has none
// to vacate.
func (o *ownership) instancesToRelocate(p *pool) int {
	if !o.now().Before(p.relocatesUntil) {
		return 0
	}
	n := 1
	for _, r := range p.runners {
		if r.listed && (r.counts.longRunning > 0 || r.vacating) {
			n++
		}
	}
	return n
}

// returnRunner lets a runner that is being vacated take tasks again if long-running tasks
// wait for which its pool has no room, and reports whether it does.
func (o *ownership) returnRunner(r *runner) bool {
	p := o.pool(r.Service)
	if len(r.runs) == 0 || !o.relocationOf(p).short {
		return false
	}
	r.vacating, p.dirty, p.relocation = false, true, nil
	o.touch(r)
	return true
}

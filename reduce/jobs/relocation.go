package jobs

import (
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
	// placed holds the runs on leaving runners for whose tasks there is room.
	placed map[*run]bool
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
	}
	var leaving []*runner
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
			if t.phase == taskWaiting && !o.placeIn(plan, st, nil) {
				plan.short = true
			}
		}
	}
	for _, r := range leaving {
		o.reserveRuns(plan, r)
	}
	return plan
}

// reserveRuns plans room for the long-running tasks on a runner elsewhere, and reports whether
// there is room for all.
func (o *ownership) reserveRuns(plan *relocation, r *runner) bool {
	all := true
	if r.counts.longRunning == 0 {
		return all
	}
	for _, run := range r.runsWhere(func(run *run) bool { return run.task.step.spec.LongRunning }) {
		if run.task.job().state.Final() {
			continue
		}
		if o.placeIn(plan, run.task.step, r) {
			plan.placed[run] = true
		} else {
			all = false
		}
	}
	return all
}

// placeIn plans room for one task of a step on a runner other than the one it leaves, and
// reports whether there is any.
func (o *ownership) placeIn(plan *relocation, st *step, leaves *runner) bool {
	for _, r := range plan.usable {
		key := stepOnRunner{step: st, runner: r}
		if r == leaves || !o.feasible(st, r, gangShare{used: plan.shares[r], tasks: plan.tasks[key]}) {
			continue
		}
		plan.shares[r] = plan.shares[r].Plus(st.spec.Reservation())
		plan.tasks[key]++
		return true
	}
	return false
}

// mayVacate reports whether a pool can spare a runner: not too many are being vacated, there
// is room elsewhere for its long-running tasks and for those that wait, and none is to move
// there.
func (o *ownership) mayVacate(r *runner) bool {
	if len(r.runs) == 0 {
		return true
	}
	p := o.pool(r.Service)
	if r.counts.longRunning > 0 {
		p.relocatesUntil = o.now().Add(keepRoomTime)
	}
	plan := o.relocationOf(p)
	if _, planned := plan.shares[r]; planned || plan.short || (plan.vacating+1)*maxVacatingShare > plan.listed+1 || !o.reserveRuns(plan, r) {
		return false
	}
	plan.vacating++
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

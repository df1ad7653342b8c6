package jobs

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// planPause is the pause between two plans.
	planPause = 150 * time.Millisecond
	// demandWindow is the time over which arrivals are averaged: a burst lasts
	// some seconds, and a move takes one and a half of them.
	demandWindow = time.Second
	// backlogTime is the time in which waiting work should have begun.
	backlogTime = 1500 * time.Millisecond
	// fillShare of an instance's processor time or memory is planned to be used;
	// the rest is lost between tasks of different sizes.
	fillShare = 0.85
	// reserveInstances stay in each pool beyond its need, for the first second
	// of a burst.
	reserveInstances = 1
	// idleBeforeMove keeps an instance that has just run something in its pool.
	idleBeforeMove = 300 * time.Millisecond
	// idleBeforePark is how long an instance has to be idle before it is turned
	// off. Its price there and back equals that of two seconds in a pool, and a
	// pool rests for about fifteen.
	idleBeforePark = 1200 * time.Millisecond
	// firstSight is how long an owner that has seen no work yet leaves idle
	// instances on: a fleet that has just started, or lost its owner, may get
	// some at any moment.
	firstSight = time.Minute
	// moveShare of all instances may move by one plan: a burst that needs all of
	// them has them within a second.
	moveShare = 0.17
)

// planner follows the demand of each pool.
type planner struct {
	arrivals map[fleet.ServiceName]*arrivals
	// seen is set once any work has arrived.
	seen bool
}

// arrivals is the work that arrived lately, in core-milliseconds.
type arrivals struct {
	level float64
	at    time.Time
}

func newPlanner() planner { return planner{arrivals: make(map[fleet.ServiceName]*arrivals)} }

// observeArrival counts the work of a new job.
func (o *ownership) observeArrival(j *job) {
	work := 0.0
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		if !st.Lasting {
			work += float64(st.Count) * float64(st.Needs.CPU) * st.Estimate.Seconds()
		}
	}
	o.planner.seen = o.planner.seen || work > 0
	a := o.arrivalsOf(j.service)
	a.decay(o.now())
	a.level += work / demandWindow.Seconds()
}

func (o *ownership) arrivalsOf(name fleet.ServiceName) *arrivals {
	a, ok := o.planner.arrivals[name]
	if !ok {
		a = &arrivals{at: o.now()}
		o.planner.arrivals[name] = a
	}
	return a
}

func (a *arrivals) decay(now time.Time) {
	a.level *= math.Exp(-now.Sub(a.at).Seconds() / demandWindow.Seconds())
	a.at = now
}

// poolPlan is what a pool has and needs, in instances.
type poolPlan struct {
	name fleet.ServiceName
	have int
	need int
	// idle are the instances that could leave, longest idle first.
	idle []*instance
	// size is the capacity of one instance.
	size fleet.Capacity
}

func (p *poolPlan) missing() int { return p.need - p.have }

// plan moves idle instances to the pools that need them, and turns off those
// that nobody needs.
func (o *ownership) plan() {
	if o.now().Before(o.instances.nextPlan) || o.s.queues == nil {
		return
	}
	o.instances.nextPlan = o.now().Add(planPause)
	plans, spare := o.poolPlans()
	if len(plans) == 0 {
		return
	}
	moves := int(math.Ceil(moveShare * float64(len(o.instances.order))))
	slices.SortStableFunc(plans, func(a, b *poolPlan) int { return cmp.Compare(b.missing(), a.missing()) })
	for _, p := range plans {
		for p.missing() > 0 && moves > 0 {
			if !o.moveTo(p, plans, spare) {
				break
			}
			moves--
		}
	}
	o.park(plans, spare, moves)
}

// poolPlans returns the plans of the pools that run tasks, by name, and of the
// spare pool, which is nil if there is none.
func (o *ownership) poolPlans() ([]*poolPlan, *poolPlan) {
	byName := make(map[fleet.PoolName]*poolPlan)
	var plans []*poolPlan
	var spare *poolPlan
	names := make([]fleet.ServiceName, 0, len(o.s.queues.Services))
	for name := range o.s.queues.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		p := &poolPlan{name: name}
		byName[fleet.PoolName(name)] = p
		if o.s.queues.Services[name].Spare {
			spare = p
		} else {
			plans = append(plans, p)
		}
	}
	for _, i := range o.instances.order {
		if p, ok := byName[i.Pool]; ok {
			o.addInstance(p, i, p == spare)
		}
	}
	for _, p := range plans {
		p.need = o.needOf(p)
		slices.SortStableFunc(p.idle, func(a, b *instance) int { return a.idleSince.Compare(b.idleSince) })
	}
	return plans, spare
}

func (o *ownership) addInstance(p *poolPlan, i *instance, spare bool) {
	if i.pending != nil || (i.State != fleet.InstanceUp && i.State != fleet.InstanceMoving) {
		return
	}
	if i.State == fleet.InstanceMoving {
		p.have++
		return
	}
	if spare {
		p.have++
		if o.orderable(i) {
			p.idle = append(p.idle, i)
		}
		return
	}
	o.addRunning(p, i)
}

// addRunning counts an instance that is up in a pool that runs tasks.
func (o *ownership) addRunning(p *poolPlan, i *instance) {
	r := o.runnerOf(i)
	if r == nil || !r.listed || r.Draining || r.vacating {
		return
	}
	if r.Capacity.CPU > p.size.CPU {
		p.size = r.Capacity
	}
	if !o.now().Before(r.health.until) && !r.look.lost {
		p.have++
	}
	if o.runsNothing(i) && o.orderable(i) && !i.idleSince.IsZero() && o.now().Sub(i.idleSince) >= idleBeforeMove {
		p.idle = append(p.idle, i)
	}
}

// usualSize stands for an instance's capacity until one was seen.
var usualSize = fleet.Capacity{CPU: 64_000, Memory: 131_072}

// demand is what a pool is asked for: processor time in thousandths of a core,
// and memory in megabytes.
type demand struct{ cpu, memory float64 }

func (d *demand) add(need fleet.Capacity, times float64) {
	d.cpu += times * float64(need.CPU)
	d.memory += times * float64(need.Memory)
}

// instances returns how many instances of a size hold a demand.
func (d *demand) instances(size fleet.Capacity) int {
	share := d.cpu / float64(max(1, size.CPU))
	if size.Memory > 0 {
		share = max(share, d.memory/float64(size.Memory))
	}
	return int(math.Ceil(share / fillShare))
}

// needOf returns how many instances a pool needs.
func (o *ownership) needOf(p *poolPlan) int {
	size := p.size
	if size.CPU == 0 {
		size = usualSize
	}
	var running, lasting demand
	for _, r := range o.order {
		if r.Service != p.name {
			continue
		}
		for _, run := range r.runs {
			if run.task.step.spec.Lasting {
				lasting.add(run.need, 1)
			} else {
				running.add(run.need, 1)
			}
		}
	}
	a := o.arrivalsOf(p.name)
	a.decay(o.now())
	waiting := o.backlog(p.name)
	total := demand{
		cpu:    max(a.level, running.cpu) + lasting.cpu + waiting.cpu,
		memory: running.memory + lasting.memory + waiting.memory,
	}
	return total.instances(size) + reserveInstances
}

// backlog returns what would begin the waiting work in time.
func (o *ownership) backlog(name fleet.ServiceName) demand {
	var d demand
	p, ok := o.pools[name]
	if !ok {
		return d
	}
	for _, st := range p.queue {
		waiting := 0
		for _, t := range st.tasks {
			if t.phase == taskWaiting {
				waiting++
			}
		}
		share := 1.0
		if !st.spec.Lasting {
			share = min(1, st.estimate.Seconds()/backlogTime.Seconds())
		}
		d.add(st.spec.Occupies(), float64(waiting)*share)
	}
	return d
}

// moveTo moves one instance to a pool, from the spare ones or from the pool with
// most to give. It returns false when none can be had.
func (o *ownership) moveTo(p *poolPlan, plans []*poolPlan, spare *poolPlan) bool {
	donors := slices.Clone(plans)
	slices.SortStableFunc(donors, func(a, b *poolPlan) int { return cmp.Compare(a.missing(), b.missing()) })
	if spare != nil {
		donors = append([]*poolPlan{spare}, donors...)
	}
	for _, d := range donors {
		if d == p || (d != spare && d.missing() >= 0) {
			continue
		}
		if i := takeFitting(d, fleet.PoolName(p.name)); i != nil {
			d.have--
			p.have++
			return o.orderInstance(i, effect.InstanceMove, fleet.PoolName(p.name), 0)
		}
	}
	return false
}

// takeFitting takes the first instance of a plan that may join a pool.
func takeFitting(d *poolPlan, pool fleet.PoolName) *instance {
	for n, i := range d.idle {
		if !slices.Contains(i.unfit, pool) {
			d.idle = slices.Delete(d.idle, n, n+1)
			return i
		}
	}
	return nil
}

// park turns off instances that have been idle for long.
func (o *ownership) park(plans []*poolPlan, spare *poolPlan, moves int) {
	if spare == nil || (!o.planner.seen && o.now().Sub(o.since) < firstSight) {
		return
	}
	for _, p := range plans {
		for p.missing() < 0 && moves > 0 {
			i := takeFitting(p, fleet.PoolName(spare.name))
			if i == nil || o.now().Sub(i.idleSince) < idleBeforePark {
				break
			}
			if !o.orderInstance(i, effect.InstanceMove, fleet.PoolName(spare.name), 0) {
				return
			}
			p.have--
			moves--
		}
	}
}

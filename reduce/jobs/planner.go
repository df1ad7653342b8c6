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
	// planInterval is the pause between two plans.
	planInterval = 150 * time.Millisecond
	// idleBeforeMove keeps an instance that has just run something in its pool.
	idleBeforeMove = 300 * time.Millisecond
	// idleBeforeTurnOff is how long an instance has to be idle before it is turned
	// off. Its price there and back equals that of two seconds in a pool, and a
	// pool rests for about fifteen.
	idleBeforeTurnOff = 1200 * time.Millisecond
	// startupGrace is how long an owner that has seen no work yet leaves idle
	// instances on: a fleet that has just started, or lost its owner, may get
	// some at any moment.
	startupGrace = time.Minute
	// maxMoveShare of all instances may move by one plan: a burst that needs all of
	// them has them within a second.
	maxMoveShare = 0.17
)

// planner follows the demand of each pool.
type planner struct {
	arrivals map[fleet.ServiceName]*arrivals
	// hadWork is set once any work has arrived.
	hadWork bool
}

func newPlanner() planner { return planner{arrivals: make(map[fleet.ServiceName]*arrivals)} }

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

// rebalancePools moves idle instances to the pools that need them, and turns off those
// that nobody needs.
func (o *ownership) rebalancePools() {
	if o.now().Before(o.instances.nextPlanAt) || o.s.queues == nil {
		return
	}
	o.instances.nextPlanAt = o.now().Add(planInterval)
	plans, spare := o.poolPlans()
	if len(plans) == 0 {
		return
	}
	moves := int(math.Ceil(maxMoveShare * float64(len(o.instances.sorted))))
	slices.SortStableFunc(plans, func(a, b *poolPlan) int { return cmp.Compare(b.missing(), a.missing()) })
	for _, p := range plans {
		for p.missing() > 0 && moves > 0 {
			if !o.moveTo(p, plans, spare) {
				break
			}
			moves--
		}
	}
	o.turnOffIdle(plans, spare, moves)
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
	for _, i := range o.instances.sorted {
		if p, ok := byName[i.Pool]; ok {
			o.countInstance(p, i, p == spare)
		}
	}
	for _, p := range plans {
		p.need = o.needOf(p)
		slices.SortStableFunc(p.idle, func(a, b *instance) int { return a.idleSince.Compare(b.idleSince) })
	}
	return plans, spare
}

func (o *ownership) countInstance(p *poolPlan, i *instance, spare bool) {
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
	o.countRunningInstance(p, i)
}

// countRunningInstance counts an instance that is up in a pool that runs tasks.
func (o *ownership) countRunningInstance(p *poolPlan, i *instance) {
	r := o.runnerOf(i)
	if r == nil || !r.listed || r.Draining || r.vacating {
		return
	}
	if r.Capacity.CPU > p.size.CPU {
		p.size = r.Capacity
	}
	if !o.now().Before(r.health.quarantinedUntil) && !r.poll.unreachable {
		p.have++
	}
	if o.confirmedIdle(i) && o.orderable(i) && !i.idleSince.IsZero() && o.now().Sub(i.idleSince) >= idleBeforeMove {
		p.idle = append(p.idle, i)
	}
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
		if i := takeIdle(d, fleet.PoolName(p.name)); i != nil {
			d.have--
			p.have++
			return o.orderInstance(i, effect.InstanceMove, fleet.PoolName(p.name), 0)
		}
	}
	return false
}

// takeIdle takes the first instance of a plan that may join a pool.
func takeIdle(d *poolPlan, pool fleet.PoolName) *instance {
	for n, i := range d.idle {
		if !slices.Contains(i.rejectedPools, pool) {
			d.idle = slices.Delete(d.idle, n, n+1)
			return i
		}
	}
	return nil
}

// turnOffIdle turns off instances that have been idle for long.
func (o *ownership) turnOffIdle(plans []*poolPlan, spare *poolPlan, moves int) {
	if spare == nil || (!o.planner.hadWork && o.now().Sub(o.startedAt) < startupGrace) {
		return
	}
	for _, p := range plans {
		for p.missing() < 0 && moves > 0 {
			i := takeIdle(p, fleet.PoolName(spare.name))
			if i == nil || o.now().Sub(i.idleSince) < idleBeforeTurnOff {
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

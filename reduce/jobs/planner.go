package jobs

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/allocation"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

const (
	// planInterval is the time between two plans.
	planInterval = 150 * time.Millisecond
	// idleBeforeMove is how long an instance has to be idle before it is moved to
	// another pool, so that one that has just run tasks stays.
	idleBeforeMove = 300 * time.Millisecond
	// idleBeforeTurnOff is how long an instance has to be idle before it is turned
	// off. Turning an instance off and on again costs as much as two seconds in a
	// pool, and a pool is usually idle for about 15 s.
	idleBeforeTurnOff = 1200 * time.Millisecond
	// minQuiet is the least expected time without a turn for which an instance is turned
	// off as soon as it may be moved. Its turning off and on costs as much as two seconds,
	// and it is ordered some 2 to 4 s before the turn.
	minQuiet = 6 * time.Second
	// startupGrace is how long an owner to which no work has arrived yet leaves
	// idle instances on. Work may arrive at any moment at a fleet that has just
	// started, or whose owner has failed.
	startupGrace = time.Minute
	// maxMoveShare is the largest share of all instances that one plan moves. A
	// burst that needs all instances gets them within a second.
	maxMoveShare = 0.17
	// turnOffReserve is the share of the orders allowed at once that turning off leaves
	// to moves. Load pattern: a queue's turn begins when the one before has just ended. In
	// replays with 60 runners a pool, orders that turned off the instances of the last
	// pool left none for a second.
	turnOffReserve = 0.5
)

// planner is the state from which the demand of each pool is estimated.
type planner struct {
	arrivals map[fleet.ServiceName]*arrivals
	// workSince is when the first job with work arrived; zero before.
	workSince time.Time
	// largest is the most of each resource that any runner or instance has; zero while none is known.
	largest fleet.Capacity
}

func newPlanner() planner { return planner{arrivals: make(map[fleet.ServiceName]*arrivals)} }

// poolPlan is the supply and the demand of a pool.
type poolPlan struct {
	name fleet.ServiceName
	// have and need are numbers of instances.
	have int
	need int
	// ranked is the need by its ranks, before it was limited to the pool's share.
	ranked allocation.Need
	// idle lists the instances that may leave the pool, longest idle first.
	idle []*instance
	// size is the capacity of one instance.
	size fleet.Capacity
	// quietFor is how long the pool is not expected to need instances for a turn; zero
	// without a forecast.
	quietFor time.Duration
}

func (p *poolPlan) missing() int { return p.need - p.have }

// rebalancePools moves idle instances to the pools that need them, and turns off
// those that no pool needs.
func (o *ownership) rebalancePools() {
	interval := admission.Interval(planInterval, o.s.lag.At(o.now()), admission.PlanningWeight)
	if o.now().Sub(o.instances.plannedAt) < interval || o.s.queues == nil {
		return
	}
	o.instances.plannedAt = o.now()
	o.planner.largest = o.largestCapacity()
	plans, spare := o.poolPlans()
	if len(plans) == 0 {
		return
	}
	limitNeeds(plans, spare)
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
	o.releaseSurplus(plans)
	o.turnOffIdle(plans, spare, moves)
}

// largestCapacity returns the most of each resource that any runner or instance has.
func (o *ownership) largestCapacity() fleet.Capacity {
	var largest fleet.Capacity
	for _, r := range o.sortedRunners {
		largest = largest.Max(r.Capacity)
	}
	for _, i := range o.instances.sorted {
		largest = largest.Max(i.Capacity)
	}
	return largest
}

// mayFit reports whether some runner or instance is large enough for a task of a step. More instances
// do not help a step that none is large enough for.
func (p *planner) mayFit(st *fleet.Step) bool {
	return p.largest == (fleet.Capacity{}) || p.largest.Fits(st.Reservation())
}

// poolPlans returns the plans of the pools that run tasks, sorted by name, and the
// plan of the spare pool, which is nil if there is none.
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
		p.ranked = o.needOf(p)
		p.need = p.ranked.Total()
		slices.SortStableFunc(p.idle, func(a, b *instance) int { return a.idleSince.Compare(b.idleSince) })
	}
	return plans, spare
}

// countInstance adds an instance to the plan of its pool.
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

// countRunningInstance adds an instance that is up to the plan of a pool that runs
// tasks.
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
	if o.confirmedIdle(i) && o.orderable(i) && !i.idleSince.IsZero() && (o.released(r) || o.now().Sub(i.idleSince) >= idleBeforeMove) {
		p.idle = append(p.idle, i)
	}
}

// moveTo moves one instance to a pool: one that would be turned off, or else one of the
// spare pool, or else one of the pool with the largest surplus. It returns false when no
// instance can be moved. Load pattern: a pool grows while the one that had its turn before
// is turned off; a direct move is one order instead of two.
func (o *ownership) moveTo(p *poolPlan, plans []*poolPlan, spare *poolPlan) bool {
	donors := slices.Clone(plans)
	slices.SortStableFunc(donors, func(a, b *poolPlan) int { return cmp.Compare(a.missing(), b.missing()) })
	donors = slices.DeleteFunc(donors, func(d *poolPlan) bool { return d == p || d.missing() >= 0 })
	if spare != nil && o.mayTurnOff() {
		for _, d := range donors {
			if i := takeIdle(d, fleet.PoolName(p.name), d.mayBeTurnedOff(o)); i != nil {
				return o.moveBetween(i, d, p)
			}
		}
	}
	if spare != nil {
		donors = append([]*poolPlan{spare}, donors...)
	}
	for _, d := range donors {
		if i := takeIdle(d, fleet.PoolName(p.name), nil); i != nil {
			return o.moveBetween(i, d, p)
		}
	}
	return false
}

// moveBetween moves an instance from one pool to another.
func (o *ownership) moveBetween(i *instance, from, to *poolPlan) bool {
	from.have--
	to.have++
	return o.orderInstance(i, effect.InstanceMove, fleet.PoolName(to.name), 0)
}

// takeIdle removes the first idle instance that may join a pool, and of which allowed holds
// unless it is nil, from a plan and returns it. It returns nil when there is none.
func takeIdle(d *poolPlan, pool fleet.PoolName, allowed func(*instance) bool) *instance {
	for n, i := range d.idle {
		if !slices.Contains(i.rejectedPools, pool) && (allowed == nil || allowed(i)) {
			d.idle = slices.Delete(d.idle, n, n+1)
			return i
		}
	}
	return nil
}

// turnOffIdle moves surplus instances that have been idle for idleBeforeTurnOff to
// the spare pool.
func (o *ownership) turnOffIdle(plans []*poolPlan, spare *poolPlan, moves int) {
	if spare == nil || !o.mayTurnOff() {
		return
	}
	reserve := turnOffReserve * o.s.cfg.Bounds.InstanceOrdersPerSecond
	for _, p := range plans {
		for p.missing() < 0 && moves > 0 && o.instances.tokens > reserve {
			i := takeIdle(p, fleet.PoolName(spare.name), p.mayBeTurnedOff(o))
			if i == nil {
				break
			}
			if !o.moveBetween(i, p, spare) {
				return
			}
			moves--
		}
	}
}

// mayTurnOff reports whether idle instances may be turned off by now.
func (o *ownership) mayTurnOff() bool {
	return !o.planner.workSince.IsZero() || o.now().Sub(o.startedAt) >= startupGrace
}

// mayBeTurnedOff returns a function that reports whether an instance of the pool has been idle
// for idleBeforeTurnOff since work arrives. Load pattern: a fleet is idle, and the first work
// is the first of a burst; instances that were turned off by the time before the burst were
// missing in it. Instances of a pool that is expected to be quiet for minQuiet need not wait
// any longer than idleBeforeMove.
func (p *poolPlan) mayBeTurnedOff(o *ownership) func(*instance) bool {
	idle := idleBeforeTurnOff
	if p.quietFor >= minQuiet {
		idle = idleBeforeMove
	}
	return func(i *instance) bool {
		since := i.idleSince
		if since.Before(o.planner.workSince) {
			since = o.planner.workSince
		}
		return o.now().Sub(since) >= idle
	}
}

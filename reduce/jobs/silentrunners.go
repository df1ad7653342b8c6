package jobs

import (
	"math"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/endings"
)

// maxListAge is the age of the list of instances above which no runner is ended: the platform may
// not answer an order either, and the instance would be kept vacated until it does.
const maxListAge = 2500 * time.Millisecond

// endHoldingRunners moves the instances of silent runners for which tasks wait: a move ends
// whatever any incarnation may run there, and no process has the runner's id afterwards.
func (o *ownership) endHoldingRunners() {
	in := &o.instances
	if o.s.queues == nil || !o.formerLeaseExpired() {
		return
	}
	limit := int(math.Ceil(maxMoveShare * float64(len(in.sorted))))
	for _, i := range in.sorted {
		if i.ending != nil {
			limit--
		}
	}
	var silent []endings.Silent
	for _, r := range o.sortedRunners {
		if o.unansweredFor(r) >= endings.OrderSilence && r.holdsTasks() {
			silent = append(silent, o.silentRunner(r))
		}
	}
	reserve := turnOffReserve * o.s.cfg.Bounds.InstanceOrdersPerSecond
	for _, s := range endings.WorthOrder(silent, limit) {
		if in.tokens <= reserve {
			return
		}
		o.endByMove(o.runners[s.Runner], &s)
	}
}

// unansweredFor returns for how long a runner has certainly answered nothing; zero if it has
// answered the last poll. One that is not listed has no address, if a former owner called it.
func (o *ownership) unansweredFor(r *runner) time.Duration {
	switch {
	case r.poll.unreachable:
		return o.now().Sub(r.poll.unansweredSince)
	case r.Address == "" && !r.listed && o.runnersListed && !o.runnersUnreadable:
		return o.now().Sub(latest(o.startedAt, r.unlistedAt))
	default:
		return 0
	}
}

// silentRunner returns what is known of a runner that does not answer.
func (o *ownership) silentRunner(r *runner) endings.Silent {
	s := endings.Silent{
		Runner: r.ID, Silence: o.unansweredFor(r), MayRun: len(r.runs) > 0,
	}
	for _, late := range r.lateStarts {
		if late.waits() {
			s.Held++
			s.Wait = max(s.Wait, o.lateRunsUntil(late).Sub(o.now()))
		}
		s.Interrupts = s.Interrupts || !o.mayInterrupt(late.task)
	}
	i, ok := o.instances.byID[r.Instance]
	s.Orderable = ok && i.mayHave(r) && i.listedAt.After(r.poll.silentSince) && o.now().Sub(i.listedAt) <= maxListAge && o.orderable(i) && o.endingPool(i, r) != ""
	return s
}

// mayHave reports whether the list has a runner, or none, on an instance of its pool.
func (i *instance) mayHave(r *runner) bool {
	return i.Runner == r.ID || (i.Runner == "" && i.Pool == fleet.PoolName(r.Service))
}

// endingPool returns the pool to which an instance is moved to end its runner: one of which the
// runner is not, the spare pool first; empty if there is none. Where it is needed, it is
// moved again.
func (o *ownership) endingPool(i *instance, r *runner) fleet.PoolName {
	var pools []fleet.PoolName
	for name, s := range o.s.queues.Services {
		pool := fleet.PoolName(name)
		switch {
		case pool == i.Pool || name == r.Service || slices.Contains(i.rejectedPools, pool):
		case s.Spare:
			return pool
		default:
			pools = append(pools, pool)
		}
	}
	if len(pools) == 0 {
		return ""
	}
	return slices.Min(pools)
}

// endByMove orders the move of the instance of a silent runner.
func (o *ownership) endByMove(r *runner, s *endings.Silent) {
	i := o.instances.byID[r.Instance]
	pool := o.endingPool(i, r)
	i.ending = r
	if !o.orderInstance(i, effect.InstanceMove, pool, 0) {
		i.ending = nil
		return
	}
	o.s.logDecision(effect.Decision{
		Name: "silent runner ended", Warning: true, Runner: r.ID, Incarnation: r.Incarnation, Task: string(i.ID), Queue: fleet.QueueName(pool),
		Reason: "tasks wait for its end", Count: s.Held, Ran: s.Silence, Age: s.Wait, Epoch: o.epoch,
	})
	o.s.count("silent_runners_ended", "")
}

// orderedRunner returns the runner of an instance that an order about it concerns, or nil. One
// that is to be ended may be listed no longer.
func (o *ownership) orderedRunner(i *instance) *runner {
	if i.ending != nil {
		return i.ending
	}
	return o.runnerOf(i)
}

// mayBeOrderedStill reports whether an order that is not sent yet may be: nothing runs on
// the instance, and a runner that it is to end still holds tasks and has not answered.
func (o *ownership) mayBeOrderedStill(i *instance) bool {
	r := i.ending
	if r == nil {
		return o.confirmedIdle(i)
	}
	return r.Incarnation == i.stoppedIncarnation && len(r.runs) == 0 && r.holdsTasks() && o.unansweredFor(r) > 0
}

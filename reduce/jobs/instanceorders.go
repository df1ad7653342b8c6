package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// orderable reports whether an order about an instance may be given now.
func (o *ownership) orderable(i *instance) bool {
	return i.State == fleet.InstanceUp && i.missing == 0 && i.pending == nil && !o.now().Before(i.blockedUntil) &&
		(o.formerLeaseExpired() || !o.instances.mayBeOrdered(i.ID))
}

// mayBeOrdered reports whether the previous owner may recently have given an order
// about an instance.
func (in *instances) mayBeOrdered(id fleet.InstanceID) bool {
	return in.allFormerlyOrdered || in.formerlyOrdered[id]
}

// orderInstance gives an order about an instance on which nothing is known to run. The order
// is sent once the ledger has the instance in its list of recently ordered ones. It
// returns false if the rate limit forbids the order.
func (o *ownership) orderInstance(i *instance, kind effect.InstanceOrderKind, pool fleet.PoolName, wave int64) bool {
	in := &o.instances
	if in.tokens < 1 {
		return false
	}
	in.tokens--
	i.stoppedIncarnation, i.unanswered = 0, false
	if r := o.orderedRunner(i); r != nil {
		r.vacating = true
		o.touch(r)
		i.stoppedIncarnation, i.Runner = r.Incarnation, r.ID
	}
	i.pending = &effect.OrderInstance{Epoch: o.epoch, Kind: kind, Instance: i.ID, Pool: pool, Wave: wave}
	o.markChanged(orderedChange)
	o.whenStored(deferred{instanceOrder: i})
	return true
}

// recentlyOrdered returns the instances about which this owner or an earlier one may have
// given orders, sorted. The next owner has to wait for the lease only on these, and for
// orders that are carried out late. Those of earlier owners stay whether they are listed or
// not: a list may miss an instance.
func (o *ownership) recentlyOrdered() []fleet.InstanceID {
	lease := o.s.cfg.Bounds.InstanceLease + maxConfirmationAge
	late := o.lateOrdersPossible()
	var ids []fleet.InstanceID
	for _, i := range o.instances.sorted {
		if i.pending != nil || (!i.orderedAt.IsZero() && o.now().Sub(i.orderedAt) <= lease) || (late && i.orderedAt.IsZero() && o.instances.mayBeOrdered(i.ID)) {
			ids = append(ids, i.ID)
		}
	}
	if late {
		for id := range o.instances.formerlyOrdered {
			if _, listed := o.instances.byID[id]; !listed {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// onInstanceOrderStored sends the pending order about an instance once the ledger
// lists the instance as recently ordered. It withdraws the order if the tenure is no
// longer certain, or tasks may run on the instance by now.
func (o *ownership) onInstanceOrderStored(i *instance) {
	if i.pending == nil {
		return
	}
	if !o.mayOrderInstances() || !o.mayBeOrderedStill(i) {
		o.withdrawOrder(i)
		return
	}
	o.sendInstanceOrder(i)
}

// withdrawOrder drops an order that was not sent.
func (o *ownership) withdrawOrder(i *instance) {
	order, r := i.pending, o.orderedRunner(i)
	i.pending, i.ending = nil, nil
	if r != nil {
		r.vacating = false
	}
	if w := o.wave(order.Wave); order.Kind == effect.InstanceMaintain && w != nil {
		delete(w.down, i.ID)
	}
}

// sendInstanceOrder sends the pending order about an instance.
func (o *ownership) sendInstanceOrder(i *instance) {
	i.retryAt, i.orderedAt = time.Time{}, o.now()
	e := *i.pending
	e.SendDeadline = o.now().Add(maxOrderAge)
	o.s.emit(e)
}

// retryInstanceOrders retries the pending orders that are due, within the rate
// limit. One that was refused, and is to end a runner that answers by now, is withdrawn.
func (o *ownership) retryInstanceOrders() {
	for _, i := range o.instances.sorted {
		if i.pending != nil && !i.retryAt.IsZero() && i.ending != nil && !i.unanswered && !o.mayBeOrderedStill(i) {
			o.withdrawOrder(i)
		}
		if i.pending != nil && !i.retryAt.IsZero() && !o.now().Before(i.retryAt) && o.instances.tokens >= 1 {
			o.instances.tokens--
			o.sendInstanceOrder(i)
		}
	}
}

var instanceOutcomes = map[effect.InstanceOutcome]string{
	effect.InstanceOrderDone: "done", effect.InstanceFenced: "fenced", effect.InstanceBusy: "busy",
	effect.InstanceNotInWave: "not in the wave", effect.InstanceInvalid: "invalid", effect.InstanceRefused: "refused",
	effect.InstanceUnknown: "unknown",
}

func (o *ownership) onInstanceOrdered(b event.InstanceOrdered) {
	i, ok := o.instances.byID[b.Instance]
	if !ok || i.pending == nil || i.pending.Kind != b.Kind {
		return
	}
	name := "instance moved"
	if b.Kind == effect.InstanceMaintain {
		name = "instance maintained"
	}
	o.s.logDecision(effect.Decision{
		Name: name, Runner: i.Runner, Task: string(i.ID), Queue: fleet.QueueName(i.pending.Pool), Version: b.Wave,
		Outcome: instanceOutcomes[b.Outcome], Epoch: o.epoch,
	})
	switch b.Outcome {
	case effect.InstanceOrderDone:
		o.onInstanceOrderDone(i)
	case effect.InstanceFenced:
		o.s.endTenure(reasonRunnerFenced)
	case effect.InstanceUnknown, effect.InstanceRefused:
		i.unanswered = i.unanswered || b.Outcome == effect.InstanceUnknown
		i.retryAt = o.now().Add(instanceRetryDelay)
	default:
		o.onInstanceRefused(i, b.Outcome)
	}
}

// onInstanceOrderDone handles an order that was carried out: the instance is being
// moved or maintained, and its runner has ended with all tasks on it.
func (o *ownership) onInstanceOrderDone(i *instance) {
	order := i.pending
	i.pending, i.ending, i.changedAt = nil, nil, o.now()
	if r, ok := o.runners[i.Runner]; ok && r.Incarnation == i.stoppedIncarnation {
		o.onRunnerGone(r, reasonInstanceOrdered)
		r.listed, r.unlistedAt, r.Address = false, o.now(), ""
		r.vacating = false
		o.touch(r)
	}
	if order.Kind == effect.InstanceMove {
		i.State, i.Pool = fleet.InstanceMoving, order.Pool
		o.s.count("instances_moved", "")
		return
	}
	i.State = fleet.InstanceMaintenance
	o.s.count("instances_maintained", "")
	o.onMaintained(i.ID, order.Wave)
}

// onInstanceRefused handles an order that the platform rejected.
func (o *ownership) onInstanceRefused(i *instance, outcome effect.InstanceOutcome) {
	order, r := i.pending, o.orderedRunner(i)
	i.pending, i.ending = nil, nil
	i.blockedUntil = o.now().Add(instanceRefusedDelay)
	if r != nil {
		r.vacating = false
	}
	if !i.unanswered {
		i.refusedAt = o.now()
	}
	switch {
	case outcome == effect.InstanceInvalid && order.Kind == effect.InstanceMove:
		i.rejectedPools = append(i.rejectedPools, order.Pool)
	case outcome == effect.InstanceNotInWave:
		if i.refusals == nil {
			i.refusals = make(map[int64]int)
		}
		if i.refusals[order.Wave]++; i.refusals[order.Wave] >= maxWaveRefusals {
			o.onMaintained(i.ID, order.Wave)
		}
	}
}

// maxWaveRefusals is the number of refusals after which an instance counts as not being of
// a wave. The platform may read the request for a wave later than this entry.
const maxWaveRefusals = 3

package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// instanceListInterval is the pause between looks at the list of instances.
	instanceListInterval = time.Second
	// instanceRetryDelay is the pause before an order about an instance is repeated.
	instanceRetryDelay = 300 * time.Millisecond
	// instanceRefusedDelay is how long a refused instance is left alone.
	instanceRefusedDelay = time.Second
	// maxConfirmationAge is the age of the proof of tenure beyond which instances are
	// not ordered about: it is well under the platform's lease of three seconds,
	// which keeps two holders apart.
	maxConfirmationAge = 1200 * time.Millisecond
	// orderRateShare of the allowed rate of orders is used.
	orderRateShare = 0.9
)

// instances is what the owner knows of the platform's machines.
type instances struct {
	byID   map[fleet.InstanceID]*instance
	sorted []*instance
	// listed is set after the first list.
	listed  bool
	listing bool
	// listRequestedAt is when the list under way was listRequestedAt for, nextListAt when it is listRequestedAt
	// for again.
	listRequestedAt, nextListAt time.Time
	// tokens are the orders that may be given now.
	tokens     float64
	refilledAt time.Time
	waves      []*wave
	// formerlyOrdered are the instances that the owner before may have ordered about
	// last.
	formerlyOrdered map[fleet.InstanceID]bool
	// nextPlanAt is when the planner looks again.
	nextPlanAt time.Time
}

// instance is one machine.
type instance struct {
	fleet.ManagedInstance
	// changedAt is when this owner last ordered it; older lists say nothing of it.
	changedAt time.Time
	// pending is an order without a clear answer.
	pending *effect.OrderInstance
	// orderedAt is when an order about it was last sent.
	orderedAt time.Time
	// retryAt is when it is repeated, zero while its answer is waited for.
	retryAt time.Time
	// stoppedIncarnation is the incarnation that the order ends.
	stoppedIncarnation fleet.Incarnation
	// blockedUntil is until when the instance is left alone.
	blockedUntil time.Time
	// rejectedPools lists the pools that it cannot join.
	rejectedPools []fleet.PoolName
	// idleSince is since when it has run nothing.
	idleSince time.Time
	// upSince is when it was last seen to come up.
	upSince time.Time
}

func newInstances() instances {
	return instances{byID: make(map[fleet.InstanceID]*instance)}
}

// tickInstances lists instances, and orders them about for waves and pools.
func (o *ownership) tickInstances() {
	in := &o.instances
	if !o.s.cfg.Bounds.CanOrderInstances {
		return
	}
	if !in.listing && !o.now().Before(in.nextListAt) {
		in.listing, in.listRequestedAt = true, o.now()
		o.s.emit(effect.ListInstances{Epoch: o.epoch})
	}
	if !in.listed || !o.runnersListed || !o.mayOrderInstances() {
		return
	}
	o.refillTokens()
	o.retryInstanceOrders()
	o.tickIdle()
	if o.formerLeaseExpired() {
		o.tickWaves()
	}
	o.rebalancePools()
}

// mayOrderInstances reports whether this entry certainly holds the tenure.
func (o *ownership) mayOrderInstances() bool {
	return !o.s.stopping && o.now().Sub(o.s.tenure.ConfirmedAt()) < maxConfirmationAge
}

// formerLeaseExpired reports whether the lease of the owner before has run out on all
// instances. Until then this owner leaves alone those that may have had orders
// lately, and its picture of the others may have gaps.
func (o *ownership) formerLeaseExpired() bool {
	return o.now().Sub(o.startedAt) > o.s.cfg.Bounds.InstanceLease+maxConfirmationAge
}

// restoreFormerlyOrdered takes over which instances the last owner may have ordered about. It
// noted them before it gave an order, and the ledger takes no more notes of it.
func (in *instances) restoreFormerlyOrdered(ordered []fleet.InstanceID) {
	in.formerlyOrdered = make(map[fleet.InstanceID]bool, len(ordered))
	for _, id := range ordered {
		in.formerlyOrdered[id] = true
	}
}

func (o *ownership) refillTokens() {
	in := &o.instances
	rate := o.s.cfg.Bounds.InstanceOrdersPerSecond * orderRateShare
	if !in.refilledAt.IsZero() {
		in.tokens = min(rate, in.tokens+rate*o.now().Sub(in.refilledAt).Seconds())
	}
	in.refilledAt = o.now()
}

func (o *ownership) onInstancesRead(b event.InstancesRead) {
	in := &o.instances
	in.listing = false
	in.nextListAt = o.now().Add(instanceListInterval)
	if b.Failed {
		return
	}
	in.listed = true
	seen := make(map[fleet.InstanceID]bool, len(b.Instances))
	for _, m := range b.Instances {
		seen[m.ID] = true
		i := o.instance(m.ID)
		if i.changedAt.After(in.listRequestedAt) || i.pending != nil {
			continue
		}
		if i.State != fleet.InstanceUp && m.State == fleet.InstanceUp {
			i.upSince = o.now()
		}
		i.ManagedInstance = m
	}
	in.sorted = slices.DeleteFunc(in.sorted, func(i *instance) bool {
		gone := !seen[i.ID] && i.pending == nil
		if gone {
			delete(in.byID, i.ID)
		}
		return gone
	})
}

func (o *ownership) instance(id fleet.InstanceID) *instance {
	in := &o.instances
	i, ok := in.byID[id]
	if !ok {
		i = &instance{ManagedInstance: fleet.ManagedInstance{ID: id}, idleSince: o.now()}
		in.byID[id] = i
		at, _ := slices.BinarySearchFunc(in.sorted, i, func(a, b *instance) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		in.sorted = slices.Insert(in.sorted, at, i)
	}
	return i
}

// runnerOf returns the runner that is the instance's present life, or nil. One
// that has left the list counts as long as tasks may run on it.
func (o *ownership) runnerOf(i *instance) *runner {
	if r, ok := o.runners[i.Runner]; ok && r.present() && (r.Instance == "" || r.Instance == i.ID) {
		return r
	}
	for _, r := range o.sortedRunners {
		if r.present() && r.Instance == i.ID {
			return r
		}
	}
	return nil
}

// present reports whether the runner is in the list or may run tasks.
func (r *runner) present() bool { return r.listed || len(r.runs) > 0 }

// confirmedIdle reports whether certainly nothing runs on an instance.
func (o *ownership) confirmedIdle(i *instance) bool {
	r := o.runnerOf(i)
	if r == nil {
		// A runner may be missing from the list for a while after an outage.
		return i.Runner == "" || o.formerLeaseExpired()
	}
	return len(r.runs) == 0 && r.fenced && !r.poll.unreachable
}

// tickIdle notes since when instances have run nothing.
func (o *ownership) tickIdle() {
	for _, i := range o.instances.sorted {
		if r := o.runnerOf(i); r != nil && len(r.runs) > 0 {
			i.idleSince = time.Time{}
		} else if i.idleSince.IsZero() {
			i.idleSince = o.now()
		}
	}
}

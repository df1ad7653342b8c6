package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/admission"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// instanceTick is the interval between checks of what is due about instances. An
	// instance takes seconds to move.
	instanceTick = 100 * time.Millisecond
	// instanceListInterval is the time between reads of the list of instances.
	instanceListInterval = time.Second
	// instanceRetryDelay is the delay before an order about an instance is retried.
	instanceRetryDelay = 300 * time.Millisecond
	// instanceRefusedDelay is how long no order is given about an instance after
	// the platform refused one.
	instanceRefusedDelay = time.Second
	// maxConfirmationAge is the age of the last confirmed heartbeat above which no
	// orders about instances are given. It is well below the platform's lease of
	// three seconds, which excludes the orders of a second holder.
	maxConfirmationAge = 1200 * time.Millisecond
	// orderRateShare is the share of the allowed rate of orders that is used.
	orderRateShare = 0.9
)

// instances is the owner's state of the platform's instances.
type instances struct {
	byID map[fleet.InstanceID]*instance
	// sorted lists the instances by id.
	sorted []*instance
	// listed is set once the list was read, and listing while a read is in flight.
	listed  bool
	listing bool
	// listRequestedAt is when the last read of the list was requested, and
	// nextListAt when the next one is due.
	listRequestedAt, nextListAt time.Time
	// lists is the number of complete lists that were read, and requests are the times
	// at which the last of them were requested, oldest first.
	lists    int
	requests [absenceProof]time.Time
	// tokens is the number of orders that the rate limit allows now.
	tokens     float64
	refilledAt time.Time
	waves      []*wave
	// storedWaves holds the stored progress of waves of which the request was not read.
	storedWaves map[int64][]fleet.InstanceID
	// formerlyOrdered holds the instances about which the previous owner may have
	// given orders recently.
	formerlyOrdered map[fleet.InstanceID]bool
	// allFormerlyOrdered is set if that may be all of them.
	allFormerlyOrdered bool
	// tickedAt is when the instances were last checked, and plannedAt when the pools
	// were last planned. The next time depends on the lag, which may end meanwhile.
	tickedAt, plannedAt time.Time
}

// instance is the owner's state of an instance.
type instance struct {
	fleet.ManagedInstance
	// lastRunner is the last runner that a list had on the instance, and runnerSince when the
	// first list with it was requested.
	lastRunner  fleet.RunnerID
	runnerSince time.Time
	// listedAt is when the list was requested that the row is from, and stateSince when the first
	// list with that state was.
	listedAt, stateSince time.Time
	// changedAt is when an order about the instance was last confirmed. Lists that
	// were requested before do not apply to the instance.
	changedAt time.Time
	// pending is an order whose outcome is not known.
	pending *effect.OrderInstance
	// unanswered is set while an earlier try of the pending order may still be carried out.
	unanswered bool
	// refusedAt is when the platform last refused an order of which no try may still be carried
	// out.
	refusedAt time.Time
	// ending is the runner that the pending order is to end, since it does not answer; nil if the
	// order is given for another reason.
	ending *runner
	// orderedAt is when an order about the instance was last sent.
	orderedAt time.Time
	// retryAt is when the pending order is retried; zero while its answer is
	// outstanding.
	retryAt time.Time
	// stoppedIncarnation is the incarnation of the runner that the pending order
	// stops.
	stoppedIncarnation fleet.Incarnation
	// blockedUntil is until when no order is given after a refusal.
	blockedUntil time.Time
	// rejectedPools lists the pools that the instance cannot join.
	rejectedPools []fleet.PoolName
	// idleSince is when the instance became idle; zero while tasks run on it.
	idleSince time.Time
	// upSince is when the instance was last seen to come up.
	upSince time.Time
	// missing is the number of complete lists in a row that did not have the instance.
	missing int
	// refusals is the number of refusals of the instance's maintenance for a wave.
	refusals map[int64]int
}

// absenceProof is the number of complete lists in a row without an instance that show that
// it has gone. The list is read in pages, between which it changes, so one may miss an
// instance that stays.
const absenceProof = 2

func newInstances() instances {
	return instances{byID: make(map[fleet.InstanceID]*instance), storedWaves: make(map[int64][]fleet.InstanceID)}
}

// tickInstances reads the list of instances when that is due, and gives orders
// about instances for waves and pools.
func (o *ownership) tickInstances() {
	in := &o.instances
	interval := admission.Interval(instanceTick, o.s.lag.At(o.now()), admission.PlanningWeight)
	if !o.s.cfg.Bounds.CanOrderInstances || o.now().Sub(in.tickedAt) < interval {
		return
	}
	in.tickedAt = o.now()
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
	o.endHoldingRunners()
	if o.formerLeaseExpired() {
		o.tickWaves()
	}
	o.rebalancePools()
}

// mayOrderInstances reports whether this entry may give orders about instances,
// because it certainly holds the tenure and does not stop.
func (o *ownership) mayOrderInstances() bool {
	return !o.s.stopping && o.now().Sub(o.s.tenure.ConfirmedAt()) < maxConfirmationAge
}

// formerLeaseExpired reports whether the previous owner's lease has expired on all
// instances. Until then, this owner gives no orders about the instances about which
// the previous owner may recently have given orders, and its list of runners may be
// incomplete.
func (o *ownership) formerLeaseExpired() bool {
	return o.now().Sub(o.startedAt) > o.s.cfg.Bounds.InstanceLease+maxConfirmationAge
}

// restoreFormerlyOrdered restores the instances about which the previous owner may
// have given orders. The list is complete, because that owner stored each instance
// before it gave the order, and the ledger is fenced against its later writes. Without
// the list, that owner may have given orders about any instance.
func (in *instances) restoreFormerlyOrdered(ordered []fleet.InstanceID, unknown bool) {
	in.allFormerlyOrdered = unknown
	in.formerlyOrdered = make(map[fleet.InstanceID]bool, len(ordered))
	for _, id := range ordered {
		in.formerlyOrdered[id] = true
	}
}

// refillTokens adds the tokens of the rate limit for the time since the last call.
func (o *ownership) refillTokens() {
	in := &o.instances
	rate := o.s.cfg.Bounds.InstanceOrdersPerSecond * orderRateShare
	if !in.refilledAt.IsZero() {
		in.tokens = min(rate, in.tokens+rate*o.now().Sub(in.refilledAt).Seconds())
	}
	in.refilledAt = o.now()
}

// update replaces the row of an instance by that in a list.
func (i *instance) update(row *fleet.ManagedInstance, requestedAt time.Time) {
	if row.Runner != "" && row.Runner != i.lastRunner {
		i.lastRunner, i.runnerSince = row.Runner, requestedAt
	}
	if row.State != i.State {
		i.stateSince = requestedAt
	}
	i.ManagedInstance, i.listedAt = *row, requestedAt
}

func (o *ownership) onInstancesRead(b event.InstancesRead) {
	in := &o.instances
	in.listing = false
	in.nextListAt = o.now().Add(instanceListInterval)
	if b.Failed {
		return
	}
	in.listed = true
	in.lists++
	copy(in.requests[:], in.requests[1:])
	in.requests[absenceProof-1] = in.listRequestedAt
	seen := make(map[fleet.InstanceID]bool, len(b.Instances))
	for _, m := range b.Instances {
		seen[m.ID] = true
		i := o.instance(m.ID)
		i.missing = 0
		if i.changedAt.After(in.listRequestedAt) || i.pending != nil {
			continue
		}
		if i.State != fleet.InstanceUp && m.State == fleet.InstanceUp {
			i.upSince = o.now()
		}
		o.noteInstanceChange(i, m)
		i.update(&m, in.listRequestedAt)
	}
	in.sorted = slices.DeleteFunc(in.sorted, func(i *instance) bool {
		if seen[i.ID] {
			return false
		}
		i.missing++
		gone := i.missing >= absenceProof && i.pending == nil
		if gone {
			delete(in.byID, i.ID)
			o.s.logDecision(effect.Decision{Name: "instance has gone", Task: string(i.ID), Count: i.missing, Epoch: o.epoch})
		}
		return gone
	})
	o.endSilentRunners()
}

// hasGone reports whether an instance that was known to be there at a time is there no more:
// lists that were requested since do not have it.
func (in *instances) hasGone(id fleet.InstanceID, knownAt time.Time) bool {
	_, listed := in.byID[id]
	return !listed && in.requests[0].After(knownAt)
}

// instance returns the instance with an id. It adds the instance if there is none.
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

// runnerOf returns the runner on an instance, or nil. A runner that has left the
// list counts as long as tasks may run on it.
func (o *ownership) runnerOf(i *instance) *runner {
	if r, ok := o.runners[i.Runner]; ok && r.present() && (r.Instance == "" || r.Instance == i.ID) {
		return r
	}
	for _, r := range o.byInstance[i.ID] {
		if r.present() {
			return r
		}
	}
	return nil
}

// present reports whether the runner is listed or may run tasks.
func (r *runner) present() bool { return r.listed || len(r.runs) > 0 }

// confirmedIdle reports whether it is certain that no task runs on an instance.
func (o *ownership) confirmedIdle(i *instance) bool {
	r := o.runnerOf(i)
	if r == nil {
		// After an outage, a runner may be missing from the list for a while.
		return i.Runner == "" || o.formerLeaseExpired()
	}
	return len(r.runs) == 0 && !r.holdsTasks() && r.fenced && !r.poll.unreachable
}

// tickIdle updates since when instances have been idle.
func (o *ownership) tickIdle() {
	for _, i := range o.instances.sorted {
		if r := o.runnerOf(i); r != nil && len(r.runs) > 0 {
			i.idleSince = time.Time{}
		} else if i.idleSince.IsZero() {
			i.idleSince = o.now()
		}
	}
}

package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// unreachedAfter is the time after the ledger was loaded from which a runner that has
// not answered is stored as unreached. Runners usually answer within milliseconds.
const unreachedAfter = time.Second

// unreachedRunners tells the next owner which runners had no lease from this one, so
// that it does not wait for one.
type unreachedRunners struct {
	// dueAt is when the runners that were not reached are stored; zero once they are.
	dueAt time.Time
	// leasedBy holds the last epoch that may have granted a lease to each runner that
	// is to be stored as unreached.
	leasedBy map[fleet.RunnerID]int64
}

// formerLeasesExpireAt returns when the leases that earlier owners may have granted to a
// runner have expired on the slowest clock.
func (o *ownership) formerLeasesExpireAt(r *runner) time.Time {
	if r.leasedBy == 0 {
		return o.formerLeasesUntil
	}
	at := o.s.tenure.ActiveUntil(r.leasedBy).Add(onSlowestClock(leaseDuration))
	if at.After(o.formerLeasesUntil) {
		return o.formerLeasesUntil
	}
	return at
}

// tickUnreached stores, once after the ledger was loaded, which of the runners with
// runs of earlier owners were not reached. They are withheld from then on: they get no
// lease until the ledger lists them no longer.
func (o *ownership) tickUnreached() {
	u := &o.unreached
	if u.dueAt.IsZero() || o.now().Before(u.dueAt) {
		return
	}
	u.dueAt = time.Time{}
	for _, r := range o.sortedRunners {
		if len(r.runs)+len(r.lateStarts) == 0 || r.fenced || !r.poll.answeredAt.IsZero() {
			continue
		}
		u.leasedBy[r.ID] = r.leasedBy
		if r.leasedBy == 0 {
			u.leasedBy[r.ID] = o.epoch - 1
		}
		o.withheld[r.ID] = true
	}
	if len(u.leasedBy) > 0 {
		o.markChanged(unreachedChange)
		o.s.logDecision(effect.Decision{Name: "runners not reached", Warning: true, Epoch: o.epoch, Count: len(u.leasedBy)})
	}
}

// onRunnerAnswered removes a runner from the list of unreached ones.
func (o *ownership) onRunnerAnswered(r *runner) {
	if _, listed := o.unreached.leasedBy[r.ID]; listed {
		delete(o.unreached.leasedBy, r.ID)
		o.markChanged(unreachedChange)
		o.whenStored(deferred{reached: r})
	}
}

// onReachedStored lets a runner have leases: the ledger lists it as unreached no longer.
func (o *ownership) onReachedStored(r *runner) {
	delete(o.withheld, r.ID)
	r.leasedBy = 0
	o.pool(r.Service).dirty = true
	o.touch(r)
}

// mayPoll reports whether a runner may be polled. One that is withheld is polled until
// it answers, and then again once it may have leases. One of a service that no
// configuration names may be another writer's entry.
func (o *ownership) mayPoll(r *runner) bool {
	if len(r.runs) == 0 && o.s.queues != nil && o.s.queues.Services[r.Service] == nil {
		return false
	}
	return !r.fenced || !o.withheld[r.ID]
}

// ids returns the runners that are to be stored as unreached, sorted.
func (u *unreachedRunners) ids() []fleet.RunnerID { return slices.Sorted(maps.Keys(u.leasedBy)) }

// record returns the record of some of the runners that were not reached.
func (u *unreachedRunners) record(epoch int64, ids []fleet.RunnerID) *ledger.Unreached {
	r := &ledger.Unreached{Epoch: epoch, LeasedBy: make(map[fleet.RunnerID]int64, len(ids))}
	for _, id := range ids {
		r.LeasedBy[id] = u.leasedBy[id]
	}
	return r
}

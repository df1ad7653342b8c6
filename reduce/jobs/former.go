package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// former is what the ledger tells of the runners of former owners. It is complete before the
// state of the first runner is created, which takes it over, so it does not matter in
// which order the ledger and the list of runners are read.
type former struct {
	// restarted holds the runners that have restarted lately.
	restarted map[fleet.RunnerID]bool
	// leasedBy holds, for each runner that the previous owner did not reach, the last epoch
	// that may have granted a lease.
	leasedBy map[fleet.RunnerID]int64
	// holds has, for each, until when the ends of a task that has ended are not acknowledged.
	holds map[heldTask]time.Time
}

// restoreFormer restores what the ledger tells of runners. The previous owner removed a
// runner from its list of unreached ones before it granted a lease. The list of an earlier
// owner says nothing of those who followed it.
func (o *ownership) restoreFormer(restarted []fleet.RunnerID, unreached *ledger.Unreached) {
	for _, id := range restarted {
		o.former.restarted[id] = true
	}
	if unreached.Epoch == o.epoch-1 {
		o.former.leasedBy = unreached.LeasedBy
	}
}

// newRunner returns the state of a runner that this owner has not called. As long as nothing
// shows which incarnation the former owner knew, that one may have called another.
func (o *ownership) newRunner(id fleet.RunnerID) *runner {
	return &runner{
		Runner: fleet.Runner{ID: id}, incarnation: &incarnation{}, runs: make(map[fleet.TaskID]*run), leasedBy: o.former.leasedBy[id],
		tokens: tokens{count: o.lastToken},
		stale:  staleLeases{former: o.formerStaleUntil(), restarted: o.former.restarted[id]},
	}
}

// adoptIncarnation takes account of a stored run: the former owner planned it for this
// incarnation of the runner, so it has stored restarts and stale leases that it knew of.
func (o *ownership) adoptIncarnation(r *runner, stored *ledger.Task) {
	r.Incarnation = max(r.Incarnation, stored.Incarnation)
	switch {
	case stored.StaleLeases:
		r.stale = staleLeases{former: o.formerStaleUntil(), restarted: true}
	case stored.Incarnation != 0 && !r.stale.restarted:
		r.stale = staleLeases{}
	}
}

// earlyList collects the changes of the list of runners that are read before the ledger.
type earlyList struct {
	read    bool
	full    bool
	runners map[fleet.RunnerID]fleet.Runner
	removed map[fleet.RunnerID]bool
}

// add adds changes, which replace earlier ones of the same runners.
func (l *earlyList) add(b *event.RunnersRead) {
	if b.Full || !l.read {
		*l = earlyList{runners: make(map[fleet.RunnerID]fleet.Runner), removed: make(map[fleet.RunnerID]bool), full: b.Full}
	}
	l.read = true
	for i := range b.Runners {
		id := b.Runners[i].ID
		l.runners[id] = b.Runners[i]
		delete(l.removed, id)
	}
	for _, id := range b.Removed {
		delete(l.runners, id)
		l.removed[id] = true
	}
}

// changes returns all of them as one.
func (l *earlyList) changes(epoch int64) event.RunnersRead {
	out := event.RunnersRead{Epoch: epoch, Full: l.full}
	for _, id := range slices.Sorted(maps.Keys(l.runners)) {
		out.Runners = append(out.Runners, l.runners[id])
	}
	out.Removed = slices.Sorted(maps.Keys(l.removed))
	return out
}

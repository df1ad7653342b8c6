package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

type phase uint8

const (
	// phaseFencing waits until earlier owners cannot write any more.
	phaseFencing phase = iota + 1
	// phaseLoading reads the ledger.
	phaseLoading
	phaseActive
)

// storeRetryDelay is the pause after the store refused or did not answer.
const storeRetryDelay = 100 * time.Millisecond

// ownership is what the owner of the jobs knows. It ends with the tenure.
type ownership struct {
	s         *State
	epoch     int64
	startedAt time.Time
	// formerLeasesUntil is when the last lease that an earlier owner may have given
	// has run out on the slowest clock.
	formerLeasesUntil time.Time
	phase             phase
	// retryAt is when fencing or loading is tried again; zero while it runs.
	retryAt time.Time

	jobs map[fleet.JobID]*job
	// active holds the jobs that have not ended, in order of acceptance.
	active  []*job
	ended   []*job
	runners map[fleet.RunnerID]*runner
	// sortedRunners lists the runners by id, so that decisions do not depend on the
	// sortedRunners of a map.
	sortedRunners []*runner
	pools         map[fleet.ServiceName]*pool
	outbox        outbox
	// runnersListed is set once the whole list of runners was read, and listBlind
	// while it cannot be read.
	runnersListed     bool
	runnersUnreadable bool
	lastPoll          uint64
	instances         instances
	planner           planner
}

func newOwnership(s *State, epoch int64) *ownership {
	return &ownership{
		s: s, epoch: epoch, startedAt: s.now, phase: phaseFencing,
		formerLeasesUntil: s.tenure.FormerOwnerActiveUntil().Add(onSlowestClock(leaseDuration)),
		jobs:              make(map[fleet.JobID]*job),
		runners:           make(map[fleet.RunnerID]*runner),
		pools:             make(map[fleet.ServiceName]*pool),
		instances:         newInstances(),
		planner:           newPlanner(),
	}
}

func (o *ownership) now() time.Time { return o.s.now }

// ifCurrent runs do for an event of this tenure.
func (o *ownership) ifCurrent(epoch int64, do func()) {
	if epoch == o.epoch {
		do()
	}
}

func (o *ownership) onLedgerFenced(b event.LedgerFenced) {
	if o.phase != phaseFencing {
		return
	}
	switch b.Outcome {
	case effect.AppendDone:
		o.phase = phaseLoading
		o.s.emit(effect.LoadLedger{Epoch: o.epoch})
	case effect.AppendFenced:
		o.s.endTenure(reasonLedgerFenced)
	default:
		o.retryAt = o.now().Add(storeRetryDelay)
	}
}

func (o *ownership) onLedgerLoaded(b event.LedgerLoaded) {
	if o.phase != phaseLoading {
		return
	}
	if b.Failed {
		o.retryAt = o.now().Add(storeRetryDelay)
		return
	}
	for i := range b.Jobs {
		o.restoreJob(&b.Jobs[i])
	}
	slices.SortStableFunc(o.active, func(a, b *job) int { return a.accepted.Compare(b.accepted) })
	o.restoreWaves(b.Waves)
	o.instances.restoreFormerlyOrdered(b.RecentlyOrdered)
	o.phase = phaseActive
	o.s.logDecision(effect.Decision{
		Name: "ledger loaded", Entry: o.s.cfg.Entry, Epoch: o.epoch, Count: len(o.active), Age: o.now().Sub(o.startedAt),
	})
}

// tick does what has become due.
func (o *ownership) tick() {
	if !o.retryAt.IsZero() && !o.now().Before(o.retryAt) {
		o.retryAt = time.Time{}
		if o.phase == phaseFencing {
			o.s.emit(effect.FenceLedger{Epoch: o.epoch})
		} else {
			o.s.emit(effect.LoadLedger{Epoch: o.epoch})
		}
	}
	if o.phase != phaseActive {
		return
	}
	for _, r := range slices.Clone(o.sortedRunners) {
		o.tickRunner(r)
	}
	o.retryOrders()
	o.tickSchedule()
	o.expireJobs()
	o.tickInstances()
	for _, p := range o.pools {
		p.dirty = true
	}
}

func (o *ownership) onQueuesChanged() {
	for _, j := range o.active {
		o.applyQueue(j)
	}
}

// hasUnstored reports whether something is still to be stored.
func (o *ownership) hasUnstored() bool {
	return o.phase == phaseActive && (o.outbox.inFlight != nil || len(o.outbox.dirty) > 0)
}

func (o *ownership) onRunnersReadFailed(b event.RunnersReadFailed) {
	if !o.runnersUnreadable {
		o.runnersUnreadable = true
		o.s.logDecision(effect.Decision{Name: "list of runners lost", Warning: true, Epoch: o.epoch, Reason: effect.Reason(b.Reason)})
	}
}

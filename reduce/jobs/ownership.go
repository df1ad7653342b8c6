package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/runtimes"
	"github.com/banyanrail/banyanrail/reduce/shares"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

type phase uint8

const (
	// phaseFencing lasts until the ledger rejects writes of earlier owners.
	phaseFencing phase = iota + 1
	// phaseLoading lasts until the ledger is read.
	phaseLoading
	phaseActive
)

// storeRetryDelay is the delay before fencing or loading is retried.
const storeRetryDelay = 100 * time.Millisecond

// ownership is the state of the owner of the jobs. It ends with the tenure.
type ownership struct {
	s         *State
	epoch     int64
	startedAt time.Time
	// formerLeasesUntil is when the last lease that an earlier owner may have
	// granted has expired on the slowest clock.
	formerLeasesUntil time.Time
	phase             phase
	unreached         unreachedRunners
	former            former
	// earlyList holds the list of runners until the ledger is loaded.
	earlyList earlyList
	// withheld holds the runners that the ledger may list as unreached, which get no
	// lease.
	withheld map[fleet.RunnerID]bool
	// retryAt is when fencing or loading is retried; zero while it is in flight.
	retryAt time.Time

	jobs map[fleet.JobID]*job
	// active holds the jobs that have not ended, in order of acceptance, with nil in
	// the places of those that ended since; activeCount is their number, and activeBytes
	// about the memory that they take. ended holds the jobs whose final state is still kept.
	active      []*job
	activeCount int
	activeBytes int64
	ended       []*job
	// waitingJobs counts, for each queue, the active jobs of which no run is known to
	// have begun.
	waitingJobs map[fleet.QueueName]int
	// unresolved holds the jobs that have unresolved runs.
	unresolved []*job
	// accounts holds what each tenant uses of the fleet, and countedUnresolved the
	// unresolved runs that count there, oldest first.
	accounts          *shares.Accounts
	countedUnresolved []countedRun
	// silences holds when runners stopped answering lately.
	silences []silence
	runners  map[fleet.RunnerID]*runner
	// sortedRunners lists the runners by id, so that decisions do not depend on the
	// iteration order of a map. byInstance lists them for each instance, also by id.
	sortedRunners []*runner
	byInstance    map[fleet.InstanceID][]*runner
	pools         map[fleet.ServiceName]*pool
	// sortedPools lists the pools by name.
	sortedPools []*pool
	// timers holds the deadlines of runners, of orders to be retried and of repeated
	// jobs. touchedRunners lists the runners whose timers have to be set anew.
	timers         timer.Heap
	touchedRunners []*runner
	outbox         outbox
	held           heldSubmits
	// runnersListed is set once the complete list of runners was read, and
	// runnersUnreadable while the list cannot be read.
	runnersListed     bool
	runnersUnreadable bool
	// lastPoll is the number of the last poll of a runner.
	lastPoll uint64
	// lastToken is the highest count in a fencing token. One count serves all runners, so that a
	// runner whose state was dropped meanwhile gets no lower token than before.
	lastToken int64
	instances instances
	planner   planner
	learned   learned
	// formerlyStopping is the capacity of the runs that a former owner may have been stopping
	// when it died, for each tenant.
	formerlyStopping map[fleet.TenantName]fleet.Capacity
	// connectionsClosed is set once the connections to runners were closed, until calls may be made again.
	connectionsClosed bool
	// crashRests holds the rests of instances whose runners crash again and again.
	crashRests map[fleet.InstanceID]crashRest
	// capacity is that of all listed runners as of capacityAt.
	capacity   fleet.Capacity
	capacityAt time.Time
	gates      gateWatch
}

func newOwnership(s *State, epoch int64) *ownership {
	o := &ownership{
		s: s, epoch: epoch, startedAt: s.now, phase: phaseFencing,
		formerLeasesUntil: s.tenure.FormerOwnersActiveUntil().Add(onSlowestClock(leaseDuration)),
		jobs:              make(map[fleet.JobID]*job),
		runners:           make(map[fleet.RunnerID]*runner),
		byInstance:        make(map[fleet.InstanceID][]*runner),
		waitingJobs:       make(map[fleet.QueueName]int),
		unreached:         unreachedRunners{leasedBy: make(map[fleet.RunnerID]int64)},
		former:            former{restarted: make(map[fleet.RunnerID]bool), holds: make(map[heldTask]time.Time)},
		withheld:          make(map[fleet.RunnerID]bool),
		pools:             make(map[fleet.ServiceName]*pool),
		instances:         newInstances(),
		planner:           newPlanner(),
		learned:           learned{model: runtimes.New()},
		formerlyStopping:  make(map[fleet.TenantName]fleet.Capacity),
		accounts:          shares.NewAccounts(),
		crashRests:        make(map[fleet.InstanceID]crashRest),
	}
	if s.queues != nil {
		o.accounts.Configure(&s.queues.Tenants)
	}
	return o
}

func (o *ownership) now() time.Time { return o.s.now }

// ifCurrent runs do if an event is of this tenure.
func (o *ownership) ifCurrent(epoch int64, do func()) {
	if epoch == o.epoch {
		do()
	}
}

func (o *ownership) onLedgerFenced(b event.LedgerFenced) {
	if o.phase == phaseActive && o.outbox.verifying {
		o.onRejectionVerified(b)
		return
	}
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
	o.outbox.lists[orderedChange].parts = b.Parts.RecentlyOrdered
	o.outbox.lists[unreachedChange].parts = b.Parts.Unreached
	o.outbox.lists[restartedChange].parts = b.Parts.Restarted
	o.restoreFormer(b.Restarted, &b.Unreached)
	o.restoreHolds(b.Holds)
	o.restoreRunTimes(b.RunTimes)
	for i := range b.Jobs {
		o.restoreJob(&b.Jobs[i])
	}
	slices.SortStableFunc(o.active, func(a, b *job) int { return a.accepted.Compare(b.accepted) })
	o.renumberActive()
	o.eachActive(o.markShare)
	o.unreached.dueAt = o.now().Add(unreachedAfter)
	o.restoreWaves(b.Waves)
	o.instances.restoreFormerlyOrdered(b.RecentlyOrdered, b.OrdersUnreadable)
	if o.earlyList.read {
		early := o.earlyList.changes(o.epoch)
		o.earlyList = earlyList{}
		o.updateList(&early)
	}
	o.phase = phaseActive
	o.s.logDecision(effect.Decision{
		Name: "ledger loaded", Entry: o.s.cfg.Entry, Epoch: o.epoch, Count: o.activeCount, Age: o.now().Sub(o.startedAt),
	})
}

// tick carries out what has become due.
func (o *ownership) tick() {
	if !o.retryAt.IsZero() && !o.now().Before(o.retryAt) {
		o.retryAt = time.Time{}
		if o.phase == phaseFencing {
			o.s.emit(effect.FenceLedger{Epoch: o.epoch})
		} else {
			o.s.emit(effect.LoadLedger{Epoch: o.epoch})
		}
	}
	o.closeConnectionsIfInvalid()
	if o.phase != phaseActive {
		return
	}
	o.fireTimers()
	o.tickUnreached()
	o.expireJobs()
	o.tickInstances()
	o.examineGates()
}

// closeConnectionsIfInvalid closes the connections to runners while this owner makes no calls: the next
// one may lead already, and a runner does not take those of several owners.
func (o *ownership) closeConnectionsIfInvalid() {
	valid := o.s.tenure.Valid(o.now())
	if !valid && !o.connectionsClosed {
		o.s.emit(effect.CloseRunnerConnections{})
	}
	o.connectionsClosed = !valid
}

// fireTimers carries out what is due at runners, orders and repeated jobs.
func (o *ownership) fireTimers() {
	for {
		owner, ok := o.timers.Pop(o.now())
		if !ok {
			return
		}
		switch owner := owner.(type) {
		case *runner:
			o.tickRunner(owner)
		case *run:
			o.retryOrder(owner)
		case *job:
			o.beginScheduled(owner)
		case *hold:
			o.expireHold(owner)
		}
	}
}

func (o *ownership) onQueuesChanged() {
	o.accounts.Configure(&o.s.queues.Tenants)
	o.eachActive(o.applyQueue)
	for _, r := range o.sortedRunners {
		o.touch(r) // its service may be new
	}
}

// hasUnstored reports whether changes of jobs have not been stored yet.
func (o *ownership) hasUnstored() bool {
	return o.phase == phaseActive && (o.outbox.inFlight != nil || len(o.outbox.queue) > 0 || len(o.outbox.rest) > 0)
}

func (o *ownership) onRunnersReadFailed(b event.RunnersReadFailed) {
	if !o.runnersUnreadable {
		o.runnersUnreadable = true
		o.s.logDecision(effect.Decision{Name: "list of runners lost", Warning: true, Epoch: o.epoch, Reason: effect.Reason(b.Reason)})
	}
}

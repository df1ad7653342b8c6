package jobs

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/endings"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// leaseDuration is how long the tasks on a runner keep running after the last
	// order or poll of the owner. It has to exceed the time to take over after a
	// crash, which is tenure.OwnerTimeout and up to a second more, plus pollWait.
	leaseDuration = 5 * time.Second
	// slowestClockRate is the rate of the slowest runner clock, relative to real
	// time.
	slowestClockRate = 0.98
	// clockMargin covers the rounding of the runners' clock readings.
	clockMargin = 50 * time.Millisecond
	// maxReadingAge is the age of a clock reading above which a runner is polled before a
	// task is started on it. By a reading of this age, leases are up to 0.6 s shorter than
	// leaseDuration, which still outlasts a takeover.
	maxReadingAge = 30 * time.Second
)

// runner is the owner's state of a runner.
type runner struct {
	fleet.Runner
	*incarnation
	stale staleLeases
	// listed is set while the runner is in the platform's list.
	listed     bool
	unlistedAt time.Time
	// leasedBy is the last epoch before this tenure that may have granted a lease; zero
	// if that is the previous one.
	leasedBy int64
	runs     map[fleet.TaskID]*run
	// leased is set once this owner has granted a lease to any incarnation.
	leased bool
	tokens tokens
	// contacted is set once an incarnation has seen a token of this owner.
	contacted bool
	// lateStarts lists the starts of runs that were given up which may still be carried out.
	lateStarts []*lateStart
	// end is the evidence that the runner has ended. Its next answer clears it.
	end endings.Record
	// leasableUntil is until when a call of this owner that grants a lease may be carried out.
	leasableUntil time.Time
	// strays is the number of runs of no task of this owner that the runner last listed. It
	// stops them; what they take until then is not known.
	strays int
	// used is the capacity that the runs reserve.
	used   fleet.Capacity
	counts runCounts
	// timer is set for when something becomes due at the runner, and touched while
	// it has to be set anew.
	timer   timer.Timer
	touched bool
	poll    pollState
	// unresolvedUntil is until when the runner is asked for the ends of runs that were given
	// up when their leases expired.
	unresolvedUntil time.Time
	// drainingSince is when the runner was first listed as draining.
	drainingSince time.Time
	// leavesAt is when the runner may leave by its reports; zero if they name no time.
	leavesAt time.Time
	// vacating is set while the runner's instance is to be moved or maintained.
	vacating bool
	// releasedUntil is until when the runner takes no new tasks, so that its instance becomes
	// idle and can move to a pool that needs it more. Each plan renews it.
	releasedUntil time.Time
	// dispatcher is the dispatcher that calls the runner; zero while there is none.
	dispatcher uint64
	// directUntil is until when this entry calls the runner itself.
	directUntil time.Time
	// trials counts the runs on trial, and trialJob is their job; nil without any.
	trials   int
	trialJob *job
	// reservedUntil is until when the runner is likely kept free for a run on trial.
	reservedUntil time.Time
}

// pool is the queue of the steps that wait for the runners of a service.
type pool struct {
	name  fleet.ServiceName
	queue []*step
	// runners lists the runners of the pool by id.
	runners []*runner
	// dirty is set when the tasks of the queue are to be placed again.
	dirty bool
	// placedAt is when tasks of the queue were last placed, and explainedAt when it was last
	// logged why they wait.
	placedAt, explainedAt time.Time
	// relocation is the newest plan for tasks that leave their runners; nil for none.
	relocation *relocation
	// relocatesUntil is until when the pool keeps room for such tasks.
	relocatesUntil time.Time
	// slowdown is the run time of tasks as a multiple of their estimates.
	slowdown slowdown
	racks    rackUse
}

func (p *pool) remove(st *step) {
	if i := slices.Index(p.queue, st); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

func (o *ownership) pool(name fleet.ServiceName) *pool {
	p, ok := o.pools[name]
	if !ok {
		p = &pool{name: name}
		o.pools[name] = p
		i, _ := slices.BinarySearchFunc(o.sortedPools, p, func(a, b *pool) int { return strings.Compare(string(a.name), string(b.name)) })
		o.sortedPools = slices.Insert(o.sortedPools, i, p)
	}
	return p
}

// enqueue adds a step to the queue of its pool.
func (o *ownership) enqueue(st *step) {
	st.queued, st.queuedAt = true, o.now()
	p := o.pool(st.occ.job.service)
	p.queue = append(p.queue, st)
	p.dirty = true
}

// onRunnersRead handles changes of the platform's list of runners.
func (o *ownership) onRunnersRead(b event.RunnersRead) {
	if o.runnersUnreadable {
		o.runnersUnreadable = false
		o.s.logDecision(effect.Decision{Name: "list of runners regained", Epoch: o.epoch})
	}
	if o.phase != phaseActive {
		o.earlyList.add(&b)
		return
	}
	o.updateList(&b)
}

// updateList updates the runners by changes of the platform's list.
func (o *ownership) updateList(b *event.RunnersRead) {
	if b.Full {
		o.runnersListed = true
		for _, r := range o.sortedRunners {
			r.listed = false
			o.touch(r)
		}
	}
	for i := range b.Runners {
		o.onRunnerListed(&b.Runners[i])
	}
	for _, id := range b.Removed {
		if r, ok := o.runners[id]; ok && r.listed {
			r.listed, r.unlistedAt = false, o.now()
			o.touch(r)
			o.s.logDecision(effect.Decision{Name: "runner left the list", Runner: id, Epoch: o.epoch, Count: len(r.runs)})
		}
	}
	if b.Full || len(b.Removed) > 0 {
		o.dropGoneRunners()
	}
}

// dropGoneRunners drops the runners that are not listed, have no address and run
// nothing.
func (o *ownership) dropGoneRunners() {
	for _, r := range slices.Clone(o.sortedRunners) {
		if !r.listed && len(r.runs) == 0 && r.Address == "" && !r.holdsTasks() && !o.now().Before(r.unresolvedUntil) {
			o.dropRunner(r)
		}
	}
}

func (o *ownership) dropRunner(r *runner) {
	delete(o.runners, r.ID)
	o.sortedRunners = deleteRunner(o.sortedRunners, r)
	o.unindexRunner(r)
	o.timers.Clear(&r.timer)
}

func (o *ownership) onRunnerListed(f *fleet.Runner) {
	r := o.runner(f.ID)
	if r.Incarnation != 0 && f.Incarnation != 0 && r.Incarnation != f.Incarnation {
		if f.Incarnation < r.Incarnation {
			return // the list is older
		}
		r.Address = f.Address
		o.onRunnerRestarted(r, f.Incarnation)
	}
	wasDraining, wasListed := r.Draining, r.listed
	changed := !wasListed || r.Draining != f.Draining || r.Capacity != f.Capacity || r.Service != f.Service
	o.setReport(r, f)
	r.noteRemaining(o.now())
	r.listed, r.reported = true, true
	o.touch(r)
	if f.Draining && !wasDraining {
		r.drainingSince = o.now()
		o.s.logDecision(effect.Decision{Name: "runner drains", Runner: r.ID, Epoch: o.epoch, Count: len(r.runs), Age: f.Remaining})
	}
	if !wasListed {
		o.s.logDecision(effect.Decision{Name: "runner listed", Runner: r.ID, Epoch: o.epoch, Count: len(r.runs)})
	}
	if changed {
		o.pool(r.Service).dirty = true
	}
	o.pollIfDue(r)
}

// runner returns the runner with an id. It adds the runner if there is none.
func (o *ownership) runner(id fleet.RunnerID) *runner {
	r, ok := o.runners[id]
	if !ok {
		r = o.newRunner(id)
		o.runners[id] = r
		o.sortedRunners = insertRunner(o.sortedRunners, r)
		o.indexRunner(r)
	}
	return r
}

// Reasons for losing the runs on a runner.
const (
	reasonReplaced        effect.Reason = "another runner has its address"
	reasonRestarted       effect.Reason = "it has started anew"
	reasonLeaseExpired    effect.Reason = "the lease has run out"
	reasonInstanceOrdered effect.Reason = "its instance was moved or maintained"
	reasonNotListed       effect.Reason = "the runner does not list it"
	reasonInstanceDown    effect.Reason = "its instance is down"
	reasonInstanceAway    effect.Reason = "its instance is being moved or maintained"
	reasonInstanceMissing effect.Reason = "its instance is no longer listed"
	reasonOtherRunner     effect.Reason = "its instance has another runner"
)

// onRunnerGone gives up the runs on a runner. It is called when it is certain that the runner's
// last known incarnation runs no task any more.
func (o *ownership) onRunnerGone(r *runner, reason effect.Reason) {
	lost := r.runsLostBy(reason)
	if len(lost) > 0 {
		d := effect.Decision{
			Name: "runs lost", Warning: true, Runner: r.ID, Incarnation: r.Incarnation, Reason: reason, Count: len(lost), Epoch: o.epoch,
		}
		if reason == reasonLeaseExpired {
			d.Outcome, d.Age = o.lastLease(r), o.now().Sub(latest(r.aliveAt, o.startedAt))
		}
		o.s.logDecision(d)
	}
	switch reason {
	case reasonReplaced, reasonOtherRunner, reasonInstanceDown:
		o.onRunnerCrashed(r, reason)
	case reasonInstanceMissing, reasonInstanceAway, reasonInstanceOrdered:
		o.resolveRuns(r, o.now())
	default:
	}
	for _, run := range lost {
		o.loseRun(run, reason)
	}
	o.touch(r)
	switch reason {
	case reasonInstanceDown:
	case reasonLeaseExpired:
		// The same incarnation may answer again and list its ended runs.
		r.fenced, r.leaseDeadline, r.clock = false, 0, event.Clock{}
		r.unresolvedUntil = o.now().Add(resolveLimit)
	default:
		o.dropLateStarts(r) // the next runner there has another id
		r.renew()
		r.Incarnation, r.strays = 0, 0
	}
}

// runsLostBy returns the runs that end for a reason. The next incarnation of a runner whose
// instance is down may have its id, and carry out the starts without an answer: their tasks could
// start nowhere else.
func (r *runner) runsLostBy(reason effect.Reason) []*run {
	return r.runsWhere(func(run *run) bool {
		return reason != reasonInstanceDown || (!run.mayStartLate && !run.startInFlight())
	})
}

// onRunnerRestarted handles the restart of a runner under the same id. The runs on
// it are lost, unless an order has reached the new incarnation: the answer to the next
// poll shows which of them the new incarnation runs. Starts without an answer are not
// repeated there, but stopped.
func (o *ownership) onRunnerRestarted(r *runner, seen fleet.Incarnation) {
	o.s.logDecision(effect.Decision{
		Name: "runner started anew", Runner: r.ID, Count: len(r.runs), Epoch: o.epoch, Version: int64(seen),
	})
	// The list of restarted runners is stored before what follows for the runs, by which
	// the next owner would else know of the restart.
	o.expectStaleLeases(r)
	o.raiseToken(r, o.token(r))
	o.resolveEnded(r)
	o.suspectFormerRuns(r, seen)
	o.loseFormerRuns(r, seen)
	o.barLateStarts(r)
	r.renew()
	r.strays = 0
	o.touch(r)
	for _, run := range r.runsWhere((*run).isOrderedAnew) {
		run.confirmedAt = time.Time{}
		o.retryAfter(run, 0)
	}
}

// isOrderedAnew reports whether the next incarnation of the runner gets an order about the
// run: one that is starting is stopped there, and a stop that bars a late start is repeated.
func (run *run) isOrderedAnew() bool {
	return run.phase == runStarting || (run.phase == runStopping && run.mayStartLate)
}

// runsWhere returns the runs that match, in a fixed order.
func (r *runner) runsWhere(match func(*run) bool) []*run {
	var out []*run
	for _, run := range r.runs {
		if match(run) {
			out = append(out, run)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return a.compare(b) })
	return out
}

// mayLease reports whether leases may be granted by the clock of the runner's
// incarnation: it has answered the last poll, and so is the one that a call reaches. The
// lease of a runner that does not answer is not extended, so that it expires.
func (r *runner) mayLease() bool {
	return r.fenced && r.clock.Reading > 0 && !r.poll.unreachable && !r.poll.maybeRestarted
}

// newLeaseDeadline returns the end of a lease that begins now, on the runner's
// clock. The lease is shorter than leaseDuration if the reading of the clock is old.
func (r *runner) newLeaseDeadline(now time.Time) int64 {
	d := r.earliestClock(now) + leaseDuration.Milliseconds()
	r.leaseDeadline, r.leased = max(r.leaseDeadline, d), true
	r.leasableUntil = now.Add(maxOrderAge + maxCallDelay)
	return d
}

// leasesExpired reports whether every lease that any owner granted to the runner
// has certainly expired.
func (o *ownership) leasesExpired(r *runner) bool { return o.now().After(o.leasesExpireAt(r)) }

// leasesExpireAt returns when the last lease that any owner granted to the runner
// expires if the runner has the slowest clock.
func (o *ownership) leasesExpireAt(r *runner) time.Time {
	return latest(o.currentLeasesExpireAt(r), r.staleLeasesExpireAt())
}

// lastLease tells which leases of a runner are the last to expire.
func (o *ownership) lastLease(r *runner) string {
	switch {
	case r.staleLeasesExpireAt().After(o.currentLeasesExpireAt(r)):
		return "leases by calls for former incarnations"
	case r.fenced && r.clock.Reading > 0 && r.leaseDeadline > 0:
		return "leases of this owner"
	default:
		return "leases of former owners"
	}
}

// currentLeasesExpireAt returns when the leases expire that were granted to the incarnation
// that the owner knows.
func (o *ownership) currentLeasesExpireAt(r *runner) time.Time {
	var at time.Time
	switch {
	case !r.fenced || r.clock.Reading == 0:
		at = o.formerLeasesExpireAt(r)
	case r.leaseDeadline == 0:
		// This owner granted no lease, but earlier owners may have.
		at = r.clock.Received.Add(onSlowestClock(leaseDuration))
	default:
		left := time.Duration(r.leaseDeadline-r.clock.Reading) * time.Millisecond
		at = r.clock.Received.Add(onSlowestClock(left))
	}
	return at
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// onSlowestClock returns the longest time in which a runner's clock advances by d.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d)/slowestClockRate) + clockMargin
}

// mayRunTasks reports whether a start was ordered on the runner whose run is not
// known to have ended.
func (r *runner) mayRunTasks() bool { return r.counts.started > 0 }

// usable reports whether tasks may be started on the runner.
func (o *ownership) usable(r *runner) bool {
	return r.listed && r.reported && r.fenced && !o.withheld[r.ID] && !r.poll.unreachable && !r.Draining && !r.vacating && !o.released(r) && r.Capacity.CPU > 0 &&
		!o.now().Before(r.noRoomUntil) && o.healthAllowsRun(r) && o.roomKnown(r) && (r.strays == 0 || o.hasRoom(r))
}

// roomKnown reports whether the capacity of a runner is known well enough to start tasks
// on it. One that does not guard its capacity may have shrunk while the list of runners
// cannot be read.
func (o *ownership) roomKnown(r *runner) bool { return !o.runnersUnreadable || o.guardsCapacity(r) }

// hasRoom reports whether the runs on a runner that does not guard its capacity fit: it may
// have shrunk, and runs of former owners that are being stopped still take room.
func (o *ownership) hasRoom(r *runner) bool {
	return o.guardsCapacity(r) || (r.strays == 0 && r.Capacity.Fits(r.used))
}

// guardsCapacity reports whether a runner refuses starts beyond its capacity.
func (o *ownership) guardsCapacity(r *runner) bool {
	if o.s.queues == nil {
		return false
	}
	s, ok := o.s.queues.Services[r.Service]
	return ok && s.EnforcesCapacity
}

func (r *runner) free() fleet.Capacity { return r.Capacity.Minus(r.used) }

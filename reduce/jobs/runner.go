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
	// leaseLength is how long what runs on a runner lives after the last order
	// of the owner. A takeover after a crash takes tenure.Silence and up to a
	// second more, a look lookWait: the sum has to stay below it.
	leaseLength = 5 * time.Second
	// slowestClock is the rate of the slowest runner's clock.
	slowestClock = 0.98
	// clockMargin covers the rounding of runners' clocks.
	clockMargin = 50 * time.Millisecond
)

// runner is what the owner knows of a runner.
type runner struct {
	fleet.Runner
	// listed is set while the runner is in the platform's list.
	listed   bool
	unlisted time.Time
	// touched is set once the runner has seen this tenure's fence, so that no
	// earlier owner can start anything there.
	touched bool
	clock   event.Clock
	// deadline is the latest lease that this owner gave, in milliseconds of the
	// runner's clock.
	deadline int64
	// leasedUntil is when the leases that this owner gave to an earlier
	// incarnation, whose clock is gone, have run out.
	leasedUntil time.Time
	runs        map[fleet.TaskID]*run
	used        fleet.Capacity
	// seen is the last end that was read, acked the last whose meaning is stored,
	// and confirmed the last that the runner has been told to forget.
	seen, acked, confirmed int64
	look                   pollState
	health                 health
	// drainSince is when the runner was first seen draining.
	drainSince time.Time
	// vacating is set while the runner's instance is to be moved or maintained.
	vacating bool
	// through is the dispatcher that calls the runner; zero while there is none.
	through uint64
	// directUntil is until when this entry calls the runner itself.
	directUntil time.Time
	// roomUntil is until when nothing is started after a refusal for room.
	roomUntil time.Time
}

// pool holds the runners of a service and the steps that wait for them.
type pool struct {
	name  fleet.ServiceName
	queue []*step
	dirty bool
	// placed is when the queue was last gone through.
	placed time.Time
	// speed is how long tasks take, as a multiple of their estimates.
	speed speed
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
	}
	return p
}

func (o *ownership) enqueue(st *step) {
	st.queued = true
	p := o.pool(st.occ.job.service)
	p.queue = append(p.queue, st)
	p.dirty = true
}

// onRunnersRead takes in changes of the platform's list.
func (o *ownership) onRunnersRead(b event.RunnersRead) {
	if o.runnersUnreadable {
		o.runnersUnreadable = false
		o.s.logDecision(effect.Decision{Name: "list of runners regained", Epoch: o.epoch})
	}
	if b.Full {
		o.runnersListed = true
		for _, r := range o.sortedRunners {
			r.listed = false
		}
	}
	for i := range b.Runners {
		o.onRunnerListed(&b.Runners[i])
	}
	for _, id := range b.Removed {
		if r, ok := o.runners[id]; ok && r.listed {
			r.listed, r.unlisted = false, o.now()
			o.s.logDecision(effect.Decision{Name: "runner left the list", Runner: id, Epoch: o.epoch, Count: len(r.runs)})
		}
	}
	o.dropEmpty()
}

// dropEmpty forgets the runners that are gone and run nothing.
func (o *ownership) dropEmpty() {
	for _, r := range slices.Clone(o.sortedRunners) {
		if !r.listed && len(r.runs) == 0 && r.Address == "" {
			o.drop(r)
		}
	}
}

func (o *ownership) drop(r *runner) {
	delete(o.runners, r.ID)
	o.sortedRunners = slices.DeleteFunc(o.sortedRunners, func(x *runner) bool { return x == r })
}

func (o *ownership) onRunnerListed(f *fleet.Runner) {
	r := o.runner(f.ID)
	if r.Incarnation != 0 && f.Incarnation != 0 && r.Incarnation != f.Incarnation {
		if f.Incarnation < r.Incarnation {
			return // an older report
		}
		o.reborn(r)
	}
	wasDraining, wasListed := r.Draining, r.listed
	r.Runner = *f
	r.listed = true
	if f.Draining && !wasDraining {
		r.drainSince = o.now()
		o.s.logDecision(effect.Decision{Name: "runner drains", Runner: r.ID, Epoch: o.epoch, Count: len(r.runs), Age: f.Remaining})
	}
	if !wasListed {
		o.s.logDecision(effect.Decision{Name: "runner listed", Runner: r.ID, Epoch: o.epoch, Count: len(r.runs)})
	}
	o.pool(r.Service).dirty = true
	o.pollIfDue(r)
}

// runner returns the runner with an id, which may be unknown so far.
func (o *ownership) runner(id fleet.RunnerID) *runner {
	r, ok := o.runners[id]
	if !ok {
		r = &runner{Runner: fleet.Runner{ID: id}, runs: make(map[fleet.TaskID]*run)}
		o.runners[id] = r
		i, _ := slices.BinarySearchFunc(o.sortedRunners, r, func(a, b *runner) int {
			return strings.Compare(string(a.ID), string(b.ID))
		})
		o.sortedRunners = slices.Insert(o.sortedRunners, i, r)
	}
	return r
}

// Reasons for the end of all that ran on a runner.
const (
	reasonReplaced effect.Reason = "another runner has its address"
	reasonLapsed   effect.Reason = "the lease has run out"
	reasonOrdered  effect.Reason = "its instance was moved or maintained"
	reasonVanished effect.Reason = "the runner does not list it"
)

// dead notes that nothing runs on a runner's last incarnation any more.
func (o *ownership) dead(r *runner, reason effect.Reason) {
	if len(r.runs) > 0 {
		o.s.logDecision(effect.Decision{Name: "runs lost", Warning: true, Runner: r.ID, Reason: reason, Count: len(r.runs), Epoch: o.epoch})
	}
	for _, run := range r.runsWhere(func(*run) bool { return true }) {
		o.loseRun(run, reason)
	}
	r.touched, r.deadline = false, 0
	r.clock = event.Clock{}
	r.used = fleet.Capacity{}
	if reason == reasonLapsed {
		return // the same incarnation may come back and list its ends again
	}
	r.acked, r.seen, r.confirmed = 0, 0, 0
	r.Incarnation = 0
	r.health = health{}
}

// reborn notes that a runner has started anew under its id. What ran on it is
// gone, but an order may have reached the new incarnation: orders without an
// answer are repeated there, and its next list tells which of the others it runs.
func (o *ownership) reborn(r *runner) {
	o.s.logDecision(effect.Decision{Name: "runner started anew", Runner: r.ID, Count: len(r.runs), Epoch: o.epoch})
	r.touched, r.deadline, r.acked, r.seen, r.confirmed = false, 0, 0, 0, 0
	r.leasedUntil = o.now().Add(slowest(leaseLength))
	r.clock = event.Clock{}
	r.health = health{}
	for _, run := range r.runs {
		if run.phase == runStarting {
			run.confirmedAt, run.retryAt = time.Time{}, o.now()
		}
	}
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

// tellClock takes in a runner's clock reading.
func (r *runner) tellClock(c event.Clock) {
	if c.Reading > 0 && c.Received.After(r.clock.Received) {
		r.clock = c
	}
}

// newDeadline returns the end of a lease that begins now, and remembers it. The
// lease of a runner that does not answer is not extended, so that it runs out.
func (r *runner) newDeadline(now time.Time) int64 {
	if r.clock.Reading == 0 || r.look.unreachable {
		return r.deadline
	}
	d := r.clock.Reading + now.Sub(r.clock.Received).Milliseconds() + leaseLength.Milliseconds()
	r.deadline = max(r.deadline, d)
	return d
}

// lapsed reports whether every lease that anyone gave on the runner has
// certainly run out, on the slowest clock.
func (o *ownership) lapsed(r *runner) bool {
	if o.now().Before(r.leasedUntil) {
		return false
	}
	if !r.touched || r.clock.Reading == 0 {
		return o.now().After(o.formerLeasesUntil)
	}
	if r.deadline == 0 {
		// Leases of earlier owners only.
		return o.now().Sub(r.clock.Received) > slowest(leaseLength)
	}
	left := time.Duration(r.deadline-r.clock.Reading) * time.Millisecond
	return o.now().Sub(r.clock.Received) > slowest(left)
}

// slowest returns the longest time that a runner's clock takes to advance by d.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d)/slowestClock) + clockMargin
}

// hasOrdered reports whether anything may run on the runner.
func (r *runner) hasOrdered() bool {
	for _, run := range r.runs {
		if run.phase != runIntent {
			return true
		}
	}
	return false
}

// usable reports whether tasks may be started on the runner.
func (o *ownership) usable(r *runner) bool {
	return r.listed && r.touched && !r.look.unreachable && !r.Draining && !r.vacating && r.Capacity.CPU > 0 &&
		!o.now().Before(r.roomUntil) && o.fit(r)
}

func (r *runner) free() fleet.Capacity { return r.Capacity.Minus(r.used) }

// tickRunner looks at a runner if that is due, and gives up what has lapsed.
func (o *ownership) tickRunner(r *runner) {
	if r.hasOrdered() && o.lapsed(r) {
		o.dead(r, reasonLapsed)
		return
	}
	o.pollIfDue(r)
	if r.Draining || r.vacating {
		o.evacuate(r)
	}
	if !r.listed && len(r.runs) == 0 && o.now().Sub(r.unlisted) > leaseLength {
		o.drop(r)
	}
}

package jobs

import (
	"math"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// maxCallDelay is the longest time after which a runner carries out a call that it did
// not answer. The platform only names some seconds.
const maxCallDelay = 12 * time.Second

// incarnation is what the owner knows of one incarnation of a runner. It is replaced as a
// whole when another incarnation is seen, so that no clock reading, number or suspicion of
// the former one is used for the next.
type incarnation struct {
	// fenced is set once the incarnation has answered a call with a fencing token that no call
	// for an earlier incarnation, or of an earlier owner, has.
	fenced bool
	clock  event.Clock
	// aliveAt is when the last answer that certainly came from this incarnation was
	// received.
	aliveAt time.Time
	// leaseDeadline is the end of the latest lease that this owner granted, in
	// milliseconds of the incarnation's clock; zero when it granted none.
	leaseDeadline int64
	// reported is set once the list of runners has a report of this incarnation. The
	// service, the labels and the capacity may be those of the former one until then.
	reported bool
	// lastEnd is the number of the last ended run that was read, storedEnd of the
	// last that is stored, and acknowledgedEnd of the last that was acknowledged
	// to the runner.
	lastEnd, storedEnd, acknowledgedEnd int64
	// heldEnds lists the ends that are not acknowledged yet although they are stored.
	heldEnds []heldEnd
	// forgottenEnd is the highest number in an acknowledgement for a former incarnation that
	// this one may have got. It may forget ends up to this number before it lists them.
	forgottenEnd int64
	health       health
	// noRoomUntil is until when no task is started after a refusal for lack of
	// capacity.
	noRoomUntil time.Time
}

// staleLeases bounds the leases that calls decided for earlier incarnations of a runner
// may give to its current one: such a call carries a deadline by another clock, of which
// a runner grants Bounds.MaxLease at most.
type staleLeases struct {
	// former is when those by calls of earlier owners have expired, and own when those by
	// calls of this owner have; zero if there are none.
	former, own time.Time
	// deadline is the highest deadline in such calls of this owner, in milliseconds of a
	// runner's clock; math.MaxInt64 if it is not known.
	deadline int64
	// restarted is set if a restart is the reason, rather than that nothing shows which
	// incarnation the former owner knew.
	restarted bool
}

// until returns when all of them have expired.
func (s *staleLeases) until() time.Time { return latest(s.former, s.own) }

// renew replaces the state of the runner's incarnation.
func (r *runner) renew() { r.incarnation = &incarnation{} }

// maxStaleTime returns the time within which every lease that calls decided for an earlier
// incarnation may still give has expired.
func (o *ownership) maxStaleTime() time.Duration {
	return maxCallDelay + onSlowestClock(o.s.cfg.Bounds.MaxLease)
}

// formerStaleUntil returns when leases by calls of earlier owners that were decided for an
// earlier incarnation of a runner have expired.
func (o *ownership) formerStaleUntil() time.Time {
	return o.s.tenure.FormerOwnersActiveUntil().Add(o.maxStaleTime())
}

// callableUntilOf returns until when calls of the owner of an epoch, or of an earlier one, may
// be carried out; zero stands for the previous owner.
func (o *ownership) callableUntilOf(epoch int64) time.Time {
	active := o.s.tenure.FormerOwnersActiveUntil()
	if epoch > 0 && epoch < o.epoch {
		if at := o.s.tenure.ActiveUntil(epoch); at.Before(active) {
			active = at
		}
	}
	return active.Add(maxOrderAge + maxCallDelay)
}

// expectStaleLeases takes account of the calls decided for a runner's current incarnation
// when another one was seen.
func (o *ownership) expectStaleLeases(r *runner) {
	r.stale.former, r.stale.restarted = o.formerStaleUntil(), true
	if r.leased {
		o.expectOwnStaleLeases(r)
	}
	o.markChanged(restartedChange)
}

// expectOwnStaleLeases does so for calls of this owner, which has leased the runner.
func (o *ownership) expectOwnStaleLeases(r *runner) {
	deadline := int64(math.MaxInt64)
	if r.clock.Reading > 0 {
		deadline = r.latestClock(o.now()) + leaseDuration.Milliseconds()
	}
	if o.now().Before(r.stale.own) {
		deadline = max(deadline, r.stale.deadline)
	}
	r.stale.own, r.stale.deadline = o.now().Add(o.maxStaleTime()), deadline
}

// onFenced takes account of the first answer to the current token: the incarnation refuses earlier calls, of
// this owner and of former ones, so they extend no lease.
func (o *ownership) onFenced(r *runner) {
	r.fenced = true
	o.expectForgottenEnds(r)
	limit := o.now().Add(onSlowestClock(o.s.cfg.Bounds.MaxLease))
	if limit.Before(r.stale.former) {
		r.stale.former = limit
	}
	if limit.Before(r.stale.own) {
		r.stale.own = limit
	}
}

// staleLeasesExpireAt returns when the leases that calls decided for earlier incarnations
// may give have expired on the slowest clock; zero if there are none.
func (r *runner) staleLeasesExpireAt() time.Time {
	if r.stale.own.IsZero() || r.clock.Reading == 0 || r.stale.deadline == math.MaxInt64 {
		return r.stale.until()
	}
	left := time.Duration(r.stale.deadline-r.clock.Reading) * time.Millisecond
	if at := r.clock.Received.Add(onSlowestClock(left)); at.Before(r.stale.own) {
		return latest(r.stale.former, at)
	}
	return r.stale.until()
}

// earliestClock returns the lowest value that the runner's clock may read at a time. A
// deadline that is derived from it gives no longer a lease than intended, however old the
// reading is. Others, who do not know the deadline, rely on that.
func (r *runner) earliestClock(t time.Time) int64 {
	return r.clock.Reading + int64(slowestClockRate*float64(t.Sub(r.clock.Received).Milliseconds()))
}

// latestClock returns the highest value that the runner's clock may read at a time.
func (r *runner) latestClock(t time.Time) int64 {
	return r.clock.Reading + t.Sub(r.clock.Sent).Milliseconds() + 1
}

// provesIncarnation reports whether a reading is of the known incarnation: the clock of one that
// has begun since the last answer cannot have come that far.
func (r *runner) provesIncarnation(c event.Clock) bool {
	return r.clock.Reading > 0 && c.Reading >= r.clock.Reading && c.Reading > c.Received.Sub(r.clock.Sent).Milliseconds()
}

// readingExpired reports whether the reading of the runner's clock is too old for a start.
func (r *runner) readingExpired(now time.Time) bool {
	return now.Sub(r.clock.Received) > maxReadingAge
}

// updateClock stores a reading of the runner's clock if it is newer. A reading below an
// earlier one is of another incarnation, which the next poll shows.
func (r *runner) updateClock(c event.Clock) {
	switch {
	case c.Reading <= 0 || !c.Received.After(r.clock.Received):
	case c.Reading < r.clock.Reading && c.Sent.After(r.clock.Received):
		r.poll.maybeRestarted = true
	default:
		r.clock = c
	}
}

// loseFormerRuns gives up the runs that have certainly ended with an earlier incarnation
// of a runner, as that one has listed them and all their starts were answered. The next
// one may run the others.
func (o *ownership) loseFormerRuns(r *runner, seen fleet.Incarnation) {
	lost := r.runsWhere(func(run *run) bool {
		return run.ended != nil && run.incarnation < seen && !run.listedAt.IsZero() && !run.mayStartLate && !run.startInFlight()
	})
	o.onRunnerEnded(r, reasonRestarted, lost)
	for _, run := range lost {
		o.loseRun(run, reasonRestarted)
	}
}

// startInFlight reports whether the answer to a start of the run is outstanding.
func (run *run) startInFlight() bool { return run.phase == runStarting && run.orderInFlight }

// restartedRunners returns the runners that have restarted lately, sorted. The ledger tells
// the next owner of them.
func (o *ownership) restartedRunners() []fleet.RunnerID {
	var list []fleet.RunnerID
	for id := range o.former.restarted {
		if _, ok := o.runners[id]; !ok && o.now().Before(o.formerStaleUntil()) {
			list = append(list, id)
		}
	}
	for _, r := range o.sortedRunners {
		if r.stale.restarted && o.now().Before(r.stale.until()) {
			list = append(list, r.ID)
		}
	}
	slices.Sort(list)
	return list
}

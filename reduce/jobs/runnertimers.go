package jobs

import (
	"time"
)

// tickRunner gives up the runs on a runner whose leases have expired, and polls or
// evacuates the runner if that is due.
func (o *ownership) tickRunner(r *runner) {
	o.touch(r)
	o.expireLateStarts(r)
	if r.mayRunTasks() && o.leasesExpired(r) {
		o.onRunnerGone(r, reasonLeaseExpired)
		return
	}
	o.pollIfDue(r)
	if r.Draining || r.vacating {
		o.evacuate(r)
	}
	if !r.listed && len(r.runs) == 0 && o.now().After(o.droppableAt(r)) {
		o.dropRunner(r)
	}
}

// droppableAt returns when the state of a runner that is not listed and runs nothing may be
// dropped.
func (o *ownership) droppableAt(r *runner) time.Time {
	at := latest(r.unlistedAt.Add(leaseDuration), r.unresolvedUntil)
	// Its next incarnation may be listed while calls for this one are in transit.
	at = latest(at, latest(r.tokens.callableUntil, r.stale.until()))
	for _, late := range r.lateStarts {
		at = latest(at, o.lateRunsUntil(late))
	}
	return at
}

// touch makes the runner's timer be set anew at the end of the event.
func (o *ownership) touch(r *runner) {
	if !r.touched {
		r.touched = true
		o.touchedRunners = append(o.touchedRunners, r)
	}
}

// armTouched sets the timers of the runners that the event has changed.
func (o *ownership) armTouched() {
	for _, r := range o.touchedRunners {
		r.touched = false
		if o.runners[r.ID] == r {
			o.armRunner(r)
		}
	}
	o.touchedRunners = o.touchedRunners[:0]
}

// armRunner sets the runner's timer for when a poll, the end of its leases or of a late
// start, an evacuation or its removal is due. A timer that is set for an earlier time stays,
// which saves moving it at each extension of the leases.
func (o *ownership) armRunner(r *runner) {
	soon := o.now().Add(ownerTick)
	var next time.Time
	due := func(at time.Time) {
		if at = latest(at, soon); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !r.poll.inFlight && r.needsPoll(o.now()) && o.mayPoll(r) {
		due(r.poll.notBefore)
	}
	if r.mayRunTasks() {
		due(o.leasesExpireAt(r))
	}
	if (r.Draining || r.vacating) && len(r.runs) > 0 {
		due(soon)
	}
	o.eachHoldEnd(r, due)
	if !r.listed && len(r.runs) == 0 {
		due(o.droppableAt(r))
	}
	switch {
	case next.IsZero():
		o.timers.Clear(&r.timer)
	case !r.timer.IsSet() || next.Before(r.timer.At()):
		o.timers.Set(&r.timer, next, r)
	}
}

// eachHoldEnd calls do for the times at which late starts on a runner are over and held ends may
// be acknowledged.
func (o *ownership) eachHoldEnd(r *runner, do func(time.Time)) {
	for _, late := range r.lateStarts {
		do(o.lateRunsUntil(late))
	}
	for _, held := range r.heldEnds {
		if o.now().Before(held.until) {
			do(held.until)
		}
	}
}

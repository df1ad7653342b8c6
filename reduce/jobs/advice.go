package jobs

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// maxRunnersPerAdvice is the largest number of runners in one request: each
	// runner makes the answer slower.
	maxRunnersPerAdvice = 30
	// ticketMargin is the time before its expiry from which a ticket is not used.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the least time between an answer and the next request.
	adviceRetryDelay = 200 * time.Millisecond
)

// advice is what the advice service has answered for a step, and the state of the
// requests for it.
type advice struct {
	// tickets holds the tickets of runners that may run the step, until validUntil.
	tickets    map[fleet.RunnerID]string
	validUntil time.Time
	// asked holds the runners that were named in requests since the tickets last expired.
	asked    map[fleet.RunnerID]bool
	inFlight bool
	retryAt  time.Time
}

// ensureAdvice reports whether a usable runner with a valid ticket has room for a task of a step. If
// none has, it requests advice about others: those with tickets may be full, or have left.
func (o *ownership) ensureAdvice(st *step, usable []*runner) bool {
	a := &st.advice
	if !o.now().Before(a.validUntil) {
		a.tickets = nil
	}
	if slices.ContainsFunc(usable, func(r *runner) bool { return a.tickets[r.ID] != "" && r.free().Fits(st.spec.Reservation()) }) {
		return true
	}
	if !a.inFlight && !o.now().Before(a.retryAt) {
		o.requestAdvice(st, usable)
	}
	return false
}

// requestAdvice requests advice about usable runners that were not named yet, or about all of them in turn while
// none has a ticket.
func (o *ownership) requestAdvice(st *step, usable []*runner) {
	a := &st.advice
	isAsked := func(r *runner) bool { return a.asked[r.ID] }
	if len(a.tickets) == 0 && !slices.ContainsFunc(usable, func(r *runner) bool { return !isAsked(r) }) {
		a.asked = nil
	}
	var ids []fleet.RunnerID
	for _, r := range usable {
		if !isAsked(r) && len(ids) < maxRunnersPerAdvice {
			ids = append(ids, r.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	if a.asked == nil {
		a.asked = make(map[fleet.RunnerID]bool)
	}
	for _, id := range ids {
		a.asked[id] = true
	}
	a.inFlight = true
	o.s.emit(effect.RequestAdvice{Epoch: o.epoch, Job: st.occ.job.id, Step: st.stepName(), Runners: ids})
}

// stepName returns the name of the step as used with the advice service.
func (st *step) stepName() string {
	return fleet.TaskID{Job: st.occ.job.id, Occurrence: st.occ.number, Step: st.number}.StepName()
}

func (o *ownership) onAdviceReceived(b event.AdviceReceived) {
	j, ok := o.jobs[b.Job]
	if !ok {
		return
	}
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.stepName() == b.Step {
				o.applyAdvice(st, b)
			}
		}
	}
}

func (o *ownership) applyAdvice(st *step, b event.AdviceReceived) {
	st.advice.inFlight = false
	st.advice.retryAt = o.now().Add(adviceRetryDelay)
	if b.Failed {
		for _, id := range b.Runners {
			delete(st.advice.asked, id)
		}
		return
	}
	st.advice.add(b.Tickets, o.now().Add(b.ValidFor-ticketMargin))
	o.pool(st.occ.job.service).dirty = true
}

// add adds tickets that are valid until a time to those that have not expired.
func (a *advice) add(tickets map[fleet.RunnerID]string, until time.Time) {
	if len(a.tickets) == 0 {
		a.tickets, a.validUntil = tickets, until
		return
	}
	maps.Copy(a.tickets, tickets)
	if until.Before(a.validUntil) {
		a.validUntil = until
	}
}

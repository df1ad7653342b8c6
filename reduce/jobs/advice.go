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

// ensureAdvice reports whether a task of a step may run on one of the usable runners now, with a valid
// ticket. If not, it requests advice about others: runners with tickets may be full, or have left.
func (o *ownership) ensureAdvice(st *step, usable []*runner) bool {
	a := &st.advice
	if !o.now().Before(a.validUntil) {
		a.tickets = nil
	}
	if len(a.tickets) > 0 && slices.ContainsFunc(usable, func(r *runner) bool { return o.feasible(st, r, gangShare{}) }) {
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
	ids := st.unasked(usable)
	if len(ids) == 0 && len(a.tickets) == 0 {
		a.asked = nil
		ids = st.unasked(usable)
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

// unasked returns runners with the label of the step that no request has named, as many as one may name.
func (st *step) unasked(usable []*runner) []fleet.RunnerID {
	var ids []fleet.RunnerID
	for _, r := range usable {
		if !st.advice.asked[r.ID] && r.HasLabel(st.spec.Label) && len(ids) < maxRunnersPerAdvice {
			ids = append(ids, r.ID)
		}
	}
	return ids
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

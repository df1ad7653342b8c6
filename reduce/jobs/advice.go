package jobs

import (
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

// advice is the answer of the advice service for a step, and the state of the
// requests for it.
type advice struct {
	tickets    map[fleet.RunnerID]string
	validUntil time.Time
	inFlight   bool
	retryAt    time.Time
	// nextRunner is the number of runners named in requests so far. The next
	// request begins with the usable runner after them.
	nextRunner int
}

// ensureAdvice reports whether a step has valid tickets. If not, it requests advice
// about some of the usable runners, in turn.
func (o *ownership) ensureAdvice(st *step, usable []*runner) bool {
	a := &st.advice
	if len(a.tickets) > 0 && o.now().Before(a.validUntil) {
		return true
	}
	if a.inFlight || o.now().Before(a.retryAt) {
		return false
	}
	var ids []fleet.RunnerID
	for i := range min(maxRunnersPerAdvice, len(usable)) {
		ids = append(ids, usable[(a.nextRunner+i)%len(usable)].ID)
	}
	a.nextRunner += len(ids)
	a.inFlight = true
	o.s.emit(effect.RequestAdvice{Epoch: o.epoch, Job: st.occ.job.id, Step: st.stepName(), Runners: ids})
	return false
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
		return
	}
	st.advice.tickets = b.Tickets
	st.advice.validUntil = o.now().Add(b.ValidFor - ticketMargin)
	o.pool(st.occ.job.service).dirty = true
}

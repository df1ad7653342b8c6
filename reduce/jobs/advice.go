package jobs

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// adviceBatch is the number of runners asked about at once: an answer takes
	// longer with each.
	adviceBatch = 30
	// adviceMargin is how long before its end a ticket is not used any more.
	adviceMargin = 300 * time.Millisecond
	// advicePause is the pause after an answer that helped nothing.
	advicePause = 200 * time.Millisecond
)

// advice is what the advice service said of a step.
type advice struct {
	tickets  map[fleet.RunnerID]string
	until    time.Time
	asking   bool
	retryAt  time.Time
	askedFor int
}

// advised reports whether a step has tickets, and asks for them if not.
func (o *ownership) advised(st *step, usable []*runner) bool {
	a := &st.advice
	if len(a.tickets) > 0 && o.now().Before(a.until) {
		return true
	}
	if a.asking || o.now().Before(a.retryAt) {
		return false
	}
	var ids []fleet.RunnerID
	for i := range min(adviceBatch, len(usable)) {
		ids = append(ids, usable[(a.askedFor+i)%len(usable)].ID)
	}
	a.askedFor += len(ids)
	a.asking = true
	o.s.emit(effect.RequestAdvice{Epoch: o.epoch, Job: st.occ.job.id, Step: st.name(), Runners: ids})
	return false
}

func (st *step) name() string {
	return fleet.TaskID{Job: st.occ.job.id, Occurrence: st.occ.number, Step: st.number}.StepName()
}

func (o *ownership) onAdviceGiven(b event.AdviceReceived) {
	j, ok := o.jobs[b.Job]
	if !ok {
		return
	}
	for _, occ := range j.occurrences {
		for _, st := range occ.steps {
			if st.name() == b.Step {
				o.takeAdvice(st, b)
			}
		}
	}
}

func (o *ownership) takeAdvice(st *step, b event.AdviceReceived) {
	st.advice.asking = false
	st.advice.retryAt = o.now().Add(advicePause)
	if b.Failed {
		return
	}
	st.advice.tickets = b.Tickets
	st.advice.until = o.now().Add(b.ValidFor - adviceMargin)
	o.pool(st.occ.job.service).dirty = true
}

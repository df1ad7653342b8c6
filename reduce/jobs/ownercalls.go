package jobs

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// maxActive limits the number of jobs that have not ended.
const maxActive = 12_000

// serve handles an authorized call to a known queue at the owner of the jobs.
func (o *ownership) serve(c *call) {
	switch c.Kind {
	case effect.CallSubmit:
		o.submit(c)
	case effect.CallState:
		o.answerState(c)
	case effect.CallCancel:
		o.cancel(c)
	case effect.CallWaiting:
		o.answerWaiting(c)
	}
}

// submit accepts a job and answers once the job is stored. It is idempotent: a
// job with a known id is not created again.
func (o *ownership) submit(c *call) {
	accepted := effect.CallAnswer{Kind: effect.AnswerAccepted}
	if _, ok := o.jobs[c.Job]; ok {
		o.whenStored(deferred{call: c, answer: accepted})
		return
	}
	if !c.maybeDone && o.storeDown() && o.held.add(c) {
		return
	}
	if reason := o.refusalReason(c); reason != "" {
		// An earlier owner may have stored a job that was handed in before, so a refusal
		// could be wrong then.
		kind := effect.AnswerRefused
		if c.maybeDone {
			kind = effect.AnswerUnknown
		}
		o.s.answer(c, effect.CallAnswer{Kind: kind, RetryAfter: retryAfter, Reason: reason})
		return
	}
	j := o.newJob(c.Job, &ledger.Definition{Queue: c.Queue, Accepted: c.arrived, Spec: c.Spec, Tenant: c.Tenant})
	o.jobs[j.id] = j
	o.addActive(j)
	o.markDirty(j)
	o.observeArrival(j)
	o.beginScheduled(j)
	o.whenStored(deferred{call: c, answer: accepted})
}

// refusalReason returns why a job is not accepted; empty if it is. One that may have been
// stored waits for a store that does not answer.
func (o *ownership) refusalReason(c *call) effect.Reason {
	switch {
	case o.storeDown() && !c.maybeDone:
		return reasonStoreDown
	case !o.holds(c.Spec):
		return reasonOverloaded
	default:
		return ""
	}
}

// answerState answers with the state of a job. Final states are shown only once
// they are stored.
func (o *ownership) answerState(c *call) {
	j, ok := o.jobs[c.Job]
	if !ok {
		o.answerNoJob(c)
		return
	}
	shown := j.storedState
	if !shown.Final() && (j.begun || j.adopted) {
		shown = fleet.JobRunning
	}
	o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerState, State: shown})
}

// answerNoJob answers that there is no such job. If another entry may own the jobs
// by now, and so may have accepted the job, it refuses the call instead.
func (o *ownership) answerNoJob(c *call) {
	if o.s.tenure.IsSoleOwner(o.now()) {
		o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerNoJob})
		return
	}
	o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonNoOwner})
}

// cancel cancels a job. It answers once the cancellation is stored; the runs of
// the job are stopped at the same time.
func (o *ownership) cancel(c *call) {
	j, ok := o.jobs[c.Job]
	if !ok {
		o.answerNoJob(c)
		return
	}
	if !j.state.Final() {
		o.endJob(j, fleet.JobCancelled)
	}
	o.whenStored(deferred{call: c, answer: effect.CallAnswer{Kind: effect.AnswerCancelled}})
}

// answerWaiting answers with the number of jobs of a queue of which no task has
// started. An owner that may have been superseded does not know the number.
func (o *ownership) answerWaiting(c *call) {
	if !o.s.tenure.IsSoleOwner(o.now()) {
		o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonNoOwner})
		return
	}
	o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerWaiting, Waiting: o.waitingJobs[c.Queue]})
}

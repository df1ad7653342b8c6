package jobs

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// maxActive bounds the jobs that have not ended, for memory: with texts of 4 KB
// they take about 100 MB.
const maxActive = 12_000

// serve handles a call at the owner.
func (o *ownership) serve(c *call) {
	if _, ok := o.s.queues.ByName[c.Queue]; !ok {
		o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerNoQueue, Reason: reasonUnknownQueue})
		return
	}
	switch c.Kind {
	case effect.CallSubmit:
		o.submit(c)
	case effect.CallState:
		o.answerState(c)
	case effect.CallCancel:
		o.cancel(c)
	case effect.CallWaiting:
		o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerWaiting, Waiting: o.waiting(c.Queue)})
	}
}

// submit accepts a job once it is stored. The same job again is the same job.
func (o *ownership) submit(c *call) {
	accepted := effect.CallAnswer{Kind: effect.AnswerAccepted}
	if _, ok := o.jobs[c.Job]; ok {
		o.whenStored(deferred{call: c, answer: accepted})
		return
	}
	refused := effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter}
	switch {
	case c.maybeDone:
		// An earlier owner may have stored it; refusing could be untrue.
	case o.storeDown():
		refused.Reason = reasonStoreDown
	case len(o.active) >= maxActive:
		refused.Reason = reasonOverloaded
	}
	if refused.Reason != "" {
		o.s.answer(c, refused)
		return
	}
	j := o.newJob(c.Job, &ledger.Definition{Queue: c.Queue, Accepted: c.arrived, Spec: c.Spec})
	o.jobs[j.id] = j
	o.active = append(o.active, j)
	o.markDirty(j)
	o.observeArrival(j)
	o.beginScheduled(j)
	o.whenStored(deferred{call: c, answer: accepted})
}

func (o *ownership) answerState(c *call) {
	j, ok := o.jobs[c.Job]
	if !ok {
		o.answerNoJob(c)
		return
	}
	shown := j.storedState
	if !shown.Final() && j.started {
		shown = fleet.JobRunning
	}
	o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerState, State: shown})
}

// answerNoJob tells that there is no such job, unless another entry may own the
// jobs by now and know better.
func (o *ownership) answerNoJob(c *call) {
	if o.s.tenure.IsSoleOwner(o.now()) {
		o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerNoJob})
		return
	}
	o.s.answer(c, effect.CallAnswer{Kind: effect.AnswerRefused, RetryAfter: retryAfter, Reason: reasonNoOwner})
}

// cancel answers once the cancellation is stored. Its runs stop then.
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

// waiting counts the jobs of a queue of which no task has started.
func (o *ownership) waiting(queue fleet.QueueName) int {
	n := 0
	for _, j := range o.active {
		if j.queue == queue && !j.started {
			n++
		}
	}
	return n
}

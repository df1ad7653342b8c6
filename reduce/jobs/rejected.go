package jobs

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

// reasonNotStorable is the reason for giving up what the store takes under no
// circumstances.
const reasonNotStorable effect.Reason = "the store does not take its record"

// onBatchRejected handles an append that the store will never take. Nothing of it is
// stored, so its records are tried in smaller batches until the rejected one is alone.
// Before that one is given up, an empty append shows whether the store rejects only it.
func (o *ownership) onBatchRejected(reason string) {
	box := &o.outbox
	inFlight := box.inFlight
	o.s.logDecision(effect.Decision{
		Name: "ledger append rejected", Warning: true, Epoch: o.epoch, Count: len(inFlight.entries), Reason: effect.Reason(reason),
	})
	o.s.count("ledger_appends_rejected", "")
	if len(inFlight.entries) == 1 {
		box.verifying = true
		o.s.emit(effect.FenceLedger{Epoch: o.epoch})
		return
	}
	half := len(inFlight.entries) / 2
	box.rest = append(slices.Clone(inFlight.entries[half:]), box.rest...)
	inFlight.entries = inFlight.entries[:half]
	box.assignDeferred(inFlight)
	o.sendBatch()
}

// onRejectionVerified handles the outcome of the empty append after a rejected record.
func (o *ownership) onRejectionVerified(b event.LedgerFenced) {
	box := &o.outbox
	box.verifying = false
	switch b.Outcome {
	case effect.AppendDone, effect.AppendOutOfSequence:
		o.discardRecord()
	case effect.AppendFenced:
		o.s.endTenure(reasonLedgerFenced)
	default:
		o.retryBatch(b.Outcome)
	}
}

// discardRecord gives up the only record of the batch in flight.
func (o *ownership) discardRecord() {
	box := &o.outbox
	inFlight := box.inFlight
	box.inFlight = nil
	r := inFlight.entries[0].record
	o.s.logDecision(effect.Decision{
		Name: "ledger record given up", Warning: true, Job: r.Job, Epoch: o.epoch, Count: r.Size(), Reason: reasonNotStorable,
	})
	o.s.count("ledger_records_given_up", "")
	// The next batch takes the sequence number, since the store has not seen it.
	box.sequence--
	box.onStored = append(inFlight.onStored, box.onStored...)
	box.through = inFlight.before
	box.rest = append([]entry{{number: inFlight.entries[0].number, empty: true}}, box.rest...)
	switch {
	case r.Job != "":
		if j, ok := o.jobs[r.Job]; ok {
			o.rejectJob(j, r.Definition != nil)
		}
	case r.RecentlyOrdered != nil:
		o.withdrawUnstoredOrders()
	case r.RunTimes != nil:
		o.learned.rejected = true
	}
}

// rejectJob gives up a job of which the store does not take a record. If that is its
// definition, the job was never accepted.
func (o *ownership) rejectJob(j *job, isDefinition bool) {
	for i := range o.outbox.rest {
		if e := &o.outbox.rest[i]; e.record.Job == j.id {
			*e = entry{number: e.number, empty: true}
		}
	}
	if !isDefinition {
		if !j.state.Final() {
			o.endJob(j, fleet.JobFailed)
		}
		return
	}
	invalid := effect.CallAnswer{Kind: effect.AnswerInvalid, Reason: reasonNotStorable}
	for i := range o.outbox.onStored {
		if d := &o.outbox.onStored[i]; d.call != nil && d.call.Job == j.id {
			d.answer = invalid
		}
	}
	j.state, j.expired = fleet.JobFailed, true
	o.dequeue(j)
	o.removeActive(j)
	o.timers.Clear(&j.nextOccurrence)
	delete(o.jobs, j.id)
}

// withdrawUnstoredOrders drops the orders about instances that wait for the ledger.
func (o *ownership) withdrawUnstoredOrders() {
	o.outbox.onStored = slices.DeleteFunc(o.outbox.onStored, func(d deferred) bool {
		if d.instanceOrder != nil && d.instanceOrder.pending != nil {
			o.withdrawOrder(d.instanceOrder)
		}
		return d.instanceOrder != nil
	})
}

// storable reports whether the store takes the definition of a job that a client hands in.
func (s *State) storable(c *call) bool {
	d := &ledger.Definition{Queue: c.Queue, Accepted: c.arrived, Spec: c.Spec, Tenant: c.Tenant}
	r := ledger.Record{Job: c.Job, Definition: d}
	return r.Size()+definitionReserve <= s.cfg.Bounds.RecordBytes
}

// definitionReserve is the space in a definition for settings of the queue that may change
// before it is stored, in bytes.
const definitionReserve = 512

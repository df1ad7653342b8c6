package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

const (
	// maxBatchBytes and maxBatchRecords bound one append, beside the store's own limit
	// of a call. A batch is transferred and stored within minAppendTimeout at the
	// platform's usual rates.
	maxBatchBytes   = 512 << 10
	maxBatchRecords = 600
	// storeDownAfter is the age of an unanswered append above which new jobs are
	// refused immediately. It is far above the usual 10 ms of an append, and above
	// the half second of a slow store.
	storeDownAfter = 700 * time.Millisecond
	// maxHeartbeatAge is the largest age of a tenure record when it is sent.
	maxHeartbeatAge = 500 * time.Millisecond
	// minAppendTimeout and maxAppendTimeout bound the time-out of an append: 15
	// times the usual duration, and the duration at a store that is 60 times
	// slower. A retry is harmless, because the store accepts each sequence number
	// only once.
	minAppendTimeout = 150 * time.Millisecond
	maxAppendTimeout = 800 * time.Millisecond
	// appendTimeoutFactor is the time-out of an append as a multiple of the
	// duration of the last append. The time-out doubles with each retry.
	appendTimeoutFactor = 4
	maxAppendRetryDelay = 200 * time.Millisecond
	minAppendRetryDelay = 10 * time.Millisecond
)

// deferred is an action that waits until the changes before it are stored: one of start,
// runner, publish, call, stopRuns, instanceOrder and reached, or an effect.
type deferred struct {
	// after is the number of the last change that has to be stored before.
	after  int64
	effect effect.Effect
	// start is a run to start. Its intent is stored.
	start *run
	// lastEnd is the number of the last ended run that is stored of an incarnation of
	// a runner, and to be acknowledged to it.
	lastEnd     int64
	runner      *runner
	incarnation *incarnation
	// publish is a job whose state is to be shown to clients.
	publish *job
	// call is a call to be answered with answer.
	call   *call
	answer effect.CallAnswer
	// stopRuns is a job whose runs are to be stopped.
	stopRuns *job
	// instanceOrder is an instance whose pending order is to be sent.
	instanceOrder *instance
	// reached is a runner that is no longer stored as unreached.
	reached *runner
}

// entry is a record on its way to the ledger.
type entry struct {
	record ledger.Record
	// number is the number of the change that the record completes; zero if more records
	// of the change follow.
	number int64
	// empty is set for an entry without a record.
	empty bool
}

// batch is a group of records whose append is in flight.
type batch struct {
	entries  []entry
	onStored []deferred
	// before is the number of the last change that was complete before the batch.
	before     int64
	createdAt  time.Time
	retryDelay time.Duration
	timeout    time.Duration
}

// outbox collects changes in batches for the ledger. One append is in flight at a
// time; later changes go into the next batch. Changes are stored in order.
type outbox struct {
	sequence int64
	inFlight *batch
	// queue holds the changes of which no record is made yet. added is the number of
	// changes so far, and taken that of those whose records were made.
	queue        []change
	added, taken int64
	// rest holds records of changes that were taken and are in no batch.
	rest []entry
	// through is the number of the last change that is complete in a batch that was
	// stored or is in flight.
	through  int64
	onStored []deferred
	// lists holds the state of each list by its kind.
	lists [changeKinds]storedList
	// verifying is set while an empty append shows whether the store takes any.
	verifying bool
	// lastAppendTime is the duration of the last append.
	lastAppendTime time.Duration
	// down is set once the store's failure was logged.
	down bool
}

func (box *outbox) add(c change) {
	box.added++
	box.queue = append(box.queue, c)
}

// empty reports whether nothing waits for a batch.
func (box *outbox) empty() bool {
	return len(box.queue) == 0 && len(box.rest) == 0 && len(box.onStored) == 0
}

// whenStored defers an action until all changes made so far are stored.
func (o *ownership) whenStored(d deferred) {
	d.after = o.outbox.added
	o.outbox.onStored = append(o.outbox.onStored, d)
}

// storeDown reports whether the append in flight has not succeeded within
// storeDownAfter.
func (o *ownership) storeDown() bool {
	inFlight := o.outbox.inFlight
	return inFlight != nil && o.now().Sub(inFlight.createdAt) > storeDownAfter
}

// flush appends a batch of changes to the ledger, unless an append is in flight.
func (o *ownership) flush() {
	box := &o.outbox
	if o.phase != phaseActive || box.inFlight != nil || box.empty() {
		return
	}
	o.storeRunTimes()
	b := o.nextBatch()
	if len(b.entries) == 0 {
		o.runDeferred(b.onStored)
		return
	}
	box.inFlight = b
	b.timeout = min(max(appendTimeoutFactor*box.lastAppendTime, minAppendTimeout), maxAppendTimeout)
	box.sequence++
	o.sendBatch()
}

// nextBatch returns the next batch. It has at least one record if any is left, and else no
// more than an append may have.
func (o *ownership) nextBatch() *batch {
	box := &o.outbox
	b := &batch{createdAt: o.now(), before: box.through}
	limit := min(maxBatchBytes, o.s.cfg.Bounds.CallBytes)
	size := 0
	for len(box.rest) > 0 || o.takeChange() {
		e := box.rest[0]
		if !e.empty {
			if size += e.record.Size(); len(b.entries) > 0 && (size > limit || len(b.entries) == maxBatchRecords) {
				break
			}
		}
		b.entries = append(b.entries, e)
		box.rest = box.rest[1:]
	}
	box.assignDeferred(b)
	b.entries = slices.DeleteFunc(b.entries, func(e entry) bool { return e.empty })
	return b
}

// takeChange makes the records of the next change. It returns false if there is none.
func (o *ownership) takeChange() bool {
	box := &o.outbox
	if len(box.queue) == 0 {
		return false
	}
	c := box.queue[0]
	box.queue = box.queue[1:]
	box.taken++
	records := o.records(c)
	box.rest = make([]entry, 0, len(records)+1)
	for _, r := range records {
		box.rest = append(box.rest, entry{record: r})
	}
	if len(records) == 0 {
		box.rest = append(box.rest, entry{empty: true})
	}
	box.rest[len(box.rest)-1].number = box.taken
	return true
}

// assignDeferred gives a batch the actions that wait for no later change than those that
// it completes. Others that it had before wait for the next batch.
func (box *outbox) assignDeferred(b *batch) {
	box.onStored = append(b.onStored, box.onStored...)
	box.through = b.before
	for i := range b.entries {
		box.through = max(box.through, b.entries[i].number)
	}
	n := 0
	for n < len(box.onStored) && box.onStored[n].after <= box.through {
		n++
	}
	b.onStored, box.onStored = slices.Clone(box.onStored[:n]), slices.Clone(box.onStored[n:])
}

func (o *ownership) sendBatch() {
	inFlight := o.outbox.inFlight
	records := make([]ledger.Record, 0, len(inFlight.entries))
	for i := range inFlight.entries {
		records = append(records, inFlight.entries[i].record)
	}
	o.s.emit(effect.AppendLedger{Epoch: o.epoch, Sequence: o.outbox.sequence, Records: records, Delay: inFlight.retryDelay, Timeout: inFlight.timeout})
}

func (o *ownership) onLedgerAppended(b event.LedgerAppended) {
	inFlight := o.outbox.inFlight
	if inFlight == nil || o.outbox.verifying || b.Sequence != o.outbox.sequence {
		return
	}
	switch b.Outcome {
	case effect.AppendDone:
		o.outbox.lastAppendTime = b.Elapsed
		o.onBatchStored()
	case effect.AppendFenced:
		o.s.endTenure(reasonLedgerFenced)
	case effect.AppendOutOfSequence:
		o.onOutOfSequence(b)
	case effect.AppendRejected:
		o.onBatchRejected(b.Reason)
	default:
		o.retryBatch(b.Outcome)
	}
}

func (o *ownership) onBatchStored() {
	inFlight := o.outbox.inFlight
	o.outbox.inFlight = nil
	o.s.emit(effect.Observe{Name: "ledger_append", Duration: o.now().Sub(inFlight.createdAt)})
	if o.outbox.down {
		o.outbox.down = false
		o.s.logDecision(effect.Decision{Name: "ledger regained", Epoch: o.epoch, Age: o.now().Sub(inFlight.createdAt)})
	}
	o.runDeferred(inFlight.onStored)
	o.serveHeld()
}

// onOutOfSequence handles an append whose sequence number the store did not
// expect. Either an earlier try of the same append succeeded, or the store's
// sequence number applies, as at the beginning of a tenure.
func (o *ownership) onOutOfSequence(b event.LedgerAppended) {
	if b.Expected == o.outbox.sequence+1 {
		o.onBatchStored()
		return
	}
	o.s.logDecision(effect.Decision{Name: "ledger out of sequence", Warning: true, Epoch: o.epoch, Version: b.Expected, Count: int(b.Sequence)})
	o.outbox.sequence = b.Expected
	o.retryBatch(b.Outcome)
}

func (o *ownership) retryBatch(outcome effect.AppendOutcome) {
	inFlight := o.outbox.inFlight
	inFlight.timeout = min(2*inFlight.timeout, maxAppendTimeout)
	inFlight.retryDelay = min(max(2*inFlight.retryDelay, minAppendRetryDelay), maxAppendRetryDelay)
	if o.storeDown() && !o.outbox.down {
		o.outbox.down = true
		o.s.logDecision(effect.Decision{Name: "ledger lost", Warning: true, Epoch: o.epoch, Count: int(outcome), Age: o.now().Sub(inFlight.createdAt)})
	}
	o.sendBatch()
}

// runDeferred carries out the actions that waited for a batch.
func (o *ownership) runDeferred(actions []deferred) {
	for i := range actions {
		d := &actions[i]
		switch {
		case d.effect != nil:
			o.s.emit(d.effect)
		case d.start != nil:
			o.startRun(d.start)
		case d.runner != nil:
			if d.runner.incarnation == d.incarnation {
				o.onEndsStored(d.runner, d.lastEnd)
			}
		case d.publish != nil:
			d.publish.storedState = d.publish.state
		case d.call != nil:
			if o.s.calls[d.call.Call] == d.call {
				o.s.answer(d.call, d.answer)
			}
		case d.stopRuns != nil:
			o.stopRuns(d.stopRuns)
		case d.instanceOrder != nil:
			o.onInstanceOrderStored(d.instanceOrder)
		case d.reached != nil:
			o.onReachedStored(d.reached)
		}
	}
}

// statusRetentionMargin is the time for which a job's final state is kept beyond
// Bounds.StatusRetention.
const statusRetentionMargin = 10 * time.Second

// expireJobs removes the jobs whose final state need not be kept any more.
func (o *ownership) expireJobs() {
	for len(o.ended) > 0 {
		j := o.ended[0]
		if o.now().Sub(j.ended) < o.s.cfg.Bounds.StatusRetention+statusRetentionMargin {
			return
		}
		o.ended = o.ended[1:]
		j.expired = true
		o.markDirty(j)
		delete(o.jobs, j.id)
	}
}

package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

const (
	// maxBatchJobs is the number of jobs in one append: with definitions of up to
	// about 5 KB it stays under the store's 2 MB a call.
	maxBatchJobs = 300
	// storeDownAfter is how long an append has to wait before new jobs are
	// refused at once: far over an append's usual 10 ms, and over the half
	// second of a slow store.
	storeDownAfter = 700 * time.Millisecond
	// maxHeartbeatAge bounds the age of a heartbeat when it is sent.
	maxHeartbeatAge = 500 * time.Millisecond
	// minAppendTimeout and mostAppendLimit bound how long an append's answer is
	// waited for: fifteen times the usual, and what a store slowed sixty times
	// takes. A repeat is harmless, since the store takes each number once.
	minAppendTimeout = 150 * time.Millisecond
	maxAppendTimeout = 800 * time.Millisecond
	// appendTimeoutFactor times the last append's time is waited, and twice as long
	// with each repeat.
	appendTimeoutFactor = 4
	maxAppendRetryDelay = 200 * time.Millisecond
	minAppendRetryDelay = 10 * time.Millisecond
)

// deferred is what waits until a group is stored. One of its fields is set.
type deferred struct {
	effect effect.Effect
	// start is a run whose intent is stored now.
	start *run
	// lastEnd is the last end of a runner whose meaning is stored now.
	lastEnd int64
	runner  *runner
	// publish is a job whose state may be publish now.
	publish *job
	// call is answered.
	call   *call
	answer effect.CallAnswer
	// stopRuns is a job whose runs are to be stopped.
	stopRuns *job
	// instanceOrder is an instance about which an instanceOrder may be given now.
	instanceOrder *instance
}

// batch is an append under way.
type batch struct {
	records    []ledger.Record
	onStored   []deferred
	createdAt  time.Time
	retryDelay time.Duration
	timeout    time.Duration
}

// outbox groups what is to be stored. One append is on its way at a time; what
// changes meanwhile goes into the next.
type outbox struct {
	sequence int64
	inFlight *batch
	dirty    []*job
	onStored []deferred
	// waves are records about waves.
	waves []ledger.Record
	// ordersChanged is set when ordersChanged about instances are to be noted.
	ordersChanged bool
	// lastAppendTime is the time of the last append.
	lastAppendTime time.Duration
	down           bool
}

// markDirty notes that a job has changed and has to be stored.
func (o *ownership) markDirty(j *job) {
	if !j.inOutbox {
		j.inOutbox = true
		o.outbox.dirty = append(o.outbox.dirty, j)
	}
}

// whenStored makes something wait until all changes made so far are stored.
func (o *ownership) whenStored(d deferred) { o.outbox.onStored = append(o.outbox.onStored, d) }

// storeDown reports whether the store has not taken an append for long.
func (o *ownership) storeDown() bool {
	g := o.outbox.inFlight
	return g != nil && o.now().Sub(g.createdAt) > storeDownAfter
}

// flush appends what has changed, unless an append is on its way.
func (o *ownership) flush() {
	box := &o.outbox
	if o.phase != phaseActive || box.inFlight != nil || (len(box.dirty) == 0 && len(box.onStored) == 0 && len(box.waves) == 0 && !box.ordersChanged) {
		return
	}
	n := min(len(box.dirty), maxBatchJobs)
	b := &batch{createdAt: o.now(), records: box.waves}
	box.waves = nil
	if box.ordersChanged {
		box.ordersChanged = false
		b.records = append(b.records, ledger.Record{RecentlyOrdered: o.recentlyOrdered()})
	}
	for _, j := range box.dirty[:n] {
		j.inOutbox = false
		b.records = append(b.records, o.ledgerRecords(j)...)
	}
	box.dirty = slices.Clone(box.dirty[n:])
	if len(box.dirty) == 0 {
		b.onStored, box.onStored = box.onStored, nil
	}
	if len(b.records) == 0 {
		o.runDeferred(b.onStored)
		return
	}
	box.inFlight = b
	b.timeout = min(max(appendTimeoutFactor*box.lastAppendTime, minAppendTimeout), maxAppendTimeout)
	box.sequence++
	o.sendBatch()
}

func (o *ownership) sendBatch() {
	g := o.outbox.inFlight
	o.s.emit(effect.AppendLedger{Epoch: o.epoch, Sequence: o.outbox.sequence, Records: g.records, Delay: g.retryDelay, Timeout: g.timeout})
}

func (o *ownership) onLedgerAppended(b event.LedgerAppended) {
	g := o.outbox.inFlight
	if g == nil || b.Sequence != o.outbox.sequence {
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
	default:
		o.retryBatch(b.Outcome)
	}
}

func (o *ownership) onBatchStored() {
	g := o.outbox.inFlight
	o.outbox.inFlight = nil
	o.s.emit(effect.Observe{Name: "ledger_append", Duration: o.now().Sub(g.createdAt)})
	if o.outbox.down {
		o.outbox.down = false
		o.s.logDecision(effect.Decision{Name: "ledger regained", Epoch: o.epoch, Age: o.now().Sub(g.createdAt)})
	}
	o.runDeferred(g.onStored)
}

// onOutOfSequence settles an append that the store has taken before, or takes
// over the store's count at the beginning of a tenure.
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
	g := o.outbox.inFlight
	g.timeout = min(2*g.timeout, maxAppendTimeout)
	g.retryDelay = min(max(2*g.retryDelay, minAppendRetryDelay), maxAppendRetryDelay)
	if o.storeDown() && !o.outbox.down {
		o.outbox.down = true
		o.s.logDecision(effect.Decision{Name: "ledger lost", Warning: true, Epoch: o.epoch, Count: int(outcome), Age: o.now().Sub(g.createdAt)})
	}
	o.sendBatch()
}

// runDeferred carries out what waited for a group.
func (o *ownership) runDeferred(actions []deferred) {
	for i := range actions {
		d := &actions[i]
		switch {
		case d.effect != nil:
			o.s.emit(d.effect)
		case d.start != nil:
			o.startRun(d.start)
		case d.runner != nil:
			o.onEndsStored(d.runner, d.lastEnd)
		case d.publish != nil:
			d.publish.storedState = d.publish.state
		case d.call != nil:
			if o.s.calls[d.call.Call] == d.call {
				o.s.answer(d.call, d.answer)
			}
		case d.stopRuns != nil:
			o.stopRuns(d.stopRuns)
		case d.instanceOrder != nil:
			o.sendNotedOrder(d.instanceOrder)
		}
	}
}

// ledgerRecords returns what the ledger has to hold of a job.
func (o *ownership) ledgerRecords(j *job) []ledger.Record {
	if j.expired {
		return []ledger.Record{{Job: j.id, DropProgress: true}}
	}
	var out []ledger.Record
	if !j.definitionStored {
		j.definitionStored = true
		out = append(out, ledger.Record{Job: j.id, Definition: &ledger.Definition{
			Queue: j.queue, Service: j.service, MaxAttempts: j.maxAttempts, Accepted: j.accepted, Spec: j.spec,
		}})
	}
	if j.hasProgress {
		out = append(out, ledger.Record{Job: j.id, Progress: j.progress()})
	}
	if j.state.Final() && !j.definitionDropped {
		j.definitionDropped = true
		out = append(out, ledger.Record{Job: j.id, DropDefinition: true})
	}
	return out
}

// statusRetentionMargin is how much longer than promised a job's final state is known.
const statusRetentionMargin = 10 * time.Second

// expireJobs forgets jobs whose final state need not be known any more.
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

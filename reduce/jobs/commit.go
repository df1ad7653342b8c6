package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
)

const (
	// maxGroup is the number of jobs in one append: with definitions of up to
	// about 5 KB it stays under the store's 2 MB a call.
	maxGroup = 300
	// storeDownAfter is how long an append has to wait before new jobs are
	// refused at once: far over an append's usual 10 ms, and over the half
	// second of a slow store.
	storeDownAfter = 700 * time.Millisecond
	// appendFreshness bounds the age of a heartbeat when it is sent.
	appendFreshness = 500 * time.Millisecond
	// leastAppendLimit and mostAppendLimit bound how long an append's answer is
	// waited for: fifteen times the usual, and what a store slowed sixty times
	// takes. A repeat is harmless, since the store takes each number once.
	leastAppendLimit = 150 * time.Millisecond
	mostAppendLimit  = 800 * time.Millisecond
	// appendLimitFactor times the last append's time is waited, and twice as long
	// with each repeat.
	appendLimitFactor = 4
	maxAppendPause    = 200 * time.Millisecond
	minAppendPause    = 10 * time.Millisecond
)

// deferred is what waits until a group is stored. One of its fields is set.
type deferred struct {
	effect effect.Effect
	// start is a run whose intent is stored now.
	start *run
	// ack is the last end of a runner whose meaning is stored now.
	ack    int64
	runner *runner
	// shown is a job whose state may be shown now.
	shown *job
	// call is answered.
	call   *call
	answer effect.CallAnswer
	// stop is a job whose runs are to be stopped.
	stop *job
	// order is an instance about which an order may be given now.
	order *instance
}

// group is an append under way.
type group struct {
	records []ledger.Record
	then    []deferred
	since   time.Time
	pause   time.Duration
	limit   time.Duration
}

// outbox groups what is to be stored. One append is on its way at a time; what
// changes meanwhile goes into the next.
type outbox struct {
	sequence int64
	inFlight *group
	dirty    []*job
	then     []deferred
	// waves are records about waves.
	waves []ledger.Record
	// orders is set when orders about instances are to be noted.
	orders bool
	// took is the time of the last append.
	took time.Duration
	down bool
}

// mark notes that a job has changed and has to be stored.
func (o *ownership) mark(j *job) {
	if !j.inOutbox {
		j.inOutbox = true
		o.outbox.dirty = append(o.outbox.dirty, j)
	}
}

// after makes something wait until all changes made so far are stored.
func (o *ownership) after(d deferred) { o.outbox.then = append(o.outbox.then, d) }

// storeDown reports whether the store has not taken an append for long.
func (o *ownership) storeDown() bool {
	g := o.outbox.inFlight
	return g != nil && o.now().Sub(g.since) > storeDownAfter
}

// flush appends what has changed, unless an append is on its way.
func (o *ownership) flush() {
	b := &o.outbox
	if o.phase != phaseActive || b.inFlight != nil || (len(b.dirty) == 0 && len(b.then) == 0 && len(b.waves) == 0 && !b.orders) {
		return
	}
	n := min(len(b.dirty), maxGroup)
	g := &group{since: o.now(), records: b.waves}
	b.waves = nil
	if b.orders {
		b.orders = false
		g.records = append(g.records, ledger.Record{RecentlyOrdered: o.orders()})
	}
	for _, j := range b.dirty[:n] {
		j.inOutbox = false
		g.records = append(g.records, o.records(j)...)
	}
	b.dirty = slices.Clone(b.dirty[n:])
	if len(b.dirty) == 0 {
		g.then, b.then = b.then, nil
	}
	if len(g.records) == 0 {
		o.apply(g.then)
		return
	}
	b.inFlight = g
	g.limit = min(max(appendLimitFactor*b.took, leastAppendLimit), mostAppendLimit)
	b.sequence++
	o.sendGroup()
}

func (o *ownership) sendGroup() {
	g := o.outbox.inFlight
	o.s.emit(effect.AppendLedger{Epoch: o.epoch, Sequence: o.outbox.sequence, Records: g.records, Delay: g.pause, Timeout: g.limit})
}

func (o *ownership) onLedgerAppended(b event.LedgerAppended) {
	g := o.outbox.inFlight
	if g == nil || b.Sequence != o.outbox.sequence {
		return
	}
	switch b.Outcome {
	case effect.AppendDone:
		o.outbox.took = b.Elapsed
		o.onGroupStored()
	case effect.AppendFenced:
		o.s.endTenure(reasonLedgerFenced)
	case effect.AppendOutOfSequence:
		o.onOutOfSequence(b)
	default:
		o.retryGroup(b.Outcome)
	}
}

func (o *ownership) onGroupStored() {
	g := o.outbox.inFlight
	o.outbox.inFlight = nil
	o.s.emit(effect.Observe{Name: "ledger_append", Duration: o.now().Sub(g.since)})
	if o.outbox.down {
		o.outbox.down = false
		o.s.logDecision(effect.Decision{Name: "ledger regained", Epoch: o.epoch, Age: o.now().Sub(g.since)})
	}
	o.apply(g.then)
}

// onOutOfSequence settles an append that the store has taken before, or takes
// over the store's count at the beginning of a tenure.
func (o *ownership) onOutOfSequence(b event.LedgerAppended) {
	if b.Expected == o.outbox.sequence+1 {
		o.onGroupStored()
		return
	}
	o.s.logDecision(effect.Decision{Name: "ledger out of sequence", Warning: true, Epoch: o.epoch, Version: b.Expected, Count: int(b.Sequence)})
	o.outbox.sequence = b.Expected
	o.retryGroup(b.Outcome)
}

func (o *ownership) retryGroup(outcome effect.AppendOutcome) {
	g := o.outbox.inFlight
	g.limit = min(2*g.limit, mostAppendLimit)
	g.pause = min(max(2*g.pause, minAppendPause), maxAppendPause)
	if o.storeDown() && !o.outbox.down {
		o.outbox.down = true
		o.s.logDecision(effect.Decision{Name: "ledger lost", Warning: true, Epoch: o.epoch, Count: int(outcome), Age: o.now().Sub(g.since)})
	}
	o.sendGroup()
}

// apply carries out what waited for a group.
func (o *ownership) apply(then []deferred) {
	for i := range then {
		d := &then[i]
		switch {
		case d.effect != nil:
			o.s.emit(d.effect)
		case d.start != nil:
			o.start(d.start)
		case d.runner != nil:
			o.onEndsStored(d.runner, d.ack)
		case d.shown != nil:
			d.shown.storedState = d.shown.state
		case d.call != nil:
			if o.s.calls[d.call.Call] == d.call {
				o.s.answer(d.call, d.answer)
			}
		case d.stop != nil:
			o.stopRuns(d.stop)
		case d.order != nil:
			o.giveOrder(d.order)
		}
	}
}

// records returns what the ledger has to hold of a job.
func (o *ownership) records(j *job) []ledger.Record {
	if j.expired {
		return []ledger.Record{{Job: j.id, DropProgress: true}}
	}
	var out []ledger.Record
	if !j.definitionStored {
		j.definitionStored = true
		out = append(out, ledger.Record{Job: j.id, Definition: &ledger.Definition{
			Queue: j.queue, Service: j.service, MaxAttempts: j.attempts, Accepted: j.accepted, Spec: j.spec,
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

// statusMargin is how much longer than promised a job's final state is known.
const statusMargin = 10 * time.Second

// expireJobs forgets jobs whose final state need not be known any more.
func (o *ownership) expireJobs() {
	for len(o.ended) > 0 {
		j := o.ended[0]
		if o.now().Sub(j.ended) < o.s.cfg.Bounds.StatusRetention+statusMargin {
			return
		}
		o.ended = o.ended[1:]
		j.expired = true
		o.mark(j)
		delete(o.jobs, j.id)
	}
}

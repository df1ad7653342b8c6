package jobentry

import (
	"context"
	"errors"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/ledger"
	"github.com/banyanrail/banyanrail/reduce/tenure"
	"github.com/banyanrail/banyanrail/storage"
)

// ledgerWriter is the writer's name in all appends to the ledger, whichever entry
// owns it: the store compares the epochs of one name only.
const ledgerWriter = "owner"

const (
	// longPollWait is how long a read waits for new records of operators and
	// runners.
	longPollWait = 1500 * time.Millisecond
	// readRetryDelay is the delay before a failed read is retried.
	readRetryDelay = 100 * time.Millisecond
	// runnersReadInterval is the time between two reads of the runners' reports. Each
	// runner reports about every 1.5 s, so with hundreds of them a long poll would
	// return at once with a single report.
	runnersReadInterval = 200 * time.Millisecond
	// tenureReadInterval is the time between two reads of the tenure log by an entry
	// whose claims come last, while the owner sends heartbeats. It is below
	// tenure.OwnerTimeout, so that such an entry reads continuously when the next
	// owner claims.
	tenureReadInterval = 1500 * time.Millisecond
)

func outcomeOf(err error) effect.AppendOutcome {
	var seq *storage.SequenceError
	switch {
	case err == nil:
		return effect.AppendDone
	case errors.Is(err, storage.ErrConflict):
		return effect.AppendConflict
	case errors.Is(err, storage.ErrFenced):
		return effect.AppendFenced
	case errors.As(err, &seq):
		return effect.AppendOutOfSequence
	case errors.Is(err, storage.ErrRejected):
		return effect.AppendRejected
	case errors.Is(err, storage.ErrRefused):
		return effect.AppendRefused
	default:
		return effect.AppendUnknown
	}
}

func (e *Entry) appendTenure(o effect.AppendTenure) {
	sent := e.deps.Clock()
	done := event.TenureAppended{Record: o.Record, Sent: sent, Outcome: effect.AppendStale}
	if !sent.After(o.SendDeadline) {
		done.End, done.Outcome = e.sendTenure(o)
	}
	e.post(done)
}

func (e *Entry) sendTenure(o effect.AppendTenure) (fleet.Offset, effect.AppendOutcome) {
	r, err := codec.EncodeTenure(o.Record)
	if err != nil {
		e.deps.Logger.Error("tenure not encoded", "error", describe(err))
		return 0, effect.AppendRejected
	}
	end, err := e.deps.Store.AppendAt(e.background, storage.TopicTenure, o.At, []storage.Record{r})
	if err != nil {
		e.deps.Logger.Warn("tenure not appended", "epoch", o.Record.Epoch, "beat", o.Record.Beat, "error", describe(err))
	}
	return end, outcomeOf(err)
}

func (e *Entry) fenceLedger(o effect.FenceLedger) {
	err := e.deps.Store.AppendAs(e.background, storage.TopicLedger, storage.Writer{Name: ledgerWriter, Epoch: o.Epoch}, nil)
	if err != nil {
		e.deps.Logger.Warn("ledger not fenced", "epoch", o.Epoch, "error", describe(err))
	}
	e.post(event.LedgerFenced{Epoch: o.Epoch, Outcome: outcomeOf(err)})
}

func (e *Entry) loadLedger(o effect.LoadLedger) {
	loaded := event.LedgerLoaded{Epoch: o.Epoch}
	page, err := e.deps.Store.Newest(e.background, storage.TopicLedger)
	if err == nil {
		l := codec.DecodeLedger(page.Records)
		for _, unreadable := range l.Unreadable {
			e.deps.Logger.Error("ledger record not decoded", "epoch", o.Epoch, "error", describe(unreadable))
		}
		loaded.Jobs, loaded.Waves, loaded.RecentlyOrdered, loaded.OrdersUnreadable = l.Jobs, l.Waves, l.RecentlyOrdered, l.OrdersUnreadable
		loaded.Unreached, loaded.Restarted, loaded.Parts = l.Unreached, l.Restarted, l.Parts
		loaded.RunTimes, loaded.Holds = l.RunTimes, l.Holds
	}
	if err != nil {
		e.deps.Logger.Warn("ledger not loaded", "epoch", o.Epoch, "error", describe(err))
		loaded = event.LedgerLoaded{Epoch: o.Epoch, Failed: true}
	}
	e.post(loaded)
}

func (e *Entry) appendLedger(o effect.AppendLedger) {
	if o.Delay > 0 && !e.sleep(e.background, o.Delay) {
		return
	}
	began := e.deps.Clock()
	done := event.LedgerAppended{Epoch: o.Epoch, Sequence: o.Sequence, Outcome: effect.AppendRejected}
	records, err := encodeLedger(o.Records)
	if err == nil {
		w := storage.Writer{Name: ledgerWriter, Epoch: o.Epoch, Sequence: o.Sequence}
		ctx, cancel := context.WithTimeout(e.background, o.Timeout)
		err = e.deps.Store.AppendAs(ctx, storage.TopicLedger, w, records)
		cancel()
		done.Outcome = outcomeOf(err)
		var seq *storage.SequenceError
		if errors.As(err, &seq) {
			done.Expected = seq.Expected
		}
	}
	if err != nil {
		done.Reason = describe(err)
		e.deps.Logger.Warn("ledger not appended", "epoch", o.Epoch, "sequence", o.Sequence, "records", len(o.Records), "error", describe(err))
	}
	done.Elapsed = e.deps.Clock().Sub(began)
	e.post(done)
}

func encodeLedger(records []ledger.Record) ([]storage.Record, error) {
	out := make([]storage.Record, 0, len(records))
	for i := range records {
		r, err := codec.EncodeLedger(&records[i])
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func (e *Entry) writeWaveStatus(o effect.WriteWaveStatus) {
	err := e.deps.Store.Append(e.background, storage.TopicStatus, []storage.Record{e.deps.RecordCodec.WaveStatus(o.Wave, o.Done)})
	if err != nil {
		e.deps.Logger.Warn("wave status not written", "wave", o.Wave, "error", describe(err))
	}
	e.post(event.StatusWritten{Epoch: o.Epoch, Wave: o.Wave, Done: o.Done, Failed: err != nil})
}

// follower describes how to read a topic continuously: first the newest record of
// each key, then each record appended since.
type follower struct {
	topic storage.Topic
	// wait returns how long the next read waits for the first new record.
	wait func() time.Duration
	// interval is the time between two reads if the first returned records.
	interval time.Duration
	// wake ends the wait between two reads; nil if nothing does.
	wake <-chan struct{}
	// handle receives the records; full is true if they are the newest record of
	// every key.
	handle func(page storage.Page, full bool)
	// confirm, if set, receives the time at which a read was sent that has shown all records
	// up to then, after they were handled.
	confirm func(sent time.Time)
	// onError receives the error of each failed read.
	onError func(err error)
}

// follow reads a topic until the context ends.
func (e *Entry) follow(ctx context.Context, f follower) {
	for ctx.Err() == nil {
		sent := e.deps.Clock()
		page, err := e.deps.Store.Newest(ctx, f.topic)
		if err != nil {
			f.onError(err)
			if !e.sleep(ctx, readRetryDelay) {
				return
			}
			continue
		}
		f.handle(page, true)
		f.confirmed(sent, page)
		e.readContinuously(ctx, f, page.Next)
	}
}

// readContinuously reads new records until the context ends, the records at its offset have
// expired, or the topic ends before it because the store has lost records. The caller then
// reads the newest record of each key again.
func (e *Entry) readContinuously(ctx context.Context, f follower, from fleet.Offset) {
	failed := false
	for ctx.Err() == nil {
		wait := f.wait()
		if failed && f.confirm != nil {
			wait = 0 // an answer at once confirms what is known
		}
		sent := e.deps.Clock()
		page, err := e.deps.Store.Read(ctx, f.topic, from, wait)
		failed = err != nil
		switch {
		case errors.Is(err, storage.ErrExpired):
			return
		case err == nil && page.End < from:
			_ = e.sleep(ctx, readRetryDelay) // the caller's loop ends with the context
			return
		case err != nil:
			f.onError(err)
			if !e.sleep(ctx, readRetryDelay) {
				return
			}
			continue
		}
		from = page.Next
		f.handle(page, false)
		f.confirmed(sent, page)
		if len(page.Records) > 0 && f.interval > 0 {
			f.pause(ctx)
		}
	}
}

// confirmed reports a read, unless its size is limited and more records follow: some of them
// may be older than the read.
func (f *follower) confirmed(sent time.Time, page storage.Page) {
	if f.confirm != nil && page.Next >= page.End {
		f.confirm(sent)
	}
}

// constantWait returns the same wait for each read.
func constantWait(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// pause waits for the interval between two reads, or until the follower is woken.
func (f *follower) pause(ctx context.Context) {
	t := time.NewTimer(f.interval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.wake:
	case <-ctx.Done():
	}
}

func (e *Entry) followTenure() {
	var last tenure.Record
	e.follow(e.background, follower{
		topic:    storage.TopicTenure,
		wait:     constantWait(tenure.PollWait),
		interval: e.tenureInterval,
		wake:     e.tenureWake,
		handle: func(page storage.Page, _ bool) {
			r, ok, err := codec.DecodeTenure(page.Records)
			if err != nil {
				e.deps.Logger.Error("tenure record not decoded", "error", describe(err))
				return
			}
			if ok {
				last = r
			}
			e.post(event.TenureRead{Record: last, End: page.Next})
		},
		onError: func(err error) { e.post(event.TenureReadFailed{Reason: describe(err)}) },
	})
}

func (e *Entry) followOperators() {
	// The wait follows the newest configuration. Reads are handled in order on one goroutine.
	wait := e.operatorsWait(&fleet.Queues{})
	e.follow(e.background, follower{
		topic: storage.TopicOperators,
		wait:  func() time.Duration { return wait },
		handle: func(page storage.Page, _ bool) {
			if newest := e.handleOperators(page.Records); newest != nil {
				wait = e.operatorsWait(newest)
			}
		},
		confirm: func(sent time.Time) { e.post(event.QueuesConfirmed{At: sent}) },
		onError: func(err error) { e.post(event.QueuesReadFailed{Reason: describe(err)}) },
	})
}

// operatorsWait returns how long a read of operators' records waits: as long as other reads,
// or less where calls need keys, which an entry decides about for a limited time after a read.
func (e *Entry) operatorsWait(q *fleet.Queues) time.Duration {
	if limit := e.access.ReadWait(&q.Tenants); limit > 0 {
		return min(longPollWait, limit)
	}
	return longPollWait
}

// handleOperators reports the records of operators, and returns the last configuration among
// them; nil if there is none.
func (e *Entry) handleOperators(records []storage.Record) (newest *fleet.Queues) {
	var waves []fleet.MaintenanceWave
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		q, isQueues, err := e.deps.RecordCodec.Queues(r)
		if err == nil && isQueues {
			e.post(event.QueuesRead{Queues: q})
			newest = q
			continue
		}
		w, isWave, waveErr := e.deps.RecordCodec.Wave(r)
		if waveErr == nil && isWave {
			waves = append(waves, w)
		}
		if err := errors.Join(err, waveErr); err != nil {
			e.deps.Logger.Warn("operators' record not decoded", "key", r.Key, "offset", r.Offset, "error", describe(err))
		}
	}
	if len(waves) > 0 {
		e.post(event.WavesRead{Waves: waves})
	}
	return newest
}

// followRunners reads the list of runners continuously for the tenure with an epoch,
// and stops doing so for the previous tenure. Epoch 0 only stops it.
func (e *Entry) followRunners(epoch int64) {
	e.runnersFollower.stop()
	if epoch == 0 {
		return
	}
	f := follower{
		topic:    storage.TopicRunners,
		wait:     constantWait(longPollWait),
		interval: runnersReadInterval,
		handle:   func(page storage.Page, full bool) { e.handleRunners(epoch, page, full) },
		onError:  func(err error) { e.post(event.RunnersReadFailed{Epoch: epoch, Reason: describe(err)}) },
	}
	e.runnersFollower.start(e.background, func(ctx context.Context) { e.follow(ctx, f) })
}

func (e *Entry) handleRunners(epoch int64, page storage.Page, full bool) {
	read := event.RunnersRead{Epoch: epoch, Full: full}
	for _, r := range page.Records {
		if r.Value == nil {
			read.Removed = append(read.Removed, fleet.RunnerID(r.Key))
			continue
		}
		runner, err := e.deps.RecordCodec.Runner(r)
		if err != nil {
			e.deps.Logger.Warn("runner's report not decoded", "runner", r.Key, "offset", r.Offset, "error", describe(err))
			continue
		}
		read.Runners = append(read.Runners, runner)
	}
	e.post(read)
}

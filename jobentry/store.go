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

// ledgerWriter is the one name under which the ledger is written: the store
// compares epochs of one name only.
const ledgerWriter = "owner"

const (
	// followWait is how long a read waits for news of operators and runners.
	followWait = 1500 * time.Millisecond
	// followPause is the pause after a read that failed.
	followPause = 100 * time.Millisecond
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
		return 0, effect.AppendRefused
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
		var l codec.Ledger
		l, err = codec.DecodeLedger(page.Records)
		loaded.Jobs, loaded.Waves, loaded.RecentlyOrdered = l.Jobs, l.Waves, l.Ordered
	}
	if err != nil {
		e.deps.Logger.Warn("ledger not loaded", "epoch", o.Epoch, "error", describe(err))
		loaded = event.LedgerLoaded{Epoch: o.Epoch, Failed: true}
	}
	e.post(loaded)
}

func (e *Entry) appendLedger(o effect.AppendLedger) {
	if o.Delay > 0 && !e.pause(e.background, o.Delay) {
		return
	}
	began := e.deps.Clock()
	done := event.LedgerAppended{Epoch: o.Epoch, Sequence: o.Sequence, Outcome: effect.AppendRefused}
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
		e.deps.Logger.Warn("status not written", "wave", o.Wave, "error", describe(err))
	}
	e.post(event.StatusWritten{Epoch: o.Epoch, Wave: o.Wave, Done: o.Done, Failed: err != nil})
}

// follower reads a topic from its newest records on.
type follower struct {
	topic storage.Topic
	wait  time.Duration
	// take hands on records; whole says that they are all there are.
	take func(page storage.Page, whole bool)
	// failed is told of each read without an answer.
	failed func(err error)
}

// follow reads until the context ends.
func (e *Entry) follow(ctx context.Context, f follower) {
	for ctx.Err() == nil {
		page, err := e.deps.Store.Newest(ctx, f.topic)
		if err != nil {
			f.failed(err)
			if !e.pause(ctx, followPause) {
				return
			}
			continue
		}
		f.take(page, true)
		e.readOn(ctx, f, page.Next)
	}
}

// readOn reads record by record until records have expired, which asks for the
// newest ones again.
func (e *Entry) readOn(ctx context.Context, f follower, from fleet.Offset) {
	for ctx.Err() == nil {
		page, err := e.deps.Store.Read(ctx, f.topic, from, f.wait)
		switch {
		case errors.Is(err, storage.ErrExpired):
			return
		case err != nil:
			f.failed(err)
			if !e.pause(ctx, followPause) {
				return
			}
			continue
		}
		from = page.Next
		f.take(page, false)
	}
}

func (e *Entry) followTenure() {
	var last tenure.Record
	e.follow(e.background, follower{
		topic: storage.TopicTenure,
		wait:  tenure.ReadWait,
		take: func(page storage.Page, _ bool) {
			r, ok, err := codec.DecodeTenure(page.Records)
			if err != nil {
				e.deps.Logger.Error("tenure not read", "error", describe(err))
				return
			}
			if ok {
				last = r
			}
			e.post(event.TenureRead{Record: last, End: page.Next})
		},
		failed: func(err error) { e.post(event.TenureReadFailed{Reason: describe(err)}) },
	})
}

func (e *Entry) followOperators() {
	e.follow(e.background, follower{
		topic:  storage.TopicOperators,
		wait:   followWait,
		take:   func(page storage.Page, _ bool) { e.takeOperators(page.Records) },
		failed: func(err error) { e.post(event.QueuesReadFailed{Reason: describe(err)}) },
	})
}

func (e *Entry) takeOperators(records []storage.Record) {
	var waves []fleet.MaintenanceWave
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		q, isQueues, err := e.deps.RecordCodec.Queues(r)
		if err == nil && isQueues {
			e.post(event.QueuesRead{Queues: q})
			continue
		}
		w, isWave, waveErr := e.deps.RecordCodec.Wave(r)
		if waveErr == nil && isWave {
			waves = append(waves, w)
		}
		if err := errors.Join(err, waveErr); err != nil {
			e.deps.Logger.Warn("operators' record not read", "key", r.Key, "offset", r.Offset, "error", describe(err))
		}
	}
	if len(waves) > 0 {
		e.post(event.WavesRead{Waves: waves})
	}
}

// followRunners follows the list of runners for a tenure, and ends the following
// for the last one.
func (e *Entry) followRunners(epoch int64) {
	e.runners.end()
	if epoch == 0 {
		return
	}
	f := follower{
		topic:  storage.TopicRunners,
		wait:   followWait,
		take:   func(page storage.Page, whole bool) { e.takeRunners(epoch, page, whole) },
		failed: func(err error) { e.post(event.RunnersReadFailed{Epoch: epoch, Reason: describe(err)}) },
	}
	e.runners.start(e.background, func(ctx context.Context) { e.follow(ctx, f) })
}

func (e *Entry) takeRunners(epoch int64, page storage.Page, whole bool) {
	read := event.RunnersRead{Epoch: epoch, Full: whole}
	for _, r := range page.Records {
		if r.Value == nil {
			read.Removed = append(read.Removed, fleet.RunnerID(r.Key))
			continue
		}
		runner, err := e.deps.RecordCodec.Runner(r)
		if err != nil {
			e.deps.Logger.Warn("runner's report not read", "runner", r.Key, "offset", r.Offset, "error", describe(err))
			continue
		}
		read.Runners = append(read.Runners, runner)
	}
	e.post(read)
}

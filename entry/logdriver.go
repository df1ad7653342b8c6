package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/platform"
	"github.com/banyanrail/banyanrail/platform/codec"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

const (
	// readWait is how long a read waits at the log for new records.
	readWait = 5 * time.Second
	// readBackoff is the pause after a failed read.
	readBackoff = 200 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
)

// append writes a record to the control stream.
func (e *Entry) append(o effect.Append) {
	err := e.logPool.Go(func() {
		outcome, err := e.appendInTime(o)
		_ = e.loop.Post(event.AppendFinished{ID: o.Record.ID, Outcome: outcome, Err: err}) // fails only after the end
	})
	if err != nil {
		e.deps.Logger.Error("append after the end", "entry", e.cfg.ID, "record", o.Record.ID, "error", err)
	}
}

// appendInTime appends nothing once the deadline has passed: the process may
// have been paused in between.
func (e *Entry) appendInTime(o effect.Append) (event.AppendOutcome, error) {
	if !o.Deadline.IsZero() && e.clock().After(o.Deadline) {
		return event.AppendFailed, context.DeadlineExceeded
	}
	return e.appendOnce(o.Record)
}

func (e *Entry) appendOnce(rec control.Record) (event.AppendOutcome, error) {
	data, err := codec.Encode(rec)
	if err != nil {
		return event.AppendFailed, err
	}
	ctx, cancel := context.WithTimeout(e.background, appendTimeout)
	defer cancel()
	_, err = e.deps.Log.Append(ctx, platform.StreamControl, data)
	switch {
	case err == nil:
		return event.Appended, nil
	case errors.Is(err, platform.ErrNotAppended):
		return event.AppendFailed, err
	default:
		return event.AppendUnknown, err
	}
}

// reader follows the control stream from the offset of the last Read effect.
type reader struct {
	entry *Entry
	mu    sync.Mutex
	stop  context.CancelFunc
}

func newReader(e *Entry) *reader { return &reader{entry: e} }

// start replaces the current reading by one from another offset.
func (r *reader) start(from fleet.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
	}
	ctx, cancel := context.WithCancel(r.entry.background)
	r.stop = cancel
	err := r.entry.logPool.Go(func() { r.follow(ctx, from) })
	if err != nil {
		r.entry.deps.Logger.Error("read after the end", "entry", r.entry.cfg.ID, "error", err)
	}
}

func (r *reader) follow(ctx context.Context, from fleet.Offset) {
	for ctx.Err() == nil {
		page, err := r.entry.deps.Log.Read(ctx, platform.StreamControl, from, readWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = r.entry.loop.Post(event.ReadFailed{Err: err}) // fails only after the end
			sleep(ctx, readBackoff)
			continue
		}
		from = page.Next
		_ = r.entry.loop.Post(recordsRead(page)) // fails only after the end
	}
}

func recordsRead(page platform.Page) event.RecordsRead {
	ev := event.RecordsRead{Next: page.Next, Oldest: page.Oldest}
	for _, stored := range page.Records {
		rec, err := codec.Decode(stored.Data)
		if err != nil {
			rec.Body = control.Unreadable{Err: err}
		}
		ev.Records = append(ev.Records, control.Positioned{Offset: stored.Offset, Record: rec})
	}
	return ev
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

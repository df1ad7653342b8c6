package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/banyanrail/banyanrail/codec"
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/infra"
	"github.com/banyanrail/banyanrail/loop"
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
	e.appendTo(infra.StreamControl, o.Record.ID, o.Deadline, func() ([]byte, error) {
		return codec.Encode(o.Record)
	})
}

// appendTo queues an append of a record that is encoded on the way.
func (e *Entry) appendTo(stream string, id fleet.RecordID, deadline time.Time, encode func() ([]byte, error)) {
	err := e.logPool.Go(func() {
		outcome, err := e.appendInTime(stream, deadline, encode)
		_ = e.loop.Post(event.AppendFinished{ID: id, Outcome: outcome, Err: err}) // fails only after the end
	})
	if err != nil {
		e.deps.Logger.Error("append after the end", "entry", e.cfg.ID, "record", id, "error", err)
	}
}

// appendInTime appends nothing once the deadline has passed: the process may
// have been paused in between. A zero deadline never passes.
func (e *Entry) appendInTime(stream string, deadline time.Time, encode func() ([]byte, error)) (event.AppendOutcome, error) {
	if !deadline.IsZero() && e.clock().After(deadline) {
		return event.AppendFailed, context.DeadlineExceeded
	}
	return e.appendOnce(stream, encode)
}

func (e *Entry) appendOnce(stream string, encode func() ([]byte, error)) (event.AppendOutcome, error) {
	data, err := encode()
	if err != nil {
		return event.AppendFailed, err
	}
	ctx, cancel := context.WithTimeout(e.background, appendTimeout)
	defer cancel()
	_, err = e.deps.Log.Append(ctx, stream, data)
	switch {
	case err == nil:
		return event.Appended, nil
	case errors.Is(err, infra.ErrNotAppended):
		return event.AppendFailed, err
	default:
		return event.AppendUnknown, err
	}
}

// reader follows a stream from the offset of the last effect that started it.
type reader struct {
	entry  *Entry
	stream string
	// read and failed turn the outcome of a read into an event; a nil failed
	// reports nothing.
	read   func(infra.Page) event.Body
	failed func(error) event.Body
	// firstWait is how long the first read waits for new records.
	firstWait time.Duration
	mu        sync.Mutex
	stop      context.CancelFunc
}

// newControlReader returns the reader of the control stream. Its first read
// does not wait, since a starting entry needs to know where the log ends.
func newControlReader(e *Entry) *reader {
	return &reader{
		entry:  e,
		stream: infra.StreamControl,
		read:   recordsRead,
		failed: func(err error) event.Body { return event.ReadFailed{Err: err} },
	}
}

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
		r.entry.deps.Logger.Error("read after the end", "entry", r.entry.cfg.ID, "stream", r.stream, "error", err)
	}
}

func (r *reader) follow(ctx context.Context, from fleet.Offset) {
	wait := r.firstWait
	for ctx.Err() == nil {
		page, err := r.entry.deps.Log.Read(ctx, r.stream, from, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.fail(err)
			_ = loop.Sleep(ctx, readBackoff) // the loop condition looks at the context
			continue
		}
		from, wait = page.Next, readWait
		_ = r.entry.loop.Post(r.read(page)) // fails only after the end
	}
}

func (r *reader) fail(err error) {
	if r.failed != nil {
		_ = r.entry.loop.Post(r.failed(err)) // fails only after the end
	}
}

func recordsRead(page infra.Page) event.Body {
	ev := event.RecordsRead{Next: page.Next, Oldest: page.Oldest, End: page.End}
	for _, stored := range page.Records {
		rec, err := codec.Decode(stored.Data)
		if err != nil {
			rec.Body = control.Unreadable{Err: err}
		}
		ev.Records = append(ev.Records, control.Positioned{Offset: stored.Offset, Record: rec})
	}
	return ev
}

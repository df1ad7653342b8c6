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
	// readPollWait is how long a long poll of the log waits for new records.
	readPollWait = 5 * time.Second
	// readBackoff is the delay after a failed read.
	readBackoff = 200 * time.Millisecond
	// appendTimeout is the time-out for one append.
	appendTimeout = 5 * time.Second
)

// append queues an append of a record to the control stream.
func (e *Entry) append(o effect.Append) {
	e.appendTo(infra.StreamControl, o.Record.ID, o.Deadline, func() ([]byte, error) {
		return codec.Encode(o.Record)
	})
}

// appendTo queues an append to a stream. The record is encoded in the log pool,
// not on the control goroutine.
func (e *Entry) appendTo(stream string, id fleet.RecordID, deadline time.Time, encode func() ([]byte, error)) {
	err := e.logPool.Go(func() {
		outcome, err := e.appendBefore(stream, deadline, encode)
		_ = e.loop.Post(event.AppendFinished{ID: id, Outcome: outcome, Err: err}) // fails only once the loop has ended
	})
	if err != nil {
		e.deps.Logger.Error("append queued after the pool stopped", "entry", e.cfg.ID, "record", id, "error", err)
	}
}

// appendBefore appends a record unless the deadline has passed, as it may have if
// the process was paused. A zero deadline never passes.
func (e *Entry) appendBefore(stream string, deadline time.Time, encode func() ([]byte, error)) (event.AppendOutcome, error) {
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

// streamReader reads a stream of the log and posts its records to the loop.
type streamReader struct {
	entry  *Entry
	stream string
	// pageEvent returns the event for a page that was read.
	pageEvent func(infra.Page) event.Body
	// failureEvent returns the event for a failed read; if it is nil, failures are
	// not posted.
	failureEvent func(error) event.Body
	// firstWait is how long the first long poll waits for new records.
	firstWait time.Duration
	mu        sync.Mutex
	stop      context.CancelFunc
}

// newControlReader returns the reader of the control stream. Its first read does
// not wait, since a starting entry needs the end of the log at once.
func newControlReader(e *Entry) *streamReader {
	return &streamReader{
		entry:        e,
		stream:       infra.StreamControl,
		pageEvent:    recordsRead,
		failureEvent: func(err error) event.Body { return event.ReadFailed{Err: err} },
	}
}

// start reads the stream from an offset on. It stops reading from the offset of an
// earlier call.
func (r *streamReader) start(from fleet.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
	}
	ctx, cancel := context.WithCancel(r.entry.background)
	r.stop = cancel
	err := r.entry.logPool.Go(func() { r.follow(ctx, from) })
	if err != nil {
		r.entry.deps.Logger.Error("read queued after the pool stopped", "entry", r.entry.cfg.ID, "stream", r.stream, "error", err)
	}
}

func (r *streamReader) follow(ctx context.Context, from fleet.Offset) {
	wait := r.firstWait
	for ctx.Err() == nil {
		page, err := r.entry.deps.Log.Read(ctx, r.stream, from, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.fail(err)
			_ = loop.Sleep(ctx, readBackoff) // the loop condition checks the context
			continue
		}
		from, wait = page.Next, readPollWait
		_ = r.entry.loop.Post(r.pageEvent(page)) // fails only once the loop has ended
	}
}

func (r *streamReader) fail(err error) {
	if r.failureEvent != nil {
		_ = r.entry.loop.Post(r.failureEvent(err)) // fails only once the loop has ended
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

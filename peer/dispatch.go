package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer/peerpb"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/samber/oops"
	"google.golang.org/grpc"
)

const (
	// leaveTimeout is how long a dispatcher that leaves waits for its calls in
	// flight. It is longer than a long poll of a runner waits.
	leaveTimeout = 1500 * time.Millisecond
	// leaveCheckInterval is the interval at which a dispatcher that leaves checks
	// whether calls are still in flight.
	leaveCheckInterval = 20 * time.Millisecond
	// clockReportInterval is the interval at which a dispatcher reports its clock to
	// the owner, in addition to the readings that come with results.
	clockReportInterval = time.Second
)

// CallHandler executes a call to a runner, which is an effect.OrderTask or an
// effect.PollRunner, and passes the resulting event to reply.
type CallHandler = func(call effect.Effect, reply func(event.Body))

// Dispatch registers this entry as a dispatcher at the owner's address and
// executes the owner's calls to runners. Their send deadlines are on the given clock,
// and handle has to check them immediately before it sends. It returns when the stream
// breaks, or when the context has ended and the calls in flight are answered.
func (j *JobsClient) Dispatch(ctx context.Context, address string, self fleet.EntryID, clock loop.Clock, handle CallHandler) error {
	fail := oops.In("peer").With("step", "dispatch", "peer", address)
	// Forwarded calls drop their connection when it stops answering, so the stream
	// has its own. Pings, and the owner's check for overdue calls, detect when that
	// connection fails.
	conn, err := connect(address)
	if err != nil {
		return fail.Wrap(err)
	}
	defer func() { _ = conn.Close() }() // an error needs no handling
	open, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := peerpb.NewJobsClient(conn).Dispatch(open)
	if err != nil {
		return fail.Wrap(err)
	}
	d := &dispatchStream{stream: stream, results: newBatch[*peerpb.RunnerResult](), clock: clock, handle: handle}
	if err := d.write(&peerpb.RunnerResults{Entry: string(self)}); err != nil {
		return fail.Wrap(err)
	}
	ended := make(chan error, 2)
	go func() { ended <- d.receive() }()
	go func() { ended <- d.send(ctx, open) }()
	return fail.Wrap(<-ended)
}

// dispatchStream is the dispatcher's end of the stream to an owner.
type dispatchStream struct {
	stream   grpc.BidiStreamingClient[peerpb.RunnerResults, peerpb.RunnerCalls]
	results  *batch[*peerpb.RunnerResult]
	clock    loop.Clock
	handle   CallHandler
	inFlight atomic.Int64
}

// write sends a message with the current reading of the clock.
func (d *dispatchStream) write(m *peerpb.RunnerResults) error {
	m.Clock = d.clock().UnixMilli()
	return d.stream.Send(m)
}

// send sends results and clock readings. When ctx ends, it tells the owner to send no
// further calls, and continues until all calls in flight are answered or leaveTimeout is
// over.
func (d *dispatchStream) send(ctx, open context.Context) error {
	write := func(results []*peerpb.RunnerResult) error {
		return d.write(&peerpb.RunnerResults{Results: results})
	}
	if err := d.results.sendUntilDone(ctx, clockReportInterval, write); ctx.Err() == nil {
		return err
	}
	if err := d.write(&peerpb.RunnerResults{Leaving: true}); err != nil {
		return err
	}
	leaving, stop := context.WithTimeout(open, leaveTimeout)
	defer stop()
	go func() {
		for d.inFlight.Load() > 0 && loop.Sleep(leaving, leaveCheckInterval) == nil {
			continue
		}
		_ = loop.Sleep(leaving, 2*batchDelay) // leaves time to send the last results
		stop()
	}()
	return d.results.sendUntilDone(leaving, clockReportInterval, write)
}

// receive executes calls until the stream ends.
func (d *dispatchStream) receive() error {
	for {
		m, err := d.stream.Recv()
		if err != nil {
			return err
		}
		now := d.clock()
		for _, c := range m.GetCalls() {
			d.call(c, callDeadline(c, now))
		}
	}
}

// callDeadline returns the send deadline of a call on this entry's clock. An owner of an
// earlier version sends only the time that is left, so its calls are taken for as
// fresh as when it sent them.
func callDeadline(c *peerpb.RunnerCall, received time.Time) time.Time {
	if c.GetSendDeadline() == 0 {
		return received.Add(fleet.Milliseconds(c.GetFreshMs()))
	}
	return time.UnixMilli(c.GetSendDeadline())
}

func (d *dispatchStream) call(c *peerpb.RunnerCall, sendDeadline time.Time) {
	d.inFlight.Add(1)
	reply := func(b event.Body) {
		var r *peerpb.RunnerResult
		switch b := b.(type) {
		case event.TaskOrdered:
			r = encodeOrderResult(&b)
		case event.RunnerPolled:
			r = encodePollResult(&b)
		}
		r.Id = c.GetId()
		d.results.add(r)
		d.inFlight.Add(-1)
	}
	switch call := c.GetCall().(type) {
	case *peerpb.RunnerCall_Order:
		d.handle(decodeOrder(c, call.Order, sendDeadline), reply)
	case *peerpb.RunnerCall_Look:
		d.handle(decodePoll(c, call.Look, sendDeadline), reply)
	default:
		reply(event.TaskOrdered{Outcome: event.OrderInvalid, Reason: "the dispatcher does not know this call"})
	}
}

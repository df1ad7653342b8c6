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
	// leaveLimit is how long a dispatcher that leaves works on what it has in
	// hand: longer than a look waits.
	leaveLimit = 1500 * time.Millisecond
	// leavePause is the pause between looks at what is still in hand.
	leavePause = 20 * time.Millisecond
)

// CallHandler carries out a call to a runner, an effect.OrderTask or effect.PollRunner,
// and replies with its event.
type CallHandler = func(call effect.Effect, reply func(event.Body))

// Dispatch offers this entry to the owner at an address and carries out its
// calls. It returns when the stream has broken, or the context has ended and
// what was in hand is done.
func (j *JobsClient) Dispatch(ctx context.Context, address string, self fleet.EntryID, clock loop.Clock, carry CallHandler) error {
	fail := oops.In("peer").With("step", "dispatch", "peer", address)
	// Forwarded calls replace their connection when it goes silent; the stream
	// has one of its own, which pings and the owner's overdue calls watch over.
	conn, err := connect(address)
	if err != nil {
		return fail.Wrap(err)
	}
	defer func() { _ = conn.Close() }() // nothing is left to do if this fails
	open, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stream, err := peerpb.NewJobsClient(conn).Dispatch(open)
	if err != nil {
		return fail.Wrap(err)
	}
	if err := stream.Send(&peerpb.RunnerResults{Entry: string(self)}); err != nil {
		return fail.Wrap(err)
	}
	d := &dispatch{stream: stream, results: newBatch[*peerpb.RunnerResult](), clock: clock, carry: carry}
	ended := make(chan error, 2)
	go func() { ended <- d.receive() }()
	go func() { ended <- d.send(ctx, open) }()
	return fail.Wrap(<-ended)
}

// dispatch is one stream to an owner.
type dispatch struct {
	stream  grpc.BidiStreamingClient[peerpb.RunnerResults, peerpb.RunnerCalls]
	results *batch[*peerpb.RunnerResult]
	clock   loop.Clock
	carry   CallHandler
	inHand  atomic.Int64
}

// send sends results. After the context's end it asks for no more calls and
// goes on until all are answered.
func (d *dispatch) send(ctx, open context.Context) error {
	write := func(results []*peerpb.RunnerResult) error {
		return d.stream.Send(&peerpb.RunnerResults{Results: results})
	}
	if err := d.results.drain(ctx, write); ctx.Err() == nil {
		return err
	}
	if err := d.stream.Send(&peerpb.RunnerResults{Leaving: true}); err != nil {
		return err
	}
	leaving, stop := context.WithTimeout(open, leaveLimit)
	defer stop()
	go func() {
		for d.inHand.Load() > 0 && loop.Sleep(leaving, leavePause) == nil {
			continue
		}
		_ = loop.Sleep(leaving, 2*batchPause) // the last results are sent
		stop()
	}()
	return d.results.drain(leaving, write)
}

// receive carries out calls until the stream ends.
func (d *dispatch) receive() error {
	for {
		m, err := d.stream.Recv()
		if err != nil {
			return err
		}
		now := d.clock()
		for _, c := range m.GetCalls() {
			d.call(c, now.Add(time.Duration(c.GetFreshMs())*time.Millisecond))
		}
	}
}

func (d *dispatch) call(c *peerpb.RunnerCall, notAfter time.Time) {
	d.inHand.Add(1)
	reply := func(b event.Body) {
		var r *peerpb.RunnerResult
		switch b := b.(type) {
		case event.TaskOrdered:
			r = encodeOrdered(&b)
		case event.RunnerPolled:
			r = encodeLooked(&b)
		}
		r.Id = c.GetId()
		d.results.add(r)
		d.inHand.Add(-1)
	}
	switch call := c.GetCall().(type) {
	case *peerpb.RunnerCall_Order:
		d.carry(decodeOrder(c, call.Order, notAfter), reply)
	case *peerpb.RunnerCall_Look:
		d.carry(decodeLook(c, call.Look, notAfter), reply)
	default:
		reply(event.TaskOrdered{Outcome: event.OrderInvalid, Reason: "the dispatcher does not know this call"})
	}
}

package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/peer"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
)

// owner is an owner's set of dispatchers, with one dispatcher connected.
type owner struct {
	*peer.Dispatchers
	events         chan event.Body
	stopDispatcher context.CancelFunc
	// ended is closed when the dispatcher's call of Dispatch has returned.
	ended chan struct{}
	id    uint64
	srv   *grpc.Server
}

func startOwner(t *testing.T, handle peer.CallHandler) *owner {
	t.Helper()
	return startOwnerThrough(t, loop.BootClock(), loop.BootClock(), func(address string) string { return address }, handle)
}

// startOwnerThrough starts an owner and its dispatcher with clocks of their own. The
// dispatcher connects to the address that via returns for that of the owner.
func startOwnerThrough(t *testing.T, clock, dispatcherClock loop.Clock, via func(address string) string, handle peer.CallHandler) *owner {
	t.Helper()
	o := &owner{Dispatchers: peer.NewDispatchers(clock), events: make(chan event.Body, 64), ended: make(chan struct{})}
	o.Subscribe(func(b event.Body) { o.events <- b })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	o.srv = grpc.NewServer()
	peer.RegisterJobs(o.srv, nil, o.Dispatchers)
	go func() { _ = o.srv.Serve(ln) }()
	t.Cleanup(o.srv.Stop)
	ctx, cancel := context.WithCancel(t.Context())
	o.stopDispatcher = cancel
	address := via(ln.Addr().String())
	go func() {
		defer close(o.ended)
		jobs := peer.NewJobsClient()
		_ = jobs.Dispatch(ctx, address, "second", dispatcherClock, handle) // ends with the test
	}()
	joined := (<-o.events).(event.DispatcherJoined)
	must.Eq(t, fleet.EntryID("second"), joined.Entry)
	o.id = joined.Dispatcher
	return o
}

// Order sends an order to the dispatcher. If it cannot be sent, Order queues its
// result as an event.
func (o *owner) Order(t effect.OrderTask) {
	if b := o.Dispatchers.Order(t); b != nil {
		o.events <- b
	}
}

func (o *owner) order(index int) effect.OrderTask {
	return effect.OrderTask{
		Epoch: 3, Token: 30, Kind: effect.OrderStart, Runner: "r", Address: "a", Task: fleet.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: index},
		Attempt: 4, Text: "text", LeaseDeadline: 900, Checkpoint: "s", Ticket: "t", Percent: 5, Dispatcher: o.id,
		SendDeadline: loop.BootClock()().Add(time.Minute),
	}
}

func (o *owner) poll() effect.PollRunner {
	return effect.PollRunner{
		Epoch: 3, Token: 31, Runner: "r", Address: "a", Number: 8, LeaseDeadline: 900, Acknowledged: 7, Wait: time.Second, Dispatcher: o.id,
		SendDeadline: loop.BootClock()().Add(time.Minute),
	}
}

func TestDispatcherExecutesCalls(t *testing.T) {
	running := []fleet.RunningTask{{Task: fleet.TaskID{Job: "j", Index: 1}, Attempt: 2, Checkpoint: "s", Percent: 3, Load: 4}}
	ended := []fleet.EndedTask{{Number: 5, Task: fleet.TaskID{Job: "k", Step: 1}, Attempt: 6, Outcome: fleet.RunFailed, Checkpoint: "z"}}
	seen := make(chan effect.Effect, 2)
	o := startOwner(t, func(call effect.Effect, reply func(event.Body)) {
		seen <- call
		switch call.(type) {
		case effect.OrderTask:
			reply(event.TaskOrdered{Outcome: event.OrderNoRoom, Reason: "room", Clock: event.Clock{Reading: 11}})
		case effect.PollRunner:
			reply(event.RunnerPolled{
				Outcome: event.OrderDone, Incarnation: 9, Clock: event.Clock{Reading: 12}, Running: running, Ended: ended,
			})
		}
	})
	order, poll := o.order(3), o.poll()
	o.Order(order)
	o.Poll(poll)

	got := (<-o.events).(event.TaskOrdered)
	must.Between(t, 0, got.Clock.Received.Sub(got.Clock.Sent), 5*time.Second)
	must.Eq(t, event.TaskOrdered{
		Epoch: 3, Token: 30, Runner: "r", Kind: effect.OrderStart, Task: order.Task, Attempt: 4, Outcome: event.OrderNoRoom, Reason: "room",
		Clock: event.Clock{Reading: 11, Sent: got.Clock.Sent, Received: got.Clock.Received},
	}, got)
	polled := (<-o.events).(event.RunnerPolled)
	must.Eq(t, event.RunnerPolled{
		Epoch: 3, Runner: "r", Number: 8, Outcome: event.OrderDone, Incarnation: 9, Running: running, Ended: ended,
		Clock: event.Clock{Reading: 12, Sent: polled.Clock.Sent, Received: polled.Clock.Received},
	}, polled)

	// The dispatcher's effects equal the owner's, except for the send deadline, the dispatcher and the
	// poll's number. A dispatcher gets the token, and no epoch beside it.
	executed := (<-seen).(effect.OrderTask)
	must.True(t, executed.SendDeadline.Before(order.SendDeadline.Add(time.Second)))
	must.Zero(t, executed.Epoch)
	executed.Epoch, executed.SendDeadline, executed.Dispatcher = order.Epoch, order.SendDeadline, order.Dispatcher
	must.Eq(t, order, executed)
	executedPoll := (<-seen).(effect.PollRunner)
	must.Zero(t, executedPoll.Epoch)
	executedPoll.Epoch, executedPoll.SendDeadline, executedPoll.Dispatcher, executedPoll.Number = poll.Epoch, poll.SendDeadline, poll.Dispatcher, poll.Number
	must.Eq(t, poll, executedPoll)
	o.stopDispatcher()
	<-o.ended
}

func TestLeavingDispatcherAnswersCallsInFlight(t *testing.T) {
	var answer func(event.Body)
	called := make(chan struct{})
	o := startOwner(t, func(_ effect.Effect, reply func(event.Body)) {
		answer = reply
		close(called)
	})
	o.Order(o.order(1))
	<-called
	o.stopDispatcher()
	must.Eq(t, o.id, (<-o.events).(event.DispatcherLeft).Dispatcher)
	answer(event.TaskOrdered{Outcome: event.OrderDone})
	must.Eq(t, event.OrderDone, (<-o.events).(event.TaskOrdered).Outcome)
	<-o.ended
}

func TestCallsInFlightAreUnknownAfterDispatcherFails(t *testing.T) {
	called := make(chan struct{})
	o := startOwner(t, func(effect.Effect, func(event.Body)) { close(called) })
	o.Poll(o.poll())
	<-called
	o.srv.Stop() // breaks the connection
	must.Eq(t, o.id, (<-o.events).(event.DispatcherLeft).Dispatcher)
	must.Eq(t, event.OrderUnknown, (<-o.events).(event.RunnerPolled).Outcome)
	o.Order(o.order(2))
	must.Eq(t, event.OrderStale, (<-o.events).(event.TaskOrdered).Outcome)
	o.stopDispatcher()
	<-o.ended
}

// TestUnresponsiveDispatcherIsDropped has a dispatcher that stays connected but
// never answers.
func TestUnresponsiveDispatcherIsDropped(t *testing.T) {
	o := startOwner(t, func(effect.Effect, func(event.Body)) {})
	o.Order(o.order(1))
	must.Eq(t, o.id, (<-o.events).(event.DispatcherLeft).Dispatcher)
	must.Eq(t, event.OrderUnknown, (<-o.events).(event.TaskOrdered).Outcome)
	o.stopDispatcher()
	<-o.ended
}

func TestStaleCallsAreNotSent(t *testing.T) {
	o := startOwner(t, func(effect.Effect, func(event.Body)) { panic("called") })
	order := o.order(1)
	order.SendDeadline = loop.BootClock()().Add(-time.Millisecond)
	o.Order(order)
	must.Eq(t, event.OrderStale, (<-o.events).(event.TaskOrdered).Outcome)
	o.stopDispatcher()
	<-o.ended
}

// TestOutcomeOfAnUnsentCallIsReturned checks that nothing is posted from the
// caller's goroutine. In an entry that is the control goroutine, which would
// block if the event queue were full.
func TestOutcomeOfAnUnsentCallIsReturned(t *testing.T) {
	d := peer.NewDispatchers(loop.BootClock())
	d.Subscribe(func(event.Body) { t.Error("posted") })
	now := loop.BootClock()()
	ordered := d.Order(effect.OrderTask{Dispatcher: 1, SendDeadline: now.Add(time.Minute)})
	must.Eq(t, event.OrderStale, ordered.(event.TaskOrdered).Outcome)
	polled := d.Poll(effect.PollRunner{Dispatcher: 1, SendDeadline: now.Add(time.Minute)})
	must.Eq(t, event.OrderStale, polled.(event.RunnerPolled).Outcome)
}

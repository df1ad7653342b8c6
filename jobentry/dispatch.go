package jobentry

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// dispatchRetryDelay is the delay before this entry offers itself as a dispatcher
// again after the stream to the owner has broken.
const dispatchRetryDelay = 500 * time.Millisecond

// sendOrder sends an order to a runner, directly or through a dispatcher.
func (e *Entry) sendOrder(o effect.OrderTask) {
	if o.Dispatcher != 0 {
		e.postOutcome(e.deps.Dispatchers.Order(o))
		return
	}
	e.submit(e.orders, func() { e.post(e.order(o)) })
}

// sendPoll polls a runner, directly or through a dispatcher.
func (e *Entry) sendPoll(p effect.PollRunner) {
	if p.Dispatcher != 0 {
		e.postOutcome(e.deps.Dispatchers.Poll(p))
		return
	}
	e.submit(e.polls, func() { e.post(e.poll(p)) })
}

// postOutcome posts an event, if there is one, from another goroutine: the control
// goroutine must not block when its own queue is full.
func (e *Entry) postOutcome(b event.Body) {
	if b != nil {
		e.submit(e.orders, func() { e.post(b) })
	}
}

// order sends an order to a runner unless its send deadline has passed.
func (e *Entry) order(o effect.OrderTask) event.Body {
	if e.deps.Clock().After(o.SendDeadline) {
		return event.TaskOrdered{
			Epoch: o.Epoch, Runner: o.Runner, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderStale,
		}
	}
	ctx, span := e.tracer.Start(e.background, "order")
	defer span.End()
	began := e.deps.Clock()
	result := e.deps.Runners.Order(ctx, o)
	e.metrics.recordDuration("order", e.deps.Clock().Sub(began))
	return result
}

// poll polls a runner unless its send deadline has passed. Its span is called look, the
// poll's name in recorded traces.
func (e *Entry) poll(p effect.PollRunner) event.Body {
	if e.deps.Clock().After(p.SendDeadline) {
		return event.RunnerPolled{Epoch: p.Epoch, Runner: p.Runner, Number: p.Number, Outcome: event.OrderStale}
	}
	ctx, span := e.tracer.Start(e.background, "look")
	defer span.End()
	return e.deps.Runners.Poll(ctx, p)
}

// dispatchFor offers this entry as a dispatcher to an owner, and withdraws the offer
// to the previous owner.
func (e *Entry) dispatchFor(o effect.DispatchFor) {
	e.dispatchOffer.stop()
	if o.Address != "" {
		e.dispatchOffer.start(e.background, func(ctx context.Context) { e.keepDispatching(ctx, o) })
	}
}

func (e *Entry) keepDispatching(ctx context.Context, o effect.DispatchFor) {
	for ctx.Err() == nil {
		err := e.deps.Peers.Dispatch(ctx, o.Address, e.self, e.deps.Clock, e.executeCall)
		if err != nil && ctx.Err() == nil {
			e.deps.Logger.Warn("dispatching broken off", "to", o.Address, "epoch", o.Epoch, "error", describe(err))
		}
		if !e.sleep(ctx, dispatchRetryDelay) {
			return
		}
	}
}

// executeCall carries out a call to a runner for the owner.
func (e *Entry) executeCall(call effect.Effect, reply func(event.Body)) {
	switch c := call.(type) {
	case effect.OrderTask:
		e.submit(e.orders, func() { reply(e.order(c)) })
	case effect.PollRunner:
		e.submit(e.polls, func() { reply(e.poll(c)) })
	}
}

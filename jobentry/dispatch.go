package jobentry

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// dispatchPause is the pause before an offer to the owner that broke is made
// again.
const dispatchPause = 500 * time.Millisecond

// sendOrder has an order carried out here or by a dispatcher.
func (e *Entry) sendOrder(o effect.OrderTask) {
	if o.Dispatcher != 0 {
		e.postLater(e.deps.Dispatchers.Order(o))
		return
	}
	e.run(e.orders, func() { e.post(e.order(o)) })
}

// sendLook has a look carried out here or by a dispatcher.
func (e *Entry) sendLook(l effect.PollRunner) {
	if l.Dispatcher != 0 {
		e.postLater(e.deps.Dispatchers.Poll(l))
		return
	}
	e.run(e.looks, func() { e.post(e.look(l)) })
}

// postLater posts an outcome, if there is one. The control goroutine itself must
// not wait for a place in its queue.
func (e *Entry) postLater(b event.Body) {
	if b != nil {
		e.run(e.orders, func() { e.post(b) })
	}
}

// order carries out an order unless its time has passed.
func (e *Entry) order(o effect.OrderTask) event.Body {
	if e.deps.Clock().After(o.SendDeadline) {
		return event.TaskOrdered{
			Epoch: o.Epoch, Runner: o.Runner, Kind: o.Kind, Task: o.Task, Attempt: o.Attempt, Outcome: event.OrderStale,
		}
	}
	ctx, span := e.tracer.Start(e.background, "order")
	defer span.End()
	began := e.deps.Clock()
	result := e.deps.Runners.Order(ctx, o)
	e.metrics.took("order", e.deps.Clock().Sub(began))
	return result
}

func (e *Entry) look(l effect.PollRunner) event.Body {
	if e.deps.Clock().After(l.SendDeadline) {
		return event.RunnerPolled{Epoch: l.Epoch, Runner: l.Runner, Number: l.Number, Outcome: event.OrderStale}
	}
	ctx, span := e.tracer.Start(e.background, "look")
	defer span.End()
	return e.deps.Runners.Poll(ctx, l)
}

// dispatchFor offers this entry to an owner in place of the one before.
func (e *Entry) dispatchFor(o effect.DispatchFor) {
	e.offer.end()
	if o.Address != "" {
		e.offer.start(e.background, func(ctx context.Context) { e.keepDispatching(ctx, o) })
	}
}

func (e *Entry) keepDispatching(ctx context.Context, o effect.DispatchFor) {
	for ctx.Err() == nil {
		err := e.deps.Peers.Dispatch(ctx, o.Address, e.self, e.deps.Clock, e.carry)
		if err != nil && ctx.Err() == nil {
			e.deps.Logger.Warn("dispatching broken off", "to", o.Address, "epoch", o.Epoch, "error", describe(err))
		}
		if !e.pause(ctx, dispatchPause) {
			return
		}
	}
}

// carry carries out a call of the owner.
func (e *Entry) carry(call effect.Effect, reply func(event.Body)) {
	switch c := call.(type) {
	case effect.OrderTask:
		e.run(e.orders, func() { reply(e.order(c)) })
	case effect.PollRunner:
		e.run(e.looks, func() { reply(e.look(c)) })
	}
}

package jobentry

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// act hands an effect to its driver. It runs on the control goroutine and must
// not block.
func (e *Entry) act(out effect.Effect) {
	switch o := out.(type) {
	case effect.OrderTask:
		e.sendOrder(o)
	case effect.PollRunner:
		e.sendLook(o)
	case effect.DispatchFor:
		e.dispatchFor(o)
	case effect.ReplyCall:
		e.calls.Resolve(o.Call, o.Answer)
	case effect.Forward:
		e.run(e.forwards, func() { e.forward(o) })
	case effect.Decision:
		e.log(&o)
	case effect.CountJob:
		e.metrics.count(o)
	case effect.Observe:
		e.metrics.observe(o)
	case effect.SetReady:
		e.ready.Store(o.Ready)
	case effect.JobsHandedOver:
		e.handOnce.Do(func() { close(e.handed) })
	case effect.FollowStore:
		go e.followTenure()
		go e.followOperators()
	case effect.FollowRunners:
		e.followRunners(o.Epoch)
	default:
		e.actStore(out)
	}
}

// actStore hands over effects on the store and the platform's services.
func (e *Entry) actStore(out effect.Effect) {
	switch o := out.(type) {
	case effect.AppendTenure:
		e.run(e.store, func() { e.appendTenure(o) })
	case effect.FenceLedger:
		e.run(e.store, func() { e.fenceLedger(o) })
	case effect.LoadLedger:
		e.run(e.store, func() { e.loadLedger(o) })
	case effect.AppendLedger:
		e.run(e.store, func() { e.appendLedger(o) })
	case effect.WriteWaveStatus:
		e.run(e.store, func() { e.writeWaveStatus(o) })
	case effect.ListInstances:
		e.run(e.orders, func() { e.listInstances(o) })
	case effect.OrderInstance:
		e.run(e.orders, func() { e.orderInstance(o) })
	case effect.RequestAdvice:
		e.run(e.orders, func() { e.askAdvice(o) })
	}
}

// run hands a task to a pool of goroutines. The pools end with the entry, when
// nobody needs the task's result.
func (e *Entry) run(p pond.Pool, task func()) {
	if err := p.Go(task); err != nil {
		e.deps.Logger.Debug("task dropped", "error", describe(err))
	}
}

func (e *Entry) forward(f effect.Forward) {
	ctx, span := e.tracer.Start(e.background, "forward")
	defer span.End()
	answer, sent, err := e.deps.Peers.Forward(ctx, f)
	done := event.ForwardFinished{Call: f.Call, Answer: answer, Sent: sent}
	if err != nil {
		done.Failed, done.Reason = true, "no answer"
		if !sent {
			done.Reason = "not reached"
		}
		e.deps.Logger.Warn("forwarding failed", "job", f.Job, "to", f.Address, "sent", sent, "error", describe(err))
	}
	e.post(done)
}

func (e *Entry) listInstances(o effect.ListInstances) {
	rows, err := e.deps.Instances.List(e.background)
	if err != nil {
		e.deps.Logger.Warn("instances not listed", "error", describe(err))
	}
	e.post(event.InstancesRead{Epoch: o.Epoch, Failed: err != nil, Instances: rows})
}

func (e *Entry) orderInstance(o effect.OrderInstance) {
	done := event.InstanceOrdered{Epoch: o.Epoch, Instance: o.Instance, Kind: o.Kind, Wave: o.Wave}
	reason := "its time has passed"
	done.Outcome = effect.InstanceRefused
	if !e.deps.Clock().After(o.SendDeadline) {
		done.Outcome, reason = e.deps.Instances.Order(e.background, o)
	}
	if done.Outcome != effect.InstanceOrderDone {
		e.deps.Logger.Warn("instance not ordered", "instance", o.Instance, "epoch", o.Epoch, "wave", o.Wave, "reason", reason)
	}
	e.post(done)
}

func (e *Entry) askAdvice(o effect.RequestAdvice) {
	tickets, valid, err := e.deps.Advice.Tickets(e.background, o.Step, o.Runners)
	if err != nil {
		e.deps.Logger.Warn("no advice", "step", o.Step, "error", describe(err))
	}
	e.post(event.AdviceReceived{
		Epoch: o.Epoch, Job: o.Job, Step: o.Step, Failed: err != nil, Tickets: tickets, Runners: o.Runners, ValidFor: valid,
	})
}

// pause waits, and reports whether the entry goes on.
func (e *Entry) pause(ctx context.Context, d time.Duration) bool {
	return loop.Sleep(ctx, d) == nil
}

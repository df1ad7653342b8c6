package jobentry

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/banyanrail/banyanrail/loop"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// act passes an effect to the code that carries it out. It runs on the control
// goroutine and must not block.
func (e *Entry) act(out effect.Effect) {
	switch o := out.(type) {
	case effect.OrderTask:
		e.sendOrder(o)
	case effect.PollRunner:
		e.sendPoll(o)
	case effect.DispatchFor:
		e.dispatchFor(o)
	case effect.ReplyCall:
		e.calls.Resolve(o.Call, o.Answer)
	case effect.Forward:
		e.submit(e.forwards, func() { e.forward(o) })
	case effect.Decision:
		e.log(&o)
	case effect.CountJob, effect.SetJobGauge, effect.Observe:
		e.metrics.act(out)
	case effect.SetReady:
		e.ready.Store(o.Ready)
	case effect.JobsHandedOver:
		e.handedOverOnce.Do(func() { close(e.handedOver) })
	case effect.FollowStore:
		go e.followTenure()
		go e.followOperators()
	case effect.FollowRunners:
		e.followRunners(o.Epoch)
	case effect.ReadTenure:
		select {
		case e.tenureWake <- struct{}{}:
		default: // a read is already requested
		}
	default:
		e.actStore(out)
	}
}

// actStore passes an effect on the store or on one of the platform's services to the
// code that carries it out.
func (e *Entry) actStore(out effect.Effect) {
	switch o := out.(type) {
	case effect.AppendTenure:
		e.submit(e.store, func() { e.appendTenure(o) })
	case effect.FenceLedger:
		e.submit(e.store, func() { e.fenceLedger(o) })
	case effect.LoadLedger:
		e.submit(e.store, func() { e.loadLedger(o) })
	case effect.AppendLedger:
		e.submit(e.store, func() { e.appendLedger(o) })
	case effect.WriteWaveStatus:
		e.submit(e.store, func() { e.writeWaveStatus(o) })
	case effect.ListInstances:
		e.submit(e.orders, func() { e.listInstances(o) })
	case effect.OrderInstance:
		e.submit(e.orders, func() { e.orderInstance(o) })
	case effect.CloseRunnerConnections:
		e.submit(e.orders, e.deps.Runners.CloseIdle)
	case effect.RequestAdvice:
		e.submit(e.orders, func() { e.requestAdvice(o) })
	}
}

// submit runs a function on a goroutine of a pool. A pool refuses it only after the
// entry has ended; its result is not needed then.
func (e *Entry) submit(p pond.Pool, f func()) {
	if err := p.Go(f); err != nil {
		e.deps.Logger.Debug("work for a goroutine pool dropped", "error", describe(err))
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
		e.deps.Logger.Warn("list of instances not read", "error", describe(err))
	}
	e.post(event.InstancesRead{Epoch: o.Epoch, Failed: err != nil, Instances: rows})
}

func (e *Entry) orderInstance(o effect.OrderInstance) {
	done := event.InstanceOrdered{Epoch: o.Epoch, Instance: o.Instance, Kind: o.Kind, Wave: o.Wave}
	reason := "send deadline has passed"
	done.Outcome = effect.InstanceRefused
	if !e.deps.Clock().After(o.SendDeadline) {
		done.Outcome, reason = e.deps.Instances.Order(e.background, o)
	}
	if done.Outcome != effect.InstanceOrderDone {
		e.deps.Logger.Warn("order to an instance failed", "instance", o.Instance, "epoch", o.Epoch, "wave", o.Wave, "reason", reason)
	}
	e.post(done)
}

func (e *Entry) requestAdvice(o effect.RequestAdvice) {
	tickets, validFor, err := e.deps.Advice.Tickets(e.background, o.Step, o.Runners)
	if err != nil {
		e.deps.Logger.Warn("request for advice failed", "step", o.Step, "error", describe(err))
	}
	e.post(event.AdviceReceived{
		Epoch: o.Epoch, Job: o.Job, Step: o.Step, Failed: err != nil, Tickets: tickets, Runners: o.Runners, ValidFor: validFor,
	})
}

// sleep waits for a duration and returns false if the context ended first.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	return loop.Sleep(ctx, d) == nil
}

package entry

import (
	"context"
	"time"

	"github.com/banyanrail/banyanrail/endpoint"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// probeTimeout is the time-out for one probe of an endpoint.
const probeTimeout = 2 * time.Second

// dispatch queues an attempt in the traffic pool.
func (e *Entry) dispatch(o effect.Dispatch) {
	err := e.trafficPool.Go(func() {
		start := e.clock()
		res := e.attempt(o)
		_ = e.loop.Post(event.AttemptFinished{ // fails only once the loop has ended
			Attempt:  o.Attempt,
			Instance: o.Instance,
			Outcome:  res.Outcome,
			Status:   statusCode(res),
			Leaving:  res.Leaving,
			Elapsed:  e.clock().Sub(start),
		})
	})
	if err != nil { // the pool stops only after the loop
		e.deps.Logger.Error("attempt dispatched after the pool stopped", "entry", e.cfg.ID, "attempt", o.Attempt, "error", err)
	}
}

// attempt sends the request once, unless its deadline has passed or its caller
// has disconnected.
func (e *Entry) attempt(o effect.Dispatch) endpoint.Result {
	x, ok := e.exchanges.get(o.Attempt.Request)
	if !ok || !e.clock().Before(o.Deadline) {
		return endpoint.Result{Outcome: event.AttemptSkipped}
	}
	// The reducer cancels the attempt at its deadline, so the context needs no
	// timer of its own.
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	ctx, span := e.tracer.Start(ctx, "endpoint attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(
			attribute.String("instance", string(o.Instance)),
			attribute.Int("attempt", o.Attempt.Number),
		))
	defer span.End()
	if !e.exchanges.startAttempt(x, o.Attempt.Number, cancel) {
		return endpoint.Result{Outcome: event.AttemptSkipped}
	}
	res := e.client.Do(ctx, endpoint.Request{
		Attempt:       e.name + "-" + o.Attempt.String(),
		Service:       o.Service,
		Address:       o.Address,
		Member:        x.member,
		Key:           x.key,
		Fence:         o.Fence,
		NewConnection: o.NewConnection,
		ContentType:   x.contentType,
		Body:          x.body,
	})
	e.exchanges.endAttempt(x, o.Attempt.Number, res.Response)
	if res.Err != nil {
		span.SetStatus(codes.Error, res.Err.Error())
	}
	return res
}

// probe checks the health of an endpoint.
func (e *Entry) probe(o effect.Probe) {
	err := e.trafficPool.Go(func() {
		ctx, cancel := context.WithTimeout(e.background, probeTimeout)
		defer cancel()
		ok, leaving := e.client.Probe(ctx, o.Address)
		_ = e.loop.Post(event.ProbeFinished{Instance: o.Instance, OK: ok, Leaving: leaving}) // fails only once the loop has ended
	})
	if err != nil { // the pool stops only after the loop
		e.deps.Logger.Error("probe sent after the pool stopped", "entry", e.cfg.ID, "instance", o.Instance, "error", err)
	}
}

func statusCode(res endpoint.Result) int {
	if res.Response == nil {
		return 0
	}
	return res.Response.Status
}

package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/requests"
)

const (
	// retryAfter is the delay suggested in refusals after which a retry may
	// succeed.
	retryAfter = time.Second
	// cancelGrace is how long past its deadline a request waits for its
	// cancelled attempt to end, to learn whether the request ran.
	cancelGrace = 250 * time.Millisecond
)

func (s *State) onRequestArrived(ev event.RequestArrived) {
	svc, reason := s.admit(ev)
	if reason != fleet.ReasonNone {
		s.refuse(effect.Refuse{Request: ev.ID, Reason: reason, Ran: fleet.RanNo, RetryAfter: retryHint(reason)}, serviceLabel(svc))
		return
	}
	limit := svc.TimeLimit
	if ev.TimeLimit > 0 && ev.TimeLimit < limit {
		limit = ev.TimeLimit
	}
	r := s.requests.New()
	*r = requests.Request{
		ID:       ev.ID,
		Service:  svc,
		Member:   ev.Member,
		Key:      ev.Key,
		BodyHash: ev.BodyHash,
		Size:     ev.Size,
		Arrived:  s.now,
		Deadline: s.now.Add(limit),
	}
	s.requests.Add(r)
	s.retryBudgets.Deposit(svc.Name)
	s.usage.RecordArrival(svc.Name)
	s.timers.Set(&r.Expiry, r.Deadline, r)
	if !svc.Idempotent {
		s.startClaim(r)
		return
	}
	s.enqueue(r)
}

// serviceLabel returns the name of a service that the text lists. Other names
// stay out of the metrics, because callers must not be able to choose labels.
func serviceLabel(svc *fleet.Service) fleet.ServiceName {
	if svc == nil {
		return ""
	}
	return svc.Name
}

// admit checks a request against the text in force and the entry's limits.
func (s *State) admit(ev event.RequestArrived) (*fleet.Service, fleet.Reason) {
	text := s.control.Text
	switch {
	case s.stopping:
		return nil, fleet.ReasonStopping
	case text == nil || !s.catchUp.done:
		return nil, fleet.ReasonNoText
	case s.requests.Len() >= s.cfg.MaxRequests:
		return nil, fleet.ReasonOverloaded
	}
	svc, ok := text.Service(ev.Service)
	if !ok {
		return nil, fleet.ReasonUnknownService
	}
	if _, ok := text.Member(ev.Member); !ok {
		return svc, fleet.ReasonUnknownMember
	}
	if ev.BodySize > svc.MaxBody {
		return svc, fleet.ReasonBodyTooLarge
	}
	pool, ok := text.Pool(svc.Pool)
	if !ok {
		return svc, fleet.ReasonNoCapacity
	}
	if ev.Size > pool.MaxSize {
		return svc, fleet.ReasonSizeTooLarge
	}
	return svc, s.checkKey(svc, ev.Key)
}

// enqueue queues a request for a slot. A new request is refused at once when
// its queue is full or its deadline would pass in the queue.
func (s *State) enqueue(r *requests.Request) {
	req := placementRequest(r)
	if r.Attempts == 0 && s.refuseIfOverloaded(r, req) {
		return
	}
	if !s.placement.Add(req) {
		s.refuseRequest(r, fleet.ReasonNoCapacity)
		return
	}
	r.Phase = requests.Queued
	s.requestSlot(r, r.Attempts > 0)
	s.grant(req.Pool)
}

// placementRequest returns a request as placement queues it.
func placementRequest(r *requests.Request) placement.Request {
	return placement.Request{
		ID:       r.ID,
		Pool:     r.Service.Pool,
		Service:  r.Service.Name,
		Member:   r.Member,
		Urgent:   r.Service.Urgent,
		Size:     r.Size,
		Requeued: r.Attempts > 0,
		Tried:    r.Tried,
	}
}

// refuseIfOverloaded refuses a request when its queue is overloaded, and
// reports whether it did.
func (s *State) refuseIfOverloaded(r *requests.Request, req placement.Request) bool {
	reason, wait := s.overloaded(req, r.Service.MaxQueue, r.Deadline.Sub(s.now))
	if reason == fleet.ReasonNone {
		return false
	}
	s.refuse(refusalAfter(r, reason, wait), r.Service.Name)
	s.removeRequest(r)
	return true
}

// overloaded returns why a queue has no room for a new request or would not
// start it within the remaining time, and when a retry may succeed. It returns
// ReasonNone if the queue can take the request.
func (s *State) overloaded(req placement.Request, maxQueue int, remaining time.Duration) (fleet.Reason, time.Duration) {
	a := s.placement.Admit(req, maxQueue)
	retry := a.RetryAfter
	switch {
	case a.Full:
	case a.Wait > remaining:
		retry = a.Wait - remaining
	default:
		return fleet.ReasonNone, 0
	}
	if a.OverQuota {
		return fleet.ReasonQuota, retry
	}
	return fleet.ReasonQueueFull, retry
}

// grantAll dispatches waiting requests of all pools.
func (s *State) grantAll() {
	for _, pool := range s.placement.Pools() {
		s.grant(pool)
	}
}

// grant dispatches waiting requests of a pool while it has free slots.
func (s *State) grant(pool fleet.PoolName) {
	for s.mayGrant(pool) {
		g, ok := s.placement.GrantNext(pool)
		if !ok {
			return
		}
		if holder.IsRemote(g.Request.ID) {
			s.grantLease(g)
			continue
		}
		r, ok := s.requests.Get(g.Request.ID)
		if !ok {
			s.placement.Finish(g, 0)
			continue
		}
		s.withdrawSlotRequest(r)
		s.dispatch(r, g)
	}
}

func (s *State) dispatch(r *requests.Request, g placement.Grant) {
	r.Phase = requests.Running
	r.Attempts++
	r.Instance = g.Instance
	r.Grant = g
	s.emit(effect.Dispatch{
		Attempt:       r.Attempt(),
		Service:       r.Service.Name,
		Instance:      g.Instance,
		Address:       g.Address,
		Deadline:      r.Deadline,
		Fence:         r.Fence,
		NewConnection: !s.mayReuseConnections(r.Service.Pool),
	})
}

// mayReuseConnections reports whether connections to a pool's instances may
// stay open after a request.
func (s *State) mayReuseConnections(pool fleet.PoolName) bool {
	p, ok := s.control.Text.Pool(pool)
	return ok && p.MayReuse(s.peers.Entries())
}

func (s *State) onAttemptFinished(ev event.AttemptFinished) {
	r, ok := s.requests.Current(ev.Attempt)
	if !ok {
		s.countLateAnswer()
		return
	}
	g := r.Grant
	s.placement.Finish(g, ev.Elapsed)
	s.usage.RecordAttempt(r.Service.Name, ev.Elapsed)
	release := s.assessAttempt(r, ev)
	s.returnSlot(r, release)
	s.resolveAttempt(r, ev)
	s.recordMaintenanceAttempt(release)
	s.grant(g.Request.Pool)
	s.grantUnblocked()
}

// grantUnblocked dispatches requests of members that fell below their quota.
func (s *State) grantUnblocked() {
	for _, pool := range s.placement.TakeUnblocked() {
		s.grant(pool)
	}
}

// resolveAttempt answers, refuses or requeues a request after an attempt. Only
// a broken attempt may have run without an answer.
func (s *State) resolveAttempt(r *requests.Request, ev event.AttemptFinished) {
	phase := r.Phase
	r.Phase = requests.Queued
	r.MayHaveRun = r.MayHaveRun || ev.Outcome == event.AttemptBroken
	switch {
	case phase == requests.Abandoned:
		s.countLateAnswer()
		s.recordAbandonedAnswer(r, ev)
		s.removeRequest(r)
	case ev.Outcome == event.AttemptAnswered:
		s.answer(r, ev)
	case phase == requests.Expiring || !s.now.Before(r.Deadline):
		s.refuseRequest(r, fleet.ReasonDeadline)
	case ev.Outcome == event.AttemptSkipped:
		s.refuseRequest(r, fleet.ReasonCancelled)
	case ev.Outcome == event.AttemptRefused:
		r.Refusals++
		s.requeue(r)
	default:
		r.AddTried(ev.Instance)
		s.retry(r, ev.Outcome)
	}
}

func (s *State) answer(r *requests.Request, ev event.AttemptFinished) {
	s.recordAndShareAnswer(r, ev)
	s.totals.answered++
	s.countAnswer(r.Service.Name, ev.Status)
	s.emit(effect.Answer{Request: r.ID, Attempt: ev.Attempt, Attempts: r.Attempts, Service: r.Service.Name})
	s.removeRequest(r)
}

// retry requeues a request after a failed attempt, or refuses it if it may not
// have another attempt.
func (s *State) retry(r *requests.Request, last event.AttemptOutcome) {
	if !s.mayRetry(r, last) {
		s.refuseRequest(r, fleet.ReasonEndpointFailed)
		return
	}
	s.requeue(r)
}

// requeue queues a request that has had an attempt. A request that the endpoint
// had no slot for has not failed: it waits for a slot until its deadline.
func (s *State) requeue(r *requests.Request) {
	s.totals.retried++
	s.emit(effect.Count{Name: effect.AttemptsRetried, Service: r.Service.Name, N: 1})
	s.enqueue(r)
}

// mayRetry reports whether a request may have another attempt, and withdraws
// that attempt from the retry budget. A non-idempotent request that may have
// run gets no other attempt, because it could run twice. After an attempt that
// never reached an endpoint nothing is withdrawn, because the retry adds no
// load.
func (s *State) mayRetry(r *requests.Request, last event.AttemptOutcome) bool {
	if r.MayHaveRun && !r.Service.Idempotent {
		return false
	}
	if r.Attempts-r.Refusals >= r.Service.MaxAttempts {
		return false
	}
	return last == event.AttemptNotSent || s.retryBudgets.Withdraw(r.Service.Name)
}

func (s *State) onRequestCancelled(ev event.RequestCancelled) {
	r, ok := s.requests.Get(ev.ID)
	if !ok || r.Phase == requests.Abandoned {
		return
	}
	if !r.InFlight() {
		s.refuseUndispatched(r, fleet.ReasonCancelled)
		return
	}
	if r.Phase == requests.Running {
		s.emit(effect.CancelAttempt{Attempt: r.Attempt()})
	}
	s.abandon(r, fleet.ReasonCancelled)
}

// onRequestExpired ends a request at its deadline. An attempt in flight is
// cancelled first: its outcome shows whether the request ran.
func (s *State) onRequestExpired(r *requests.Request) {
	switch r.Phase {
	case requests.Running:
		r.Phase = requests.Expiring
		s.timers.Set(&r.Expiry, s.now.Add(cancelGrace), r)
		s.emit(effect.CancelAttempt{Attempt: r.Attempt()})
	case requests.Expiring:
		s.abandon(r, fleet.ReasonDeadline)
	default:
		s.refuseUndispatched(r, s.deadlineReason(r))
	}
}

// refuseUndispatched refuses a request that has no attempt in flight.
func (s *State) refuseUndispatched(r *requests.Request, reason fleet.Reason) {
	s.placement.Remove(r.ID)
	s.withdrawSlotRequest(r)
	s.refuseRequest(r, reason)
}

// abandon refuses a request whose attempt is in flight. The slot of the attempt
// stays taken until the attempt has ended.
func (s *State) abandon(r *requests.Request, reason fleet.Reason) {
	r.Phase = requests.Abandoned
	s.timers.Clear(&r.Expiry)
	s.refuse(refusal(r, reason), r.Service.Name)
}

func (s *State) refuseRequest(r *requests.Request, reason fleet.Reason) {
	s.refuse(refusal(r, reason), r.Service.Name)
	s.removeRequest(r)
}

func (s *State) refuse(e effect.Refuse, service fleet.ServiceName) {
	s.totals.refused++
	s.countRefusal(service, e.Reason)
	e.Service = service
	s.emit(e)
}

func (s *State) removeRequest(r *requests.Request) {
	s.timers.Clear(&r.Expiry)
	s.requests.Remove(r.ID)
	s.endClaim(r)
}

func (s *State) countLateAnswer() {
	s.totals.late++
	s.emit(effect.Count{Name: effect.LateAnswers, N: 1})
}

func refusal(r *requests.Request, reason fleet.Reason) effect.Refuse {
	return refusalAfter(r, reason, retryHint(reason))
}

func refusalAfter(r *requests.Request, reason fleet.Reason, after time.Duration) effect.Refuse {
	return effect.Refuse{
		Request:    r.ID,
		Reason:     reason,
		Ran:        r.Ran(),
		RetryAfter: after,
		Attempts:   r.Attempts,
		Instance:   r.Instance,
	}
}

// retryHint returns after which delay a refused caller may retry, or zero for
// no suggestion.
func retryHint(reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.ReasonQuota, fleet.ReasonNoCapacity, fleet.ReasonStopping,
		fleet.ReasonLogUnavailable, fleet.ReasonOverloaded, fleet.ReasonNoText:
		return retryAfter
	default:
		return 0
	}
}

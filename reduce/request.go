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
	// retryAfter is the hint in refusals that a later retry may overcome.
	retryAfter = time.Second
	// cancelGrace is how long a caller waits past its deadline to learn whether
	// its request ran.
	cancelGrace = 250 * time.Millisecond
)

func (s *State) onRequestArrived(ev event.RequestArrived) {
	svc, reason := s.admit(ev)
	if reason != fleet.ReasonNone {
		s.refuse(effect.Refuse{Request: ev.ID, Reason: reason, Ran: fleet.RanNo, RetryAfter: hint(reason)}, known(svc))
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
		s.claim(r)
		return
	}
	s.enqueue(r)
}

// known returns the name of a service that the text lists. Others stay out of
// the metrics, whose labels callers must not choose.
func known(svc *fleet.Service) fleet.ServiceName {
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
	case text == nil || !s.logEnd.reached:
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

// enqueue asks for a slot. A new request is refused early when its queue is
// full or its deadline would pass in it.
func (s *State) enqueue(r *requests.Request) {
	ask := askOf(r)
	if r.Attempts == 0 && s.refuseFull(r, ask) {
		return
	}
	if !s.placement.Add(ask) {
		s.refuseRequest(r, fleet.ReasonNoCapacity)
		return
	}
	r.Phase = requests.Queued
	s.ask(r, r.Attempts > 0)
	s.grant(ask.Pool)
}

// askOf returns what a request asks of placement.
func askOf(r *requests.Request) placement.Request {
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

// refuseFull refuses a request when its queue is overloaded.
func (s *State) refuseFull(r *requests.Request, ask placement.Request) bool {
	reason, wait := s.overloaded(ask, r.Service.MaxQueue, r.Deadline.Sub(s.now))
	if reason == fleet.ReasonNone {
		return false
	}
	s.refuse(refusalAfter(r, reason, wait), r.Service.Name)
	s.forget(r)
	return true
}

// overloaded says why a queue has no place for a new request, or none that
// starts it in the time that is left, and when a retry may succeed.
func (s *State) overloaded(ask placement.Request, maxQueue int, left time.Duration) (fleet.Reason, time.Duration) {
	a := s.placement.Admit(ask, maxQueue)
	retry := a.RetryAfter
	switch {
	case a.Full:
	case a.Wait > left:
		retry = a.Wait - left
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
			s.lease(g)
			continue
		}
		r, ok := s.requests.Get(g.Request.ID)
		if !ok {
			s.placement.Finish(g, 0)
			continue
		}
		s.withdrawAsk(r)
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
		NewConnection: !s.mayReuse(r.Service.Pool),
	})
}

// mayReuse reports whether connections to a pool's instances may stay open.
func (s *State) mayReuse(pool fleet.PoolName) bool {
	p, ok := s.control.Text.Pool(pool)
	return ok && p.MayReuse(s.peers.Entries())
}

func (s *State) onAttemptFinished(ev event.AttemptFinished) {
	r, ok := s.requests.Current(ev.Attempt)
	if !ok {
		s.late()
		return
	}
	g := r.Grant
	s.placement.Finish(g, ev.Elapsed)
	s.usage.RecordAttempt(r.Service.Name, ev.Elapsed)
	done := s.judge(r, ev)
	s.giveBack(r, done)
	s.conclude(r, ev)
	s.attemptEnded(done)
	s.grant(g.Request.Pool)
	s.grantUnblocked()
}

// grantUnblocked dispatches requests of members that fell below their quota.
func (s *State) grantUnblocked() {
	for _, pool := range s.placement.TakeUnblocked() {
		s.grant(pool)
	}
}

// conclude decides what follows from the end of an attempt. Only an attempt
// that was broken may have run without an answer.
func (s *State) conclude(r *requests.Request, ev event.AttemptFinished) {
	phase := r.Phase
	r.Phase = requests.Queued
	r.MayHaveRun = r.MayHaveRun || ev.Outcome == event.AttemptBroken
	switch {
	case phase == requests.Abandoned:
		s.late()
		s.claimAbandoned(r, ev)
		s.forget(r)
	case ev.Outcome == event.AttemptAnswered:
		s.answer(r, ev)
	case phase == requests.Expiring || !s.now.Before(r.Deadline):
		s.refuseRequest(r, fleet.ReasonDeadline)
	case ev.Outcome == event.AttemptSkipped:
		s.refuseRequest(r, fleet.ReasonCancelled)
	case ev.Outcome == event.AttemptRefused:
		r.Refusals++
		s.again(r)
	default:
		r.AddTried(ev.Instance)
		s.retry(r, ev.Outcome)
	}
}

func (s *State) answer(r *requests.Request, ev event.AttemptFinished) {
	s.claimAnswered(r, ev)
	s.totals.answered++
	s.countAnswer(r.Service.Name, ev.Status)
	s.emit(effect.Answer{Request: r.ID, Attempt: ev.Attempt, Attempts: r.Attempts, Service: r.Service.Name})
	s.forget(r)
}

// retry tries another instance where that cannot run the request twice.
func (s *State) retry(r *requests.Request, last event.AttemptOutcome) {
	if !s.mayRetry(r, last) {
		s.refuseRequest(r, fleet.ReasonEndpointFailed)
		return
	}
	s.again(r)
}

// again queues a request that has had an attempt. One that the endpoint had no
// slot for did not fail: it waits for a slot until its deadline.
func (s *State) again(r *requests.Request) {
	s.totals.retried++
	s.emit(effect.Count{Name: effect.AttemptsRetried, Service: r.Service.Name, N: 1})
	s.enqueue(r)
}

// mayRetry spends the retry budget, but not on an attempt that never reached
// an endpoint: a retry of it adds no load.
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
		s.withdraw(r, fleet.ReasonCancelled)
		return
	}
	if r.Phase == requests.Running {
		s.emit(effect.CancelAttempt{Attempt: r.Attempt()})
	}
	s.abandon(r, fleet.ReasonCancelled)
}

// onRequestExpired ends a request at its deadline. An attempt under way is
// cancelled first: its end tells whether the request ran.
func (s *State) onRequestExpired(r *requests.Request) {
	switch r.Phase {
	case requests.Running:
		r.Phase = requests.Expiring
		s.timers.Set(&r.Expiry, s.now.Add(cancelGrace), r)
		s.emit(effect.CancelAttempt{Attempt: r.Attempt()})
	case requests.Expiring:
		s.abandon(r, fleet.ReasonDeadline)
	default:
		s.withdraw(r, s.claimReason(r))
	}
}

// withdraw ends a request that has no attempt under way.
func (s *State) withdraw(r *requests.Request, reason fleet.Reason) {
	s.placement.Remove(r.ID)
	s.withdrawAsk(r)
	s.refuseRequest(r, reason)
}

// abandon ends a request for its caller while an attempt is under way, whose
// slot stays taken until it has ended.
func (s *State) abandon(r *requests.Request, reason fleet.Reason) {
	r.Phase = requests.Abandoned
	s.timers.Clear(&r.Expiry)
	s.refuse(refusal(r, reason), r.Service.Name)
}

func (s *State) refuseRequest(r *requests.Request, reason fleet.Reason) {
	s.refuse(refusal(r, reason), r.Service.Name)
	s.forget(r)
}

func (s *State) refuse(e effect.Refuse, service fleet.ServiceName) {
	s.totals.refused++
	s.countRefusal(service, e.Reason)
	e.Service = service
	s.emit(e)
}

func (s *State) forget(r *requests.Request) {
	s.timers.Clear(&r.Expiry)
	s.requests.Remove(r.ID)
	s.leaveClaim(r)
}

func (s *State) late() {
	s.totals.late++
	s.emit(effect.Count{Name: effect.LateAnswers, N: 1})
}

func refusal(r *requests.Request, reason fleet.Reason) effect.Refuse {
	return refusalAfter(r, reason, hint(reason))
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

// hint says when a refused caller may retry.
func hint(reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.ReasonQuota, fleet.ReasonNoCapacity, fleet.ReasonStopping,
		fleet.ReasonLogUnavailable, fleet.ReasonOverloaded, fleet.ReasonNoText:
		return retryAfter
	default:
		return 0
	}
}

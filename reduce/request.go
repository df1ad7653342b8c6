package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/requests"
)

// retryAfter is the hint in refusals that a later retry may overcome.
const retryAfter = time.Second

func (s *State) onRequestArrived(ev event.RequestArrived) {
	svc, reason := s.admit(ev)
	if reason != fleet.ReasonNone {
		s.refuse(effect.Refuse{Request: ev.ID, Reason: reason, Ran: fleet.RanNo, RetryAfter: hint(reason)}, ev.Service)
		return
	}
	limit := svc.TimeLimit
	if ev.TimeLimit > 0 && ev.TimeLimit < limit {
		limit = ev.TimeLimit
	}
	r := &requests.Request{
		ID:       ev.ID,
		Service:  svc,
		Member:   ev.Member,
		Key:      ev.Key,
		BodyHash: ev.BodyHash,
		Arrived:  s.now,
		Deadline: s.now.Add(limit),
	}
	s.requests.Add(r)
	s.timers.Set(&r.Expiry, r.Deadline, r)
	s.enqueue(r)
}

// admit checks a request against the text in force and the entry's limits.
func (s *State) admit(ev event.RequestArrived) (*fleet.Service, fleet.Reason) {
	text := s.control.Text
	switch {
	case s.stopping:
		return nil, fleet.ReasonStopping
	case text == nil:
		return nil, fleet.ReasonNoText
	case s.requests.Len() >= s.cfg.MaxRequests:
		return nil, fleet.ReasonOverloaded
	}
	svc, ok := text.Service(ev.Service)
	if !ok {
		return nil, fleet.ReasonUnknownService
	}
	if _, ok := text.Member(ev.Member); !ok {
		return nil, fleet.ReasonUnknownMember
	}
	if ev.BodySize > svc.MaxBody {
		return nil, fleet.ReasonBodyTooLarge
	}
	pool, ok := text.Pool(svc.Pool)
	if !ok {
		return nil, fleet.ReasonNoCapacity
	}
	if ev.Size > pool.MaxSize {
		return nil, fleet.ReasonSizeTooLarge
	}
	return svc, fleet.ReasonNone
}

// enqueue asks for a slot.
func (s *State) enqueue(r *requests.Request) {
	r.Phase = requests.Queued
	ok := s.placement.Add(placement.Ask{
		Request: r.ID,
		Pool:    r.Service.Pool,
		Service: r.Service.Name,
		Member:  r.Member,
		Urgent:  r.Service.Urgent,
		Avoid:   r.Instance,
	})
	if !ok {
		s.refuseRequest(r, fleet.ReasonNoCapacity)
		return
	}
	s.grant(r.Service.Pool)
}

// grant dispatches waiting requests of a pool while it has free slots.
func (s *State) grant(pool fleet.PoolName) {
	for {
		g, ok := s.placement.Next(pool)
		if !ok {
			return
		}
		r, ok := s.requests.Get(g.Ask.Request)
		if !ok {
			s.placement.Release(g.Instance)
			continue
		}
		s.dispatch(r, g)
	}
}

func (s *State) dispatch(r *requests.Request, g placement.Grant) {
	r.Phase = requests.Running
	r.Attempts++
	r.Sent = true
	r.Instance = g.Instance
	s.emit(effect.Dispatch{
		Attempt:  r.Attempt(),
		Service:  r.Service.Name,
		Instance: g.Instance,
		Address:  g.Address,
		Deadline: r.Deadline,
		Fence:    r.Fence,
	})
}

func (s *State) onAttemptFinished(ev event.AttemptFinished) {
	s.placement.Release(ev.Instance)
	s.observeOutcome(ev)
	r, ok := s.requests.Current(ev.Attempt)
	if !ok {
		s.late()
		return
	}
	if r.Phase == requests.Abandoned {
		s.late()
		s.forget(r)
		s.grant(r.Service.Pool)
		return
	}
	switch ev.Outcome {
	case event.AttemptAnswered:
		s.answer(r, ev)
	case event.AttemptNotSent, event.AttemptRefused:
		r.Sent = r.Attempts > 1 && r.Sent && r.Service.Idempotent
		s.retry(r)
	default:
		s.retry(r)
	}
	s.grant(r.Service.Pool)
}

func (s *State) answer(r *requests.Request, ev event.AttemptFinished) {
	s.totals.answered++
	s.emit(effect.Answer{Request: r.ID, Attempt: ev.Attempt, Attempts: r.Attempts})
	s.emit(effect.Count{Name: effect.RequestsAnswered, Service: r.Service.Name, N: 1})
	s.forget(r)
}

// retry tries another instance where that cannot run the request twice.
func (s *State) retry(r *requests.Request) {
	mayRetry := !r.Sent || r.Service.Idempotent
	if !mayRetry || r.Attempts >= r.Service.MaxAttempts || s.stopping {
		s.refuseRequest(r, fleet.ReasonEndpointFailed)
		return
	}
	s.totals.retried++
	s.emit(effect.Count{Name: effect.AttemptsRetried, Service: r.Service.Name, N: 1})
	s.enqueue(r)
}

func (s *State) onRequestCancelled(ev event.RequestCancelled) {
	r, ok := s.requests.Get(ev.ID)
	if !ok || r.Phase == requests.Abandoned {
		return
	}
	s.abandon(r, fleet.ReasonCancelled)
}

func (s *State) onRequestExpired(r *requests.Request) {
	s.abandon(r, fleet.ReasonDeadline)
}

// abandon ends a request for its caller. A running attempt is cancelled; its
// slot stays taken until the attempt has ended.
func (s *State) abandon(r *requests.Request, reason fleet.Reason) {
	if r.Phase != requests.Running {
		s.placement.Remove(r.ID)
		s.refuseRequest(r, reason)
		return
	}
	r.Phase = requests.Abandoned
	s.timers.Clear(&r.Expiry)
	s.emit(effect.CancelAttempt{Attempt: r.Attempt()})
	s.refuse(refusal(r, reason), r.Service.Name)
}

func (s *State) refuseRequest(r *requests.Request, reason fleet.Reason) {
	s.refuse(refusal(r, reason), r.Service.Name)
	s.forget(r)
}

func (s *State) refuse(e effect.Refuse, service fleet.ServiceName) {
	s.totals.refused++
	s.emit(e)
	s.emit(effect.Count{Name: effect.RequestsRefused, Service: service, Reason: e.Reason, N: 1})
}

func (s *State) forget(r *requests.Request) {
	s.timers.Clear(&r.Expiry)
	s.requests.Remove(r.ID)
}

func (s *State) late() {
	s.totals.late++
	s.emit(effect.Count{Name: effect.LateAnswers, N: 1})
}

func refusal(r *requests.Request, reason fleet.Reason) effect.Refuse {
	return effect.Refuse{
		Request:    r.ID,
		Reason:     reason,
		Ran:        r.Ran(),
		RetryAfter: hint(reason),
		Attempts:   r.Attempts,
		Instance:   r.Instance,
	}
}

// hint says when a refused caller may retry.
func hint(reason fleet.Reason) time.Duration {
	switch reason {
	case fleet.ReasonQueueFull, fleet.ReasonQuota, fleet.ReasonNoCapacity, fleet.ReasonStopping,
		fleet.ReasonLogUnavailable, fleet.ReasonOverloaded, fleet.ReasonNoText:
		return retryAfter
	default:
		return 0
	}
}

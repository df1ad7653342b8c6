package placement

import "time"

// reserveDivisor sets the part of a service's queue that is kept for members
// below their share: 1/reserveDivisor.
const reserveDivisor = 8

// maxRetryAfter bounds hints to callers.
const maxRetryAfter = time.Minute

// Admission says whether a request may join its queue.
type Admission struct {
	// Full means that the service's queue has no place for the member.
	Full bool
	// OverQuota means that the member waits for its own quota: it holds all
	// slots that it may, while others are free.
	OverQuota bool
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// RetryAfter is when the queue is expected to have a place.
	RetryAfter time.Duration
}

// Admit tells how a request would fare in its queue, of at most maxQueue
// requests for the service. Members above their weighted share leave the last
// places to the others.
func (s *State) Admit(a Request, maxQueue int) Admission {
	p, ok := s.pools[a.Pool]
	if !ok || p.queued == 0 {
		return Admission{}
	}
	l := s.line(p, a)
	cost := l.runs.estimate(a.Size)
	admission := Admission{
		Full:       l.full(maxQueue, len(s.members) > 1),
		OverQuota:  p.free > 0 && l.flow.member.atQuota(),
		Wait:       p.wait(l, cost, a.Urgent),
		RetryAfter: min(maxRetryAfter, p.drain(cost*time.Duration(l.service.queued))),
	}
	if admission.OverQuota {
		// The member's next request starts when one of its own ends.
		admission.RetryAfter = min(maxRetryAfter, cost/time.Duration(l.flow.member.quota))
	}
	return admission
}

func (l *line) full(maxQueue int, shared bool) bool {
	queued := l.service.queued
	if queued >= maxQueue {
		return true
	}
	if !shared {
		return false
	}
	mine, weight := l.flow.member.weight, l.service.weight
	if l.queued == 0 {
		weight += mine
	}
	weight = max(weight, mine+1)
	overShare := l.queued*weight >= maxQueue*mine
	return overShare && queued >= maxQueue-maxQueue/reserveDivisor
}

// wait is the time until a new request starts: its member's work ahead at the
// member's share of the slots, and at most all work ahead, but not less than the
// member's quota allows.
func (p *pool) wait(l *line, cost time.Duration, isUrgent bool) time.Duration {
	ahead := p.classes[urgent].backlog
	if !isUrgent {
		ahead += p.classes[normal].backlog
	}
	all := p.drain(ahead)
	if !l.flow.waits() {
		return min(all, p.drain(cost))
	}
	fair := l.flow.backlog * time.Duration(p.weight) / time.Duration(l.flow.member.weight)
	return max(l.flow.quotaWait(), min(all, p.drain(fair)))
}

// quotaWait is the time that the flow's work takes in the slots of its member's
// quota.
func (f *flow) quotaWait() time.Duration {
	if f.member.quota == 0 {
		return 0
	}
	return f.backlog / time.Duration(f.member.quota)
}

// drain is the time in which the pool starts an amount of work.
func (p *pool) drain(work time.Duration) time.Duration {
	if p.slots == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(work) / p.rate.slots(p.slots))
}

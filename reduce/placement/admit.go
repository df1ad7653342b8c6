package placement

import "time"

// reserveDivisor sets the part of a service's queue that is kept for members
// below their share: 1/reserveDivisor.
const reserveDivisor = 8

// maxRetryAfter caps the retry delay suggested to callers.
const maxRetryAfter = time.Minute

// Admission is the forecast for a request that would join its queue.
type Admission struct {
	// Full means that the service's queue has no place left for the member.
	Full bool
	// OverQuota means that the member holds all slots that its quota allows
	// while other slots are free.
	OverQuota bool
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// RetryAfter is the expected time until the queue has a place.
	RetryAfter time.Duration
}

// Admit returns the forecast for a request that would join its queue. maxQueue
// is the limit on the queued requests of the service. The last places are kept
// for members below their weighted share.
func (s *State) Admit(r Request, maxQueue int) Admission {
	p, ok := s.pools[r.Pool]
	if !ok || p.queued == 0 {
		return Admission{}
	}
	q := s.memberQueue(p, r)
	cost := q.runTimes.estimate(r.Size)
	admission := Admission{
		Full:       q.full(maxQueue, len(s.members) > 1),
		OverQuota:  p.free > 0 && q.flow.member.atQuota(),
		Wait:       p.expectedWait(q, cost, r.Urgent),
		RetryAfter: min(maxRetryAfter, p.drainTime(cost*time.Duration(q.service.queued))),
	}
	if admission.OverQuota {
		// The member's next request starts when one of its running requests ends.
		admission.RetryAfter = min(maxRetryAfter, cost/time.Duration(q.flow.member.quota))
	}
	return admission
}

// full reports whether the queue has no place for another request of the
// member. shared is set when there are several members.
func (q *memberQueue) full(maxQueue int, shared bool) bool {
	queued := q.service.queued
	if queued >= maxQueue {
		return true
	}
	if !shared {
		return false
	}
	ownWeight, weight := q.flow.member.weight, q.service.weight
	if q.queued == 0 {
		weight += ownWeight
	}
	weight = max(weight, ownWeight+1)
	overShare := q.queued*weight >= maxQueue*ownWeight
	return overShare && queued >= maxQueue-maxQueue/reserveDivisor
}

// expectedWait returns the time until a new request starts: the time to drain
// its member's queued work at the member's share of the slots, at most the time
// to drain all work ahead, and at least the time that the member's quota
// imposes. For a member with nothing queued, it is at most the time to start
// one request.
func (p *pool) expectedWait(q *memberQueue, cost time.Duration, isUrgent bool) time.Duration {
	ahead := p.classes[urgent].backlog
	if !isUrgent {
		ahead += p.classes[normal].backlog
	}
	all := p.drainTime(ahead)
	if !q.flow.hasWaiting() {
		return min(all, p.drainTime(cost))
	}
	fair := q.flow.backlog * time.Duration(p.weight) / time.Duration(q.flow.member.weight)
	return max(q.flow.quotaWait(), min(all, p.drainTime(fair)))
}

// quotaWait returns the time that the flow's queued work takes in the slots of
// its member's quota, or zero without a quota.
func (f *flow) quotaWait() time.Duration {
	if f.member.quota == 0 {
		return 0
	}
	return f.backlog / time.Duration(f.member.quota)
}

// drainTime returns the time in which the pool starts an amount of work, which
// is given as run time.
func (p *pool) drainTime(work time.Duration) time.Duration {
	if p.slots == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(work) / p.rate.slots(p.slots))
}

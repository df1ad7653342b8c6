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
	// Wait is the expected time until the request starts.
	Wait time.Duration
	// RetryAfter is when the queue is expected to have a place.
	RetryAfter time.Duration
}

// Admit tells how a request would fare in its queue, of at most maxQueue
// requests for the service. Members above their weighted share leave the last
// places to the others.
func (s *State) Admit(a Ask, maxQueue int) Admission {
	p, ok := s.pools[a.Pool]
	if !ok || p.queued == 0 {
		return Admission{}
	}
	m := s.member(a.Member)
	q := p.service(a.Service)
	return Admission{
		Full:       q.full(m, maxQueue, len(s.members) > 1),
		Wait:       s.wait(p, m, a),
		RetryAfter: min(maxRetryAfter, p.drain(s.costs.estimate(a)*time.Duration(q.queued))),
	}
}

func (q *serviceQueue) full(m *member, maxQueue int, shared bool) bool {
	if q.queued >= maxQueue {
		return true
	}
	if !shared {
		return false
	}
	mine := q.byMember[m.name]
	weight := q.weight
	if mine == 0 {
		weight += m.weight
	}
	weight = max(weight, m.weight+1)
	overShare := mine*weight >= maxQueue*m.weight
	return overShare && q.queued >= maxQueue-maxQueue/reserveDivisor
}

// wait is the time until a new request of a member starts: its member's work
// ahead at the member's share of the slots, and at most all work ahead.
func (s *State) wait(p *pool, m *member, a Ask) time.Duration {
	ahead := p.classes[urgent].backlog
	if !a.Urgent {
		ahead += p.classes[normal].backlog
	}
	all := p.drain(ahead)
	f, ok := p.flows[m.name]
	if !ok || !f.waits() {
		return min(all, p.drain(s.costs.estimate(a)))
	}
	fair := f.backlog * time.Duration(p.weight) / time.Duration(m.weight)
	return min(all, p.drain(fair))
}

// drain is the time in which the pool starts an amount of work.
func (p *pool) drain(work time.Duration) time.Duration {
	if p.slots == 0 {
		return maxRetryAfter
	}
	return time.Duration(float64(work) / p.rate.slots(p.slots))
}

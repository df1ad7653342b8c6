package placement

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// queuedRequest is a request in a queue.
type queuedRequest struct {
	request     Request
	cost        time.Duration
	memberQueue *memberQueue
	since       time.Time
	prev        *queuedRequest
	next        *queuedRequest
}

func (w *queuedRequest) class() int {
	if w.request.Urgent {
		return urgent
	}
	return normal
}

func (s *State) newQueuedRequest() *queuedRequest {
	w := s.freeList
	if w == nil {
		return &queuedRequest{}
	}
	s.freeList = w.next
	w.next = nil
	return w
}

// recycle removes a request that has left its queue from the index and keeps
// its memory for reuse.
func (s *State) recycle(w *queuedRequest) {
	delete(s.waiting, w.request.ID)
	*w = queuedRequest{next: s.freeList}
	s.freeList = w
}

// queue is a doubly linked list of requests, from which any request can be
// removed in constant time.
type queue struct {
	first, last *queuedRequest
	len         int
}

func (q *queue) pushBack(w *queuedRequest) {
	w.prev, w.next = q.last, nil
	if q.last == nil {
		q.first = w
	} else {
		q.last.next = w
	}
	q.last = w
	q.len++
}

func (q *queue) pushFront(w *queuedRequest) {
	w.prev, w.next = nil, q.first
	if q.first == nil {
		q.last = w
	} else {
		q.first.prev = w
	}
	q.first = w
	q.len++
}

func (q *queue) remove(w *queuedRequest) {
	if w.prev == nil {
		q.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.len--
}

// serviceQueue counts the waiting requests of a service in a pool.
type serviceQueue struct {
	queued   int
	byMember map[fleet.MemberName]*memberQueue
	// weight is the sum of the weights of the members that wait.
	weight int
}

// memberQueue counts the waiting requests of a member for a service in a pool,
// and refers to their observed run times.
type memberQueue struct {
	flow     *flow
	service  *serviceQueue
	queued   int
	runTimes runTimes
}

func (p *pool) service(name fleet.ServiceName) *serviceQueue {
	q, ok := p.services[name]
	if !ok {
		q = &serviceQueue{byMember: make(map[fleet.MemberName]*memberQueue)}
		p.services[name] = q
	}
	return q
}

// memberQueue returns the counts that a request belongs to.
func (s *State) memberQueue(p *pool, r Request) *memberQueue {
	service := p.service(r.Service)
	q, ok := service.byMember[r.Member]
	if !ok {
		q = &memberQueue{flow: p.flow(s.member(r.Member)), service: service, runTimes: s.runTimes.lookup(r.Service, r.Member)}
		service.byMember[r.Member] = q
	}
	return q
}

func (q *memberQueue) add() {
	q.queued++
	q.service.queued++
	if q.queued == 1 {
		q.service.weight += q.flow.member.weight
	}
}

func (q *memberQueue) remove() {
	q.queued--
	q.service.queued--
	if q.queued == 0 {
		q.service.weight -= q.flow.member.weight
	}
}

package placement

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// waiter is a request in a queue.
type waiter struct {
	ask     Ask
	cost    time.Duration
	flow    *flow
	service *serviceQueue
	since   time.Time
	prev    *waiter
	next    *waiter
}

func (w *waiter) class() int {
	if w.ask.Urgent {
		return urgent
	}
	return normal
}

func (s *State) newWaiter() *waiter {
	w := s.idle
	if w == nil {
		return &waiter{}
	}
	s.idle = w.next
	w.next = nil
	return w
}

// drop forgets a waiter that has left its queue.
func (s *State) drop(w *waiter) {
	delete(s.waiting, w.ask.Request)
	*w = waiter{next: s.idle}
	s.idle = w
}

// queue is a linked list of waiters, so that one in the middle can be removed
// in constant time.
type queue struct {
	first, last *waiter
	len         int
}

func (q *queue) pushBack(w *waiter) {
	w.prev, w.next = q.last, nil
	if q.last == nil {
		q.first = w
	} else {
		q.last.next = w
	}
	q.last = w
	q.len++
}

func (q *queue) pushFront(w *waiter) {
	w.prev, w.next = nil, q.first
	if q.first == nil {
		q.last = w
	} else {
		q.first.prev = w
	}
	q.first = w
	q.len++
}

func (q *queue) remove(w *waiter) {
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

// serviceQueue counts the requests of a service that wait.
type serviceQueue struct {
	queued   int
	byMember map[fleet.MemberName]int
	// weight is the sum of the weights of the members that wait.
	weight int
}

func (p *pool) service(name fleet.ServiceName) *serviceQueue {
	q, ok := p.services[name]
	if !ok {
		q = &serviceQueue{byMember: make(map[fleet.MemberName]int)}
		p.services[name] = q
	}
	return q
}

func (q *serviceQueue) add(m *member) {
	q.queued++
	q.byMember[m.name]++
	if q.byMember[m.name] == 1 {
		q.weight += m.weight
	}
}

func (q *serviceQueue) remove(m *member) {
	q.queued--
	q.byMember[m.name]--
	if q.byMember[m.name] == 0 {
		q.weight -= m.weight
	}
}

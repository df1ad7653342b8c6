package placement

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// waiter is a request in a queue.
type waiter struct {
	ask   Request
	cost  time.Duration
	line  *line
	since time.Time
	prev  *waiter
	next  *waiter
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
	delete(s.waiting, w.ask.ID)
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

// serviceQueue counts the requests of a service that wait in a pool.
type serviceQueue struct {
	queued int
	lines  map[fleet.MemberName]*line
	// weight is the sum of the weights of the members that wait.
	weight int
}

// line is a member's part of a service's queue, with what is known of its run
// times.
type line struct {
	flow    *flow
	service *serviceQueue
	queued  int
	runs    runTimes
}

func (p *pool) service(name fleet.ServiceName) *serviceQueue {
	q, ok := p.services[name]
	if !ok {
		q = &serviceQueue{lines: make(map[fleet.MemberName]*line)}
		p.services[name] = q
	}
	return q
}

// line returns the line in which a request waits.
func (s *State) line(p *pool, a Request) *line {
	q := p.service(a.Service)
	l, ok := q.lines[a.Member]
	if !ok {
		l = &line{flow: p.flow(s.member(a.Member)), service: q, runs: s.costs.of(a.Service, a.Member)}
		q.lines[a.Member] = l
	}
	return l
}

func (l *line) add() {
	l.queued++
	l.service.queued++
	if l.queued == 1 {
		l.service.weight += l.flow.member.weight
	}
}

func (l *line) remove() {
	l.queued--
	l.service.queued--
	if l.queued == 0 {
		l.service.weight -= l.flow.member.weight
	}
}

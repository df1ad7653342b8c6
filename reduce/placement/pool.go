package placement

import (
	"container/heap"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Classes of requests, in the order in which they are served.
const (
	urgent = iota
	normal
	numClasses
)

// normalEvery is the length of a series of grants of which one goes to a normal
// request while urgent ones wait too, so that normal requests do not starve.
const normalEvery = 8

// pool queues requests by start-time fair queueing between members, by weight,
// in two classes. Each member has one account for both classes.
type pool struct {
	name      fleet.PoolName
	instances []*instance
	// instanceSlots is the number of slots of one instance.
	instanceSlots int
	// entries is the number of entries that divide the slots between them.
	entries int
	// free is the number of slots that may be granted.
	free int
	// slots is the number of slots that may be in use.
	slots  int
	queued int
	// weight is the sum of the weights of the members that wait.
	weight  int
	classes [numClasses]class
	flows   map[fleet.MemberName]*flow
	// clock is the pool's virtual time: the largest tag served so far.
	clock    virtualTime
	services map[fleet.ServiceName]*serviceQueue
	// urgentStreak counts urgent grants since the last normal one.
	urgentStreak int
	rate         rate
}

// virtualTime is the unit of fair queueing: run time divided by weight.
type virtualTime int64

// class is a heap of the flows that have a request to start, ordered by their
// tags.
type class struct {
	flows   flowHeap
	backlog time.Duration
}

func newPool(name fleet.PoolName) *pool {
	p := &pool{
		name:     name,
		entries:  1,
		flows:    make(map[fleet.MemberName]*flow),
		services: make(map[fleet.ServiceName]*serviceQueue),
	}
	for i := range p.classes {
		p.classes[i].flows.class = i
	}
	return p
}

// flow is the queue of a member in a pool.
type flow struct {
	pool   *pool
	member *member
	// tag is the virtual time at which the flow's next request starts.
	tag     virtualTime
	queues  [numClasses]queue
	index   [numClasses]int
	backlog time.Duration
	parked  bool
}

func (p *pool) flow(m *member) *flow {
	f, ok := p.flows[m.name]
	if !ok {
		f = &flow{pool: p, member: m, parked: m.atQuota()}
		p.flows[m.name] = f
		m.flows = append(m.flows, f)
	}
	return f
}

func (f *flow) hasWaiting() bool { return f.queues[urgent].len+f.queues[normal].len > 0 }

// park takes the flow out of the heaps, so that it gets no grant.
func (f *flow) park() {
	if f.parked {
		return
	}
	for c := range f.queues {
		f.leave(c)
	}
	f.parked = true
}

// unpark puts the flow back into the heaps and reports whether it has a waiting
// request.
func (f *flow) unpark() bool {
	f.parked = false
	f.tag = max(f.tag, f.pool.clock)
	for c := range f.queues {
		f.join(c)
	}
	return f.hasWaiting()
}

func (f *flow) join(c int) {
	if !f.parked && f.index[c] == 0 && f.queues[c].len > 0 {
		heap.Push(&f.pool.classes[c].flows, f)
	}
}

func (f *flow) leave(c int) {
	if f.index[c] > 0 {
		heap.Remove(&f.pool.classes[c].flows, f.index[c]-1)
	}
}

// setTag changes the flow's tag and its positions in the heaps.
func (f *flow) setTag(to virtualTime) {
	f.tag = to
	for c := range f.index {
		if f.index[c] > 0 {
			heap.Fix(&f.pool.classes[c].flows, f.index[c]-1)
		}
	}
}

// push queues a request.
func (p *pool) push(w *queuedRequest, now time.Time) {
	f, c := w.memberQueue.flow, w.class()
	if !f.hasWaiting() {
		f.tag = max(f.tag, p.clock)
		p.weight += f.member.weight
	}
	if p.queued == 0 {
		p.rate.resume(now)
	}
	p.queued++
	p.classes[c].backlog += w.cost
	f.backlog += w.cost
	w.memberQueue.add()
	if w.request.Requeued {
		f.queues[c].pushFront(w)
	} else {
		f.queues[c].pushBack(w)
	}
	f.join(c)
}

// remove takes a request out of the queue.
func (p *pool) remove(w *queuedRequest) {
	f, c := w.memberQueue.flow, w.class()
	p.queued--
	p.classes[c].backlog -= w.cost
	f.backlog -= w.cost
	w.memberQueue.remove()
	f.queues[c].remove(w)
	if f.queues[c].len == 0 {
		f.leave(c)
	}
	if !f.hasWaiting() {
		p.weight -= f.member.weight
	}
}

// charge advances the pool's clock to the tag of a request that starts, and the
// tag of its member by the request's cost.
func (p *pool) charge(w *queuedRequest, now time.Time) {
	f := w.memberQueue.flow
	p.clock = max(p.clock, f.tag)
	f.setTag(f.tag + weighted(w.cost, f.member))
	if now.After(w.since) {
		p.rate.add(now, w.cost)
	}
	if w.class() == urgent {
		p.urgentStreak++
	} else {
		p.urgentStreak = 0
	}
}

// settle corrects a member's tag by diff, the error of an estimated cost.
func (p *pool) settle(f *flow, diff time.Duration) {
	f.setTag(f.tag + weighted(diff, f.member))
}

// weighted returns the virtual time that a cost takes from a member.
func weighted(cost time.Duration, m *member) virtualTime {
	return virtualTime(cost) / virtualTime(m.weight)
}

// classOrder returns the classes in the order in which the next slot is offered
// to them.
func (p *pool) classOrder() [numClasses]int {
	if p.urgentStreak >= normalEvery-1 {
		return [numClasses]int{normal, urgent}
	}
	return [numClasses]int{urgent, normal}
}

// pick returns the next request that can start, and its instance. A flow is
// skipped when its first request can go only to instances on which it failed.
func (s *State) pick(p *pool) (*queuedRequest, *instance) {
	for _, c := range p.classOrder() {
		if w, it := s.pickClass(p, c); w != nil {
			return w, it
		}
	}
	return nil, nil
}

func (s *State) pickClass(p *pool, c int) (*queuedRequest, *instance) {
	flows := &p.classes[c].flows
	var skipped []*flow
	defer func() {
		for _, f := range skipped {
			f.join(c)
		}
	}()
	for flows.Len() > 0 {
		f := flows.items[0]
		w := f.queues[c].first
		if it := s.choose(p, w.request.Tried); it != nil {
			return w, it
		}
		skipped = append(skipped, f)
		f.leave(c)
	}
	return nil, nil
}

// flowHeap orders flows by tag, and by member for equal tags.
type flowHeap struct {
	items []*flow
	class int
}

func (h *flowHeap) Len() int { return len(h.items) }

func (h *flowHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.tag == b.tag {
		return a.member.name < b.member.name
	}
	return a.tag < b.tag
}

func (h *flowHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.class] = i + 1
	h.items[j].index[h.class] = j + 1
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index[h.class] = len(h.items) + 1
	h.items = append(h.items, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.items) - 1
	f := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	f.index[h.class] = 0
	return f
}

// Package placement decides which request runs next and on which instance. For
// each pool it keeps the instances with their slots in use, and a queue that is
// weighted fair between members.
package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/random"
)

// Request is a request that waits for a slot.
type Request struct {
	ID      fleet.RequestID
	Pool    fleet.PoolName
	Service fleet.ServiceName
	Member  fleet.MemberName
	Urgent  bool
	// Size is the size that the caller declared.
	Size int64
	// Tried lists the instances on which the request failed. One of them is
	// chosen only when the pool has no other open instance.
	Tried []fleet.InstanceID
	// Requeued is set for a request that was granted a slot before. Such a
	// request goes to the front of its member's queue.
	Requeued bool
}

// Grant assigns a slot of an instance to a waiting request.
type Grant struct {
	Request  Request
	Instance fleet.InstanceID
	Address  string
	// Cost is the estimated run time that the member's account was charged.
	Cost time.Duration

	memberQueue *memberQueue
}

// State holds the pools and their queues.
type State struct {
	now       time.Time
	pools     map[fleet.PoolName]*pool
	instances map[fleet.InstanceID]*instance
	members   map[fleet.MemberName]*member
	waiting   map[fleet.RequestID]*queuedRequest
	runTimes  runTimeStats
	unblocked []fleet.PoolName
	// freeList links the queuedRequest values that are free for reuse.
	freeList *queuedRequest
	random   random.Source
}

// New returns an empty state. The seed makes the random choices of entries
// differ.
func New(seed uint64) *State {
	return &State{
		pools:     make(map[fleet.PoolName]*pool),
		instances: make(map[fleet.InstanceID]*instance),
		members:   make(map[fleet.MemberName]*member),
		waiting:   make(map[fleet.RequestID]*queuedRequest),
		runTimes:  newRunTimeStats(),
		random:    random.New(seed),
	}
}

// Advance sets the current time for the calls that follow.
func (s *State) Advance(now time.Time) { s.now = now }

// Add queues a request. It returns false when the pool has no instance.
func (s *State) Add(r Request) bool {
	p, ok := s.pools[r.Pool]
	if !ok || len(p.instances) == 0 {
		return false
	}
	w := s.newQueuedRequest()
	w.request, w.since = r, s.now
	w.memberQueue = s.memberQueue(p, r)
	w.cost = w.memberQueue.runTimes.estimate(r.Size)
	s.waiting[r.ID] = w
	p.push(w, s.now)
	return true
}

// Remove takes a request out of its queue.
func (s *State) Remove(id fleet.RequestID) {
	w, ok := s.waiting[id]
	if !ok {
		return
	}
	w.memberQueue.flow.pool.remove(w)
	s.recycle(w)
}

// GrantNext grants a slot to the next waiting request of a pool. It returns
// false when no request can start now.
func (s *State) GrantNext(name fleet.PoolName) (Grant, bool) {
	p, ok := s.pools[name]
	if !ok || p.free == 0 || p.queued == 0 {
		return Grant{}, false
	}
	w, it := s.pick(p)
	if w == nil {
		return Grant{}, false
	}
	p.charge(w, s.now)
	return s.start(w, it), true
}

// start moves a request from its queue to a slot of an instance.
func (s *State) start(w *queuedRequest, it *instance) Grant {
	w.memberQueue.flow.pool.remove(w)
	it.setRunning(it.running + 1)
	w.memberQueue.flow.member.acquireSlot()
	g := Grant{Request: w.request, Instance: it.id, Address: it.address, Cost: w.cost, memberQueue: w.memberQueue}
	s.recycle(w)
	return g
}

// Finish returns a granted slot. The member's account, which was charged the
// estimated cost of the grant, is corrected to the time for which the slot was
// held.
func (s *State) Finish(g Grant, held time.Duration) {
	s.Release(g.Instance)
	if g.memberQueue == nil {
		return
	}
	f := g.memberQueue.flow
	s.unblocked = f.member.releaseSlot(s.unblocked)
	f.pool.settle(f, held-g.Cost)
}

// ObserveRunTime adds the run time of a complete run to the run times of the
// service and the member.
func (s *State) ObserveRunTime(g Grant, run time.Duration) {
	if g.memberQueue != nil {
		g.memberQueue.runTimes.observe(run)
	}
}

// ExpectedRunTime returns the expected run time of a granted request.
func (s *State) ExpectedRunTime(g Grant) time.Duration {
	if g.memberQueue == nil {
		return g.Cost
	}
	return g.memberQueue.runTimes.estimate(g.Request.Size)
}

// Release returns a slot of an instance. An instance without a pool is removed
// when its last slot is returned.
func (s *State) Release(id fleet.InstanceID) {
	it, ok := s.instances[id]
	if !ok || it.running == 0 {
		return
	}
	it.setRunning(it.running - 1)
	if it.pool == nil && it.running == 0 {
		delete(s.instances, id)
	}
}

// TakeUnblocked returns and clears the list of pools in which requests can
// start because their member fell below its quota. The result is valid until
// the next call of Finish.
func (s *State) TakeUnblocked() []fleet.PoolName {
	names := s.unblocked
	s.unblocked = s.unblocked[:0]
	return names
}

// CloseInstance stops new grants on an instance. Requests that run there
// continue.
func (s *State) CloseInstance(id fleet.InstanceID) { s.setClosed(id, true) }

// OpenInstance allows grants on an instance again.
func (s *State) OpenInstance(id fleet.InstanceID) { s.setClosed(id, false) }

func (s *State) setClosed(id fleet.InstanceID, closed bool) {
	if it, ok := s.instances[id]; ok {
		it.update(func() { it.closed = closed })
	}
}

// NoLimit is the limit of an instance whose slots may all be used.
const NoLimit = math.MaxInt

// SetLimit caps the slots that are granted on an instance, in addition to the
// number of slots that its pool sets. CloseInstance and OpenInstance leave the
// limit unchanged.
func (s *State) SetLimit(id fleet.InstanceID, limit int) {
	if it, ok := s.instances[id]; ok {
		it.update(func() { it.limit = limit })
	}
}

// SetPaused stops or resumes grants on an instance. A pause is too short to
// matter to the expected wait of a new request, so the slots of the instance
// still count in it.
func (s *State) SetPaused(id fleet.InstanceID, paused bool) {
	if it, ok := s.instances[id]; ok {
		it.update(func() { it.paused = paused })
	}
}

// Running returns the number of slots in use on an instance.
func (s *State) Running(id fleet.InstanceID) int {
	it, ok := s.instances[id]
	if !ok {
		return 0
	}
	return it.running
}

// PoolOf returns the pool and the address of an instance. It returns false when
// the instance is in no pool.
func (s *State) PoolOf(id fleet.InstanceID) (pool fleet.PoolName, address string, ok bool) {
	it, known := s.instances[id]
	if !known || it.pool == nil {
		return "", "", false
	}
	return it.pool.name, it.address, true
}

// InstanceCount returns the number of instances in a pool.
func (s *State) InstanceCount(name fleet.PoolName) int {
	p, ok := s.pools[name]
	if !ok {
		return 0
	}
	return len(p.instances)
}

// Pools returns the names of all pools, sorted.
func (s *State) Pools() []fleet.PoolName {
	names := make([]fleet.PoolName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Load is the use of an instance's slots.
type Load struct {
	Instance fleet.InstanceID
	Pool     fleet.PoolName
	Running  int
	Slots    int
}

// Loads returns the load of all instances, sorted by id.
func (s *State) Loads() []Load {
	loads := make([]Load, 0, len(s.instances))
	for _, it := range s.instances {
		l := Load{Instance: it.id, Running: it.running, Slots: it.slots}
		if it.pool != nil {
			l.Pool = it.pool.name
		}
		loads = append(loads, l)
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return loads
}

// Queued returns the number of requests that wait in all pools.
func (s *State) Queued() int { return len(s.waiting) }

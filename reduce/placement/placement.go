// Package placement decides which request runs next and which instance runs
// it. It keeps, for each pool, the instances with their slots in use and a
// queue that is weighted fair between members.
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
	// Tried holds instances on which the request failed. They are taken only
	// when the pool has no other open instance.
	Tried []fleet.InstanceID
	// Requeued is set for a request that was granted a slot before. It goes to the
	// front of its member's queue.
	Requeued bool
}

// Grant gives a waiting request a slot of an instance.
type Grant struct {
	Request  Request
	Instance fleet.InstanceID
	Address  string
	// Cost is the run time that the member's account was charged.
	Cost time.Duration

	line *line
}

// State holds the pools and their queues.
type State struct {
	now       time.Time
	pools     map[fleet.PoolName]*pool
	instances map[fleet.InstanceID]*instance
	members   map[fleet.MemberName]*member
	waiting   map[fleet.RequestID]*waiter
	costs     costs
	unblocked []fleet.PoolName
	// idle is a list of waiters to use again.
	idle   *waiter
	random random.Source
}

// New returns an empty state. The seed spreads choices between entries.
func New(seed uint64) *State {
	return &State{
		pools:     make(map[fleet.PoolName]*pool),
		instances: make(map[fleet.InstanceID]*instance),
		members:   make(map[fleet.MemberName]*member),
		waiting:   make(map[fleet.RequestID]*waiter),
		costs:     newCosts(),
		random:    random.New(seed),
	}
}

// Advance tells the time of the calls that follow.
func (s *State) Advance(now time.Time) { s.now = now }

// Add queues a request. It returns false when the pool has no instance.
func (s *State) Add(a Request) bool {
	p, ok := s.pools[a.Pool]
	if !ok || len(p.instances) == 0 {
		return false
	}
	w := s.newWaiter()
	w.ask, w.since = a, s.now
	w.line = s.line(p, a)
	w.cost = w.line.runs.estimate(a.Size)
	s.waiting[a.ID] = w
	p.push(w, s.now)
	return true
}

// Remove takes a request out of its queue.
func (s *State) Remove(id fleet.RequestID) {
	w, ok := s.waiting[id]
	if !ok {
		return
	}
	w.line.flow.pool.remove(w)
	s.drop(w)
}

// GrantNext grants a slot to the next waiting request of a pool. It returns false
// when no request can start now.
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

// start moves a waiting request to a slot.
func (s *State) start(w *waiter, it *instance) Grant {
	w.line.flow.pool.remove(w)
	it.setRunning(it.running + 1)
	w.line.flow.member.hold()
	g := Grant{Request: w.ask, Instance: it.id, Address: it.address, Cost: w.cost, line: w.line}
	s.drop(w)
	return g
}

// Finish returns a granted slot and settles the member's account by the time
// for which the slot was held.
func (s *State) Finish(g Grant, held time.Duration) {
	s.Release(g.Instance)
	if g.line == nil {
		return
	}
	f := g.line.flow
	s.unblocked = f.member.unhold(s.unblocked)
	f.pool.settle(f, held-g.Cost)
}

// ObserveRunTime notes how long the whole run of a grant took.
func (s *State) ObserveRunTime(g Grant, run time.Duration) {
	if g.line != nil {
		g.line.runs.observe(run)
	}
}

// ExpectedRunTime returns the run time to expect of a grant.
func (s *State) ExpectedRunTime(g Grant) time.Duration {
	if g.line == nil {
		return g.Cost
	}
	return g.line.runs.estimate(g.Request.Size)
}

// Release returns a slot of an instance.
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

// TakeUnblocked returns the pools, other than those of finished grants, in which a
// request can start since its member fell below its quota.
func (s *State) TakeUnblocked() []fleet.PoolName {
	names := s.unblocked
	s.unblocked = s.unblocked[:0]
	return names
}

// CloseInstance stops new grants on an instance. Requests that run there go on.
func (s *State) CloseInstance(id fleet.InstanceID) { s.setClosed(id, true) }

// OpenInstance allows grants on an instance again.
func (s *State) OpenInstance(id fleet.InstanceID) { s.setClosed(id, false) }

func (s *State) setClosed(id fleet.InstanceID, closed bool) {
	if it, ok := s.instances[id]; ok {
		it.change(func() { it.closed = closed })
	}
}

// NoLimit is the limit of an instance in full use.
const NoLimit = math.MaxInt

// SetLimit bounds the slots that are granted on an instance below those of its
// pool. Close and Open leave the limit as it is.
func (s *State) SetLimit(id fleet.InstanceID, limit int) {
	if it, ok := s.instances[id]; ok {
		it.change(func() { it.limit = limit })
	}
}

// SetPaused stops grants on an instance for a time too short to matter to the
// expected wait of a new request, or allows them again.
func (s *State) SetPaused(id fleet.InstanceID, paused bool) {
	if it, ok := s.instances[id]; ok {
		it.change(func() { it.paused = paused })
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

// PoolOf returns the pool that an instance is in and its address.
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

// Pools returns the names of all pools in order.
func (s *State) Pools() []fleet.PoolName {
	names := make([]fleet.PoolName, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Load is what one instance has to do.
type Load struct {
	Instance fleet.InstanceID
	Pool     fleet.PoolName
	Running  int
	Slots    int
}

// Loads returns the load of all instances, ordered by id.
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

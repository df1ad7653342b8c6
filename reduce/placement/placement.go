// Package placement decides which instance runs a waiting request. It keeps,
// for each pool, the instances with their slots in use and the requests that
// wait. Slots are limits over all entries together.
package placement

import (
	"slices"
	"strings"

	"github.com/banyanrail/banyanrail/fleet"
)

// Ask is a request that waits for a slot.
type Ask struct {
	Request fleet.RequestID
	Pool    fleet.PoolName
	Service fleet.ServiceName
	Member  fleet.MemberName
	Urgent  bool
	// Avoid is an instance that is taken only when no other has a slot.
	Avoid fleet.InstanceID
}

// Grant gives a waiting request a slot of an instance.
type Grant struct {
	Ask      Ask
	Instance fleet.InstanceID
	Address  string
}

// State holds the pools and their queues.
type State struct {
	pools     map[fleet.PoolName]*pool
	instances map[fleet.InstanceID]*instance
	waiting   map[fleet.RequestID]fleet.PoolName
	random    uint64
}

type pool struct {
	instances []*instance
	queue     []Ask
}

type instance struct {
	id      fleet.InstanceID
	address string
	pool    fleet.PoolName
	slots   int
	running int
	gone    bool
	closed  bool
	// limit bounds the slots that this entry uses; zero means no bound.
	limit int
}

// isFree reports whether the instance can take one more request.
func (it *instance) isFree() bool {
	if it.closed || it.running >= it.slots {
		return false
	}
	return it.limit == 0 || it.running < it.limit
}

// New returns an empty state. The seed spreads choices between entries.
func New(seed uint64) *State {
	return &State{
		pools:     make(map[fleet.PoolName]*pool),
		instances: make(map[fleet.InstanceID]*instance),
		waiting:   make(map[fleet.RequestID]fleet.PoolName),
		random:    seed | 1,
	}
}

// Configure follows a services text and the pool that each instance is in.
// Slots in use are kept for instances that stay.
func (s *State) Configure(text *fleet.Text, member map[fleet.InstanceID]fleet.PoolName) {
	pools := make(map[fleet.PoolName]*pool, len(text.Pools))
	for _, p := range text.Pools {
		pools[p.Name] = &pool{}
		if old, ok := s.pools[p.Name]; ok {
			pools[p.Name].queue = old.queue
		}
	}
	instances := make(map[fleet.InstanceID]*instance, len(text.Instances))
	for _, in := range text.Instances {
		poolName := member[in.ID]
		cfg, ok := text.Pool(poolName)
		if !ok {
			continue
		}
		it, known := s.instances[in.ID]
		if !known {
			it = &instance{id: in.ID}
		}
		it.address, it.pool, it.slots, it.gone = in.Address, poolName, cfg.Slots, false
		instances[in.ID] = it
		pools[poolName].instances = append(pools[poolName].instances, it)
	}
	for id, it := range s.instances {
		if _, stays := instances[id]; !stays && it.running > 0 {
			it.gone = true
			instances[id] = it
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.instances, func(a, b *instance) int {
			return strings.Compare(string(a.id), string(b.id))
		})
	}
	s.pools, s.instances = pools, instances
}

// Add queues a request. It returns false when the pool has no instance.
func (s *State) Add(a Ask) bool {
	p, ok := s.pools[a.Pool]
	if !ok || len(p.instances) == 0 {
		return false
	}
	p.queue = append(p.queue, a)
	s.waiting[a.Request] = a.Pool
	return true
}

// Remove takes a request out of its queue.
func (s *State) Remove(id fleet.RequestID) {
	name, ok := s.waiting[id]
	if !ok {
		return
	}
	delete(s.waiting, id)
	p, ok := s.pools[name]
	if !ok {
		return
	}
	p.queue = slices.DeleteFunc(p.queue, func(a Ask) bool { return a.Request == id })
}

// Release returns a slot of an instance.
func (s *State) Release(id fleet.InstanceID) {
	it, ok := s.instances[id]
	if !ok || it.running == 0 {
		return
	}
	it.running--
	if it.gone && it.running == 0 {
		delete(s.instances, id)
	}
}

// Close stops new grants on an instance; Open allows them again. Requests that
// run there go on.
func (s *State) Close(id fleet.InstanceID) { s.setClosed(id, true) }

// Open allows grants on an instance again.
func (s *State) Open(id fleet.InstanceID) { s.setClosed(id, false) }

func (s *State) setClosed(id fleet.InstanceID, closed bool) {
	if it, ok := s.instances[id]; ok {
		it.closed = closed
	}
}

// Limit bounds the slots that this entry uses on an instance; zero lifts the
// bound.
func (s *State) Limit(id fleet.InstanceID, slots int) {
	if it, ok := s.instances[id]; ok {
		it.limit = slots
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

// Next grants a slot to the next waiting request of a pool. It returns false
// when no request waits or no slot is free.
func (s *State) Next(name fleet.PoolName) (Grant, bool) {
	p, ok := s.pools[name]
	if !ok || len(p.queue) == 0 {
		return Grant{}, false
	}
	ask := p.queue[0]
	it := s.choose(p, ask.Avoid)
	if it == nil {
		return Grant{}, false
	}
	p.queue = p.queue[1:]
	delete(s.waiting, ask.Request)
	it.running++
	return Grant{Ask: ask, Instance: it.id, Address: it.address}, true
}

// choose takes the less loaded of two random instances with a free slot.
func (s *State) choose(p *pool, avoid fleet.InstanceID) *instance {
	var first, second, last *instance
	n := uint64(len(p.instances))
	start := s.next() % n
	for i := range n {
		it := p.instances[(start+i)%n]
		switch {
		case !it.isFree():
		case it.id == avoid:
			last = it
		case first == nil:
			first = it
		case second == nil:
			second = it
		}
		if second != nil {
			break
		}
	}
	switch {
	case first == nil:
		return last
	case second != nil && second.running < first.running:
		return second
	default:
		return first
	}
}

// next steps a xorshift generator, seeded once by New.
func (s *State) next() uint64 {
	s.random ^= s.random << 13
	s.random ^= s.random >> 7
	s.random ^= s.random << 17
	return s.random
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
		loads = append(loads, Load{Instance: it.id, Pool: it.pool, Running: it.running, Slots: it.slots})
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return loads
}

// Queued returns the number of requests that wait in all pools.
func (s *State) Queued() int { return len(s.waiting) }

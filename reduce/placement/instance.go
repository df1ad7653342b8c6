package placement

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

type instance struct {
	id      fleet.InstanceID
	address string
	// pool is nil once the services text no longer lists the instance.
	pool  *pool
	slots int
	limit int
	// entryLimit caps the slots that this entry may grant while several entries
	// grant slots of the instance.
	entryLimit int
	running    int
	closed     bool
	// paused instances get no grant for a short time. Their slots still count
	// in expected waits.
	paused bool
}

// isOpen reports whether the instance takes requests, whether or not a slot is
// free.
func (it *instance) isOpen() bool { return it.usableSlots() > 0 && !it.paused }

// usableSlots returns the number of slots that may be in use.
func (it *instance) usableSlots() int {
	if it.closed {
		return 0
	}
	return min(it.slots, it.limit, it.entryLimit)
}

// freeSlots returns the number of slots that may be granted.
func (it *instance) freeSlots() int {
	if it.paused {
		return 0
	}
	return max(0, it.usableSlots()-it.running)
}

// update applies a change to the instance and adjusts the slot counts of its
// pool.
func (it *instance) update(apply func()) {
	free, usable := it.freeSlots(), it.usableSlots()
	apply()
	if it.pool != nil {
		it.pool.free += it.freeSlots() - free
		it.pool.slots += it.usableSlots() - usable
	}
}

func (it *instance) setRunning(n int) {
	before := it.freeSlots()
	it.running = n
	if it.pool != nil {
		it.pool.free += it.freeSlots() - before
	}
}

// choose returns the less loaded of two random instances with a free slot. An
// instance on which the request failed is chosen only when no other instance is
// open: while the others are merely busy, the request waits for one of them.
func (s *State) choose(p *pool, tried []fleet.InstanceID) *instance {
	var first, second, fallback *instance
	untriedOpen := false
	n := uint64(len(p.instances))
	start := s.random.Next() % n
	for i := range n {
		it := p.instances[(start+i)%n]
		wasTried := slices.Contains(tried, it.id)
		untriedOpen = untriedOpen || (!wasTried && it.isOpen())
		switch {
		case it.freeSlots() == 0:
		case wasTried:
			fallback = it
		case first == nil:
			first = it
		default:
			second = it
		}
		if second != nil {
			break
		}
	}
	switch {
	case first == nil && untriedOpen:
		return nil
	case first == nil:
		return fallback
	case second != nil && second.running < first.running:
		return second
	default:
		return first
	}
}

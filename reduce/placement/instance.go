package placement

import (
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

type instance struct {
	id      fleet.InstanceID
	address string
	// pool is nil once the text no longer lists the instance.
	pool  *pool
	slots int
	limit int
	// share bounds the slots while several entries grant them.
	share   int
	running int
	closed  bool
	// paused instances get no grant for a short time. Their slots count in
	// expected waits.
	paused bool
}

// open reports whether the instance may run requests at all.
func (it *instance) open() bool { return it.usable() > 0 && !it.paused }

// usable returns the number of slots that may be in use.
func (it *instance) usable() int {
	if it.closed {
		return 0
	}
	return min(it.slots, it.limit, it.share)
}

// free returns the number of slots that may be granted.
func (it *instance) free() int {
	if it.paused {
		return 0
	}
	return max(0, it.usable()-it.running)
}

// change keeps the pool's counts of slots.
func (it *instance) change(apply func()) {
	free, usable := it.free(), it.usable()
	apply()
	if it.pool != nil {
		it.pool.free += it.free() - free
		it.pool.slots += it.usable() - usable
	}
}

func (it *instance) setRunning(n int) {
	before := it.free()
	it.running = n
	if it.pool != nil {
		it.pool.free += it.free() - before
	}
}

// choose takes the less loaded of two random instances with a free slot. An
// instance that was tried is taken only when no other is open: while others
// are merely busy, the request waits for them.
func (s *State) choose(p *pool, tried []fleet.InstanceID) *instance {
	var first, second, last *instance
	untriedOpen := false
	n := uint64(len(p.instances))
	start := s.random.Next() % n
	for i := range n {
		it := p.instances[(start+i)%n]
		wasTried := slices.Contains(tried, it.id)
		untriedOpen = untriedOpen || (!wasTried && it.open())
		switch {
		case it.free() == 0:
		case wasTried:
			last = it
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
		return last
	case second != nil && second.running < first.running:
		return second
	default:
		return first
	}
}

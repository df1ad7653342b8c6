package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// directCallTime is how long an owner calls a runner itself after a dispatcher had
// no answer from it: about as long as cut links stay so.
const directCallTime = 5 * time.Second

// dispatcher is an entry that carries out the owner's calls to runners. It
// decides nothing; what it does late, twice or never is what a call without an
// answer may do as well.
type dispatcher struct {
	id    uint64
	entry fleet.EntryID
}

func (s *State) onDispatcherJoined(b event.DispatcherJoined) {
	s.dispatchers = append(s.dispatchers, dispatcher{id: b.Dispatcher, entry: b.Entry})
	s.logDecision(effect.Decision{Name: "dispatcher joined", Entry: b.Entry, Epoch: s.tenure.Newest().Epoch, Count: len(s.dispatchers)})
}

func (s *State) onDispatcherLeft(b event.DispatcherLeft) {
	i := slices.IndexFunc(s.dispatchers, func(d dispatcher) bool { return d.id == b.Dispatcher })
	if i < 0 {
		return // it had said that it leaves
	}
	s.logDecision(effect.Decision{
		Name: "dispatcher left", Entry: s.dispatchers[i].entry, Epoch: s.tenure.Newest().Epoch, Count: len(s.dispatchers) - 1,
		Reason: effect.Reason(b.Reason),
	})
	s.dispatchers = slices.Delete(s.dispatchers, i, i+1)
	if s.ownership == nil {
		return
	}
	for _, r := range s.ownership.sortedRunners {
		if r.dispatcher == b.Dispatcher {
			r.dispatcher = 0
		}
	}
}

// offerDispatch offers this entry to the owner of the jobs.
func (s *State) offerDispatch() {
	if !s.cfg.CanDispatch {
		return
	}
	var offer effect.DispatchFor
	newest := s.tenure.Newest()
	if s.ownership == nil && !s.stopping && newest.Epoch > 0 && !newest.Released && newest.Owner != s.cfg.Entry {
		offer = effect.DispatchFor{Epoch: newest.Epoch, Address: newest.Address}
	}
	if offer != s.dispatchOffer {
		s.dispatchOffer = offer
		s.emit(offer)
	}
}

// dispatcherFor returns the dispatcher that calls a runner; zero is this entry. An
// owner of few runners calls them all itself.
func (o *ownership) dispatcherFor(r *runner) uint64 {
	if len(o.s.dispatchers) == 0 || len(o.sortedRunners) <= o.s.cfg.MaxDirectRunners || o.now().Before(r.directUntil) {
		return 0
	}
	if r.dispatcher == 0 {
		r.dispatcher = o.leastLoadedDispatcher()
	}
	return r.dispatcher
}

// leastLoadedDispatcher returns the dispatcher with the fewest runners.
func (o *ownership) leastLoadedDispatcher() uint64 {
	used := make(map[uint64]int, len(o.s.dispatchers))
	for _, r := range o.sortedRunners {
		used[r.dispatcher]++
	}
	best := uint64(0)
	for _, d := range o.s.dispatchers {
		if best == 0 || used[d.id] < used[best] {
			best = d.id
		}
	}
	return best
}

// callDirectly has this entry call a runner itself for a while, since a dispatcher
// had no answer from it: only one of the two may be cut off from it.
func (o *ownership) callDirectly(r *runner) {
	if r.dispatcher != 0 {
		r.dispatcher, r.directUntil = 0, o.now().Add(directCallTime)
	}
}

package jobs

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// directCallTime is how long an owner calls a runner itself after a dispatcher got
// no answer from the runner. It is about the usual length of a network outage.
const directCallTime = 5 * time.Second

// dispatcher is an entry that carries out the owner's calls to runners. It makes
// no decisions. A call that it sends late, twice or never has the same effects as
// a call of the owner that is not answered.
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
		return // the dispatcher has already left
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

// offerDispatch offers this entry as a dispatcher to the owner of the jobs, and
// withdraws the offer when there is no other owner or this entry stops.
func (s *State) offerDispatch() {
	if !s.cfg.CanDispatch {
		return
	}
	var offer effect.DispatchFor
	newest := s.tenure.Newest()
	if s.ownership == nil && !s.stopping && newest.Epoch > 0 && !newest.Released && newest.Owner != s.cfg.Entry {
		offer = effect.DispatchFor{Epoch: newest.Epoch, Address: newest.Address}
	}
	if offer == s.dispatchOffer {
		return
	}
	if s.dispatchOffer != (effect.DispatchFor{}) && s.ownership == nil {
		// The next owner may assign these runners to others.
		s.emit(effect.CloseRunnerConnections{})
	}
	s.dispatchOffer = offer
	s.emit(offer)
}

// dispatcherFor returns the dispatcher that calls a runner; zero means this entry.
// An owner of at most MaxDirectRunners runners calls all of them itself.
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

// callDirectly makes this entry call a runner itself for directCallTime, after a
// dispatcher got no answer: the runner may be unreachable only for the dispatcher.
func (o *ownership) callDirectly(r *runner) {
	if r.dispatcher != 0 {
		r.dispatcher, r.directUntil = 0, o.now().Add(directCallTime)
	}
}

// Package peers tells which entries are alive. An entry is alive while its
// heartbeats come; the platform's list, which lags, only tells where to send
// heartbeats to.
package peers

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// HeartbeatInterval is the time between heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is how long a peer may be silent before it counts as dead.
	SuspectAfter = 2 * time.Second
)

// Peer is another entry.
type Peer struct {
	ID      fleet.EntryID
	Address string
	// Incarnation grows with each start of the entry. Messages of an earlier
	// incarnation are stale.
	Incarnation uint64
	Heard       time.Time
	Stopping    bool
	Offset      fleet.Offset
	Version     fleet.Version
}

// State holds the other entries by id.
type State struct {
	self fleet.EntryID
	byID map[fleet.EntryID]*Peer
	// Tick is the timer of the next heartbeat.
	Tick timer.Timer
}

// New returns a state without peers.
func New(self fleet.EntryID) *State {
	return &State{self: self, byID: make(map[fleet.EntryID]*Peer)}
}

// Learn notes where a peer listens. It does not count as a sign of life.
func (s *State) Learn(id fleet.EntryID, address string) {
	if id == s.self {
		return
	}
	p, ok := s.byID[id]
	if !ok {
		p = &Peer{ID: id}
		s.byID[id] = p
	}
	if address != "" {
		p.Address = address
	}
}

// Forget drops a peer that is no longer listed.
func (s *State) Forget(id fleet.EntryID) { delete(s.byID, id) }

// Hear notes a message of a peer. It returns false when the message comes from
// an earlier incarnation and has to be passed over.
func (s *State) Hear(id fleet.EntryID, incarnation uint64, now time.Time) (*Peer, bool) {
	s.Learn(id, "")
	p, ok := s.byID[id]
	if !ok || incarnation < p.Incarnation {
		return nil, false
	}
	p.Incarnation, p.Heard = incarnation, now
	return p, true
}

// Get returns a peer.
func (s *State) Get(id fleet.EntryID) (*Peer, bool) {
	p, ok := s.byID[id]
	return p, ok
}

// All returns all peers, ordered by id.
func (s *State) All() []*Peer {
	all := make([]*Peer, 0, len(s.byID))
	for _, p := range s.byID {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Peer) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})
	return all
}

// Alive returns the ids of the entries that are alive, this one included, in
// order.
func (s *State) Alive(now time.Time) []fleet.EntryID {
	ids := []fleet.EntryID{s.self}
	for id, p := range s.byID {
		if s.isAlive(p, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (*State) isAlive(p *Peer, now time.Time) bool {
	return !p.Heard.IsZero() && now.Sub(p.Heard) < SuspectAfter
}

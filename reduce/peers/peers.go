// Package peers tracks which other entries are alive. A peer is alive while its
// messages arrive. The platform's list of entries lags, and serves only to find
// the addresses to send heartbeats to.
package peers

import (
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// HeartbeatInterval is the time between heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// MaxPerInterval is the largest number of heartbeats sent in one interval, so
	// that their cost does not grow with the number of peers. With more peers,
	// each gets a heartbeat only every few intervals.
	MaxPerInterval = 8
	// SuspectIntervals is the number of missed heartbeats after which a peer is
	// suspected.
	SuspectIntervals = 4
	// DeadIntervals is the number of missed heartbeats after which a peer counts
	// as dead.
	DeadIntervals = 10
)

// Status is the status of a peer according to its messages.
type Status uint8

// Statuses of a peer.
const (
	// Unheard peers are listed by the platform, but have sent no message yet.
	Unheard Status = iota
	// Alive peers have sent a message recently.
	Alive
	// Suspect peers have missed some heartbeats. They are given no new duties and
	// keep those that they have.
	Suspect
	// Dead peers have missed so many heartbeats that what they held is released.
	Dead
)

// Peer is another entry.
type Peer struct {
	ID      fleet.EntryID
	Address string
	// Incarnation increases with each start of the entry. Messages of an earlier
	// incarnation are stale.
	Incarnation uint64
	// LastHeard is when the last message of the peer was received.
	LastHeard time.Time
	// Stopping, Offset, Version and Digest are those of the peer's last
	// heartbeat.
	Stopping bool
	Offset   fleet.Offset
	Version  fleet.Version
	Digest   uint64
	Status   Status
	// Diverged is set while the peer's fold of the same records differs from this
	// entry's.
	Diverged bool

	// lastSent and lastReceived are the sequence numbers of the last messages to
	// and from the peer.
	lastSent, lastReceived uint64
}

// State holds the other entries by id.
type State struct {
	self fleet.EntryID
	byID map[fleet.EntryID]*Peer
	// cursor is the last peer that Due returned.
	cursor fleet.EntryID
	// Tick is the timer of the next heartbeat.
	Tick timer.Timer
}

// New returns a state without peers.
func New(self fleet.EntryID) *State {
	return &State{self: self, byID: make(map[fleet.EntryID]*Peer)}
}

// SetAddress sets the address of a peer, adding the peer if necessary. It has no
// effect on the peer's status.
func (s *State) SetAddress(id fleet.EntryID, address string, now time.Time) {
	if id == s.self {
		return
	}
	p := s.ensure(id, now)
	if address != "" {
		p.Address = address
	}
}

// ensure returns a peer, creating it if necessary. Sequence numbers start at the
// time of creation, so that they keep increasing for a peer that was removed and
// added again.
func (s *State) ensure(id fleet.EntryID, now time.Time) *Peer {
	p, ok := s.byID[id]
	if !ok {
		p = &Peer{ID: id, lastSent: uint64(now.UnixNano())}
		s.byID[id] = p
	}
	return p
}

// Forget removes a peer that is no longer listed.
func (s *State) Forget(id fleet.EntryID) { delete(s.byID, id) }

// Reception says how a received message relates to the earlier messages of its
// sender.
type Reception uint8

// Values of Reception.
const (
	// Stale means that the message is a duplicate, was overtaken by a later one,
	// or is from an earlier incarnation.
	Stale Reception = iota
	// Next means that the message follows the last one received.
	Next
	// Gap means that messages before this one were lost.
	Gap
	// First means that the message is the first of an incarnation.
	First
)

// Receive records a message of a peer. The caller has to ignore the message if
// it is stale.
func (s *State) Receive(id fleet.EntryID, incarnation, sequence uint64, now time.Time) (*Peer, Reception) {
	if id == s.self {
		return nil, Stale
	}
	p := s.ensure(id, now)
	switch {
	case incarnation < p.Incarnation:
		return p, Stale
	case incarnation == p.Incarnation && sequence <= p.lastReceived:
		return p, Stale
	}
	how := Next
	switch {
	case incarnation > p.Incarnation:
		how = First
		p.restart(incarnation)
	case sequence > p.lastReceived+1:
		how = Gap
	}
	p.lastReceived, p.LastHeard, p.Status = sequence, now, Alive
	return p, how
}

// restart clears the state received from an earlier incarnation.
func (p *Peer) restart(incarnation uint64) {
	p.Incarnation = incarnation
	p.Stopping = false
	p.Offset, p.Version, p.Digest = 0, 0, 0
}

// NextSequence returns the sequence number for the next message to the peer.
func (p *Peer) NextSequence() uint64 {
	p.lastSent++
	return p.lastSent
}

// LastSent returns the sequence number of the last message to the peer.
func (p *Peer) LastSent() uint64 { return p.lastSent }

// Received returns the sequence number of the last message from the peer.
func (p *Peer) Received() uint64 { return p.lastReceived }

// Get returns a peer.
func (s *State) Get(id fleet.EntryID) (*Peer, bool) {
	p, ok := s.byID[id]
	return p, ok
}

// Entries returns the number of entries that are not dead, this one included.
func (s *State) Entries() int {
	n := 1
	for _, p := range s.byID {
		if p.Status != Dead && p.Status != Unheard {
			n++
		}
	}
	return n
}

// All returns all peers, ordered by id.
func (s *State) All() []*Peer {
	all := make([]*Peer, 0, len(s.byID))
	for _, p := range s.byID {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// Due returns the peers to send a heartbeat to now: all of them, or the next
// MaxPerInterval in rotation if there are more.
func (s *State) Due() []*Peer {
	all := s.All()
	if len(all) <= MaxPerInterval {
		return all
	}
	first, _ := slices.BinarySearchFunc(all, s.cursor, func(p *Peer, after fleet.EntryID) int {
		if p.ID <= after {
			return -1
		}
		return 1
	})
	due := make([]*Peer, 0, MaxPerInterval)
	for i := range MaxPerInterval {
		due = append(due, all[(first+i)%len(all)])
	}
	s.cursor = due[len(due)-1].ID
	return due
}

// Interval returns the time between two heartbeats to the same peer.
func (s *State) Interval() time.Duration {
	rounds := (len(s.byID) + MaxPerInterval - 1) / MaxPerInterval
	return time.Duration(max(1, rounds)) * HeartbeatInterval
}

// UpdateStatuses updates the status of all peers and returns those whose status
// has changed, ordered by id.
func (s *State) UpdateStatuses(now time.Time) []*Peer {
	interval := s.Interval()
	var changed []*Peer
	for _, p := range s.All() {
		status := p.statusAt(now, interval)
		if status != p.Status {
			p.Status = status
			changed = append(changed, p)
		}
	}
	return changed
}

func (p *Peer) statusAt(now time.Time, interval time.Duration) Status {
	silence := now.Sub(p.LastHeard)
	switch {
	case p.LastHeard.IsZero():
		return Unheard
	case silence < SuspectIntervals*interval:
		return Alive
	case silence < DeadIntervals*interval:
		return Suspect
	default:
		return Dead
	}
}

// Present returns the number of entries that are not dead, this one included.
func (s *State) Present() int {
	n := 1
	for _, p := range s.byID {
		if p.Status == Alive || p.Status == Suspect {
			n++
		}
	}
	return n
}

// Alive returns the ids of the entries that are alive, this one included, in
// order.
func (s *State) Alive() []fleet.EntryID {
	ids := []fleet.EntryID{s.self}
	for id, p := range s.byID {
		if p.Status == Alive {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

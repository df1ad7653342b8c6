// Package peers tells which entries are alive. An entry is alive while its
// messages come; the platform's list, which lags, only tells where to send
// heartbeats to.
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
	// MaxPerInterval bounds the heartbeats that leave in one interval, so that
	// their cost does not grow with the number of peers. With more peers each
	// gets a heartbeat only every few intervals.
	MaxPerInterval = 8
	// SuspectIntervals is the number of missed heartbeats after which a peer is
	// suspected.
	SuspectIntervals = 4
	// DeadIntervals is the number after which a peer counts as dead.
	DeadIntervals = 10
)

// Status is what this entry thinks of a peer.
type Status uint8

// Statuses of a peer.
const (
	// Unheard peers are listed, but sent nothing yet.
	Unheard Status = iota
	// Alive peers were heard lately.
	Alive
	// Suspect peers are late; they get no new duties and keep what they have.
	Suspect
	// Dead peers have been silent for so long that what they held is free.
	Dead
)

// Peer is another entry.
type Peer struct {
	ID      fleet.EntryID
	Address string
	// Incarnation grows with each start of the entry. Messages of an earlier
	// incarnation are stale.
	Incarnation uint64
	LastHeard   time.Time
	Stopping    bool
	Offset      fleet.Offset
	Version     fleet.Version
	Digest      uint64
	Status      Status
	// Diverged is set while the peer's fold of the same records differs.
	Diverged bool

	// sent and received are the sequence numbers of the last messages.
	sent, received uint64
}

// State holds the other entries by id.
type State struct {
	self   fleet.EntryID
	byID   map[fleet.EntryID]*Peer
	cursor fleet.EntryID
	// Tick is the timer of the next heartbeat.
	Tick timer.Timer
}

// New returns a state without peers.
func New(self fleet.EntryID) *State {
	return &State{self: self, byID: make(map[fleet.EntryID]*Peer)}
}

// SetAddress notes where a peer listens. It does not count as a sign of life.
func (s *State) SetAddress(id fleet.EntryID, address string, now time.Time) {
	if id == s.self {
		return
	}
	p := s.add(id, now)
	if address != "" {
		p.Address = address
	}
}

// add returns a peer, and creates it if need be. Sequence numbers start at the
// time of creation, so that they grow also for a peer that was forgotten and
// came back.
func (s *State) add(id fleet.EntryID, now time.Time) *Peer {
	p, ok := s.byID[id]
	if !ok {
		p = &Peer{ID: id, sent: uint64(now.UnixNano())}
		s.byID[id] = p
	}
	return p
}

// Forget drops a peer that is no longer listed.
func (s *State) Forget(id fleet.EntryID) { delete(s.byID, id) }

// Reception says how a message fits what came before from its sender.
type Reception uint8

// Receptions.
const (
	// Stale messages come from an earlier incarnation, or were overtaken.
	Stale Reception = iota
	// Next follows the last message.
	Next
	// Gap means that messages before this one were lost.
	Gap
	// First is the first message of an incarnation.
	First
)

// Receive notes a message of a peer. Stale messages have to be passed over.
func (s *State) Receive(id fleet.EntryID, incarnation, sequence uint64, now time.Time) (*Peer, Reception) {
	if id == s.self {
		return nil, Stale
	}
	p := s.add(id, now)
	switch {
	case incarnation < p.Incarnation:
		return p, Stale
	case incarnation == p.Incarnation && sequence <= p.received:
		return p, Stale
	}
	how := Next
	switch {
	case incarnation > p.Incarnation:
		how = First
		p.restart(incarnation)
	case sequence > p.received+1:
		how = Gap
	}
	p.received, p.LastHeard, p.Status = sequence, now, Alive
	return p, how
}

// restart forgets what an earlier incarnation told.
func (p *Peer) restart(incarnation uint64) {
	p.Incarnation = incarnation
	p.Stopping = false
	p.Offset, p.Version, p.Digest = 0, 0, 0
}

// NextSequence numbers a message to the peer.
func (p *Peer) NextSequence() uint64 {
	p.sent++
	return p.sent
}

// LastSent is the sequence number of the last message to the peer.
func (p *Peer) LastSent() uint64 { return p.sent }

// Received is the sequence number of the last message of the peer.
func (p *Peer) Received() uint64 { return p.received }

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

// Due returns the peers that get a heartbeat now: all of them, or the next few
// in turn.
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

// Interval is the time between two heartbeats of one peer.
func (s *State) Interval() time.Duration {
	rounds := (len(s.byID) + MaxPerInterval - 1) / MaxPerInterval
	return time.Duration(max(1, rounds)) * HeartbeatInterval
}

// UpdateStatuses updates the status of all peers and returns those whose status has
// changed, ordered by id.
func (s *State) UpdateStatuses(now time.Time) []*Peer {
	interval := s.Interval()
	var changed []*Peer
	for _, p := range s.All() {
		status := p.judge(now, interval)
		if status != p.Status {
			p.Status = status
			changed = append(changed, p)
		}
	}
	return changed
}

func (p *Peer) judge(now time.Time, interval time.Duration) Status {
	silent := now.Sub(p.LastHeard)
	switch {
	case p.LastHeard.IsZero():
		return Unheard
	case silent < SuspectIntervals*interval:
		return Alive
	case silent < DeadIntervals*interval:
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

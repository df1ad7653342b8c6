// Package holder holds an entry's state about the holders of pools. The holder
// of a pool is the entry that keeps the pool's queue and grants slots of its
// instances to all entries. All of it is soft state, which a new holder rebuilds
// from the reports of the other entries.
package holder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// CollectTimeout is how long a new holder waits for reports before it grants
	// slots.
	CollectTimeout = 500 * time.Millisecond
	// ReportTimeout is how long a holder may take to answer a report before the
	// entry falls back to its own share of the slots.
	ReportTimeout = 300 * time.Millisecond
	// HeartbeatTimeout is the time without a message from the holder after which
	// an entry falls back to its own share of the slots. It is longer than the
	// interval between heartbeats.
	HeartbeatTimeout = 1200 * time.Millisecond
)

// Phase is the phase of an entry's link to the holder of a pool.
type Phase uint8

// Phases of a link.
const (
	// Unset means that the pool has no holder yet.
	Unset Phase = iota
	// Collecting means that this entry holds the pool and waits for reports of
	// the other entries.
	Collecting
	// Holding means that this entry holds the pool and grants its slots.
	Holding
	// Reporting means that this entry waits for the holder's answer to its
	// report.
	Reporting
	// Following means that this entry gets its slots from the holder.
	Following
	// Fallback means that the holder does not answer and this entry grants itself
	// its share of the slots.
	Fallback
)

// Link is an entry's relation to the holder of one pool.
type Link struct {
	Pool        fleet.PoolName
	Holder      fleet.EntryID
	Incarnation uint64
	Phase       Phase
	// Timer ends the phases Collecting and Reporting.
	Timer timer.Timer

	awaited map[fleet.EntryID]bool
}

// AwaitReports sets the entries whose reports a collecting holder waits for.
func (l *Link) AwaitReports(entries []fleet.EntryID) {
	l.awaited = make(map[fleet.EntryID]bool, len(entries))
	for _, id := range entries {
		l.awaited[id] = true
	}
}

// ReportReceived records the report of an entry and reports whether none is
// awaited any more.
func (l *Link) ReportReceived(entry fleet.EntryID) bool {
	delete(l.awaited, entry)
	return len(l.awaited) == 0
}

// IsRemote reports whether another entry holds the pool.
func (l *Link) IsRemote() bool {
	return l.Phase == Reporting || l.Phase == Following || l.Phase == Fallback
}

// Holds reports whether this entry holds the pool.
func (l *Link) Holds() bool { return l.Phase == Collecting || l.Phase == Holding }

// MayGrant reports whether this entry grants slots of the pool.
func (l *Link) MayGrant() bool { return l.Phase == Holding || l.Phase == Fallback }

// RequestKey identifies a request across all entries.
type RequestKey struct {
	Entry   fleet.EntryID
	Request fleet.RequestID
}

func compareKeys(a, b RequestKey) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Request, b.Request))
}

// Lease is a slot that this holder has granted to another entry.
type Lease struct {
	Key   RequestKey
	Grant placement.Grant
	// Sequence is the sequence number of the message that carried the grant; zero
	// if the lease was taken from a report.
	Sequence uint64
}

// remoteBit is set in the ids that this holder assigns to waiting requests of
// other entries.
const remoteBit fleet.RequestID = 1 << 63

// State holds the links of all pools, and the requests and leases of other
// entries in pools that this entry holds.
type State struct {
	links  map[fleet.PoolName]*Link
	alive  []fleet.EntryID
	lastID fleet.RequestID
	// byID holds the waiting requests of other entries by their ids at this
	// entry, and idOf these ids.
	byID        map[fleet.RequestID]waitingRequest
	idOf        map[RequestKey]fleet.RequestID
	leases      map[RequestKey]Lease
	leasedSlots map[fleet.InstanceID]int
}

type waitingRequest struct {
	key  RequestKey
	pool fleet.PoolName
}

// New returns an empty state.
func New() *State {
	return &State{
		links:       make(map[fleet.PoolName]*Link),
		byID:        make(map[fleet.RequestID]waitingRequest),
		idOf:        make(map[RequestKey]fleet.RequestID),
		leases:      make(map[RequestKey]Lease),
		leasedSlots: make(map[fleet.InstanceID]int),
	}
}

// Link returns the link of a pool, creating it if necessary.
func (s *State) Link(pool fleet.PoolName) *Link {
	l, ok := s.links[pool]
	if !ok {
		l = &Link{Pool: pool}
		s.links[pool] = l
	}
	return l
}

// Drop removes the link of a pool.
func (s *State) Drop(pool fleet.PoolName) { delete(s.links, pool) }

// Links returns all links, ordered by pool.
func (s *State) Links() []*Link {
	all := make([]*Link, 0, len(s.links))
	for _, l := range s.links {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *Link) int { return strings.Compare(string(a.Pool), string(b.Pool)) })
	return all
}

// HeldPools returns the pools whose slots this entry grants as their holder, in
// order.
func (s *State) HeldPools() []fleet.PoolName {
	var pools []fleet.PoolName
	for _, l := range s.Links() {
		if l.Phase == Holding {
			pools = append(pools, l.Pool)
		}
	}
	return pools
}

// SetAlive sets the entries that may hold pools.
func (s *State) SetAlive(alive []fleet.EntryID) { s.alive = alive }

// Alive returns the entries that may hold pools.
func (s *State) Alive() []fleet.EntryID { return s.alive }

// Enqueue adds a waiting request of another entry and returns the id that it is
// queued under, which differs from all ids of this entry's own requests. It
// returns false if the request waits already.
func (s *State) Enqueue(key RequestKey, pool fleet.PoolName) (fleet.RequestID, bool) {
	if _, ok := s.idOf[key]; ok {
		return 0, false
	}
	s.lastID++
	id := s.lastID | remoteBit
	s.byID[id] = waitingRequest{key: key, pool: pool}
	s.idOf[key] = id
	return id, true
}

// IsRemote reports whether an id was assigned to a request of another entry.
func IsRemote(id fleet.RequestID) bool { return id&remoteBit != 0 }

// WaitingRequest returns the waiting request with an id.
func (s *State) WaitingRequest(id fleet.RequestID) (RequestKey, bool) {
	w, ok := s.byID[id]
	return w.key, ok
}

// Dequeue removes a waiting request and returns the id that it was queued under.
func (s *State) Dequeue(key RequestKey) (fleet.RequestID, bool) {
	id, ok := s.idOf[key]
	if !ok {
		return 0, false
	}
	delete(s.idOf, key)
	delete(s.byID, id)
	return id, true
}

// WaitingRequests returns the requests of an entry that wait in a pool, in order
// of their keys. The empty id selects all entries.
func (s *State) WaitingRequests(pool fleet.PoolName, entry fleet.EntryID) []RequestKey {
	var keys []RequestKey
	for _, w := range s.byID {
		if w.pool == pool && (entry == "" || w.key.Entry == entry) {
			keys = append(keys, w.key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// AddLease adds a lease.
func (s *State) AddLease(l Lease) {
	s.leases[l.Key] = l
	s.leasedSlots[l.Grant.Instance]++
}

// SetLeaseSequence sets the sequence number of the message that carried the
// grant of a lease.
func (s *State) SetLeaseSequence(to fleet.EntryID, request fleet.RequestID, sequence uint64) {
	key := RequestKey{Entry: to, Request: request}
	if l, ok := s.leases[key]; ok {
		l.Sequence = sequence
		s.leases[key] = l
	}
}

// Lease returns the lease of a request.
func (s *State) Lease(key RequestKey) (Lease, bool) {
	l, ok := s.leases[key]
	return l, ok
}

// EndLease removes a lease.
func (s *State) EndLease(l Lease) {
	delete(s.leases, l.Key)
	on := l.Grant.Instance
	s.leasedSlots[on]--
	if s.leasedSlots[on] == 0 {
		delete(s.leasedSlots, on)
	}
}

// Leases returns the leases of an entry in a pool, in order of their keys. The
// empty id selects all entries.
func (s *State) Leases(pool fleet.PoolName, entry fleet.EntryID) []Lease {
	var found []Lease
	for _, l := range s.leases {
		if l.Grant.Request.Pool == pool && (entry == "" || l.Key.Entry == entry) {
			found = append(found, l)
		}
	}
	slices.SortFunc(found, func(a, b Lease) int { return compareKeys(a.Key, b.Key) })
	return found
}

// LeasedSlots returns the number of slots of an instance that are leased to
// other entries.
func (s *State) LeasedSlots(id fleet.InstanceID) int { return s.leasedSlots[id] }

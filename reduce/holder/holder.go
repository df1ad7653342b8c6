// Package holder keeps what an entry knows about the holders of pools. The
// holder of a pool keeps its queue and grants slots of its instances to all
// entries. Everything here is soft state: a new holder rebuilds it from the
// reports of the entries.
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
	// CollectTimeout is how long a new holder waits for reports before it grants.
	CollectTimeout = 500 * time.Millisecond
	// ReportTimeout is how long a holder may take to answer a report before the
	// entry falls back to its own share of the slots.
	ReportTimeout = 300 * time.Millisecond
	// HeartbeatTimeout is how long a holder may be silent before the entry falls
	// back. Heartbeats are more frequent.
	HeartbeatTimeout = 1200 * time.Millisecond
)

// Phase is how far an entry has come with the holder of a pool.
type Phase uint8

// Phases of a link.
const (
	// Unset links have no holder yet.
	Unset Phase = iota
	// Collecting entries hold the pool and wait for the others' reports.
	Collecting
	// Holding entries grant the pool's slots.
	Holding
	// Reporting entries wait for the holder's answer to their report.
	Reporting
	// Following entries get their slots from the holder.
	Following
	// Fallback entries grant themselves their share of the slots, since the
	// holder does not answer.
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

// AwaitReports notes the entries whose reports a collecting holder waits for.
func (l *Link) AwaitReports(entries []fleet.EntryID) {
	l.awaited = make(map[fleet.EntryID]bool, len(entries))
	for _, id := range entries {
		l.awaited[id] = true
	}
}

// ReportReceived notes a report and says whether all have come.
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

// RequestKey identifies a request over all entries.
type RequestKey struct {
	Entry   fleet.EntryID
	Request fleet.RequestID
}

func compareKeys(a, b RequestKey) int {
	return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Request, b.Request))
}

// Lease is a slot that an entry has from this holder.
type Lease struct {
	Key   RequestKey
	Grant placement.Grant
	// Sequence numbers the message that carried the grant; zero when the lease
	// came from a report.
	Sequence uint64
}

// remoteBit marks the ids under which requests of other entries wait here.
const remoteBit fleet.RequestID = 1 << 63

// State holds the links of all pools, and the requests and leases of other
// entries in pools that this entry holds.
type State struct {
	links   map[fleet.PoolName]*Link
	alive   []fleet.EntryID
	last    fleet.RequestID
	waiting map[fleet.RequestID]wait
	local   map[RequestKey]fleet.RequestID
	leases  map[RequestKey]Lease
	leased  map[fleet.InstanceID]int
}

type wait struct {
	key  RequestKey
	pool fleet.PoolName
}

// New returns a state without links.
func New() *State {
	return &State{
		links:   make(map[fleet.PoolName]*Link),
		waiting: make(map[fleet.RequestID]wait),
		local:   make(map[RequestKey]fleet.RequestID),
		leases:  make(map[RequestKey]Lease),
		leased:  make(map[fleet.InstanceID]int),
	}
}

// Link returns the link of a pool.
func (s *State) Link(pool fleet.PoolName) *Link {
	l, ok := s.links[pool]
	if !ok {
		l = &Link{Pool: pool}
		s.links[pool] = l
	}
	return l
}

// Drop forgets the link of a pool.
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

// HeldPools returns the pools that this entry grants, in order.
func (s *State) HeldPools() []fleet.PoolName {
	var pools []fleet.PoolName
	for _, l := range s.Links() {
		if l.Phase == Holding {
			pools = append(pools, l.Pool)
		}
	}
	return pools
}

// SetAlive notes the entries that may hold pools.
func (s *State) SetAlive(alive []fleet.EntryID) { s.alive = alive }

// Alive returns the entries that may hold pools.
func (s *State) Alive() []fleet.EntryID { return s.alive }

// Enqueue gives a request of another entry an id among this entry's own. It
// returns false when the request waits already.
func (s *State) Enqueue(key RequestKey, pool fleet.PoolName) (fleet.RequestID, bool) {
	if _, ok := s.local[key]; ok {
		return 0, false
	}
	s.last++
	id := s.last | remoteBit
	s.waiting[id] = wait{key: key, pool: pool}
	s.local[key] = id
	return id, true
}

// IsRemote reports whether an id stands for a request of another entry.
func IsRemote(id fleet.RequestID) bool { return id&remoteBit != 0 }

// WaitingRequest returns the request behind an id.
func (s *State) WaitingRequest(id fleet.RequestID) (RequestKey, bool) {
	w, ok := s.waiting[id]
	return w.key, ok
}

// Dequeue forgets a request that waited, and returns the id that it had.
func (s *State) Dequeue(key RequestKey) (fleet.RequestID, bool) {
	id, ok := s.local[key]
	if !ok {
		return 0, false
	}
	delete(s.local, key)
	delete(s.waiting, id)
	return id, true
}

// WaitingRequests returns the requests that wait in a pool, of one entry or, with the
// empty id, of all. They are in order.
func (s *State) WaitingRequests(pool fleet.PoolName, entry fleet.EntryID) []RequestKey {
	var keys []RequestKey
	for _, w := range s.waiting {
		if w.pool == pool && (entry == "" || w.key.Entry == entry) {
			keys = append(keys, w.key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// AddLease notes a lease.
func (s *State) AddLease(l Lease) {
	s.leases[l.Key] = l
	s.leased[l.Grant.Instance]++
}

// SetLeaseSequence notes the sequence number of the message that carried a grant.
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

// EndLease forgets a lease.
func (s *State) EndLease(l Lease) {
	delete(s.leases, l.Key)
	on := l.Grant.Instance
	s.leased[on]--
	if s.leased[on] == 0 {
		delete(s.leased, on)
	}
}

// Leases returns the leases in a pool, of one entry or, with the empty id, of
// all. They are in order.
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

// LeasedSlots returns the number of slots of an instance that other entries have.
func (s *State) LeasedSlots(id fleet.InstanceID) int { return s.leased[id] }

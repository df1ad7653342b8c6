// Package requests holds the requests that an entry has accepted from callers,
// from their arrival until they are answered and no attempt is in flight.
package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// Phase is the phase of a request.
type Phase uint8

// Phases of a request.
const (
	// Claiming requests are non-idempotent and wait for the claim of their key.
	Claiming Phase = iota + 1
	// Queued requests wait for a slot.
	Queued
	// Running requests have an attempt in flight.
	Running
	// Expiring requests have passed their deadline with an attempt in flight. The
	// caller is answered when the attempt has ended, because only then is it
	// known whether the request ran.
	Expiring
	// Abandoned requests were answered or cancelled with an attempt in flight,
	// which occupies its slot until it ends.
	Abandoned
)

// DuplicateRun says whether another request with the same idempotency key has
// run.
type DuplicateRun uint8

// Values of DuplicateRun.
const (
	NoDuplicateRun DuplicateRun = iota
	DuplicateMayHaveRun
	DuplicateRan
)

// Request is one request of a caller.
type Request struct {
	ID       fleet.RequestID
	Service  *fleet.Service
	Member   fleet.MemberName
	Key      fleet.Key
	BodyHash uint64
	// Size is the size of the request as declared by the caller.
	Size     int64
	Arrived  time.Time
	Deadline time.Time
	Phase    Phase
	// Attempts is the number of dispatches so far.
	Attempts int
	// Refusals is the number of attempts for which an endpoint had no slot.
	Refusals int
	// MayHaveRun is set once an attempt that may have run has ended. An attempt
	// in flight does not count; see Ran.
	MayHaveRun bool
	// DuplicateRun says whether another request with the same key has run.
	DuplicateRun DuplicateRun
	// Instance is the instance of the current attempt, or of the last one.
	Instance fleet.InstanceID
	// Grant is the slot of the current attempt, or of the last one.
	Grant placement.Grant
	// Tried holds the last instances on which an attempt failed.
	Tried []fleet.InstanceID
	// Blamed is the instance whose health was charged with a broken attempt.
	Blamed fleet.InstanceID
	// Poison is set once attempts have broken on several instances. Further
	// broken attempts then do not count against their instances.
	Poison bool
	// Fence is the fencing token of a non-idempotent request: the offset of its
	// claim. It is zero before the claim succeeds.
	Fence fleet.Offset
	// Expiry is the timer of the deadline.
	Expiry timer.Timer
}

// Attempt returns the id of the current attempt.
func (r *Request) Attempt() fleet.AttemptID {
	return fleet.AttemptID{Request: r.ID, Number: r.Attempts}
}

// InFlight reports whether the request has an attempt in flight: one that was
// dispatched and has not ended.
func (r *Request) InFlight() bool {
	return r.Phase == Running || r.Phase == Expiring || r.Phase == Abandoned
}

// Ran returns whether the request ran, as far as that is known before an answer
// is received.
func (r *Request) Ran() fleet.Ran {
	switch {
	case r.DuplicateRun == DuplicateRan:
		return fleet.RanYes
	case r.MayHaveRun || r.InFlight() || r.DuplicateRun == DuplicateMayHaveRun:
		return fleet.RanUnknown
	default:
		return fleet.RanNo
	}
}

// maxTried is the largest number of instances in Tried.
const maxTried = 8

// AddTried records that an attempt failed on an instance.
func (r *Request) AddTried(id fleet.InstanceID) {
	tried := make([]fleet.InstanceID, 0, len(r.Tried)+1)
	tried = append(tried, r.Tried...)
	tried = append(tried, id)
	r.Tried = tried[max(0, len(tried)-maxTried):]
}

// slabSize is the number of requests that are allocated together.
const slabSize = 32

// Table holds requests by id.
type Table struct {
	byID map[fleet.RequestID]*Request
	slab []Request
}

// New returns an empty table.
func New() *Table {
	return &Table{byID: make(map[fleet.RequestID]*Request)}
}

// New returns an empty request that is not in the table.
func (t *Table) New() *Request {
	if len(t.slab) == 0 {
		t.slab = make([]Request, slabSize)
	}
	r := &t.slab[0]
	t.slab = t.slab[1:]
	return r
}

// Add adds a request to the table.
func (t *Table) Add(r *Request) { t.byID[r.ID] = r }

// Get returns the request with an id.
func (t *Table) Get(id fleet.RequestID) (*Request, bool) {
	r, ok := t.byID[id]
	return r, ok
}

// Remove removes a request from the table.
func (t *Table) Remove(id fleet.RequestID) { delete(t.byID, id) }

// All returns the requests in order of their ids.
func (t *Table) All() []*Request {
	all := make([]*Request, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// HasAttemptOn reports whether any request has an attempt in flight on an
// instance.
func (t *Table) HasAttemptOn(id fleet.InstanceID) bool {
	for _, r := range t.byID {
		if r.Instance == id && r.InFlight() {
			return true
		}
	}
	return false
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.byID) }

// Current returns the request that has attempt a in flight. It returns false for
// an attempt that was replaced by a later one or has already ended.
func (t *Table) Current(a fleet.AttemptID) (*Request, bool) {
	r, ok := t.byID[a.Request]
	if !ok || r.Attempts != a.Number || !r.InFlight() {
		return nil, false
	}
	return r, true
}

// Package requests holds the requests that an entry has taken from callers,
// from their arrival to their answer.
package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// Phase is how far a request has come.
type Phase uint8

// Phases of a request.
const (
	// Claiming waits for the claim of a non-idempotent request.
	Claiming Phase = iota + 1
	// Queued waits for a slot.
	Queued
	// Running has an attempt at an endpoint.
	Running
	// Expiring has passed its deadline while an attempt still runs. Its caller
	// is told when the attempt has ended, and with it whether it ran.
	Expiring
	// Abandoned has been answered or cancelled while an attempt still runs;
	// the attempt's slot stays taken until it ends.
	Abandoned
)

// DuplicateRun says what is known about another request with the same idempotency
// key.
type DuplicateRun uint8

// Values of Elsewhere.
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
	// Size is the size that the caller declared.
	Size     int64
	Arrived  time.Time
	Deadline time.Time
	Phase    Phase
	// Attempts is the number of dispatches so far.
	Attempts int
	// Refusals is the number of attempts for which an endpoint had no slot.
	Refusals int
	// MayHaveRun is set once an attempt has ended that may have run. The attempt
	// under way is not counted; see Ran.
	MayHaveRun bool
	// DuplicateRun says whether another request with the same key ran.
	DuplicateRun DuplicateRun
	// Instance runs the current attempt, or ran the last one.
	Instance fleet.InstanceID
	// Grant is the slot of the current attempt, or of the last one.
	Grant placement.Grant
	// Tried holds the last instances on which an attempt failed.
	Tried []fleet.InstanceID
	// Blamed is the instance that a broken attempt counted against.
	Blamed fleet.InstanceID
	// Poison is set once attempts broke on several instances.
	Poison bool
	// Fence is the offset of the claim.
	Fence fleet.Offset
	// Expiry is the deadline's timer.
	Expiry timer.Timer
}

// Attempt returns the id of the current attempt.
func (r *Request) Attempt() fleet.AttemptID {
	return fleet.AttemptID{Request: r.ID, Number: r.Attempts}
}

// InFlight reports whether an attempt has been dispatched and has not ended.
func (r *Request) InFlight() bool {
	return r.Phase == Running || r.Phase == Expiring || r.Phase == Abandoned
}

// Ran says whether the request ran, as far as is known before an answer.
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

// maxTried bounds the instances that a request remembers.
const maxTried = 8

// AddTried notes that an attempt failed on an instance.
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

// New returns an empty request, which is not in the table yet.
func (t *Table) New() *Request {
	if len(t.slab) == 0 {
		t.slab = make([]Request, slabSize)
	}
	r := &t.slab[0]
	t.slab = t.slab[1:]
	return r
}

// Add puts a request into the table.
func (t *Table) Add(r *Request) { t.byID[r.ID] = r }

// Get returns a request.
func (t *Table) Get(id fleet.RequestID) (*Request, bool) {
	r, ok := t.byID[id]
	return r, ok
}

// Remove takes a request out of the table.
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

// HasAttemptOn reports whether an attempt is under way on an instance.
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

// Current returns the request whose attempt under way is a. Outcomes of earlier
// attempts, and second outcomes of one, are late and return false.
func (t *Table) Current(a fleet.AttemptID) (*Request, bool) {
	r, ok := t.byID[a.Request]
	if !ok || r.Attempts != a.Number || !r.InFlight() {
		return nil, false
	}
	return r, true
}

// Package claims folds the claims stream, which ensures that a non-idempotent
// request runs at most once. An entry claims a request's idempotency key in the
// platform's log before it dispatches the request. The first claim of a key
// that has not been released holds the key. Outcome records tell other entries
// the result of the request.
//
// The fold is a pure function of the records and their offsets. A group that is
// in the log twice counts once, whatever the order of its copies and of the
// records that refer to it.
package claims

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Scope identifies a request of a member across callers' retries.
type Scope struct {
	Service fleet.ServiceName
	Member  fleet.MemberName
	Key     fleet.Key
}

// Ref identifies a claim by the group that contains it and the scope that it
// claims. A group contains at most one claim of a scope.
type Ref struct {
	Scope  Scope
	Record fleet.RecordID
}

// Group is one record of the claims stream. It batches items of one entry,
// because the log limits the rate of appends but not their size.
type Group struct {
	ID          fleet.RecordID
	Entry       fleet.EntryID
	Incarnation uint64
	// Time is when the entry flushed the group, or retried an append that had no
	// effect, by the entry's own clock.
	Time  time.Time
	Items []Item
}

// Item is one part of a group. All implementations are in this package.
type Item interface{ isItem() }

// Claim claims a scope, and with it the right to run the request.
type Claim struct {
	Scope    Scope
	BodyHash uint64
	// Deadline is when the claiming entry stops dispatching the request and
	// waiting for its answer.
	Deadline time.Time
}

// Answered records that the claimed request ran and was answered.
type Answered struct {
	Ref Ref
	// Kept is set if the record carries the answer itself. The drivers add the
	// answer to the record and read it from there.
	Kept bool
}

// Released releases a claim: the request was not sent to an endpoint and will
// not be. It also voids the claim if that comes later in the log.
type Released struct{ Ref Ref }

// InDoubt records that the request was sent and that no complete answer was
// received.
type InDoubt struct{ Ref Ref }

// Marker has no effect on the fold. A starting entry that reads its own marker
// back has read everything that was in the log when the entry started.
type Marker struct{}

func (Claim) isItem()    {}
func (Answered) isItem() {}
func (Released) isItem() {}
func (InDoubt) isItem()  {}
func (Marker) isItem()   {}

// Positioned is a group with its offset in the stream.
type Positioned struct {
	Offset fleet.Offset
	Group  Group
	// Err is set when the record could not be decoded.
	Err error
}

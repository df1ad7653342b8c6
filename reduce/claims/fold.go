package claims

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

const (
	// MaxKeyAge is how long a key is accepted after its creation.
	MaxKeyAge = 15 * time.Minute
	// MaxSkew is the largest difference allowed between any two clocks of
	// entries and callers.
	MaxSkew = 30 * time.Second
	// Retention is how long a key is kept after its claim was read. The log has
	// to keep records for longer. A key's creation time may be MaxSkew ahead of
	// the reader's clock, the key may be accepted by an entry whose clock is
	// MaxSkew behind, and it may be read back by one whose clock is MaxSkew
	// ahead.
	Retention = MaxKeyAge + 3*MaxSkew
	// lapseGrace is how long a claim without an outcome still counts as open
	// after its deadline. It allows for clock skew and for an outcome that has
	// been appended but not read.
	lapseGrace = 2 * time.Second
)

// Status is the status of a scope according to the log.
type Status uint8

// Statuses of a scope.
const (
	// StatusFree means that no claim holds the scope.
	StatusFree Status = iota
	// StatusClaimed means that a claim without an outcome holds the scope.
	StatusClaimed
	// StatusAnswered means that the request ran and was answered.
	StatusAnswered
	// StatusInDoubt means that the request was sent and that no complete answer
	// was received.
	StatusInDoubt
)

// KeyState is the state of a scope according to the log.
type KeyState struct {
	Status Status
	// Record and Offset locate the group with the claim that holds the scope.
	Record   fleet.RecordID
	Offset   fleet.Offset
	BodyHash uint64
	Deadline time.Time
	// Outcome is the offset of the record that carries the answer; zero if no
	// record does.
	Outcome fleet.Offset

	// released holds the groups whose claims of the scope were released.
	released []fleet.RecordID
}

// Ref returns the claim that holds the scope.
func (k KeyState) Ref(scope Scope) Ref { return Ref{Scope: scope, Record: k.Record} }

// IsLapsed reports whether the claim has no outcome although its deadline has
// passed.
func (k KeyState) IsLapsed(now time.Time) bool {
	return k.Status == StatusClaimed && now.After(k.Deadline.Add(lapseGrace))
}

// Fold is the state of the claims stream up to an offset.
type Fold struct {
	next fleet.Offset
	// coveredAfter is the latest creation time of keys that may have been
	// claimed in lost records; zero if no records were lost.
	coveredAfter time.Time
	// gap is set from a jump over lost records until a following group or the
	// end of the log bounds their age.
	gap  bool
	keys generations
}

// NewFold returns the fold of the empty stream.
func NewFold() *Fold { return &Fold{next: firstOffset, keys: newGenerations()} }

// firstOffset is the offset of the first record of a stream.
const firstOffset fleet.Offset = 1

// Next returns the offset of the next record to read.
func (f *Fold) Next() fleet.Offset { return f.next }

// Lookup returns the state of a scope.
func (f *Fold) Lookup(scope Scope) KeyState {
	k := f.keys.get(scope)
	if k == nil {
		return KeyState{}
	}
	return *k
}

// Len returns the number of keys kept.
func (f *Fold) Len() int { return f.keys.len() }

// Covers reports whether all claims of keys created at this time have been
// read. Keys created earlier may have been claimed in records that were lost.
func (f *Fold) Covers(made time.Time) bool { return !f.gap && made.After(f.coveredAfter) }

// Advance prepares the fold for a page read at time now. It drops keys past
// their retention, and skips records that the log has dropped: oldest is the
// oldest offset that the log holds.
func (f *Fold) Advance(now time.Time, oldest fleet.Offset) {
	f.keys.rotate(now)
	if oldest > f.next {
		f.next = oldest
		f.gap = true
	}
}

// NoteEmptyPage records that a page held no groups. If records before it are
// lost, no later group bounds their age, so that they may be as recent as now.
func (f *Fold) NoteEmptyPage(now time.Time) {
	if f.gap {
		f.noteLostRecords(now)
	}
}

// Apply folds the group at an offset and returns the scopes that its items
// refer to. It returns none for a group below Next, which was folded before, and
// for a group so old that all its keys are past their retention.
func (f *Fold) Apply(now time.Time, p Positioned) []Scope {
	if p.Offset < f.next {
		return nil
	}
	f.next = p.Offset + 1
	if p.Err != nil {
		f.noteLostRecords(now)
		return nil
	}
	if f.gap {
		f.noteLostRecords(p.Group.Time)
	}
	if now.Sub(p.Group.Time) > Retention {
		return nil
	}
	touched := make([]Scope, 0, len(p.Group.Items))
	for _, it := range p.Group.Items {
		touched = append(touched, f.apply(p.Offset, p.Group.ID, it))
	}
	return touched
}

// maxAppendDelay is the longest time between the time stamp of a group and its
// append.
const maxAppendDelay = time.Minute

// noteLostRecords marks the keys as not covered that may have been claimed in
// lost records of up to the time at.
func (f *Fold) noteLostRecords(at time.Time) {
	f.gap = false
	floor := at.Add(maxAppendDelay + MaxSkew)
	if floor.After(f.coveredAfter) {
		f.coveredAfter = floor
	}
}

func (f *Fold) apply(at fleet.Offset, record fleet.RecordID, it Item) Scope {
	switch it := it.(type) {
	case Claim:
		f.claim(at, record, it)
		return it.Scope
	case Released:
		f.release(it.Ref)
		return it.Ref.Scope
	case Answered:
		f.setOutcome(it.Ref, StatusAnswered, answerOffset(at, it.Kept))
		return it.Ref.Scope
	case InDoubt:
		f.setOutcome(it.Ref, StatusInDoubt, 0)
		return it.Ref.Scope
	default:
		return Scope{}
	}
}

func answerOffset(at fleet.Offset, kept bool) fleet.Offset {
	if !kept {
		return 0
	}
	return at
}

func (f *Fold) claim(at fleet.Offset, record fleet.RecordID, c Claim) {
	k := f.keys.ensure(c.Scope)
	if k.Status != StatusFree || slices.Contains(k.released, record) {
		return
	}
	k.Status, k.Record, k.Offset = StatusClaimed, record, at
	k.BodyHash, k.Deadline, k.Outcome = c.BodyHash, c.Deadline, 0
}

// release frees the scope if the claim holds it. It keeps the id of the claim's
// group, so that a copy of the group later in the log claims nothing.
func (f *Fold) release(ref Ref) {
	k := f.keys.ensure(ref.Scope)
	if !slices.Contains(k.released, ref.Record) {
		k.released = append(k.released, ref.Record)
	}
	if k.Status == StatusClaimed && k.Record == ref.Record {
		k.Status = StatusFree
	}
}

func (f *Fold) setOutcome(ref Ref, to Status, outcome fleet.Offset) {
	k := f.keys.get(ref.Scope)
	if k == nil || k.Status != StatusClaimed || k.Record != ref.Record {
		return
	}
	k.Status, k.Outcome = to, outcome
}

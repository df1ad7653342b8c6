// Package control folds the control stream: the records in the platform's log
// that hold everything the entries have agreed on. The fold is a pure function
// of the records and their offsets, so all entries that have read the same
// prefix hold the same state. Of conflicting records, the first valid one in the
// log takes effect.
package control

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Record is one record of the control stream.
type Record struct {
	ID fleet.RecordID
	// Time is when the record was proposed, by its author's clock.
	Time time.Time
	// Author names the operator or entry that proposed the record.
	Author string
	Body   Body
}

// Body is the change that a record proposes. All implementations are in this
// package.
type Body interface{ isRecord() }

// Positioned is a record with its offset in the stream.
type Positioned struct {
	Offset fleet.Offset
	Record Record
}

// Publish brings a services text into force if Base is still the version in
// force at the record's offset.
type Publish struct {
	Base fleet.Version
	// Text is the whole text. It is nil when Delta holds the difference to the
	// text of version Base.
	Text  *fleet.Text
	Delta *fleet.Delta
}

// Void cancels a record that comes later in the log. It has no effect on a
// record that was folded before it.
type Void struct{ Record fleet.RecordID }

// Unreadable takes the place of a record that could not be decoded.
type Unreadable struct{ Err error }

func (Publish) isRecord()    {}
func (Void) isRecord()       {}
func (Unreadable) isRecord() {}

// Outcome is the result of folding a proposed record, or of trying to append it.
type Outcome uint8

// Outcomes of a record.
const (
	// Accepted means that the record took effect.
	Accepted Outcome = iota + 1
	// Conflict means that the state that the record was based on had changed.
	Conflict
	// Duplicate means that a record with the same id was folded before.
	Duplicate
	// Invalid means that the content of the record is not allowed.
	Invalid
	// LogDown means that the record could not be appended: it did not take
	// effect and never will.
	LogDown
	// Undecided means that it is unknown whether the record took effect.
	Undecided
	// Voided means that a Void for the record was folded first: the record
	// never takes effect.
	Voided
	// Gap means that a record before this one is missing; nothing was folded.
	Gap
	// NotReady means that the entry lacks a part of the stream and proposed
	// nothing.
	NotReady
)

var outcomeNames = [...]string{
	Accepted:  "accepted",
	Conflict:  "conflict",
	Duplicate: "duplicate",
	Invalid:   "invalid",
	LogDown:   "log-unavailable",
	Undecided: "undecided",
	Voided:    "voided",
	Gap:       "gap",
	NotReady:  "not-ready",
}

// String returns the outcome's name.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) && outcomeNames[o] != "" {
		return outcomeNames[o]
	}
	return "none"
}

// Result is the outcome of a proposed record.
type Result struct {
	Record  fleet.RecordID
	Outcome Outcome
	Offset  fleet.Offset
	// Version is the version in force after the record.
	Version fleet.Version
	// Detail explains an outcome other than Accepted.
	Detail string
	// Change is the change that an accepted record made to the text or to the
	// pools of instances; nil when it changed neither. Each instance in it has
	// the pool that it has in the fold, and all instances of changed pools are
	// included.
	Change *fleet.Delta
}

// Package control folds the control stream: the records in the platform's log
// that everything agreed between entries comes from. The fold is a pure
// function of the records and their offsets, so all entries that read the same
// prefix hold the same state. The first valid record in the log wins.
package control

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Record is one entry of the control stream.
type Record struct {
	ID fleet.RecordID
	// Time is when the writer proposed the record, by its own clock.
	Time time.Time
	// Author names the operator or entry that proposed the record.
	Author string
	Body   Body
}

// Body is what the record proposes. Its implementations are in this package.
type Body interface{ isRecord() }

// Positioned is a record at its place in the stream.
type Positioned struct {
	Offset fleet.Offset
	Record Record
}

// Publish brings a services text into force if Base is still the version in
// force at the record's offset.
type Publish struct {
	Base fleet.Version
	// Text is the whole text. It is nil when Delta tells the text from the one
	// of version Base.
	Text  *fleet.Text
	Delta *fleet.Delta
}

// Void keeps a record from taking effect: the first of the two in the log wins.
type Void struct{ Record fleet.RecordID }

// Unreadable stands for a record whose bytes could not be decoded.
type Unreadable struct{ Err error }

func (Publish) isRecord()    {}
func (Void) isRecord()       {}
func (Unreadable) isRecord() {}

// Outcome says what the fold made of a record.
type Outcome uint8

// Outcomes of a record.
const (
	// Accepted means that the record took effect.
	Accepted Outcome = iota + 1
	// Conflict means that what the record was based on no longer held.
	Conflict
	// Duplicate means that a record with the same id came before.
	Duplicate
	// Invalid means that the record's content is not allowed.
	Invalid
	// LogDown means that the record could not be appended: it did not take
	// effect and never will.
	LogDown
	// Undecided means that it is not known whether the record took effect.
	Undecided
	// Voided means that a Void came before the record: it never takes effect.
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

// Result is what became of a proposed record.
type Result struct {
	Record  fleet.RecordID
	Outcome Outcome
	Offset  fleet.Offset
	// Version is the version in force after the record.
	Version fleet.Version
	// Detail explains an outcome other than Accepted.
	Detail string
	// Change is what an accepted record changed in the text or in the pools of
	// instances; nil for nothing. Each instance in it is in the pool that the
	// fold gives it, and all instances of pools that changed are in it.
	Change *fleet.Delta
}

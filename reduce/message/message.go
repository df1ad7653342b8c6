// Package message defines what entries tell one another, as plain data.
// Package peer maps it to the wire.
package message

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

// Message is what one entry tells another. Its implementations are in this
// package.
type Message interface{ isMessage() }

// Heartbeat tells that the sender lives, and what it has folded.
type Heartbeat struct {
	// Offset and Version are the sender's fold of the control stream.
	Offset  fleet.Offset
	Version fleet.Version
	// Digest is a hash of the fold. Folds up to the same offset have the same
	// digest.
	Digest uint64
	// Stopping is set while the sender shuts down.
	Stopping bool
}

// RecordsRequest asks a peer for the records of the control stream after an
// offset.
type RecordsRequest struct{ After fleet.Offset }

// Records passes records of the control stream on, in order and without gaps.
type Records struct {
	// After is the offset of the record that the sender folded just before the
	// first of Records; zero when that is the first of the stream.
	After   fleet.Offset
	Records []control.Positioned
}

// DrainAcks tells on which draining instances the sender has nothing in flight.
// It is sent again while the drains last, so that a lost one does no harm.
type DrainAcks struct{ Acks []DrainAck }

// DrainAck tells about one instance at the epoch of its drain.
type DrainAck struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
}

func (DrainAcks) isMessage() {}

// Snapshot passes a whole fold on, to a peer that lacks records which the sender
// no longer keeps.
type Snapshot struct{ Fold control.Snapshot }

func (Heartbeat) isMessage()      {}
func (RecordsRequest) isMessage() {}
func (Records) isMessage()        {}
func (Snapshot) isMessage()       {}

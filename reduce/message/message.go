// Package message defines the messages between entries, as plain data. Package
// peer maps them to the wire format.
package message

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

// Message is a message from one entry to another. Its implementations are the
// types of this package.
type Message interface{ isMessage() }

// Heartbeat shows that the sender is alive, and reports the state of its fold.
type Heartbeat struct {
	// Offset and Version are those of the sender's fold of the control stream.
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

// Records relays records of the control stream, in order and without gaps.
type Records struct {
	// After is the offset of the record that the sender folded just before the
	// first of Records; zero when that is the first of the stream.
	After   fleet.Offset
	Records []control.Positioned
}

// DrainAcks lists the draining instances on which the sender has nothing in
// flight. The message is repeated while the drains last, because a message may be
// lost.
type DrainAcks struct{ Acks []DrainAck }

// DrainAck acknowledges the drain of one instance at the epoch of the drain.
type DrainAck struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
}

func (DrainAcks) isMessage() {}

// Snapshot transfers a whole fold to a peer that lacks records which the sender no
// longer keeps.
type Snapshot struct{ Fold control.Snapshot }

func (Heartbeat) isMessage()      {}
func (RecordsRequest) isMessage() {}
func (Records) isMessage()        {}
func (Snapshot) isMessage()       {}

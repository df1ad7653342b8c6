// Package message defines what entries tell one another, as plain data.
// Package peer maps it to the wire.
package message

import "github.com/banyanrail/banyanrail/fleet"

// Message is what one entry tells another. Its implementations are in this
// package.
type Message interface{ isMessage() }

// Heartbeat tells that the sender lives, and what it has folded.
type Heartbeat struct {
	// Offset and Version are the sender's fold of the control stream.
	Offset  fleet.Offset
	Version fleet.Version
	// Stopping is set while the sender shuts down.
	Stopping bool
}

// DrainAcks tells on which draining instances the sender has nothing in flight.
// It is sent again while the drains last, so that a lost one does no harm.
type DrainAcks struct{ Acks []DrainAck }

// DrainAck tells about one instance at the epoch of its drain.
type DrainAck struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
}

func (Heartbeat) isMessage() {}
func (DrainAcks) isMessage() {}

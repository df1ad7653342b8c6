package message

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// SlotRequest is a request that waits for a slot.
type SlotRequest struct {
	ID      fleet.RequestID
	Service fleet.ServiceName
	Member  fleet.MemberName
	Size    int64
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Tried holds instances on which the request failed.
	Tried []fleet.InstanceID
	// Requeued is set for a request that was granted a slot before. It keeps its
	// place at the front of its member's queue, even when the queue is full.
	Requeued bool
}

// Slot is a slot of an instance that is granted to a request.
type Slot struct {
	Request  fleet.RequestID
	Instance fleet.InstanceID
}

// SlotRelease gives a slot back.
type SlotRelease struct {
	Slot
	// HeldFor is how long the request held the slot.
	HeldFor time.Duration
	// RunTime is how long the request ran; zero when the attempt failed.
	RunTime time.Duration
	// Verdict is what the outcome of the attempt shows about the instance.
	Verdict Verdict
	// NotAtFault is an instance that an earlier verdict on the request blamed and
	// that is not at fault after all; empty when there is none.
	NotAtFault fleet.InstanceID
}

// Verdict is what the outcome of an attempt shows about its instance.
type Verdict uint8

// Verdicts.
const (
	// VerdictNone means that the outcome shows nothing about the instance.
	VerdictNone Verdict = iota
	// VerdictGood means that the instance served the request.
	VerdictGood
	// VerdictRefused means that the instance had no slot.
	VerdictRefused
	// VerdictFailed means that the instance failed.
	VerdictFailed
	// VerdictLeaving means that the instance is shutting down and accepts no new
	// requests.
	VerdictLeaving
)

// HeldSlot is a request with the instance that runs it.
type HeldSlot struct {
	Request  SlotRequest
	Instance fleet.InstanceID
}

// SlotRequests is sent by an entry to the holder of a pool. The holder processes
// released slots and withdrawn requests before the new requests.
type SlotRequests struct {
	Releases  []SlotRelease
	Withdrawn []fleet.RequestID
	Requests  []SlotRequest
}

// SlotDenial refuses a request that waits at a holder.
type SlotDenial struct {
	Request fleet.RequestID
	Reason  fleet.Reason
	// RetryAfter is the time after which a retry may succeed; zero means no hint.
	RetryAfter time.Duration
}

// SlotsGranted answers slot requests with grants and denials.
type SlotsGranted struct {
	Grants []Slot
	Denied []SlotDenial
}

// SlotsReport lists all slots and waiting requests of the sender in a pool, for
// the holder of the pool. It replaces the holder's earlier state of the sender.
type SlotsReport struct {
	Pool fleet.PoolName
	// LastReceived is the sequence number of the holder's last message that the
	// sender had received. Grants that were sent later are still in flight.
	LastReceived uint64
	Running      []HeldSlot
	Waiting      []SlotRequest
}

// ReportRequest asks for a report of each pool that the sender holds according to
// the receiver.
type ReportRequest struct{}

// ReportAck acknowledges a report.
type ReportAck struct {
	Pool fleet.PoolName
	// Holding is false when the receiver of the report does not hold the pool.
	Holding bool
}

func (SlotRequests) isMessage()  {}
func (SlotsGranted) isMessage()  {}
func (SlotsReport) isMessage()   {}
func (ReportRequest) isMessage() {}
func (ReportAck) isMessage()     {}

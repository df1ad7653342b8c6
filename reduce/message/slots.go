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
	// place, also when the queue is full.
	Requeued bool
}

// Slot is a slot of an instance that a request has.
type Slot struct {
	Request  fleet.RequestID
	Instance fleet.InstanceID
}

// SlotRelease gives a slot back.
type SlotRelease struct {
	Slot
	// HeldFor is how long the request had the slot.
	HeldFor time.Duration
	// RunTime is how long the request ran; zero when it did not run well.
	RunTime time.Duration
	// Verdict is what the attempt's end says about the instance.
	Verdict Verdict
	// NotAtFault is an instance that was blamed for the request before and is
	// not at fault.
	NotAtFault fleet.InstanceID
}

// Verdict is what the end of an attempt says about its instance.
type Verdict uint8

// Verdicts.
const (
	// VerdictNone says nothing.
	VerdictNone Verdict = iota
	// VerdictGood means that the instance served the request.
	VerdictGood
	// VerdictRefused means that the instance had no slot.
	VerdictRefused
	// VerdictFailed means that the instance failed.
	VerdictFailed
	// VerdictLeaving means that the instance takes no new work.
	VerdictLeaving
)

// HeldSlot is a request with the instance that runs it.
type HeldSlot struct {
	Request  SlotRequest
	Instance fleet.InstanceID
}

// SlotRequests goes from an entry to the entry that holds a pool. Finished slots
// and withdrawn requests come before the asks.
type SlotRequests struct {
	Releases  []SlotRelease
	Withdrawn []fleet.RequestID
	Requests  []SlotRequest
}

// SlotDenial refuses a request that waits at a holder.
type SlotDenial struct {
	Request fleet.RequestID
	Reason  fleet.Reason
	// RetryAfter is when a retry may succeed; zero means no hint.
	RetryAfter time.Duration
}

// SlotsGranted answers asks.
type SlotsGranted struct {
	Grants []Slot
	Denied []SlotDenial
}

// SlotsReport tells the holder of a pool all that the sender has there. It
// replaces what the holder knew of the sender.
type SlotsReport struct {
	Pool fleet.PoolName
	// LastReceived is the sequence number of the holder's last message that the sender
	// had received. Grants sent later are still on their way.
	LastReceived uint64
	Running      []HeldSlot
	Waiting      []SlotRequest
}

// ReportRequest asks for a report of each pool that the receiver takes the
// sender to hold.
type ReportRequest struct{}

// ReportAck answers a report.
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

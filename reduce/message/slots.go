package message

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Ask is a request that waits for a slot.
type Ask struct {
	Request fleet.RequestID
	Service fleet.ServiceName
	Member  fleet.MemberName
	Size    int64
	// Left is the time until the request's deadline.
	Left time.Duration
	// Tried holds instances on which the request failed.
	Tried []fleet.InstanceID
	// Again is set for a request that was granted a slot before. It keeps its
	// place, also when the queue is full.
	Again bool
}

// Slot is a slot of an instance that a request has.
type Slot struct {
	Request  fleet.RequestID
	Instance fleet.InstanceID
}

// Finished gives a slot back.
type Finished struct {
	Slot
	// Held is how long the request had the slot.
	Held time.Duration
	// Ran is how long the request ran; zero when it did not run well.
	Ran time.Duration
	// Verdict is what the attempt's end says about the instance.
	Verdict Verdict
	// Forgiven is an instance that was blamed for the request before and is
	// not at fault.
	Forgiven fleet.InstanceID
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

// Held is a request with the instance that runs it.
type Held struct {
	Ask      Ask
	Instance fleet.InstanceID
}

// SlotsAsked goes from an entry to the entry that holds a pool. Finished slots
// and withdrawn requests come before the asks.
type SlotsAsked struct {
	Finished  []Finished
	Withdrawn []fleet.RequestID
	Asks      []Ask
}

// Denied refuses a request that waits at a holder.
type Denied struct {
	Request fleet.RequestID
	Reason  fleet.Reason
	// RetryAfter is when a retry may succeed; zero means no hint.
	RetryAfter time.Duration
}

// SlotsGranted answers asks.
type SlotsGranted struct {
	Grants []Slot
	Denied []Denied
}

// SlotsReport tells the holder of a pool all that the sender has there. It
// replaces what the holder knew of the sender.
type SlotsReport struct {
	Pool fleet.PoolName
	// Seen is the sequence number of the holder's last message that the sender
	// had received. Grants sent later are still on their way.
	Seen    uint64
	Running []Held
	Asks    []Ask
}

// ReportWanted asks for a report of each pool that the receiver takes the
// sender to hold.
type ReportWanted struct{}

// ReportTaken answers a report.
type ReportTaken struct {
	Pool fleet.PoolName
	// Holding is false when the receiver of the report does not hold the pool.
	Holding bool
}

func (SlotsAsked) isMessage()   {}
func (SlotsGranted) isMessage() {}
func (SlotsReport) isMessage()  {}
func (ReportWanted) isMessage() {}
func (ReportTaken) isMessage()  {}

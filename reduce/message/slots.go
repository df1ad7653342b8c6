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
	// Tried holds instances on which the request failed.
	Tried []fleet.InstanceID
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
	// Ran is how long the request ran; zero when no whole answer came.
	Ran time.Duration
	// Status is the HTTP status of a whole answer.
	Status int
	// Unused is set when the request never went to the instance.
	Unused bool
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
	Running []Slot
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

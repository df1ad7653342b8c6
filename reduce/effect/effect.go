// Package effect defines the outputs of the reducer. An effect is plain data that
// describes an action. Drivers carry it out and report its outcome as an event.
package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/message"
)

// Effect is one output of the reducer. Its implementations are the types of
// this package.
type Effect interface{ isEffect() }

// Dispatch sends a request to an endpoint. The driver checks Deadline just
// before it sends, so that a paused process sends nothing stale.
type Dispatch struct {
	Attempt  fleet.AttemptID
	Service  fleet.ServiceName
	Instance fleet.InstanceID
	Address  string
	Deadline time.Time
	// Fence is the offset of the claim that allows the dispatch; zero for
	// idempotent services.
	Fence fleet.Offset
	// NewConnection requests a connection of its own for the attempt, closed
	// afterwards, because the pool's limit leaves no room for idle connections.
	NewConnection bool
}

// CancelAttempt abandons a dispatch; its outcome is still reported.
type CancelAttempt struct{ Attempt fleet.AttemptID }

// Probe checks the health of an endpoint.
type Probe struct {
	Instance fleet.InstanceID
	Address  string
}

// Answer returns the answer of an attempt to the caller, and counts it for its
// service.
type Answer struct {
	Request  fleet.RequestID
	Attempt  fleet.AttemptID
	Attempts int
	Service  fleet.ServiceName
}

// Refuse ends a request without an endpoint's answer, and counts it for its
// service.
type Refuse struct {
	Request fleet.RequestID
	Service fleet.ServiceName
	Reason  fleet.Reason
	Ran     fleet.Ran
	// RetryAfter is the time after which a retry may succeed; zero means no hint.
	RetryAfter time.Duration
	Attempts   int
	// Instance is the last endpoint tried, if any.
	Instance fleet.InstanceID
}

// Append appends a record to the control stream. The driver checks Deadline
// just before it appends; the zero time means none.
type Append struct {
	Record   control.Record
	Deadline time.Time
}

// Read starts reading the control stream from an offset on. A later Read
// replaces it.
type Read struct{ From fleet.Offset }

// AppendClaims appends a group to the claims stream. The driver adds the answers
// that the items refer to, which it stored for KeepAnswer.
type AppendClaims struct{ Group claims.Group }

// ReadClaims starts reading the claims stream from an offset on.
type ReadClaims struct{ From fleet.Offset }

// KeepAnswer stores the answer of an attempt as the outcome of a claim.
type KeepAnswer struct {
	Attempt fleet.AttemptID
	Claim   claims.Ref
}

// FetchAnswer reads the answer of a claim, which was recorded at an offset of the
// claims stream, as the answer to a request.
type FetchAnswer struct {
	Request  fleet.RequestID
	Claim    claims.Ref
	Offset   fleet.Offset
	Deadline time.Time
}

// SetClaims sets whether the entry accepts non-idempotent requests.
type SetClaims struct{ Open bool }

// CommandInstance sends a command about an instance to the platform's worker
// control. The driver checks Deadline just before it sends, so that a paused
// process sends nothing stale.
type CommandInstance struct {
	// ID makes the command idempotent: every entry sends it under the same id.
	ID       string
	Instance fleet.InstanceID
	Epoch    fleet.Offset
	Purpose  control.Purpose
	Deadline time.Time
}

// CheckInstance checks the health of an instance that is returning to service.
type CheckInstance struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
	Address  string
}

// SendPeer sends a message to another entry. The message may be lost.
type SendPeer struct {
	To      fleet.EntryID
	Address string
	// Sequence numbers the messages to this peer; the driver keeps their order.
	Sequence uint64
	Message  message.Message
}

// KeepPeers closes the connections to all addresses but these.
type KeepPeers struct{ Addresses []string }

// RefreshList reads the platform's list immediately.
type RefreshList struct{}

// SetReady sets the readiness that the entry reports to the load balancer.
type SetReady struct{ Ready bool }

// SetTimer requests a TimerFired event at a time. A later SetTimer replaces it.
type SetTimer struct{ At time.Time }

// Stopped reports that a graceful shutdown is complete: nothing is left in flight.
type Stopped struct{}

func (Dispatch) isEffect()        {}
func (CancelAttempt) isEffect()   {}
func (Probe) isEffect()           {}
func (Answer) isEffect()          {}
func (Refuse) isEffect()          {}
func (Append) isEffect()          {}
func (Read) isEffect()            {}
func (AppendClaims) isEffect()    {}
func (ReadClaims) isEffect()      {}
func (KeepAnswer) isEffect()      {}
func (FetchAnswer) isEffect()     {}
func (SetClaims) isEffect()       {}
func (Reply) isEffect()           {}
func (ReplyStatus) isEffect()     {}
func (ReplyForecast) isEffect()   {}
func (ReplyText) isEffect()       {}
func (Count) isEffect()           {}
func (Gauge) isEffect()           {}
func (LogChange) isEffect()       {}
func (CommandInstance) isEffect() {}
func (CheckInstance) isEffect()   {}
func (SendPeer) isEffect()        {}
func (KeepPeers) isEffect()       {}
func (RefreshList) isEffect()     {}
func (SetReady) isEffect()        {}
func (SetTimer) isEffect()        {}
func (Stopped) isEffect()         {}

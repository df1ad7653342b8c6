// Package event defines the inputs of the reducer. An event is plain data: what
// happened, and when. It is independent of the encoding of messages on the wire;
// drivers map wire messages to events.
package event

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

// Event is one input of the reducer.
type Event struct {
	// Now is the time at which the control goroutine took the event from its
	// queue. It never decreases from one event to the next.
	Now  time.Time
	Body Body
}

// Body is what happened. Its implementations are the types of this package.
type Body interface{ isEvent() }

// Started is the first event of an entry.
type Started struct{}

// RequestArrived reports a caller's request. Its body stays with the front
// end, under the request's id.
type RequestArrived struct {
	ID      fleet.RequestID
	Service fleet.ServiceName
	Member  fleet.MemberName
	// Key is the idempotency key; empty when the caller sent none.
	Key fleet.Key
	// BodyHash is a hash of the body. A key that is sent again with another hash
	// is refused.
	BodyHash uint64
	// BodySize is in bytes.
	BodySize int64
	// Size is the size that the caller declares, in units of the pool's MaxSize.
	Size int64
	// TimeLimit is how long the caller waits; zero means the service's limit.
	TimeLimit time.Duration
}

// RequestCancelled reports that the caller no longer waits for the request.
type RequestCancelled struct{ ID fleet.RequestID }

// AttemptOutcome says how a dispatch ended.
type AttemptOutcome uint8

// Outcomes of an attempt.
const (
	// AttemptAnswered means that a complete answer was received.
	AttemptAnswered AttemptOutcome = iota + 1
	// AttemptNotSent means that no byte of the request reached the endpoint.
	AttemptNotSent
	// AttemptRefused means that the endpoint reported that it did not run the
	// request, because it is shutting down or has no free slot.
	AttemptRefused
	// AttemptBroken means that the request was sent and no complete answer was
	// received.
	AttemptBroken
	// AttemptSkipped means that the driver sent nothing, because the deadline had
	// passed or the caller no longer waited.
	AttemptSkipped
)

// AttemptFinished reports the end of a dispatch. The answer's body stays with
// the front end.
type AttemptFinished struct {
	Attempt  fleet.AttemptID
	Instance fleet.InstanceID
	Outcome  AttemptOutcome
	// Status is the HTTP status of an answer.
	Status int
	// Leaving is set when the endpoint reported that it is shutting down.
	Leaving bool
	// Elapsed is how long the attempt took.
	Elapsed time.Duration
}

// ProbeFinished reports the end of a probe of an endpoint.
type ProbeFinished struct {
	Instance fleet.InstanceID
	// OK is set when the endpoint answered that it is healthy.
	OK bool
	// Leaving is set when the endpoint reported that it is shutting down.
	Leaving bool
}

// RecordsRead reports records read from the control stream, in order.
type RecordsRead struct {
	Records []control.Positioned
	// Next is the offset to read from next.
	Next fleet.Offset
	// Oldest is the first offset that the log still keeps.
	Oldest fleet.Offset
	// End is the offset of the next append; zero when the log does not report it.
	End fleet.Offset
}

// ReadFailed reports that the control stream could not be read.
type ReadFailed struct{ Err error }

// ClaimsRead reports records read from the claims stream, in order. Groups is
// empty if the read found none.
type ClaimsRead struct {
	Groups []claims.Positioned
	// Oldest is the first offset that the log still keeps.
	Oldest fleet.Offset
}

// AnswerFetched reports the outcome of a FetchAnswer effect. If the answer was
// found, the driver stores it with the request, as the answer of attempt 0.
type AnswerFetched struct {
	Request fleet.RequestID
	Found   bool
	// Err is set when the log could not be read.
	Err error
}

// AppendOutcome says how an append to the log ended.
type AppendOutcome uint8

// Outcomes of an append.
const (
	// Appended means that the record is in the log.
	Appended AppendOutcome = iota + 1
	// AppendFailed means that the record is not in the log and never will be.
	AppendFailed
	// AppendUnknown means that the answer was lost. Reading the stream further
	// shows whether the record was appended.
	AppendUnknown
)

// AppendFinished reports the end of an append to a stream.
type AppendFinished struct {
	ID      fleet.RecordID
	Outcome AppendOutcome
	Err     error
}

// OperatorCommanded reports a command by an operator.
type OperatorCommanded struct {
	// ID identifies the command in the reply.
	ID uint64
	// Record is the record that the command proposes to append. Its id is unique.
	Record control.Record
	// Deadline is when the operator stops waiting.
	Deadline time.Time
}

// StatusRequested reports an operator's request for a summary of the state.
type StatusRequested struct{ ID uint64 }

// ForecastRequested reports an operator's request for a forecast of the effects of
// losing a failure domain.
type ForecastRequested struct {
	ID     uint64
	Domain rehearsal.Domain
}

// TextRequested reports an operator's request for the services text in force.
type TextRequested struct{ ID uint64 }

// ListedEntry is an entry in the platform's list.
type ListedEntry struct {
	ID      fleet.EntryID
	Address string
	Leaving bool
}

// EntriesListed reports the entries in the platform's list, which may be out of
// date.
type EntriesListed struct{ Entries []ListedEntry }

// EndpointsListed reports the endpoints that are shutting down according to the
// platform's list, which may be out of date.
type EndpointsListed struct{ Leaving []fleet.InstanceID }

// CommandOutcome says how a command to the platform's worker control ended.
type CommandOutcome uint8

// Outcomes of a command.
const (
	// CommandDone means that the platform has carried out the command.
	CommandDone CommandOutcome = iota + 1
	// CommandPending means that the platform is still carrying it out.
	CommandPending
	// CommandUnknown means that the command may or may not take effect.
	CommandUnknown
)

// CommandFinished reports the outcome of a command about an instance.
type CommandFinished struct {
	Instance fleet.InstanceID
	// Epoch is the epoch of the instance for which the command was sent.
	Epoch   fleet.Offset
	Outcome CommandOutcome
	Err     error
}

// InstanceChecked reports the outcome of a health check of an instance that is
// returning to service.
type InstanceChecked struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
	Healthy  bool
}

// PeerReceived reports a message from another entry.
type PeerReceived struct {
	From        fleet.EntryID
	Incarnation uint64
	// Address is the address at which the sender listens; empty when the sender
	// does not report it.
	Address string
	// Sequence numbers the messages of one incarnation to this entry.
	Sequence uint64
	Message  message.Message
}

// PeerUnreachable reports that a message could not be delivered to a peer.
type PeerUnreachable struct{ Peer fleet.EntryID }

// TimerFired reports that the time of the latest SetTimer effect was reached.
type TimerFired struct{}

// StopRequested reports a request for a graceful shutdown of the entry.
type StopRequested struct{}

func (Started) isEvent()           {}
func (RequestArrived) isEvent()    {}
func (RequestCancelled) isEvent()  {}
func (AttemptFinished) isEvent()   {}
func (ProbeFinished) isEvent()     {}
func (RecordsRead) isEvent()       {}
func (ReadFailed) isEvent()        {}
func (ClaimsRead) isEvent()        {}
func (AnswerFetched) isEvent()     {}
func (AppendFinished) isEvent()    {}
func (OperatorCommanded) isEvent() {}
func (StatusRequested) isEvent()   {}
func (ForecastRequested) isEvent() {}
func (TextRequested) isEvent()     {}
func (EntriesListed) isEvent()     {}
func (EndpointsListed) isEvent()   {}
func (CommandFinished) isEvent()   {}
func (InstanceChecked) isEvent()   {}
func (PeerReceived) isEvent()      {}
func (PeerUnreachable) isEvent()   {}
func (TimerFired) isEvent()        {}
func (StopRequested) isEvent()     {}

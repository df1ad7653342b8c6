// Package effect defines the outputs of the reducer. An effect is plain data
// that tells a driver what to do; drivers do it and report back by events.
package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
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
}

// CancelAttempt abandons a dispatch; its outcome is still reported.
type CancelAttempt struct{ Attempt fleet.AttemptID }

// Answer hands the answer of an attempt to the caller.
type Answer struct {
	Request  fleet.RequestID
	Attempt  fleet.AttemptID
	Attempts int
}

// Refuse ends a request without an endpoint's answer.
type Refuse struct {
	Request fleet.RequestID
	Reason  fleet.Reason
	Ran     fleet.Ran
	// RetryAfter is when a retry may succeed; zero means no hint.
	RetryAfter time.Duration
	Attempts   int
	// Instance is the last endpoint tried, if any.
	Instance fleet.InstanceID
}

// Append appends a record to the control stream.
type Append struct{ Record control.Record }

// Read starts reading the control stream from an offset on. A later Read
// replaces it.
type Read struct{ From fleet.Offset }

// Reply answers an operator's command.
type Reply struct {
	ID     uint64
	Result control.Result
}

// ReplyStatus answers a question for the state.
type ReplyStatus struct {
	ID     uint64
	Status Status
}

// Status is a summary of an entry's state.
type Status struct {
	Entry     fleet.EntryID          `json:"entry"`
	Ready     bool                   `json:"ready"`
	Stopping  bool                   `json:"stopping"`
	Version   fleet.Version          `json:"version"`
	Offset    fleet.Offset           `json:"offset"`
	Requests  int                    `json:"requests"`
	Queued    int                    `json:"queued"`
	Running   int                    `json:"running"`
	Peers     []fleet.EntryID        `json:"peers"`
	Instances []InstanceStatus       `json:"instances"`
	Waves     []WaveStatus           `json:"waves"`
	Totals    map[string]uint64      `json:"totals"`
	Pools     map[fleet.PoolName]int `json:"pools"`
}

// InstanceStatus is one instance as the entry sees it.
type InstanceStatus struct {
	ID      fleet.InstanceID `json:"id"`
	Pool    fleet.PoolName   `json:"pool"`
	Running int              `json:"running"`
	// Phase is how far the instance's maintenance has come, and Epoch the
	// offset of the record that it follows from.
	Phase string       `json:"phase"`
	Epoch fleet.Offset `json:"epoch"`
	// Detail says why the instance failed.
	Detail string `json:"detail,omitempty"`
}

// WaveStatus is one wave.
type WaveStatus struct {
	ID      fleet.Offset       `json:"id"`
	Phase   string             `json:"phase"`
	Note    string             `json:"note,omitempty"`
	Detail  string             `json:"detail,omitempty"`
	Steps   int                `json:"steps"`
	Pending int                `json:"pending"`
	Done    int                `json:"done"`
	Current []fleet.InstanceID `json:"current,omitempty"`
	Failed  []fleet.InstanceID `json:"failed,omitempty"`
	Skipped []fleet.InstanceID `json:"skipped,omitempty"`
}

// Count adds to a counter.
type Count struct {
	Name    Counter
	Service fleet.ServiceName
	Reason  fleet.Reason
	N       int64
}

// Counter names a metric.
type Counter uint8

// Counters.
const (
	RequestsAnswered Counter = iota + 1
	RequestsRefused
	AttemptsRetried
	LateAnswers
)

// Change names a change of state that is worth a log line.
type Change uint8

// Changes of state.
const (
	ChangeText Change = iota + 1
	ChangeReady
	ChangeLogDown
	ChangeLogUp
	ChangeStopping
	ChangeRecordRejected
	ChangeInstance
	ChangeWave
)

// LogChange writes a log line for a change of state.
type LogChange struct {
	Change Change
	// Instance is what a ChangeInstance is about.
	Instance fleet.InstanceID
	Version  fleet.Version
	Record   fleet.RecordID
	Detail   string
}

// CommandInstance orders something from the platform's worker control. The
// driver checks Deadline just before it sends, so that a paused process sends
// nothing stale.
type CommandInstance struct {
	// ID makes the command idempotent: the same at every entry.
	ID       string
	Instance fleet.InstanceID
	Epoch    fleet.Offset
	Purpose  control.Purpose
	Deadline time.Time
}

// CheckInstance asks an endpoint that comes back for its health.
type CheckInstance struct {
	Instance fleet.InstanceID
	Epoch    fleet.Offset
	Address  string
}

// SendPeer sends a message to another entry. It may be lost.
type SendPeer struct {
	To      fleet.EntryID
	Address string
	Message message.Message
}

// SetReady sets the entry's readiness, as the balancer sees it.
type SetReady struct{ Ready bool }

// SetTimer asks for a TimerFired event at a time. A later one replaces it.
type SetTimer struct{ At time.Time }

// Stopped reports that a graceful shutdown has nothing left in flight.
type Stopped struct{}

func (Dispatch) isEffect()        {}
func (CancelAttempt) isEffect()   {}
func (Answer) isEffect()          {}
func (Refuse) isEffect()          {}
func (Append) isEffect()          {}
func (Read) isEffect()            {}
func (Reply) isEffect()           {}
func (ReplyStatus) isEffect()     {}
func (Count) isEffect()           {}
func (LogChange) isEffect()       {}
func (CommandInstance) isEffect() {}
func (CheckInstance) isEffect()   {}
func (SendPeer) isEffect()        {}
func (SetReady) isEffect()        {}
func (SetTimer) isEffect()        {}
func (Stopped) isEffect()         {}

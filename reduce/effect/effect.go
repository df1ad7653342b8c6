// Package effect defines the outputs of the reducer. An effect is plain data
// that tells a driver what to do; drivers do it and report back by events.
package effect

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/claims"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/measure"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
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

// Probe asks an endpoint whether it is well.
type Probe struct {
	Instance fleet.InstanceID
	Address  string
}

// Answer hands the answer of an attempt to the caller, and counts it for its
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
	// RetryAfter is when a retry may succeed; zero means no hint.
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

// AppendClaims appends a group to the claims stream. Answers that its items
// refer to are added from what KeepAnswer kept.
type AppendClaims struct{ Group claims.Group }

// ReadClaims starts reading the claims stream from an offset on.
type ReadClaims struct{ From fleet.Offset }

// KeepAnswer keeps the answer of an attempt as the outcome of a claim.
type KeepAnswer struct {
	Attempt fleet.AttemptID
	Claim   claims.Ref
}

// FetchAnswer gives a request the answer of a claim, which was recorded at an
// offset of the claims stream.
type FetchAnswer struct {
	Request  fleet.RequestID
	Claim    claims.Ref
	Offset   fleet.Offset
	Deadline time.Time
}

// SetClaims tells whether the entry takes non-idempotent requests.
type SetClaims struct{ Open bool }

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

// ReplyText answers a question for the services text in force.
type ReplyText struct {
	ID      uint64
	Version fleet.Version
	// Text is nil when no text is in force.
	Text *fleet.Text
}

// ReplyForecast answers a question for a forecast.
type ReplyForecast struct {
	ID       uint64
	Forecast Forecast
}

// Forecast says what the loss of a failure domain would do.
type Forecast struct {
	Domain rehearsal.Domain `json:"domain"`
	// Instances is the number in the domain.
	Instances int                 `json:"instances"`
	Services  []rehearsal.Service `json:"services"`
}

// RehearsalStatus is one rehearsal.
type RehearsalStatus struct {
	ID     fleet.Offset     `json:"id"`
	Domain rehearsal.Domain `json:"domain"`
	Note   string           `json:"note,omitempty"`
	Forced bool             `json:"forced,omitempty"`
	// Phase is running or ended, and Reason says why it ended.
	Phase     string              `json:"phase"`
	Reason    string              `json:"reason,omitempty"`
	Detail    string              `json:"detail,omitempty"`
	Started   time.Time           `json:"started"`
	Ended     time.Time           `json:"ended,omitzero"`
	Duration  time.Duration       `json:"duration"`
	Instances []fleet.InstanceID  `json:"instances"`
	Forecast  []rehearsal.Service `json:"forecast"`
	// Watched is how much of the rehearsal Observed is about.
	Watched  time.Duration        `json:"watched"`
	Observed []rehearsal.Observed `json:"observed"`
}

// Status is a summary of an entry's state.
type Status struct {
	Entry    fleet.EntryID `json:"entry"`
	Ready    bool          `json:"ready"`
	Stopping bool          `json:"stopping"`
	// Gap is set while records that the entry needs have expired in the log.
	Gap bool `json:"gap"`
	// LogDown is set while the log cannot be read.
	LogDown  bool            `json:"log_down"`
	Version  fleet.Version   `json:"version"`
	Offset   fleet.Offset    `json:"offset"`
	Requests int             `json:"requests"`
	Queued   int             `json:"queued"`
	Running  int             `json:"running"`
	Peers    []fleet.EntryID `json:"peers"`
	// Versions holds the version in force at each entry alive, as last heard.
	Versions   map[fleet.EntryID]fleet.Version `json:"versions"`
	Instances  []InstanceStatus                `json:"instances"`
	Waves      []WaveStatus                    `json:"waves"`
	Services   []ServiceStatus                 `json:"services"`
	Measures   Measures                        `json:"measures"`
	Rehearsals []RehearsalStatus               `json:"rehearsals"`
	Totals     map[string]uint64               `json:"totals"`
	Pools      map[fleet.PoolName]int          `json:"pools"`
	Claims     ClaimStatus                     `json:"claims"`
	// Holds lists the pools whose slots this entry grants.
	Holds []fleet.PoolName `json:"holds,omitempty"`
}

// ClaimStatus is what an entry holds of the claims stream.
type ClaimStatus struct {
	// Open tells whether non-idempotent requests are taken.
	Open bool `json:"open"`
	// Offset is that of the last group folded.
	Offset fleet.Offset `json:"offset"`
	// Keys is the number of keys remembered.
	Keys int `json:"keys"`
	// Held is the number of claims of this entry without an outcome.
	Held int `json:"held"`
	// Groups is the number of groups that have not been read back.
	Groups int `json:"groups"`
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
	Started time.Time          `json:"started,omitzero"`
	Ended   time.Time          `json:"ended,omitzero"`
	Steps   int                `json:"steps"`
	Pending int                `json:"pending"`
	Done    int                `json:"done"`
	Current []fleet.InstanceID `json:"current,omitempty"`
	Failed  []fleet.InstanceID `json:"failed,omitempty"`
	Skipped []fleet.InstanceID `json:"skipped,omitempty"`
}

// ServiceStatus is the demand and the budget of one service, over all entries.
type ServiceStatus struct {
	Name fleet.ServiceName `json:"name"`
	Pool fleet.PoolName    `json:"pool"`
	// Demand is in slots. Observed is set when it was not only declared.
	Demand   float64 `json:"demand"`
	Observed bool    `json:"observed"`
	Answered uint64  `json:"answered"`
	Failed   uint64  `json:"failed"`
	// Burn and BurnShort are how fast the long and the short window burn the
	// budget: 1 is the rate that just spends it.
	Burn      float64 `json:"burn"`
	BurnShort float64 `json:"burn_short"`
	// Burnt is the share spent of what the budget allows for the requests since
	// the entries started.
	Burnt float64 `json:"burnt"`
}

// Measures are what the fleet costs its users.
type Measures struct {
	Buffer   measure.Buffer   `json:"buffer"`
	RollOuts measure.RollOuts `json:"roll_outs"`
	// Moves counts moves between pools since the first record.
	Moves uint64 `json:"moves"`
}

// Gauge sets a metric to a value.
type Gauge struct {
	Name    GaugeName
	Service fleet.ServiceName
	Value   float64
}

// GaugeName names a metric that is set.
type GaugeName uint8

// Gauges.
const (
	// BufferInstances is the number of idle instances, and BufferCost their
	// price over time.
	BufferInstances GaugeName = iota + 1
	BufferCost
	// RollOutSeconds is how long the last version took to be in force everywhere.
	RollOutSeconds
	// WaveSeconds is how long the last wave took.
	WaveSeconds
	// Moves is the number of moves between pools.
	Moves
	// ServiceDemand is in slots.
	ServiceDemand
	// BudgetBurnt is the share of the budget spent, and BudgetBurnRate how fast
	// it burns.
	BudgetBurnt
	BudgetBurnRate
)

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
	ClaimsMade
	ClaimsReleased
	ClaimsInDoubt
	AnswersReplayed
	// DigestMismatches counts peers whose fold of the same records differs.
	DigestMismatches
	// RecordsRelayed counts records that came from a peer before the log.
	RecordsRelayed
	// StalePeerMessages counts messages of earlier incarnations and messages
	// that were overtaken.
	StalePeerMessages
	// HoldersChanged counts changes of the holder of a pool.
	HoldersChanged
	// HolderFallbacks counts pools whose holder did not answer in time.
	HolderFallbacks
	// SlotsLeased counts slots granted to other entries.
	SlotsLeased
	// LeasesReclaimed counts leases of other entries that were lost.
	LeasesReclaimed
	// GrantsReturned counts grants that could not be used.
	GrantsReturned
	InstancesEjected
	// MovesProposed counts moves that this entry planned.
	MovesProposed
	// InstancesMoved counts moves that took effect, as this entry folded them.
	InstancesMoved
	// DrainsOverdue counts drains that took longer than the text's limit.
	DrainsOverdue
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
	ChangeIsolated
	ChangeWave
	ChangeRehearsal
	ChangeClaimsOpen
	ChangeClaimsClosed
	ChangeDigestMismatch
	ChangePeerSuspect
	ChangePeerDead
	// ChangeGap means that records the fold needs have expired in the log.
	ChangeGap
	// ChangeSnapshot means that the state was taken from a snapshot.
	ChangeSnapshot
	ChangeHealth
	ChangeDrainOverdue
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
	// Sequence numbers the messages to this peer; the driver keeps their order.
	Sequence uint64
	Message  message.Message
}

// KeepPeers closes the connections to all other addresses.
type KeepPeers struct{ Addresses []string }

// RefreshList reads the platform's list at once.
type RefreshList struct{}

// SetReady sets the entry's readiness, as the balancer sees it.
type SetReady struct{ Ready bool }

// SetTimer asks for a TimerFired event at a time. A later one replaces it.
type SetTimer struct{ At time.Time }

// Stopped reports that a graceful shutdown has nothing left in flight.
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

package effect

import (
	"github.com/banyanrail/banyanrail/fleet"
)

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

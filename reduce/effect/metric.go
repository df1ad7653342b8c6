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
	// RollOutSeconds is how long the last version took to come into force at all
	// entries.
	RollOutSeconds
	// WaveSeconds is how long the last wave took.
	WaveSeconds
	// Moves is the number of moves between pools.
	Moves
	// ServiceDemand is the demand for a service, in slots.
	ServiceDemand
	// BudgetBurnt is the share of a service's availability budget that is spent,
	// and BudgetBurnRate the rate at which it is being spent.
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
	// RecordsRelayed counts records that were received from a peer before they
	// were read from the log.
	RecordsRelayed
	// StalePeerMessages counts messages of earlier incarnations and messages
	// that arrived after later ones.
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
	// InstancesMoved counts moves that took effect in this entry's fold.
	InstancesMoved
	// DrainsOverdue counts drains that exceeded the DrainLimit of the text.
	DrainsOverdue
)

// Change names a change of state that is logged.
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
	// ChangeGap means that records that the fold lacks have expired in the log.
	ChangeGap
	// ChangeSnapshot means that the state was loaded from a snapshot.
	ChangeSnapshot
	ChangeHealth
	ChangeDrainOverdue
)

// LogChange writes a log line for a change of state.
type LogChange struct {
	Change Change
	// Instance is the instance that changed, with ChangeInstance.
	Instance fleet.InstanceID
	Version  fleet.Version
	Record   fleet.RecordID
	Detail   string
}

// Package endings decides what evidence about a runner that does not answer proves: that the
// incarnation its owner knows has ended, or that its id is retired.
package endings

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
)

// Proof is what evidence proves of a runner. A higher one includes the lower ones.
type Proof uint8

const (
	// ProofNone means that the runner may still run what it ran.
	ProofNone Proof = iota
	// ProofEnded means that its known incarnation has ended. A later one may start under the
	// same id and carry out calls that had no answer.
	ProofEnded
	// ProofRetired means that no process has its id, and none will have it again.
	ProofRetired
)

// Kind is a kind of evidence.
type Kind uint8

const (
	// None stands for no evidence.
	None Kind = iota
	// InstanceDown means that the platform lists the instance of the runner as down.
	InstanceDown
	// InstanceMissing means that consecutive complete lists do not contain the instance.
	InstanceMissing
	// InstanceOrdered means that the platform lists the instance as being moved or maintained,
	// which ends its runner.
	InstanceOrdered
	// OtherRunner means that consecutive lists have another runner on the instance.
	OtherRunner
)

// Proves returns what a kind of evidence proves.
func (k Kind) Proves() Proof {
	switch k {
	case InstanceDown:
		return ProofEnded
	case InstanceMissing, InstanceOrdered, OtherRunner:
		return ProofRetired
	default:
		return ProofNone
	}
}

// Evidence shows that a runner has ended.
type Evidence struct {
	Kind Kind
	// ShownAt is when the list that shows it was requested. The runner had ended by the time of
	// the answer.
	ShownAt time.Time
}

// Listing is the part of the lists of instances that concerns the instance of a runner.
type Listing struct {
	// MissingSince is when the first of the lists without the instance was requested; zero if
	// too few lists were read to show that it was removed.
	MissingSince time.Time
	// RequestedAt is when the list with the fields below was requested; zero if there is none.
	RequestedAt time.Time
	State       fleet.InstanceState
	// Runner is the runner on the instance; empty if the list has none. RunnerSince is when the
	// first of the consecutive lists with that runner was requested.
	Runner      fleet.RunnerID
	RunnerSince time.Time
}

// Of returns the evidence in a listing that a runner has ended, if it last answered at a time.
// Lists that were requested before that answer are no evidence.
func Of(runner fleet.RunnerID, l *Listing, answeredAt time.Time) Evidence {
	switch {
	case l.MissingSince.After(answeredAt):
		return Evidence{Kind: InstanceMissing, ShownAt: l.MissingSince}
	case !l.RequestedAt.After(answeredAt):
		return Evidence{}
	}
	e := Evidence{ShownAt: l.RequestedAt}
	switch {
	case l.Runner != "" && l.Runner != runner:
		if !l.RunnerSince.After(answeredAt) || !l.RunnerSince.Before(l.RequestedAt) {
			return Evidence{}
		}
		e = Evidence{Kind: OtherRunner, ShownAt: l.RunnerSince}
	case l.State == fleet.InstanceMoving || l.State == fleet.InstanceMaintenance:
		e.Kind = InstanceOrdered
	case l.State == fleet.InstanceDown:
		e.Kind = InstanceDown
	default:
		return Evidence{}
	}
	return e
}

// Record is the strongest evidence that is known of a runner.
type Record struct{ Evidence }

// Note adds evidence, and reports whether it proves more than what was known.
func (r *Record) Note(e Evidence) bool {
	if e.Kind.Proves() <= r.Kind.Proves() {
		return false
	}
	r.Evidence = e
	return true
}

// Ended reports whether the known incarnation of the runner has ended.
func (r *Record) Ended() bool { return r.Kind.Proves() >= ProofEnded }

// Retired reports whether no process has or will have the id of the runner.
func (r *Record) Retired() bool { return r.Kind.Proves() == ProofRetired }

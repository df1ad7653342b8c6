// Package drains holds an entry's state about instances under maintenance that
// does not come from the control stream: acknowledgements of other entries,
// outcomes of commands and health checks, and how long each step has been due.
// All of it is soft state, which a restarted entry rebuilds.
package drains

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// StepInterval is the time between checks for steps that are due.
	StepInterval = 250 * time.Millisecond
	// ProposeStagger is the additional delay per rank before an entry proposes a
	// step that is due.
	ProposeStagger = time.Second
	// ProposeRetry is the time after which a proposal that has not been read
	// back is repeated.
	ProposeRetry = 2 * time.Second
	// CommandRetry is the time between commands with the same id.
	CommandRetry = time.Second
	// CheckInterval is the time between health checks of an instance that was
	// rebooted or is on probation.
	CheckInterval = 500 * time.Millisecond
	// ActingEntries is the number of entries that send commands and health
	// checks for an instance: those of the lowest ranks.
	ActingEntries = 2
	// AckInterval is the time between acknowledgements of the same drains.
	AckInterval = 500 * time.Millisecond
	// PauseLimit is the time between two events after which the process counts
	// as paused and its fold as out of date. Heartbeats keep the time between
	// events shorter.
	PauseLimit = 2 * time.Second
	// LogReadTimeout is the time without a successful read of the log after
	// which an entry that hears from none of its peers becomes unready, so that
	// the load balancer removes it. A read that finds nothing new returns sooner.
	LogReadTimeout = 8 * time.Second
	// IsolationLimit is how long an entry that receives nothing from the log and
	// nothing from peers may still accept new requests. Other entries assume that
	// an entry that has been silent for longer accepts none.
	IsolationLimit = 10 * time.Second
	// RebootTimeout is the time after which a drained instance fails if the
	// platform has not finished its reboot.
	RebootTimeout = 15 * time.Minute
	// ChecksToPass is the number of consecutive successful health checks that
	// are required to leave probation, or to enter it after a reboot.
	ChecksToPass = 2
	// ChecksToFail is the number of consecutive failed health checks after which
	// an instance counts as broken.
	ChecksToFail = 6
	// RequestsToFail is the number of failed requests, with none answered,
	// after which an instance on probation counts as broken.
	RequestsToFail = 3
)

// Instance is what is known about one instance at an epoch.
type Instance struct {
	Epoch fleet.Offset
	// Since is when this entry folded the epoch.
	Since time.Time
	// ProposedAt, CommandedAt and CheckedAt are when this entry last proposed a
	// step, sent a command and sent a health check.
	ProposedAt, CommandedAt, CheckedAt time.Time
	// Overdue is set once the drain has been reported as overdue.
	Overdue bool
	// CommandDone is set once the platform has carried out the command.
	CommandDone bool
	// DueSince is when the next step became due; zero while no step is due.
	DueSince time.Time
	// ChecksPassed and ChecksFailed count consecutive health checks with the same
	// result.
	ChecksPassed, ChecksFailed int
	// RequestsAnswered and RequestsFailed count requests since Since.
	RequestsAnswered, RequestsFailed int

	acks map[fleet.EntryID]ack
}

type ack struct {
	epoch       fleet.Offset
	incarnation uint64
}

// Wave is what is known about one wave.
type Wave struct {
	// Epoch is the epoch of the wave that the next step is based on.
	Epoch fleet.Offset
	// DueSince is when the next step became due.
	DueSince time.Time
	// ProposedAt is when this entry last proposed the step.
	ProposedAt time.Time
}

// State holds what is known about all instances and waves.
type State struct {
	// Tick is the timer of the next check for steps that are due.
	Tick timer.Timer
	// CaughtUp is set when the fold has reached the end of the log, and cleared
	// when the log can't be read or the process was paused.
	CaughtUp bool
	// ListedSince is when this entry first appeared in the platform's list of
	// entries; zero before.
	ListedSince time.Time
	// AcksSentAt is when this entry last sent acknowledgements.
	AcksSentAt time.Time

	instances map[fleet.InstanceID]*Instance
	waves     map[fleet.Offset]*Wave
	// leaving holds the instances that the platform lists as leaving.
	leaving map[fleet.InstanceID]bool
	// reported holds the epochs of drains that other entries reported and this
	// entry has not folded yet.
	reported map[fleet.InstanceID]fleet.Offset
	// closed holds the instances that this entry has closed to new requests.
	closed map[fleet.InstanceID]bool
}

// New returns an empty state.
func New() *State {
	return &State{
		instances: make(map[fleet.InstanceID]*Instance),
		waves:     make(map[fleet.Offset]*Wave),
		leaving:   make(map[fleet.InstanceID]bool),
		reported:  make(map[fleet.InstanceID]fleet.Offset),
		closed:    make(map[fleet.InstanceID]bool),
	}
}

// InstanceAt returns what is known about an instance at an epoch. If the epoch
// is new it starts from an empty value, but keeps the acknowledgements: some may
// have arrived before this entry folded the epoch.
func (s *State) InstanceAt(id fleet.InstanceID, epoch fleet.Offset, now time.Time) *Instance {
	it, ok := s.instances[id]
	if ok && it.Epoch == epoch {
		return it
	}
	next := &Instance{Epoch: epoch, Since: now, acks: make(map[fleet.EntryID]ack)}
	if ok {
		next.acks = it.acks
	}
	s.instances[id] = next
	return next
}

// Forget drops what is known about an instance that is in service again.
func (s *State) Forget(id fleet.InstanceID) { delete(s.instances, id) }

// RecordAck records that an entry has no requests in flight on an instance at an
// epoch.
func (s *State) RecordAck(id fleet.InstanceID, from fleet.EntryID, incarnation uint64, epoch fleet.Offset) {
	it, ok := s.instances[id]
	if !ok {
		it = &Instance{acks: make(map[fleet.EntryID]ack)}
		s.instances[id] = it
	}
	it.acks[from] = ack{epoch: epoch, incarnation: incarnation}
}

// HasAck reports whether the given incarnation of an entry has acknowledged the
// instance's epoch.
func (it *Instance) HasAck(from fleet.EntryID, incarnation uint64) bool {
	a, ok := it.acks[from]
	return ok && a.epoch == it.Epoch && a.incarnation == incarnation
}

// UpdateDue records whether the next step is due and returns how long it has
// been due; false if it is not.
func (it *Instance) UpdateDue(due bool, now time.Time) (time.Duration, bool) {
	if !due {
		it.DueSince = time.Time{}
		return 0, false
	}
	if it.DueSince.IsZero() {
		it.DueSince = now
	}
	return now.Sub(it.DueSince), true
}

// IsBroken reports whether the instance has failed too many health checks or
// requests since its reboot or in its probation.
func (it *Instance) IsBroken() bool {
	return it.ChecksFailed >= ChecksToFail || (it.RequestsFailed >= RequestsToFail && it.RequestsAnswered == 0)
}

// Wave returns what is known about a wave at an epoch. The wave's next step is
// due from the first call for the epoch.
func (s *State) Wave(id, epoch fleet.Offset, now time.Time) *Wave {
	w, ok := s.waves[id]
	if !ok || w.Epoch != epoch {
		w = &Wave{Epoch: epoch, DueSince: now}
		s.waves[id] = w
	}
	return w
}

// ForgetWave drops what is known about a wave that has no step due.
func (s *State) ForgetWave(id fleet.Offset) { delete(s.waves, id) }

// RetainWaves drops what is known about all waves but the active ones.
func (s *State) RetainWaves(active map[fleet.Offset]bool) {
	for id := range s.waves {
		if !active[id] {
			delete(s.waves, id)
		}
	}
}

// UpdateLeaving replaces the set of instances that the platform lists as leaving
// and returns those that were added or removed, in order.
func (s *State) UpdateLeaving(leaving []fleet.InstanceID) []fleet.InstanceID {
	next := make(map[fleet.InstanceID]bool, len(leaving))
	var changed []fleet.InstanceID
	for _, id := range leaving {
		next[id] = true
		if !s.leaving[id] {
			changed = append(changed, id)
		}
	}
	for id := range s.leaving {
		if !next[id] {
			changed = append(changed, id)
		}
	}
	s.leaving = next
	slices.Sort(changed)
	return changed
}

// ReportDrain records a drain that another entry reported.
func (s *State) ReportDrain(id fleet.InstanceID, epoch fleet.Offset) {
	s.reported[id] = max(s.reported[id], epoch)
}

// IsLeaving reports whether an instance takes no new requests because the
// platform lists it as leaving, or because another entry reported a drain with
// an epoch after folded, the last offset that this entry has folded.
func (s *State) IsLeaving(id fleet.InstanceID, folded fleet.Offset) bool {
	if s.leaving[id] {
		return true
	}
	epoch, ok := s.reported[id]
	if ok && epoch <= folded {
		delete(s.reported, id)
		return false
	}
	return ok
}

// ReportedEpoch returns the epoch of the drain of an instance that other entries
// reported.
func (s *State) ReportedEpoch(id fleet.InstanceID) (fleet.Offset, bool) {
	epoch, ok := s.reported[id]
	return epoch, ok
}

// ReportedDrains returns the instances with drains that other entries reported
// and this entry has not folded yet, in order.
func (s *State) ReportedDrains() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(s.reported))
}

// Closed returns the instances that this entry has closed to new requests, in
// order.
func (s *State) Closed() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(s.closed))
}

// SetClosed records whether this entry has closed an instance to new requests,
// and reports whether that is a change.
func (s *State) SetClosed(id fleet.InstanceID, closed bool) bool {
	if s.closed[id] == closed {
		return false
	}
	if closed {
		s.closed[id] = true
	} else {
		delete(s.closed, id)
	}
	return true
}

// Package drains keeps what an entry has learnt about instances under
// maintenance besides the control stream: acknowledgements of other entries,
// outcomes of commands and health checks, and how long each step has been due.
// All of it is soft: an entry that starts anew learns it again.
package drains

import (
	"maps"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// StepInterval is the time between looks at what is due next.
	StepInterval = 250 * time.Millisecond
	// ProposeStagger is how much longer each lower-ranked entry waits before
	// it proposes a step that is due.
	ProposeStagger = time.Second
	// ProposeRetry is the time after which a proposal that has not been read
	// back is made again.
	ProposeRetry = 2 * time.Second
	// CommandRetry is the time between commands with the same id.
	CommandRetry = time.Second
	// CheckInterval is the time between health checks on probation.
	CheckInterval = 500 * time.Millisecond
	// ActingEntries is the number of entries, by rank, that command and check an
	// instance.
	ActingEntries = 2
	// AckInterval is the time between acknowledgements of the same drains.
	AckInterval = 500 * time.Millisecond
	// PauseLimit is the time between two events after which the process counts
	// as paused and its fold as old. Heartbeats keep events closer together.
	PauseLimit = 2 * time.Second
	// LogReadTimeout is the time without a read of the log after which an entry
	// that hears no peer either leaves the balancer. A read that finds nothing
	// new returns earlier than that.
	LogReadTimeout = 8 * time.Second
	// IsolationLimit is how long an entry that hears neither log nor peers may
	// still take new work that others don't know of.
	IsolationLimit = 10 * time.Second
	// RebootTimeout is how long a rebooted instance may stay away.
	RebootTimeout = 15 * time.Minute
	// ChecksToPass is the number of health checks in a row that probation asks
	// for.
	ChecksToPass = 2
	// ChecksToFail is the number of failed checks in a row that end probation.
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
	// ProposedAt, CommandedAt and CheckedAt tell when this entry last did so.
	ProposedAt, CommandedAt, CheckedAt time.Time
	// Overdue is set once a drain was reported to take too long.
	Overdue bool
	// CommandDone is set once the platform has carried out the command.
	CommandDone bool
	// DueSince is when the next step became due; zero while it isn't.
	DueSince time.Time
	// ChecksPassed and ChecksFailed count health checks in a row.
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
	// Epoch is the wave's epoch that the next step follows.
	Epoch      fleet.Offset
	DueSince   time.Time
	ProposedAt time.Time
}

// State holds what is known about all instances and waves.
type State struct {
	// Tick is the timer of the next look at what is due.
	Tick timer.Timer
	// CaughtUp is set once the fold has reached the end of the log, and cleared
	// when the log can't be read or the process was paused.
	CaughtUp bool
	// ListedSince is when the platform's list first showed this entry; zero before.
	ListedSince time.Time
	// AcksSentAt is when acknowledgements were last sent.
	AcksSentAt time.Time

	instances map[fleet.InstanceID]*Instance
	waves     map[fleet.Offset]*Wave
	// listed holds the instances that the platform's list shows as leaving.
	listed map[fleet.InstanceID]bool
	// told holds the drains that other entries know of and this one has not
	// folded yet.
	told map[fleet.InstanceID]fleet.Offset
	// closed holds the instances that this package had closed.
	closed map[fleet.InstanceID]bool
}

// New returns an empty state.
func New() *State {
	return &State{
		instances: make(map[fleet.InstanceID]*Instance),
		waves:     make(map[fleet.Offset]*Wave),
		listed:    make(map[fleet.InstanceID]bool),
		told:      make(map[fleet.InstanceID]fleet.Offset),
		closed:    make(map[fleet.InstanceID]bool),
	}
}

// InstanceAt returns what is known about an instance at an epoch, and starts anew when
// the epoch has moved on. Acknowledgements that came early are kept.
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

// RecordAck notes that an entry has nothing in flight on an instance at an epoch.
func (s *State) RecordAck(id fleet.InstanceID, from fleet.EntryID, incarnation uint64, epoch fleet.Offset) {
	it, ok := s.instances[id]
	if !ok {
		it = &Instance{acks: make(map[fleet.EntryID]ack)}
		s.instances[id] = it
	}
	it.acks[from] = ack{epoch: epoch, incarnation: incarnation}
}

// HasAck reports whether an entry has acknowledged the instance's epoch in its
// present incarnation.
func (it *Instance) HasAck(from fleet.EntryID, incarnation uint64) bool {
	a, ok := it.acks[from]
	return ok && a.epoch == it.Epoch && a.incarnation == incarnation
}

// UpdateDue notes whether the next step is due and returns for how long it has been.
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

// IsBroken reports whether the instance failed its probation.
func (it *Instance) IsBroken() bool {
	return it.ChecksFailed >= ChecksToFail || (it.RequestsFailed >= RequestsToFail && it.RequestsAnswered == 0)
}

// Wave returns what is known about a wave at an epoch. Its next step counts as
// due from the first call on.
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

// RetainWaves drops what is known about waves that have ended.
func (s *State) RetainWaves(active map[fleet.Offset]bool) {
	for id := range s.waves {
		if !active[id] {
			delete(s.waves, id)
		}
	}
}

// UpdateLeaving follows the platform's list of leaving instances and returns those that
// are new or no longer on it.
func (s *State) UpdateLeaving(leaving []fleet.InstanceID) []fleet.InstanceID {
	next := make(map[fleet.InstanceID]bool, len(leaving))
	var changed []fleet.InstanceID
	for _, id := range leaving {
		next[id] = true
		if !s.listed[id] {
			changed = append(changed, id)
		}
	}
	for id := range s.listed {
		if !next[id] {
			changed = append(changed, id)
		}
	}
	s.listed = next
	slices.Sort(changed)
	return changed
}

// ReportDrain notes a drain that another entry knows of.
func (s *State) ReportDrain(id fleet.InstanceID, epoch fleet.Offset) {
	s.told[id] = max(s.told[id], epoch)
}

// IsLeaving reports whether the list or another entry, ahead of the own fold,
// says that an instance takes no new work.
func (s *State) IsLeaving(id fleet.InstanceID, folded fleet.Offset) bool {
	if s.listed[id] {
		return true
	}
	epoch, ok := s.told[id]
	if ok && epoch <= folded {
		delete(s.told, id)
		return false
	}
	return ok
}

// ReportedEpoch returns the epoch at which other entries drain an instance.
func (s *State) ReportedEpoch(id fleet.InstanceID) (fleet.Offset, bool) {
	epoch, ok := s.told[id]
	return epoch, ok
}

// ReportedDrains returns the instances that other entries spoke of ahead of the own fold.
func (s *State) ReportedDrains() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(s.told))
}

// Closed returns the instances that are closed here, in order.
func (s *State) Closed() []fleet.InstanceID {
	return slices.Sorted(maps.Keys(s.closed))
}

// SetClosed notes whether an instance is closed here and reports whether that
// is a change.
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

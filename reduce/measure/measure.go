// Package measure accumulates what a fleet costs its users: capacity held idle,
// and the time until changes are in force. It counts from the start of an
// entry.
package measure

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

const (
	// maxPending caps the number of versions that are tracked until they are in
	// force everywhere.
	maxPending = 64
	// maxGap caps the time between two samples that is counted. In a longer
	// gap, the number of idle instances is unknown.
	maxGap = time.Minute
)

// Buffer is the capacity held idle.
type Buffer struct {
	// Idle is the number of instances beyond those that carry the demand,
	// including spares.
	Idle int `json:"idle_instances"`
	// InstanceHours is the number of idle instances integrated over time, and
	// Cost is its price.
	InstanceHours float64 `json:"instance_hours"`
	Cost          float64 `json:"cost"`
}

// RollOuts summarises how long versions of the services text took from their
// record in the log until all live entries had them in force.
type RollOuts struct {
	Count   int           `json:"count"`
	Last    time.Duration `json:"last_ns"`
	Longest time.Duration `json:"longest_ns"`
	// Pending is the number of versions that are not in force everywhere yet.
	Pending int `json:"pending"`
}

// State holds the accumulated measures.
type State struct {
	buffer    Buffer
	sampledAt time.Time
	rollOuts  RollOuts
	pending   []pending
}

type pending struct {
	version fleet.Version
	since   time.Time
}

// SampleIdle counts the idle instances. The previous count applies to the time
// since the previous sample.
func (s *State) SampleIdle(now time.Time, needs []planner.Need, prices fleet.Prices) {
	if !s.sampledAt.IsZero() {
		hours := min(now.Sub(s.sampledAt), maxGap).Hours()
		s.buffer.InstanceHours += float64(s.buffer.Idle) * hours
		s.buffer.Cost += float64(s.buffer.Idle) * hours * prices.Buffer
	}
	s.sampledAt = now
	s.buffer.Idle = 0
	for _, n := range needs {
		s.buffer.Idle += max(0, n.Available-n.Required)
	}
}

// RecordPublished records that a version came into force at this entry.
func (s *State) RecordPublished(v fleet.Version, now time.Time) {
	s.pending = append(s.pending, pending{version: v, since: now})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// RecordInForce ends the roll-outs of all versions up to oldest, the oldest
// version that any live entry has in force.
func (s *State) RecordInForce(oldest fleet.Version, now time.Time) {
	for len(s.pending) > 0 && s.pending[0].version <= oldest {
		took := now.Sub(s.pending[0].since)
		s.rollOuts.Count++
		s.rollOuts.Last = took
		s.rollOuts.Longest = max(s.rollOuts.Longest, took)
		s.pending = s.pending[1:]
	}
}

// Buffer returns the capacity held idle.
func (s *State) Buffer() Buffer { return s.buffer }

// RollOuts returns the summary of the roll-outs.
func (s *State) RollOuts() RollOuts {
	r := s.rollOuts
	r.Pending = len(s.pending)
	return r
}

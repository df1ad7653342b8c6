// Package measure adds up what a fleet costs its users: capacity held idle, and
// how long changes take to be in force. It counts from the start of an entry.
package measure

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

const (
	// maxPending bounds the versions that are not yet in force everywhere.
	maxPending = 64
	// maxGap bounds the time between two looks at the fleet that counts: for a
	// longer one nobody knows how many instances were idle.
	maxGap = time.Minute
)

// Buffer is the capacity held idle.
type Buffer struct {
	// Idle instances are above what carries the demand, spares included.
	Idle int `json:"idle_instances"`
	// InstanceHours is their number over time, and Cost its price.
	InstanceHours float64 `json:"instance_hours"`
	Cost          float64 `json:"cost"`
}

// RollOuts tells how long versions of the services text took from their record
// until all entries alive had them in force.
type RollOuts struct {
	Count   int           `json:"count"`
	Last    time.Duration `json:"last_ns"`
	Longest time.Duration `json:"longest_ns"`
	// Pending versions are not in force everywhere yet.
	Pending int `json:"pending"`
}

// State holds the measures.
type State struct {
	buffer   Buffer
	looked   time.Time
	rollOuts RollOuts
	pending  []pending
}

type pending struct {
	version fleet.Version
	since   time.Time
}

// SampleIdle counts the idle instances of now for the time since the last look.
func (s *State) SampleIdle(now time.Time, needs []planner.Need, prices fleet.Prices) {
	if !s.looked.IsZero() {
		hours := min(now.Sub(s.looked), maxGap).Hours()
		s.buffer.InstanceHours += float64(s.buffer.Idle) * hours
		s.buffer.Cost += float64(s.buffer.Idle) * hours * prices.Buffer
	}
	s.looked = now
	s.buffer.Idle = 0
	for _, n := range needs {
		s.buffer.Idle += max(0, n.Available-n.Required)
	}
}

// RecordPublished notes that a version came into force here.
func (s *State) RecordPublished(v fleet.Version, now time.Time) {
	s.pending = append(s.pending, pending{version: v, since: now})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// RecordInForce notes the oldest version that any entry alive has in force.
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

// RollOuts returns how long versions took.
func (s *State) RollOuts() RollOuts {
	r := s.rollOuts
	r.Pending = len(s.pending)
	return r
}

// Package relay holds recent records of the control stream for other entries, so
// that an entry that cannot read the log can still follow it through its peers.
package relay

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

const (
	// maxRecords is the number of records kept for peers.
	maxRecords = 512
	// maxWeight bounds the memory of these records, in instances listed in their
	// texts and deltas. The newest record is kept whatever its weight.
	maxWeight = 40_000
	// MaxPage is the largest number of records in one message.
	MaxPage = 16
	// maxLogLag is how long a peer may be ahead of what this entry read from the
	// log before records are requested from peers although the log can be read.
	maxLogLag = 500 * time.Millisecond
	// requestTimeout is how long one peer may take to answer a request for
	// records.
	requestTimeout = time.Second
)

// State holds the newest records and the last request to a peer.
type State struct {
	// base is the offset of the record folded just before the first of records.
	base    fleet.Offset
	records []control.Positioned
	// weight is the sum of the weights of records.
	weight int

	// behindSince is when a peer was first found to be ahead; zero while none is
	// known to be.
	behindSince time.Time
	// requestedFrom is the peer that has not answered the last request; empty if
	// it has.
	requestedFrom fleet.EntryID
	requestedAt   time.Time
}

// Add keeps a record that was folded. Records have to be added in the order of
// the log.
func (s *State) Add(p control.Positioned) {
	if p.Offset <= s.Newest() {
		return
	}
	s.records = append(s.records, p)
	s.weight += weight(p)
	for len(s.records) > maxRecords || (s.weight > maxWeight && len(s.records) > 1) {
		s.base = s.records[0].Offset
		s.weight -= weight(s.records[0])
		s.records[0] = control.Positioned{}
		s.records = s.records[1:]
	}
}

// weight returns the number of instances listed in a record.
func weight(p control.Positioned) int {
	publish, ok := p.Record.Body.(control.Publish)
	if !ok {
		return 0
	}
	n := 0
	if publish.Text != nil {
		n += len(publish.Text.Instances)
	}
	if publish.Delta != nil {
		n += len(publish.Delta.Instances) + len(publish.Delta.RemovedInstances)
	}
	return n
}

// Reset drops all records after a snapshot has moved the fold to an offset.
func (s *State) Reset(to fleet.Offset) {
	s.base, s.records, s.weight = to, nil, 0
}

// Newest returns the offset of the newest record kept.
func (s *State) Newest() fleet.Offset {
	if len(s.records) == 0 {
		return s.base
	}
	return s.records[len(s.records)-1].Offset
}

// After returns a page of the records that follow an offset, and the offset
// folded just before the first of them. It returns false if records that follow
// the offset are no longer kept.
func (s *State) After(offset fleet.Offset) (fleet.Offset, []control.Positioned, bool) {
	if offset < s.base {
		return 0, nil, false
	}
	before := s.base
	first := 0
	for first < len(s.records) && s.records[first].Offset <= offset {
		before = s.records[first].Offset
		first++
	}
	return before, page(s.records[first:]), true
}

// page returns a copy of the first records. It ends before a record that this
// entry could not decode: a peer with a newer version of the software may be
// able to decode it, and has to read it from the log.
func page(records []control.Positioned) []control.Positioned {
	var out []control.Positioned
	for _, p := range records {
		_, unreadable := p.Record.Body.(control.Unreadable)
		if unreadable || len(out) == MaxPage {
			break
		}
		out = append(out, p)
	}
	return out
}

// ShouldRequest reports whether to request records from a peer that is ahead,
// and records the request. It returns true if the log is down or has lagged for
// too long, and no earlier request is in flight.
func (s *State) ShouldRequest(from fleet.EntryID, logDown bool, now time.Time) bool {
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if !logDown && now.Sub(s.behindSince) < maxLogLag {
		return false
	}
	if s.requestedFrom != "" && now.Sub(s.requestedAt) < requestTimeout {
		return false
	}
	s.requestedFrom, s.requestedAt = from, now
	return true
}

// MarkCaughtUp records that no peer is known to be ahead.
func (s *State) MarkCaughtUp() { s.behindSince = time.Time{} }

// MarkAnswered records that a peer has answered a request.
func (s *State) MarkAnswered(from fleet.EntryID) {
	if s.requestedFrom == from {
		s.requestedFrom = ""
	}
}

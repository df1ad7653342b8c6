// Package relay passes records of the control stream from entry to entry, so
// that an entry that cannot read the log still follows it.
package relay

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
)

const (
	// maxTail is the number of records kept for peers.
	maxTail = 512
	// maxWeight bounds the memory of these records, in instances that their
	// texts and changes name. The newest record is kept whatever its weight.
	maxWeight = 40_000
	// MaxPage is the number of records in one message.
	MaxPage = 16
	// lagLimit is how long the log may lag behind a peer before peers are
	// asked although the log answers.
	lagLimit = 500 * time.Millisecond
	// askTimeout is how long one peer may take to answer.
	askTimeout = time.Second
)

// State holds the newest records and what was asked of peers.
type State struct {
	// base is the offset folded just before the first record of tail.
	base   fleet.Offset
	tail   []control.Positioned
	weight int

	behindSince time.Time
	asked       fleet.EntryID
	askedAt     time.Time
}

// Add keeps a record that was folded, for peers that lack it. Records come in
// the order of the log.
func (s *State) Add(p control.Positioned) {
	if p.Offset <= s.Newest() {
		return
	}
	s.tail = append(s.tail, p)
	s.weight += weight(p)
	for len(s.tail) > maxTail || (s.weight > maxWeight && len(s.tail) > 1) {
		s.base = s.tail[0].Offset
		s.weight -= weight(s.tail[0])
		s.tail[0] = control.Positioned{}
		s.tail = s.tail[1:]
	}
}

// weight is the number of instances that a record names.
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

// Reset drops all records, when the fold jumps to an offset by a snapshot.
func (s *State) Reset(to fleet.Offset) {
	s.base, s.tail, s.weight = to, nil, 0
}

// Newest returns the offset of the newest record kept.
func (s *State) Newest() fleet.Offset {
	if len(s.tail) == 0 {
		return s.base
	}
	return s.tail[len(s.tail)-1].Offset
}

// After returns a page of the records that follow an offset, and the offset
// folded just before the first of them. It returns false when the first of them
// is no longer kept.
func (s *State) After(offset fleet.Offset) (fleet.Offset, []control.Positioned, bool) {
	if offset < s.base {
		return 0, nil, false
	}
	before := s.base
	first := 0
	for first < len(s.tail) && s.tail[first].Offset <= offset {
		before = s.tail[first].Offset
		first++
	}
	return before, page(s.tail[first:]), true
}

// page copies the first records. It ends before one that this entry could not
// read: a peer of a newer version may be able to, and has to fold it as the log
// has it.
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

// ShouldRequest says whether a peer that is ahead is to be asked for records: when
// the log is down, or when it has lagged for too long, and no other peer is
// about to answer.
func (s *State) ShouldRequest(from fleet.EntryID, logDown bool, now time.Time) bool {
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	if !logDown && now.Sub(s.behindSince) < lagLimit {
		return false
	}
	if s.asked != "" && now.Sub(s.askedAt) < askTimeout {
		return false
	}
	s.asked, s.askedAt = from, now
	return true
}

// MarkCaughtUp notes that no peer is known to be ahead.
func (s *State) MarkCaughtUp() { s.behindSince = time.Time{} }

// MarkAnswered notes that the peer that was asked has answered.
func (s *State) MarkAnswered(from fleet.EntryID) {
	if s.asked == from {
		s.asked = ""
	}
}

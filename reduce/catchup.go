package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// logEnd tells whether the fold of a starting entry has reached the end that
// the log had at the first read. Before that the text may be an old one, and
// instances that it lists may be drained by later records.
type logEnd struct {
	// known is set once a read has told the end of the log, and last is the
	// offset of the last record before it.
	known bool
	last  fleet.Offset
	// reached never goes back.
	reached bool
	// held are the operators' commands that wait for it.
	held []event.OperatorCommanded
}

// noteEnd takes the end of the log from the first read.
func (s *State) noteEnd(ev event.RecordsRead) {
	if !s.logEnd.known {
		s.logEnd.known, s.logEnd.last = true, ev.End-1
	}
}

// updateCatchUp lets commands go on once the fold has caught up.
func (s *State) updateCatchUp() {
	if s.logEnd.reached || !s.isAtEnd() {
		return
	}
	s.logEnd.reached = true
	s.releaseCommands()
}

// isAtEnd reports whether the fold has all records that a starting entry can
// know of. Without the log that is what the peers alive have.
func (s *State) isAtEnd() bool {
	if s.logEnd.known {
		return !s.gap && s.control.Offset >= s.logEnd.last
	}
	if !s.logDown || s.control.Text == nil {
		return false
	}
	for _, p := range s.peers.All() {
		if p.Status == peers.Alive && p.Offset > s.control.Offset {
			return false
		}
	}
	return true
}

// mustHold reports whether operators' commands wait for the fold. Without the
// log there is nothing to wait for: the append fails.
func (s *State) mustHold() bool { return !s.logEnd.reached && !s.gap && !s.logDown }

// holdCommand keeps a command until the fold has caught up or the command's
// time is up.
func (s *State) holdCommand(ev event.OperatorCommanded) {
	s.logEnd.held = append(s.logEnd.held, ev)
	p := &proposal{record: ev.Record.ID, reply: ev.ID, deadline: ev.Deadline, held: true}
	s.proposals[p.record] = p
	s.timers.Set(&p.timer, ev.Deadline.Add(-voidLead), p)
}

// releaseCommands proposes what was held, in order, but for what was replied to.
func (s *State) releaseCommands() {
	held := s.logEnd.held
	s.logEnd.held = nil
	for _, ev := range held {
		p, waits := s.proposals[ev.Record.ID]
		if !waits {
			continue
		}
		s.timers.Clear(&p.timer)
		delete(s.proposals, p.record)
		s.onOperatorCommanded(ev)
	}
}

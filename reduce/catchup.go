package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// catchUp tracks whether the fold of a starting entry has reached the end that
// the log had at the first read. Before that the text may be outdated, and
// later records may drain instances that it lists.
type catchUp struct {
	// endKnown is set once a read has returned the end of the log; endOffset is
	// the offset of the last record before it.
	endKnown  bool
	endOffset fleet.Offset
	// done is set once the fold has caught up, and is never reset.
	done bool
	// heldCommands are the operators' commands that wait for the catch-up.
	heldCommands []event.OperatorCommanded
}

// setCatchUpTarget sets the end of the catch-up to the end that the log had at
// the first read.
func (s *State) setCatchUpTarget(ev event.RecordsRead) {
	if !s.catchUp.endKnown {
		s.catchUp.endKnown, s.catchUp.endOffset = true, ev.End-1
	}
}

// updateCatchUp ends the catch-up and releases the held commands, once the fold
// has reached the end.
func (s *State) updateCatchUp() {
	if s.catchUp.done || !s.isAtEnd() {
		return
	}
	s.catchUp.done = true
	s.releaseCommands()
}

// isAtEnd reports whether the fold of a starting entry has reached the target of
// the catch-up. While the log is down, the target is the newest record of any
// live peer.
func (s *State) isAtEnd() bool {
	if s.catchUp.endKnown {
		return !s.gap && s.control.Offset >= s.catchUp.endOffset
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

// mustHold reports whether operators' commands have to wait for the catch-up.
// While the log is down there is nothing to wait for, because the append fails.
func (s *State) mustHold() bool { return !s.catchUp.done && !s.gap && !s.logDown }

// holdCommand keeps a command until the fold has caught up, or until the
// command has to be refused before its deadline.
func (s *State) holdCommand(ev event.OperatorCommanded) {
	s.catchUp.heldCommands = append(s.catchUp.heldCommands, ev)
	p := &proposal{recordID: ev.Record.ID, replyID: ev.ID, deadline: ev.Deadline, waitsForCatchUp: true}
	s.proposals[p.recordID] = p
	s.timers.Set(&p.timer, ev.Deadline.Add(-voidLead), p)
}

// releaseCommands proposes the held commands in order, except those that were
// replied to.
func (s *State) releaseCommands() {
	held := s.catchUp.heldCommands
	s.catchUp.heldCommands = nil
	for _, ev := range held {
		p, waiting := s.proposals[ev.Record.ID]
		if !waiting {
			continue
		}
		s.timers.Clear(&p.timer)
		delete(s.proposals, p.recordID)
		s.onOperatorCommanded(ev)
	}
}

package reduce

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

const (
	// voidLead is how long before the operator's deadline a record that was not
	// read back is voided, so that its outcome can be certain by the deadline.
	voidLead = 4 * time.Second
	// voidInterval is the time between attempts to append the void.
	voidInterval = time.Second
)

// proposal is an operator's record whose outcome is not known yet.
type proposal struct {
	recordID fleet.RecordID
	replyID  uint64
	deadline time.Time
	timer    timer.Timer
	// waitsForCatchUp is set while the command is held until the fold has
	// caught up.
	waitsForCatchUp bool
}

type proposals map[fleet.RecordID]*proposal

func newProposals() proposals { return make(proposals) }

func (s *State) onOperatorCommanded(ev event.OperatorCommanded) {
	if s.gap {
		s.emit(effect.Reply{ID: ev.ID, Result: control.Result{
			Record:  ev.Record.ID,
			Outcome: control.NotReady,
			Version: s.control.Version,
			Detail:  "records of the control stream have expired and no snapshot was found",
		}})
		return
	}
	if s.mustHold() {
		s.holdCommand(ev)
		return
	}
	if body, ok := ev.Record.Body.(control.Publish); ok {
		if body.Base < s.control.Version {
			s.emit(effect.Reply{ID: ev.ID, Result: s.staleBaseConflict(ev.Record.ID, body.Base)})
			return
		}
		ev.Record.Body = s.toDelta(body)
	}
	ev.Record.Body = s.addObservations(s.control.Rebase(ev.Record.Body))
	p := &proposal{recordID: ev.Record.ID, replyID: ev.ID, deadline: ev.Deadline}
	s.proposals[p.recordID] = p
	s.timers.Set(&p.timer, ev.Deadline.Add(-voidLead), p)
	s.emit(effect.Append{Record: ev.Record, Deadline: ev.Deadline.Add(-voidLead)})
}

// staleBaseConflict returns the result for a text whose base version was
// already replaced. The log could only give the same result.
func (s *State) staleBaseConflict(id fleet.RecordID, base fleet.Version) control.Result {
	return control.Result{
		Record:  id,
		Outcome: control.Conflict,
		Version: s.control.Version,
		Detail:  fmt.Sprintf("based on version %d, but version %d is in force", base, s.control.Version),
	}
}

// toDelta reduces a whole text to its changes, when it is based on the text in
// force at this entry.
func (s *State) toDelta(p control.Publish) control.Publish {
	if p.Text == nil || s.control.Text == nil || p.Base != s.control.Version {
		return p
	}
	return control.Publish{Base: p.Base, Delta: fleet.Compare(s.control.Text, p.Text)}
}

// replyFolded replies to the operator whose record was folded.
func (s *State) replyFolded(res control.Result) {
	p, ok := s.proposals[res.Record]
	if !ok {
		return
	}
	s.drains.CaughtUp = true // the record is new, so the fold has reached the end of the log
	s.reply(p, res)
}

func (s *State) onAppendFinished(ev event.AppendFinished) {
	s.onClaimsAppended(ev)
	s.onSnapshotAppended(ev)
	p, ok := s.proposals[ev.ID]
	if !ok || ev.Outcome != event.AppendFailed {
		return
	}
	s.reply(p, control.Result{
		Record:  ev.ID,
		Outcome: control.LogDown,
		Version: s.control.Version,
		Detail:  fmt.Sprint(ev.Err),
	})
}

// onProposalTimer appends a void for a record that was not read back, and
// repeats it until the log has decided between the record and its void, or the
// operator's deadline has passed.
func (s *State) onProposalTimer(p *proposal) {
	if p.waitsForCatchUp {
		s.reply(p, control.Result{
			Record:  p.recordID,
			Outcome: control.NotReady,
			Version: s.control.Version,
			Detail:  "the control stream was not read to its end in time",
		})
		return
	}
	if !s.now.Before(p.deadline) {
		s.replyUndecided(p)
		return
	}
	next := s.now.Add(voidInterval)
	if next.After(p.deadline) {
		next = p.deadline
	}
	s.timers.Set(&p.timer, next, p)
	s.emit(effect.Append{
		Record: control.Record{
			ID:     "void-" + p.recordID,
			Time:   s.now,
			Author: string(s.cfg.Entry),
			Body:   control.Void{Record: p.recordID},
		},
		Deadline: p.deadline,
	})
}

func (s *State) replyUndecided(p *proposal) {
	s.reply(p, control.Result{
		Record:  p.recordID,
		Outcome: control.Undecided,
		Version: s.control.Version,
		Detail:  "the record was not read back in time",
	})
}

func (s *State) reply(p *proposal, res control.Result) {
	s.timers.Clear(&p.timer)
	delete(s.proposals, p.recordID)
	s.emit(effect.Reply{ID: p.replyID, Result: res})
}

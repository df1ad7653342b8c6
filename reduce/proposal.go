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
	// read back is voided, so that the answer can be certain.
	voidLead = 4 * time.Second
	// voidInterval is the time between attempts to append the void.
	voidInterval = time.Second
)

// proposal is a record on its way into the control stream for an operator.
type proposal struct {
	record   fleet.RecordID
	reply    uint64
	deadline time.Time
	timer    timer.Timer
	// held is set while the command waits for the fold to catch up.
	held bool
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
			s.emit(effect.Reply{ID: ev.ID, Result: s.outdated(ev.Record.ID, body.Base)})
			return
		}
		ev.Record.Body = s.compact(body)
	}
	ev.Record.Body = s.complete(s.control.Rebase(ev.Record.Body))
	p := &proposal{record: ev.Record.ID, reply: ev.ID, deadline: ev.Deadline}
	s.proposals[p.record] = p
	s.timers.Set(&p.timer, ev.Deadline.Add(-voidLead), p)
	s.emit(effect.Append{Record: ev.Record, Deadline: ev.Deadline.Add(-voidLead)})
}

// outdated refuses a text whose base was replaced already: the log can only
// say the same.
func (s *State) outdated(id fleet.RecordID, base fleet.Version) control.Result {
	return control.Result{
		Record:  id,
		Outcome: control.Conflict,
		Version: s.control.Version,
		Detail:  fmt.Sprintf("based on version %d, but version %d is in force", base, s.control.Version),
	}
}

// compact reduces a whole text to what it changes, when the text that it is
// based on is the one in force here.
func (s *State) compact(p control.Publish) control.Publish {
	if p.Text == nil || s.control.Text == nil || p.Base != s.control.Version {
		return p
	}
	return control.Publish{Base: p.Base, Delta: fleet.Compare(s.control.Text, p.Text)}
}

// settle replies to the operator whose record was folded.
func (s *State) settle(res control.Result) {
	p, ok := s.proposals[res.Record]
	if !ok {
		return
	}
	s.drains.CaughtUp = true // the record is new, so its offset was the end
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

// onProposalTimer voids a record that was not read back, again and again until
// the log has decided between the two or the operator's time is up.
func (s *State) onProposalTimer(p *proposal) {
	if p.held {
		s.reply(p, control.Result{
			Record:  p.record,
			Outcome: control.NotReady,
			Version: s.control.Version,
			Detail:  "the control stream was not read to its end in time",
		})
		return
	}
	if !s.now.Before(p.deadline) {
		s.giveUp(p)
		return
	}
	next := s.now.Add(voidInterval)
	if next.After(p.deadline) {
		next = p.deadline
	}
	s.timers.Set(&p.timer, next, p)
	s.emit(effect.Append{
		Record: control.Record{
			ID:     "void-" + p.record,
			Time:   s.now,
			Author: string(s.cfg.Entry),
			Body:   control.Void{Record: p.record},
		},
		Deadline: p.deadline,
	})
}

func (s *State) giveUp(p *proposal) {
	s.reply(p, control.Result{
		Record:  p.record,
		Outcome: control.Undecided,
		Version: s.control.Version,
		Detail:  "the record was not read back in time",
	})
}

func (s *State) reply(p *proposal, res control.Result) {
	s.timers.Clear(&p.timer)
	delete(s.proposals, p.record)
	s.emit(effect.Reply{ID: p.reply, Result: res})
}

package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/timer"
)

// proposal is a record on its way into the control stream for an operator.
type proposal struct {
	record fleet.RecordID
	reply  uint64
	expiry timer.Timer
}

type proposals map[fleet.RecordID]*proposal

func newProposals() proposals { return make(proposals) }

func (s *State) onOperatorCommanded(ev event.OperatorCommanded) {
	ev.Record.Body = s.control.Rebase(ev.Record.Body)
	p := &proposal{record: ev.Record.ID, reply: ev.ID}
	s.proposals[p.record] = p
	s.timers.Set(&p.expiry, ev.Deadline, p)
	s.emit(effect.Append{Record: ev.Record})
}

// settle replies to the operator whose record was folded.
func (s *State) settle(res control.Result) {
	p, ok := s.proposals[res.Record]
	if !ok {
		return
	}
	s.drains.Current = true // the record is new, so its offset was the end
	s.reply(p, res)
}

func (s *State) onAppendFinished(ev event.AppendFinished) {
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

func (s *State) onProposalExpired(p *proposal) {
	s.reply(p, control.Result{
		Record:  p.record,
		Outcome: control.Undecided,
		Version: s.control.Version,
		Detail:  "the record was not read back in time",
	})
}

func (s *State) reply(p *proposal, res control.Result) {
	s.timers.Clear(&p.expiry)
	delete(s.proposals, p.record)
	s.emit(effect.Reply{ID: p.reply, Result: res})
}

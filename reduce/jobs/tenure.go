package jobs

import (
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// Reasons for the end of a tenure.
const (
	reasonSuperseded   effect.Reason = "another entry has claimed"
	reasonLedgerFenced effect.Reason = "the ledger has a higher epoch"
	reasonRunnerFenced effect.Reason = "a runner has seen a higher fence"
	reasonReleased     effect.Reason = "released"
)

func (s *State) onTenureRead(b event.TenureRead) {
	if s.tenureUnreadable {
		s.tenureUnreadable = false
		s.logDecision(effect.Decision{Name: "store regained", Entry: s.cfg.Entry})
	}
	before := s.tenure.Newest()
	s.tenure.OnRead(s.now, b.Record, b.End)
	if after := s.tenure.Newest(); after.Epoch != before.Epoch {
		s.logDecision(effect.Decision{Name: "owner seen", Entry: after.Owner, Epoch: after.Epoch})
	}
	s.applyTenure()
}

func (s *State) onTenureReadFailed(b event.TenureReadFailed) {
	s.tenure.OnReadFailed()
	if !s.tenureUnreadable {
		s.tenureUnreadable = true
		s.logDecision(effect.Decision{Name: "store lost", Warning: true, Entry: s.cfg.Entry, Reason: effect.Reason(b.Reason)})
	}
}

func (s *State) onTenureAppended(b event.TenureAppended) {
	if b.Outcome == effect.AppendDone {
		s.tenure.OnAppended(s.now, b.Record, b.End)
	} else {
		s.tenure.OnAppendUnconfirmed()
	}
	s.applyTenure()
}

// applyTenure starts or ends this entry's ownership according to the tenure log.
func (s *State) applyTenure() {
	newest := s.tenure.Newest()
	mine := s.tenure.IsOwner()
	switch {
	case mine && s.ownership == nil:
		s.ownership = newOwnership(s, newest.Epoch)
		s.logDecision(effect.Decision{Name: "tenure begins", Entry: s.cfg.Entry, Epoch: newest.Epoch})
		s.emit(effect.FenceLedger{Epoch: newest.Epoch})
		s.emit(effect.FollowRunners{Epoch: newest.Epoch})
	case !mine && s.ownership != nil && newest.Released:
		s.endTenure(reasonReleased)
	case !mine && s.ownership != nil:
		s.endTenure(reasonSuperseded)
	}
	if s.stopping && !mine && !s.handedOver && s.tenure.HasRead() {
		s.handedOver = true
		s.emit(effect.JobsHandedOver{})
	}
}

// endTenure drops the state of the ownership. The next owner restores it from the
// ledger and the runners. Calls in flight are routed to the next owner.
func (s *State) endTenure(reason effect.Reason) {
	s.logDecision(effect.Decision{Name: "tenure ends", Entry: s.cfg.Entry, Epoch: s.ownership.epoch, Reason: reason, Age: s.now.Sub(s.ownership.startedAt)})
	s.count("tenures_ended", reason)
	s.tenure.OnSuperseded(s.ownership.epoch)
	s.ownership = nil
	s.clearGauges()
	s.emit(effect.FollowRunners{})
	s.emit(effect.CloseRunnerConnections{})
	for _, c := range s.callsByAge() {
		switch c.phase {
		case callLocal:
			c.maybeDone = true
			s.holdCall(c)
		case callHeld:
			s.holdCall(c)
		case callPending, callForwarded: // not at the owner
		}
	}
}

// appendTenureIfDue appends to the tenure log if a heartbeat, a claim or a release
// is due. An owner that stops releases its tenure only after its changes are
// stored.
func (s *State) appendTenureIfDue() {
	if s.stopping && s.ownership != nil && s.ownership.hasUnstored() {
		return
	}
	if s.queues == nil && !s.tenure.IsOwner() && s.tenure.Newest().Epoch > 0 {
		return // without the queues, an owner can neither place jobs nor limit their failed runs
	}
	if r, at, ok := s.tenure.Next(s.now); ok {
		s.emit(effect.AppendTenure{Record: r, At: at, SendDeadline: s.now.Add(maxHeartbeatAge)})
	}
}

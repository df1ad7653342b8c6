package reduce

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// markCaughtUp records that the fold has reached the end of the log, if a read
// found no new records.
func (s *State) markCaughtUp(ev event.RecordsRead) {
	if len(ev.Records) == 0 {
		s.drains.CaughtUp = true
	}
}

// isCurrent reports whether the fold is known to reach the end of the log. An
// entry that replays the log or was paused must not order steps that other
// entries ordered long ago.
func (s *State) isCurrent() bool {
	if !s.drains.CaughtUp {
		return false
	}
	for _, p := range s.peers.All() {
		if p.Offset > s.control.Offset && p.Status == peers.Alive {
			return false
		}
	}
	return true
}

// armSteps sets the timer of the next maintenance step while anything is under
// maintenance.
func (s *State) armSteps() {
	if !s.control.IsUnderMaintenance() && len(s.drains.ReportedDrains()) == 0 {
		s.timers.Clear(&s.drains.Tick)
		return
	}
	s.timers.Set(&s.drains.Tick, s.now.Add(drains.StepInterval), s.drains)
}

// onStepsDue proposes the next step of everything under maintenance. Any entry
// may propose a step; the fold accepts only one proposal of it.
func (s *State) onStepsDue() {
	for _, id := range s.drains.ReportedDrains() {
		s.applyPhase(id)
	}
	for _, id := range s.control.OutOfService() {
		s.stepInstance(id)
	}
	s.sendAcks()
	s.stepWaves()
	s.stepRehearsal()
	s.armSteps()
}

func (s *State) stepInstance(id fleet.InstanceID) {
	m := s.control.Drains[id]
	it := s.drains.InstanceAt(id, m.Epoch, s.now)
	if _, known := s.control.Pools[id]; !known || !s.isCurrent() {
		return
	}
	switch m.Phase {
	case control.Draining:
		s.stepDraining(id, m, it)
	case control.Drained:
		s.stepDrained(id, m, it)
	case control.Probation:
		s.stepProbation(id, m, it)
	case control.InService, control.Failed:
	}
}

// stepDraining ends the drain once no entry has a request in flight.
func (s *State) stepDraining(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if !s.isDue(id, it, s.isIdle(id, it)) {
		s.warnOverdue(id, it)
		return
	}
	if m.Purpose == control.PurposeMove {
		s.propose("move", id, m.Epoch, control.Move{Instance: id, From: s.control.Pools[id], To: m.To, Base: m.Epoch})
	} else {
		s.propose("finish-drain", id, m.Epoch, control.FinishDrain{Instance: id, Base: m.Epoch})
	}
	it.ProposedAt = s.now
}

// stepDrained carries out the purpose of the drain.
func (s *State) stepDrained(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if m.Purpose != control.PurposeReboot && m.Purpose != control.PurposeStop {
		return
	}
	if it.CommandDone {
		s.stepReturn(id, m, it)
		return
	}
	if m.Purpose == control.PurposeReboot && s.now.Sub(it.Since) >= drains.RebootTimeout && s.isDue(id, it, true) {
		s.propose("fail", id, m.Epoch, control.Fail{Instance: id, Base: m.Epoch, Detail: "did not come back from its reboot"})
		it.ProposedAt = s.now
		return
	}
	if !s.isActing(id, it) || s.now.Sub(it.CommandedAt) < drains.CommandRetry {
		return
	}
	it.CommandedAt = s.now
	s.emit(effect.CommandInstance{
		ID:       fmt.Sprintf("%s-%d-%s", id, m.Epoch, m.Purpose),
		Instance: id,
		Epoch:    m.Epoch,
		Purpose:  m.Purpose,
		Deadline: s.now.Add(drains.CommandRetry),
	})
}

// stepReturn puts a rebooted instance on probation once its health checks pass,
// so that an instance that came back broken gets no request.
func (s *State) stepReturn(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if m.Purpose != control.PurposeReboot {
		return
	}
	if it.IsBroken() {
		s.proposeFail(id, m, it)
		return
	}
	if s.isDue(id, it, it.ChecksPassed >= drains.ChecksToPass) {
		s.propose("return", id, m.Epoch, control.Return{Instance: id, Base: m.Epoch})
		it.ProposedAt = s.now
	}
	s.checkHealth(id, m, it)
}

func (s *State) onCommandFinished(ev event.CommandFinished) {
	m := s.control.Drains[ev.Instance]
	if m.Epoch != ev.Epoch || m.Phase != control.Drained || ev.Outcome != event.CommandDone {
		return
	}
	s.drains.InstanceAt(ev.Instance, m.Epoch, s.now).CommandDone = true
	s.stepInstance(ev.Instance)
}

// stepProbation checks an instance on probation, and proposes to restore it or
// to fail it.
func (s *State) stepProbation(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if it.IsBroken() {
		s.proposeFail(id, m, it)
		return
	}
	passed := it.ChecksPassed >= drains.ChecksToPass && s.now.Sub(it.Since) >= s.control.Text.Maintenance.Probation
	if s.isDue(id, it, passed) {
		s.propose("restore", id, m.Epoch, control.Restore{Instance: id, Base: m.Epoch})
		it.ProposedAt = s.now
	}
	s.checkHealth(id, m, it)
}

func (s *State) checkHealth(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if s.isActing(id, it) && s.now.Sub(it.CheckedAt) >= drains.CheckInterval {
		it.CheckedAt = s.now
		s.emit(effect.CheckInstance{Instance: id, Epoch: m.Epoch, Address: s.instanceAddress(id)})
	}
}

// proposeFail proposes to fail an instance that this entry saw fail. It does
// not wait for the entries ranked first, because only this entry may have seen
// the failure.
func (s *State) proposeFail(id fleet.InstanceID, m control.Maintenance, it *drains.Instance) {
	if s.now.Sub(it.ProposedAt) < drains.ProposeRetry {
		return
	}
	detail := fmt.Sprintf("%d health checks failed in a row", it.ChecksFailed)
	if it.ChecksFailed < drains.ChecksToFail {
		detail = fmt.Sprintf("%d requests failed and none was answered", it.RequestsFailed)
	}
	s.propose("fail", id, m.Epoch, control.Fail{Instance: id, Base: m.Epoch, Detail: detail})
	it.ProposedAt = s.now
}

func (s *State) onInstanceChecked(ev event.InstanceChecked) {
	m := s.control.Drains[ev.Instance]
	if m.Epoch != ev.Epoch || (m.Phase != control.Probation && m.Phase != control.Drained) {
		return
	}
	it := s.drains.InstanceAt(ev.Instance, m.Epoch, s.now)
	if ev.Healthy {
		it.ChecksPassed, it.ChecksFailed = it.ChecksPassed+1, 0
		return
	}
	it.ChecksPassed, it.ChecksFailed = 0, it.ChecksFailed+1
}

func (s *State) instanceAddress(id fleet.InstanceID) string {
	for i := range s.control.Text.Instances {
		if s.control.Text.Instances[i].ID == id {
			return s.control.Text.Instances[i].Address
		}
	}
	return ""
}

// isDue reports whether this entry has to propose a step now: the step is due,
// the entries ranked before have had time to propose it, and the retry interval
// since this entry's last proposal has passed.
func (s *State) isDue(id fleet.InstanceID, it *drains.Instance, due bool) bool {
	since, ok := it.UpdateDue(due, s.now)
	if !ok || since < time.Duration(s.peers.Rank(string(id)))*drains.ProposeStagger {
		return false
	}
	return it.ProposedAt.IsZero() || s.now.Sub(it.ProposedAt) >= drains.ProposeRetry
}

// isActing reports whether this entry sends commands and health checks to an
// instance. The entry ranked first does so at once, the next one after a delay.
func (s *State) isActing(id fleet.InstanceID, it *drains.Instance) bool {
	rank := s.peers.Rank(string(id))
	return rank < drains.ActingEntries && s.now.Sub(it.Since) >= time.Duration(rank)*drains.ProposeStagger
}

// propose appends a record that follows from the fold. The record has the same
// id at every entry, so that it is folded only once.
func (s *State) propose(step string, id fleet.InstanceID, epoch fleet.Offset, body control.Body) {
	s.emit(effect.Append{Record: control.Record{
		ID:     fleet.RecordID(fmt.Sprintf("%s/%s/%d", step, id, epoch)),
		Time:   s.now,
		Author: string(s.cfg.Entry),
		Body:   body,
	}, Deadline: s.now.Add(drains.ProposeRetry)})
}

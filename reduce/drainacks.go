package reduce

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// allowImmediateAcks lets the next acknowledgements be sent at once when
// nothing is in flight on a draining instance any more.
func (s *State) allowImmediateAcks(id fleet.InstanceID) {
	if s.control.Drains[id].Phase == control.Draining && !s.requests.HasAttemptOn(id) {
		s.drains.AcksSentAt = time.Time{}
	}
}

// isIdle reports whether no entry can have a request in flight on the
// instance.
func (s *State) isIdle(id fleet.InstanceID, it *drains.Instance) bool {
	return s.isPeerListComplete() && len(s.busyEntries(id, it)) == 0
}

// busyEntries returns the entries that may have a request in flight on the
// instance. A live entry has to acknowledge the drain. An entry that sends no
// messages counts as busy for as long as the last requests that it accepted may
// run.
func (s *State) busyEntries(id fleet.InstanceID, it *drains.Instance) []fleet.EntryID {
	var busy []fleet.EntryID
	if s.requests.HasAttemptOn(id) {
		busy = append(busy, s.cfg.Entry)
	}
	maxSilence := drains.IsolationLimit + s.longestRequest()
	for _, p := range s.peers.All() {
		if it.HasAck(p.ID, p.Incarnation) {
			continue
		}
		heard := p.LastHeard
		if heard.Before(it.Since) {
			heard = it.Since
		}
		if s.now.Sub(heard) < maxSilence {
			busy = append(busy, p.ID)
		}
	}
	return busy
}

// warnOverdue logs once that a drain takes longer than the text's limit, and
// which entries it waits for. The drain continues, because it never cuts off a
// request.
func (s *State) warnOverdue(id fleet.InstanceID, it *drains.Instance) {
	if it.Overdue || s.now.Sub(it.Since) < s.control.Text.Maintenance.DrainLimit {
		return
	}
	it.Overdue = true
	s.emit(effect.Count{Name: effect.DrainsOverdue, N: 1})
	s.emit(effect.LogChange{
		Change:   effect.ChangeDrainOverdue,
		Instance: id,
		Version:  s.control.Version,
		Detail:   fmt.Sprintf("waits for %v", s.busyEntries(id, it)),
	})
}

// isPeerListComplete reports whether the list of peers certainly has all other
// entries: the platform lists this entry, and entries that started at the same
// time have had time to appear in the platform's list as well.
func (s *State) isPeerListComplete() bool {
	return !s.drains.ListedSince.IsZero() && s.now.Sub(s.drains.ListedSince) >= peers.SuspectIntervals*s.peers.Interval()
}

// longestRequest returns the longest time limit of any service.
func (s *State) longestRequest() time.Duration {
	var longest time.Duration
	if s.control.Text == nil {
		return longest
	}
	for i := range s.control.Text.Services {
		longest = max(longest, s.control.Text.Services[i].TimeLimit)
	}
	return longest
}

// recordMaintenanceAttempt updates the maintenance of an instance after an
// attempt on it has ended.
func (s *State) recordMaintenanceAttempt(release message.SlotRelease) {
	id := release.Instance
	m := s.control.Drains[id]
	switch m.Phase {
	case control.Draining:
		if !s.requests.HasAttemptOn(id) {
			s.allowImmediateAcks(id)
			s.sendAcks()
			s.stepInstance(id)
		}
	case control.Probation:
		it := s.drains.InstanceAt(id, m.Epoch, s.now)
		switch release.Verdict {
		case message.VerdictGood:
			it.RequestsAnswered++
		case message.VerdictFailed:
			it.RequestsFailed++
		default:
		}
		if it.IsBroken() {
			s.proposeFail(id, m, it)
		}
	case control.InService, control.Drained, control.Failed:
	}
}

// sendAcks sends the other entries the draining instances on which this entry
// has nothing in flight. While the log is slow, the other entries learn of the
// drains by these messages as well.
func (s *State) sendAcks() {
	if s.now.Sub(s.drains.AcksSentAt) < drains.AckInterval {
		return
	}
	var acks []message.DrainAck
	for _, id := range s.control.OutOfService() {
		m := s.control.Drains[id]
		if m.Phase == control.Draining && !s.requests.HasAttemptOn(id) {
			acks = append(acks, message.DrainAck{Instance: id, Epoch: m.Epoch})
		}
	}
	for _, id := range s.drains.ReportedDrains() {
		if epoch, ok := s.drains.ReportedEpoch(id); ok && !s.requests.HasAttemptOn(id) {
			acks = append(acks, message.DrainAck{Instance: id, Epoch: epoch})
		}
	}
	if len(acks) == 0 {
		return
	}
	s.drains.AcksSentAt = s.now
	for _, p := range s.peers.All() {
		s.send(p, message.DrainAcks{Acks: acks})
	}
}

func (s *State) onDrainAcks(p *peers.Peer, m message.DrainAcks) {
	for _, a := range m.Acks {
		if a.Epoch <= s.control.Offset && a.Epoch != s.control.Drains[a.Instance].Epoch {
			continue
		}
		s.drains.RecordAck(a.Instance, p.ID, p.Incarnation, a.Epoch)
		if a.Epoch > s.control.Offset {
			s.drains.ReportDrain(a.Instance, a.Epoch)
			s.applyPhase(a.Instance)
			s.armSteps()
			continue
		}
		s.stepInstance(a.Instance)
	}
}

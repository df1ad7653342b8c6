package control

import (
	"fmt"
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/disruption"
)

// CurrentEpoch as the base of a record stands for the epoch in force where the
// record is proposed. Rebase replaces it before the record is appended.
const CurrentEpoch fleet.Offset = -1

// Drain closes an instance to new requests.
type Drain struct {
	Instance fleet.InstanceID
	// Base is the instance's epoch that the record is based on.
	Base    fleet.Offset
	Reason  DrainReason
	Purpose Purpose
	// To is the pool that a PurposeMove drain leads to.
	To fleet.PoolName
	// Force drains the instance even if its pool can't spare it.
	Force bool
}

// FinishDrain tells that no entry has a request in flight on the instance.
type FinishDrain struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Return tells that a rebooted instance is up again.
type Return struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Restore ends the probation of an instance that passed it.
type Restore struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Fail takes out an instance that did not come back in working order.
type Fail struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
	Detail   string
}

// Undrain cancels a drain, or brings back an instance that was held, stopped
// or failed.
type Undrain struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

func (Drain) isRecord()       {}
func (FinishDrain) isRecord() {}
func (Return) isRecord()      {}
func (Restore) isRecord()     {}
func (Fail) isRecord()        {}
func (Undrain) isRecord()     {}

// Maintenance is what the control stream says about one instance.
type Maintenance struct {
	// Epoch is the offset of the last record that changed the instance. It
	// never decreases; a record based on another epoch does not count.
	Epoch   fleet.Offset
	Phase   Phase
	Reason  DrainReason
	Purpose Purpose
	// To is the pool that a PurposeMove drain leads to.
	To fleet.PoolName
	// Wave is the wave that the instance is drained by; zero for none.
	Wave fleet.Offset
	// Detail says why the instance failed.
	Detail string
}

// IsClosed reports whether the instance takes no new request.
func (m Maintenance) IsClosed() bool {
	return m.Phase == Draining || m.Phase == Drained || m.Phase == Failed
}

// IsReturning reports whether the instance comes back into service without an
// operator.
func (m Maintenance) IsReturning() bool {
	switch m.Phase {
	case Probation:
		return true
	case Draining, Drained:
		return m.Purpose == PurposeReboot || m.Purpose == PurposeMove
	default:
		return false
	}
}

// Drains holds the maintenance of each instance that a record was about.
type Drains map[fleet.InstanceID]Maintenance

// OutOfService returns the instances that are not in service, in order.
func (s *State) OutOfService() []fleet.InstanceID { return slices.Clone(s.under) }

// setMaintenance keeps the list of the instances that are not in service, so
// that looking at them takes no walk over all that ever were.
func (s *State) setMaintenance(id fleet.InstanceID, m Maintenance) {
	s.Drains[id] = m
	at, listed := slices.BinarySearch(s.under, id)
	switch {
	case m.Phase == InService && listed:
		s.under = slices.Delete(s.under, at, at+1)
	case m.Phase != InService && !listed:
		s.under = slices.Insert(s.under, at, id)
	}
}

// change puts an instance into a phase and moves its epoch on.
func (s *State) change(id fleet.InstanceID, at fleet.Offset, phase Phase) {
	m := s.Drains[id]
	m.Epoch, m.Phase = at, phase
	if phase == InService || phase == Probation {
		m.To, m.Detail = "", ""
	}
	if phase == InService {
		m.Reason, m.Purpose, m.Wave = 0, 0, 0
	}
	s.setMaintenance(id, m)
}

// expect checks that an instance is known, at an epoch and in one of the
// phases.
func (s *State) expect(id fleet.InstanceID, base fleet.Offset, phases ...Phase) (Outcome, string) {
	if _, known := s.Pools[id]; !known {
		return Invalid, fmt.Sprintf("unknown instance %s", id)
	}
	m := s.Drains[id]
	if m.Epoch != base {
		return Conflict, fmt.Sprintf("based on epoch %d of %s, but it is at epoch %d, %s", base, id, m.Epoch, m.Phase)
	}
	if !slices.Contains(phases, m.Phase) {
		return Conflict, fmt.Sprintf("%s is %s", id, m.Phase)
	}
	return Accepted, ""
}

func (s *State) drain(at fleet.Offset, r Drain) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, InService, Probation); out != Accepted {
		return out, why
	}
	if out, why := s.checkDrain(r); out != Accepted {
		return out, why
	}
	m := s.Drains[r.Instance]
	wave := m.Wave
	m = Maintenance{Epoch: at, Phase: Draining, Reason: r.Reason, Purpose: r.Purpose, To: r.To}
	s.setMaintenance(r.Instance, m)
	s.leaveWave(wave, r.Instance)
	return Accepted, ""
}

// checkDrain checks what a drain leads to, and that the pool can spare the
// instance.
func (s *State) checkDrain(r Drain) (Outcome, string) {
	if r.Reason == 0 || r.Purpose == 0 {
		return Invalid, "the drain names no reason or no purpose"
	}
	if r.Purpose == PurposeMove {
		if out, why := s.checkTarget(r.Instance, r.To); out != Accepted {
			return out, why
		}
	}
	if r.Force || r.Reason == ReasonFailure || r.Reason == ReasonRehearsal || s.Drains[r.Instance].Phase == Probation {
		return Accepted, ""
	}
	pool := s.Pools[r.Instance]
	if s.allowance()[pool] < 1 {
		return Conflict, fmt.Sprintf("pool %s can't spare %s now", pool, r.Instance)
	}
	return Accepted, ""
}

// allowance returns how many more instances each pool can spare.
func (s *State) allowance() map[fleet.PoolName]int {
	return disruption.Allowance(s.disruption())
}

func (s *State) disruption() disruption.Input {
	out := make(map[fleet.InstanceID]bool, len(s.under))
	for _, id := range s.under {
		out[id] = true
	}
	return disruption.Input{Text: s.Text, Pools: s.Pools, Out: out}
}

func (s *State) finishDrain(at fleet.Offset, r FinishDrain) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, Draining); out != Accepted {
		return out, why
	}
	if s.Drains[r.Instance].Purpose == PurposeMove {
		return Invalid, "a drain for a move ends with the move"
	}
	s.change(r.Instance, at, Drained)
	return Accepted, ""
}

func (s *State) returned(at fleet.Offset, r Return) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, Drained); out != Accepted {
		return out, why
	}
	if s.Drains[r.Instance].Purpose != PurposeReboot {
		return Conflict, fmt.Sprintf("%s is not being rebooted", r.Instance)
	}
	s.change(r.Instance, at, Probation)
	return Accepted, ""
}

func (s *State) restore(at fleet.Offset, r Restore) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, Probation); out != Accepted {
		return out, why
	}
	wave := s.Drains[r.Instance].Wave
	s.change(r.Instance, at, InService)
	s.waveRestored(wave, r.Instance)
	return Accepted, ""
}

func (s *State) fail(at fleet.Offset, r Fail) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, Drained, Probation); out != Accepted {
		return out, why
	}
	m := s.Drains[r.Instance]
	if m.Phase == Drained && m.Purpose != PurposeReboot {
		return Conflict, fmt.Sprintf("%s is held on purpose", r.Instance)
	}
	s.change(r.Instance, at, Failed)
	failed := s.Drains[r.Instance]
	failed.Detail, failed.Wave = r.Detail, 0
	s.setMaintenance(r.Instance, failed)
	s.waveFailed(m.Wave, r.Instance, at)
	return Accepted, ""
}

// undrain opens an instance that was only closed at once. One that was out of
// service for longer comes back by way of probation.
func (s *State) undrain(at fleet.Offset, r Undrain) (Outcome, string) {
	if out, why := s.expect(r.Instance, r.Base, Draining, Drained, Failed); out != Accepted {
		return out, why
	}
	m := s.Drains[r.Instance]
	if m.Phase == Drained && m.Purpose == PurposeReboot {
		return Conflict, fmt.Sprintf("%s is being rebooted", r.Instance)
	}
	next := Probation
	if m.Phase == Draining {
		next = InService
	}
	s.change(r.Instance, at, next)
	s.leaveWave(m.Wave, r.Instance)
	return Accepted, ""
}

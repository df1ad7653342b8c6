package control

import (
	"fmt"
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/disruption"
)

// CurrentEpoch as the base of a record means the epoch that the proposing entry
// knows. Rebase replaces it before the record is appended.
const CurrentEpoch fleet.Offset = -1

// Drain closes an instance to new requests.
type Drain struct {
	Instance fleet.InstanceID
	// Base is the instance's epoch that the record is based on.
	Base    fleet.Offset
	Reason  DrainReason
	Purpose Purpose
	// To is the pool that the instance is moved to if Purpose is PurposeMove.
	To fleet.PoolName
	// Force drains the instance even if its pool can't spare it.
	Force bool
}

// FinishDrain marks an instance as drained: no entry has a request in flight on
// it.
type FinishDrain struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Return puts an instance on probation after its reboot, once it is up again.
type Return struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Restore returns an instance that passed its probation to service.
type Restore struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
}

// Fail takes out of service an instance that did not come up after its reboot or
// that failed its probation.
type Fail struct {
	Instance fleet.InstanceID
	Base     fleet.Offset
	Detail   string
}

// Undrain cancels a drain, or brings an instance that was held, stopped or
// failed back into service.
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

// Maintenance is the maintenance state of one instance.
type Maintenance struct {
	// Epoch is the offset of the last record that changed the instance. It
	// never decreases. A record based on another epoch is rejected.
	Epoch   fleet.Offset
	Phase   Phase
	Reason  DrainReason
	Purpose Purpose
	// To is the pool that the instance is moved to if Purpose is PurposeMove.
	To fleet.PoolName
	// Wave is the wave that drained the instance; zero for none.
	Wave fleet.Offset
	// Detail says why the instance failed.
	Detail string
}

// IsClosed reports whether the instance takes no new requests.
func (m Maintenance) IsClosed() bool {
	return m.Phase == Draining || m.Phase == Drained || m.Phase == Failed
}

// IsReturning reports whether the instance will come back into service without
// an operator's command.
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

// Drains holds the maintenance state of each instance that any record has
// changed.
type Drains map[fleet.InstanceID]Maintenance

// OutOfService returns the instances that are not in service, in order.
func (s *State) OutOfService() []fleet.InstanceID { return slices.Clone(s.outOfService) }

// setMaintenance sets the maintenance state of an instance and updates the list
// of instances that are not in service. The list saves iterating over Drains,
// which also holds instances that are back in service.
func (s *State) setMaintenance(id fleet.InstanceID, m Maintenance) {
	s.Drains[id] = m
	at, listed := slices.BinarySearch(s.outOfService, id)
	switch {
	case m.Phase == InService && listed:
		s.outOfService = slices.Delete(s.outOfService, at, at+1)
	case m.Phase != InService && !listed:
		s.outOfService = slices.Insert(s.outOfService, at, id)
	}
}

// setPhase moves an instance to a phase and sets its epoch.
func (s *State) setPhase(id fleet.InstanceID, at fleet.Offset, phase Phase) {
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

// expectInstance checks that an instance is known, is at the epoch base and is
// in one of the phases.
func (s *State) expectInstance(id fleet.InstanceID, base fleet.Offset, phases ...Phase) (Outcome, string) {
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
	if out, why := s.expectInstance(r.Instance, r.Base, InService, Probation); out != Accepted {
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

// checkDrain checks the reason, purpose and target pool of a drain, and that
// the instance's pool can spare the instance.
func (s *State) checkDrain(r Drain) (Outcome, string) {
	if r.Reason == 0 || r.Purpose == 0 {
		return Invalid, "the drain has no reason or no purpose"
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
	return disruption.Allowance(s.disruptionInput())
}

func (s *State) disruptionInput() disruption.Input {
	unavailable := make(map[fleet.InstanceID]bool, len(s.outOfService))
	for _, id := range s.outOfService {
		unavailable[id] = true
	}
	return disruption.Input{Text: s.Text, Pools: s.Pools, Unavailable: unavailable}
}

func (s *State) finishDrain(at fleet.Offset, r FinishDrain) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, Draining); out != Accepted {
		return out, why
	}
	if s.Drains[r.Instance].Purpose == PurposeMove {
		return Invalid, "a drain for a move ends with the move"
	}
	s.setPhase(r.Instance, at, Drained)
	return Accepted, ""
}

func (s *State) returnInstance(at fleet.Offset, r Return) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, Drained); out != Accepted {
		return out, why
	}
	if s.Drains[r.Instance].Purpose != PurposeReboot {
		return Conflict, fmt.Sprintf("%s is not being rebooted", r.Instance)
	}
	s.setPhase(r.Instance, at, Probation)
	return Accepted, ""
}

func (s *State) restore(at fleet.Offset, r Restore) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, Probation); out != Accepted {
		return out, why
	}
	wave := s.Drains[r.Instance].Wave
	s.setPhase(r.Instance, at, InService)
	s.waveInstanceDone(wave, r.Instance)
	return Accepted, ""
}

func (s *State) fail(at fleet.Offset, r Fail) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, Drained, Probation); out != Accepted {
		return out, why
	}
	m := s.Drains[r.Instance]
	if m.Phase == Drained && m.Purpose != PurposeReboot {
		return Conflict, fmt.Sprintf("%s was not drained for a reboot", r.Instance)
	}
	s.setPhase(r.Instance, at, Failed)
	failed := s.Drains[r.Instance]
	failed.Detail, failed.Wave = r.Detail, 0
	s.setMaintenance(r.Instance, failed)
	s.waveInstanceFailed(m.Wave, r.Instance, at)
	return Accepted, ""
}

// undrain returns an instance that is still draining to service at once, and
// puts one that was drained or failed on probation.
func (s *State) undrain(at fleet.Offset, r Undrain) (Outcome, string) {
	if out, why := s.expectInstance(r.Instance, r.Base, Draining, Drained, Failed); out != Accepted {
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
	s.setPhase(r.Instance, at, next)
	s.leaveWave(m.Wave, r.Instance)
	return Accepted, ""
}

package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/placement"
)

// probationSlots is the number of requests that an entry runs at once on an
// instance on probation.
const probationSlots = 1

// onMaintenanceEvent handles the events about drains.
func (s *State) onMaintenanceEvent(body event.Body) {
	switch b := body.(type) {
	case event.EndpointsListed:
		s.onEndpointsListed(b)
	case event.CommandFinished:
		s.onCommandFinished(b)
	case event.InstanceChecked:
		s.onInstanceChecked(b)
	}
}

// probationLimit limits the slots of an instance on probation.
func (s *State) probationLimit(id fleet.InstanceID, limit int) int {
	if s.control.Drains[id].Phase == control.Probation {
		return min(limit, probationSlots)
	}
	return limit
}

// applyAllPhases updates placement for all instances under maintenance, after a
// snapshot or a new text.
func (s *State) applyAllPhases() {
	for _, id := range s.drains.Closed() {
		s.applyPhase(id)
	}
	for _, id := range s.control.OutOfService() {
		s.applyPhase(id)
	}
	s.armSteps()
}

// applyRecord updates placement after an accepted record, and takes the next
// steps of maintenance.
func (s *State) applyRecord(p control.Positioned, res control.Result) {
	if res.Outcome != control.Accepted {
		return
	}
	switch r := p.Record.Body.(type) {
	case control.Publish:
		s.applyAllPhases()
	case control.Drain:
		s.onPhaseChanged(r.Instance)
	case control.FinishDrain:
		s.onPhaseChanged(r.Instance)
	case control.Return:
		s.onPhaseChanged(r.Instance)
	case control.Restore:
		s.onPhaseChanged(r.Instance)
	case control.Fail:
		s.onPhaseChanged(r.Instance)
	case control.Undrain:
		s.onPhaseChanged(r.Instance)
	case control.Move:
		s.applyMove(r, res.Change)
	default:
		s.applyWaveRecord(p.Record.Body)
	}
	s.sendAcks()
	s.stepWaves()
	s.stepRehearsal()
	s.armSteps()
}

// onPhaseChanged handles a new maintenance phase of an instance.
func (s *State) onPhaseChanged(id fleet.InstanceID) {
	m := s.control.Drains[id]
	s.emit(effect.LogChange{
		Change: effect.ChangeInstance, Instance: id, Version: s.control.Version,
		Detail: fmt.Sprintf("%s at epoch %d", m.Phase, m.Epoch),
	})
	s.applyPhase(id)
	if m.Phase == control.InService {
		s.drains.Forget(id)
		return
	}
	s.drains.InstanceAt(id, m.Epoch, s.now)
	s.allowImmediateAcks(id)
	s.stepInstance(id)
}

// applyPhase closes, limits or opens an instance according to the fold, the
// platform's list and the acknowledgements of other entries.
func (s *State) applyPhase(id fleet.InstanceID) {
	m := s.control.Drains[id]
	if it, ok := s.health.Get(id); ok {
		s.applyLimit(it)
	}
	closed := m.IsClosed() || s.drains.IsLeaving(id, s.control.Offset)
	changed := s.drains.SetClosed(id, closed)
	switch {
	case closed:
		s.placement.CloseInstance(id)
	case changed:
		s.placement.OpenInstance(id)
	}
	if pool, ok := s.control.Pools[id]; ok && !closed {
		s.grant(pool)
	}
}

// onEndpointsListed updates which instances the platform lists as leaving. The
// list lags, so it can only close instances: an instance that the control
// stream drains stays closed.
func (s *State) onEndpointsListed(ev event.EndpointsListed) {
	for _, id := range s.drains.UpdateLeaving(ev.Leaving) {
		s.applyPhase(id)
	}
}

func (s *State) instanceStatus(l placement.Load) effect.InstanceStatus {
	m := s.control.Drains[l.Instance]
	return effect.InstanceStatus{
		ID: l.Instance, Pool: l.Pool, Running: l.Running,
		Phase: m.Phase.String(), Epoch: m.Epoch, Detail: m.Detail,
	}
}

package control

import (
	"fmt"
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// waveInstanceDone records that an instance of a step passed its probation.
func (s *State) waveInstanceDone(id fleet.Offset, instance fleet.InstanceID) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.removeCurrent(instance) {
		return
	}
	w.Done = append(w.Done, instance)
	s.finishStep(w)
}

// waveInstanceFailed records that an instance of a step failed, and pauses the
// wave if failures look correlated.
func (s *State) waveInstanceFailed(id fleet.Offset, instance fleet.InstanceID, at fleet.Offset) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.removeCurrent(instance) {
		return
	}
	w.Failed = append(w.Failed, instance)
	w.FailedInStep++
	if w.Phase == WaveRunning && (w.FailedInStep >= maxFailedInStep || w.FailedSteps+1 >= maxFailedSteps) {
		w.Phase, w.Epoch = WavePaused, at
		w.Detail = fmt.Sprintf("correlated failures: %s failed in step %d after others", instance, w.Steps)
	}
	s.finishStep(w)
}

// leaveWave removes an instance that an operator drained or undrained from its
// wave's step.
func (s *State) leaveWave(id fleet.Offset, instance fleet.InstanceID) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.removeCurrent(instance) {
		return
	}
	m := s.Drains[instance]
	m.Wave = 0
	s.setMaintenance(instance, m)
	w.Skipped = append(w.Skipped, instance)
	s.finishStep(w)
}

// removeCurrent removes an instance from the step under way. It returns false if
// the instance is not in the step.
func (w *Wave) removeCurrent(id fleet.InstanceID) bool {
	i := slices.Index(w.Current, id)
	if i < 0 {
		return false
	}
	w.Current = slices.Delete(w.Current, i, i+1)
	if len(w.Current) == 0 {
		w.Current = nil
	}
	return true
}

// finishStep ends a step that has no current instances left, and the wave if it
// has no pending instances either.
func (s *State) finishStep(w *Wave) {
	if len(w.Current) > 0 {
		return
	}
	if w.FailedInStep > 0 {
		w.FailedSteps++
	} else {
		w.FailedSteps = 0
	}
	w.FailedInStep = 0
	if len(w.Pending) > 0 {
		return
	}
	if w.Phase != WaveAborted {
		w.Phase = WaveDone
	}
	w.Ended = s.time
	s.Waves.Active = slices.DeleteFunc(s.Waves.Active, func(o *Wave) bool { return o == w })
	s.Waves.Ended = append(s.Waves.Ended, w)
	if extra := len(s.Waves.Ended) - maxEndedWaves; extra > 0 {
		s.Waves.Ended = slices.Delete(s.Waves.Ended, 0, extra)
	}
}

// pruneWaves removes instances that a new text no longer lists from all waves.
func (s *State) pruneWaves() {
	for _, w := range slices.Clone(s.Waves.Active) {
		isRemoved := func(id fleet.InstanceID) bool {
			_, known := s.Pools[id]
			return !known
		}
		for _, id := range slices.Concat(w.Pending, w.Current) {
			if isRemoved(id) {
				w.Skipped = append(w.Skipped, id)
			}
		}
		hadStep := len(w.Current) > 0
		w.Pending = slices.DeleteFunc(w.Pending, isRemoved)
		w.Current = slices.DeleteFunc(w.Current, isRemoved)
		if len(w.Current) == 0 && (hadStep || len(w.Pending) == 0) {
			s.finishStep(w)
		}
	}
}

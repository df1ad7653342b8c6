package control

import (
	"fmt"
	"slices"

	"github.com/banyanrail/banyanrail/fleet"
)

// waveRestored notes that an instance of a step passed probation.
func (s *State) waveRestored(id fleet.Offset, instance fleet.InstanceID) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.takeCurrent(instance) {
		return
	}
	w.Done = append(w.Done, instance)
	s.settleWave(w)
}

// waveFailed notes that an instance of a step did not come back, and pauses
// the wave when failures look correlated.
func (s *State) waveFailed(id fleet.Offset, instance fleet.InstanceID, at fleet.Offset) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.takeCurrent(instance) {
		return
	}
	w.Failed = append(w.Failed, instance)
	w.FailedInStep++
	if w.Phase == WaveRunning && (w.FailedInStep >= maxFailedInStep || w.FailedSteps+1 >= maxFailedSteps) {
		w.Phase, w.Epoch = WavePaused, at
		w.Detail = fmt.Sprintf("correlated failures: %s failed in step %d after others", instance, w.Steps)
	}
	s.settleWave(w)
}

// leaveWave takes an instance that an operator drained or undrained out of its
// wave's step.
func (s *State) leaveWave(id fleet.Offset, instance fleet.InstanceID) {
	w, ok := s.Waves.Get(id)
	if !ok || !w.takeCurrent(instance) {
		return
	}
	m := s.Drains[instance]
	m.Wave = 0
	s.setMaintenance(instance, m)
	w.Skipped = append(w.Skipped, instance)
	s.settleWave(w)
}

// takeCurrent takes an instance out of the step under way. It returns false
// when the instance is not in it.
func (w *Wave) takeCurrent(id fleet.InstanceID) bool {
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

// settleWave closes a step whose instances are all through, and the wave when
// nothing is left to do.
func (s *State) settleWave(w *Wave) {
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

// pruneWaves takes instances that a new text no longer has out of all waves.
func (s *State) pruneWaves() {
	for _, w := range slices.Clone(s.Waves.Active) {
		gone := func(id fleet.InstanceID) bool {
			_, known := s.Pools[id]
			return !known
		}
		for _, id := range slices.Concat(w.Pending, w.Current) {
			if gone(id) {
				w.Skipped = append(w.Skipped, id)
			}
		}
		hadStep := len(w.Current) > 0
		w.Pending = slices.DeleteFunc(w.Pending, gone)
		w.Current = slices.DeleteFunc(w.Current, gone)
		if len(w.Current) == 0 && (hadStep || len(w.Pending) == 0) {
			s.settleWave(w)
		}
	}
}

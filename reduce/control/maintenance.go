package control

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
)

// applyMaintenance folds the records about drains, moves, waves and
// rehearsals.
func (s *State) applyMaintenance(at fleet.Offset, body Body) (Outcome, string) {
	switch r := body.(type) {
	case Drain:
		return s.drain(at, r)
	case FinishDrain:
		return s.finishDrain(at, r)
	case Return:
		return s.returnInstance(at, r)
	case Restore:
		return s.restore(at, r)
	case Fail:
		return s.fail(at, r)
	case Undrain:
		return s.undrain(at, r)
	case Move:
		return s.move(at, r)
	default:
		return s.applyWave(at, body)
	}
}

func (s *State) applyWave(at fleet.Offset, body Body) (Outcome, string) {
	switch r := body.(type) {
	case StartWave:
		return s.startWave(at, r)
	case StepWave:
		return s.stepWave(at, r)
	case PauseWave:
		return s.pauseWave(at, r)
	case ResumeWave:
		return s.resumeWave(at, r)
	case AbortWave:
		return s.abortWave(at, r)
	case StartRehearsal:
		return s.startRehearsal(at, r)
	case EndRehearsal:
		return s.endRehearsal(at, r)
	default:
		return Invalid, fmt.Sprintf("unknown record type %T", body)
	}
}

// IsUnderMaintenance reports whether any instance is out of service, or any wave
// or rehearsal under way.
func (s *State) IsUnderMaintenance() bool {
	return len(s.outOfService) > 0 || len(s.Waves.Active) > 0 || s.Rehearsals.Active != nil
}

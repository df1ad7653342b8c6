package control

import "github.com/banyanrail/banyanrail/fleet"

// Rebase completes an operator's record: it replaces CurrentEpoch by the epoch
// in force, and a move that needs a drain by the drain.
func (s *State) Rebase(body Body) Body {
	switch r := body.(type) {
	case Drain:
		r.Base = s.epochOr(r.Base, r.Instance)
		return r
	case Undrain:
		r.Base = s.epochOr(r.Base, r.Instance)
		return r
	case Move:
		return s.rebaseMove(r)
	case PauseWave:
		r.Base = s.waveEpochOr(r.Base, r.Wave)
		return r
	case ResumeWave:
		r.Base = s.waveEpochOr(r.Base, r.Wave)
		return r
	case AbortWave:
		r.Base = s.waveEpochOr(r.Base, r.Wave)
		return r
	case EndRehearsal:
		r.Base = s.rehearsalEpochOr(r.Base, r.Rehearsal)
		return r
	default:
		return body
	}
}

func (s *State) epochOr(base fleet.Offset, id fleet.InstanceID) fleet.Offset {
	if base != CurrentEpoch {
		return base
	}
	return s.Drains[id].Epoch
}

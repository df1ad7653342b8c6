package reduce

import "github.com/banyanrail/banyanrail/reduce/effect"

// onStopAsked takes the entry out of the balancer; requests in flight finish.
func (s *State) onStopAsked() {
	if s.stopping {
		return
	}
	s.stopping, s.ready = true, false
	s.emit(effect.SetReady{Ready: false})
	s.hastenHeartbeat()
	s.followHolders()
	s.emit(effect.LogChange{Change: effect.ChangeStopping, Version: s.control.Version})
}

// finishStop reports once that nothing is left in flight and that the outcomes
// of all claims are in the log.
func (s *State) finishStop() {
	if !s.stopping || s.stopped || s.requests.Len() > 0 || !s.claimsSettled() {
		return
	}
	s.stopped = true
	s.emit(effect.Stopped{})
}

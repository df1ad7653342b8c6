package reduce

import "github.com/banyanrail/banyanrail/reduce/effect"

// onStopRequested makes the entry not ready, so that the load balancer sends it
// no new requests. Requests in flight finish.
func (s *State) onStopRequested() {
	if s.stopping {
		return
	}
	s.stopping, s.ready = true, false
	s.emit(effect.SetReady{Ready: false})
	s.scheduleEarlyHeartbeat()
	s.updateHolders()
	s.emit(effect.LogChange{Change: effect.ChangeStopping, Version: s.control.Version})
}

// finishStop emits Stopped once, when no request is left and the log holds the
// outcomes of all claims.
func (s *State) finishStop() {
	if !s.stopping || s.stopped || s.requests.Len() > 0 || !s.claimsSettled() {
		return
	}
	s.stopped = true
	s.emit(effect.Stopped{})
}

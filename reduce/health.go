package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/health"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/placement"
	"github.com/banyanrail/banyanrail/reduce/requests"
)

const (
	// hangFactor and minHang are the limits of a hanging attempt: it lasts at
	// least hangFactor times the expected run time, and at least minHang. An
	// attempt that a deadline or its caller ended earlier does not count against
	// the endpoint.
	hangFactor = 5
	minHang    = time.Second
	// firstServerError is the lowest HTTP status of a server error.
	firstServerError = 500
)

// applyDelta applies a change of the services text or of instances' pools.
func (s *State) applyDelta(d *fleet.Delta) {
	for _, id := range s.placement.ApplyDelta(d) {
		if r, ok := s.requests.Get(id); ok {
			s.refuseRequest(r, fleet.ReasonNoCapacity)
		}
		s.denyForRemovedPool(id)
	}
	s.updateShares()
	s.updateHolders()
	for _, removed := range s.health.ApplyDelta(d) {
		s.timers.Clear(&removed.Timer)
	}
	for i := range d.Instances {
		if it, ok := s.health.Get(d.Instances[i].ID); ok {
			s.applyLimit(it)
		}
	}
}

// applyLimit applies an instance's health to placement.
func (s *State) applyLimit(it *health.Instance) {
	s.placement.SetLimit(it.ID, s.probationLimit(it.ID, it.Limit()))
	s.placement.SetPaused(it.ID, it.Phase == health.Paused)
}

// assessAttempt determines what the end of an attempt says about its instance
// and about the run times of its service, and applies it.
func (s *State) assessAttempt(r *requests.Request, ev event.AttemptFinished) message.SlotRelease {
	release := message.SlotRelease{
		Slot:    message.Slot{Request: r.ID, Instance: ev.Instance},
		HeldFor: ev.Elapsed,
	}
	switch {
	case ev.Leaving:
		release.Verdict = message.VerdictLeaving
	case ev.Outcome == event.AttemptRefused:
		release.Verdict = message.VerdictRefused
	case ev.Outcome == event.AttemptAnswered && ev.Status < firstServerError:
		release.Verdict = message.VerdictGood
	case s.isInstanceFailure(r, ev):
		release.Verdict, release.NotAtFault = attributeFailure(r, ev)
	}
	if ev.Outcome == event.AttemptAnswered && ev.Status < firstServerError {
		release.RunTime = ev.Elapsed
	}
	s.applyOutcome(r.Grant, release)
	return release
}

// applyOutcome applies the end of an attempt, at this entry or another, to the
// health of its instance and to the run times of its service.
func (s *State) applyOutcome(g placement.Grant, release message.SlotRelease) {
	if release.RunTime > 0 {
		s.placement.ObserveRunTime(g, release.RunTime)
	}
	if release.NotAtFault != "" {
		s.revertFailure(release.NotAtFault)
	}
	it, ok := s.health.Get(release.Instance)
	if ok && s.applyVerdict(it, release.Verdict) {
		s.applyHealth(it)
	}
}

// applyVerdict applies a verdict to the health of an instance, and reports
// whether it may have changed.
func (s *State) applyVerdict(it *health.Instance, v message.Verdict) bool {
	switch v {
	case message.VerdictLeaving:
		return s.health.MarkLeaving(it)
	case message.VerdictRefused:
		s.health.RecordRefusal(it, s.placement.Running(it.ID))
		return true
	case message.VerdictGood:
		return s.health.RecordSuccess(it)
	case message.VerdictFailed:
		if s.health.RecordFailure(it) {
			s.emit(effect.Count{Name: effect.InstancesEjected, N: 1})
		}
		return true
	default:
		return false
	}
}

// isInstanceFailure reports whether the end of an attempt is a failure of its
// instance.
func (s *State) isInstanceFailure(r *requests.Request, ev event.AttemptFinished) bool {
	cutOff := r.Phase != requests.Running || !s.now.Before(r.Deadline)
	switch ev.Outcome {
	case event.AttemptAnswered:
		return true
	case event.AttemptSkipped:
		return false
	case event.AttemptNotSent:
		return !cutOff
	default:
		hang := max(minHang, hangFactor*s.placement.ExpectedRunTime(r.Grant))
		return !cutOff || ev.Elapsed >= hang
	}
}

// attributeFailure decides whether a failure counts against its instance. A
// request that breaks on several instances is itself at fault: its failures
// count against none of them, and the instance of an earlier failure that was
// counted is returned, for the failure to be reverted.
func attributeFailure(r *requests.Request, ev event.AttemptFinished) (message.Verdict, fleet.InstanceID) {
	if ev.Outcome != event.AttemptBroken {
		return message.VerdictFailed, ""
	}
	if r.Poison {
		return message.VerdictNone, ""
	}
	if r.Blamed != "" && r.Blamed != ev.Instance {
		r.Poison = true
		return message.VerdictNone, r.Blamed
	}
	r.Blamed = ev.Instance
	return message.VerdictFailed, ""
}

// revertFailure reverts a failure that was counted against an instance.
func (s *State) revertFailure(id fleet.InstanceID) {
	it, ok := s.health.Get(id)
	if !ok {
		return
	}
	s.health.RevertFailure(it)
	s.applyHealth(it)
}

// applyHealth applies a change of an instance's health: its limit, the timer of
// its next probe, and a log line if its phase has changed.
func (s *State) applyHealth(it *health.Instance) {
	s.applyLimit(it)
	changed, notable := it.TakePhaseChange()
	if changed {
		s.armHealthTimer(it)
	}
	if notable {
		s.emit(effect.LogChange{
			Change: effect.ChangeHealth,
			Detail: string(it.ID) + " " + it.Phase.String(),
		})
	}
	s.grant(it.Pool)
}

func (s *State) armHealthTimer(it *health.Instance) {
	switch it.Phase {
	case health.Paused, health.Ejected, health.Leaving:
		s.timers.Set(&it.Timer, s.now.Add(it.TimerDelay()), it)
	default:
		s.timers.Clear(&it.Timer)
	}
}

// onHealthTimer probes an instance or ends its pause.
func (s *State) onHealthTimer(it *health.Instance) {
	wait, probe := s.health.HandleTimer(it)
	if probe {
		s.emit(effect.Probe{Instance: it.ID, Address: it.Address()})
		s.timers.Set(&it.Timer, s.now.Add(wait), it)
		return
	}
	s.armHealthTimer(it)
	s.applyHealth(it)
}

func (s *State) onProbeFinished(ev event.ProbeFinished) {
	it, ok := s.health.Get(ev.Instance)
	if !ok || !it.Probing() {
		return
	}
	s.health.RecordProbe(it, ev.OK, ev.Leaving)
	s.armHealthTimer(it)
	s.applyHealth(it)
}

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
	// hangFactor is how many times the expected run time, and minHang how long
	// at least, an attempt has to last for its end by a deadline or by its
	// caller to count against the endpoint.
	hangFactor = 5
	minHang    = time.Second
	// firstServerError is the lowest HTTP status of a server's failure.
	firstServerError = 500
)

// followChange follows a change of the services text or of instances' pools.
func (s *State) followChange(d *fleet.Delta) {
	for _, id := range s.placement.ApplyDelta(d) {
		if r, ok := s.requests.Get(id); ok {
			s.refuseRequest(r, fleet.ReasonNoCapacity)
		}
		s.denyOrphan(id)
	}
	s.updateShares()
	s.followHolders()
	for _, gone := range s.health.ApplyDelta(d) {
		s.timers.Clear(&gone.Timer)
	}
	for i := range d.Instances {
		if it, ok := s.health.Get(d.Instances[i].ID); ok {
			s.limit(it)
		}
	}
}

// limit applies what is known of an instance's health to placement.
func (s *State) limit(it *health.Instance) {
	s.placement.SetLimit(it.ID, s.probationLimit(it.ID, it.Limit()))
	s.placement.SetPaused(it.ID, it.Phase == health.Paused)
}

// judge draws conclusions from the end of an attempt about its instance, and
// about the run times of its service.
func (s *State) judge(r *requests.Request, ev event.AttemptFinished) message.SlotRelease {
	done := message.SlotRelease{
		Slot:    message.Slot{Request: r.ID, Instance: ev.Instance},
		HeldFor: ev.Elapsed,
	}
	switch {
	case ev.Leaving:
		done.Verdict = message.VerdictLeaving
	case ev.Outcome == event.AttemptRefused:
		done.Verdict = message.VerdictRefused
	case ev.Outcome == event.AttemptAnswered && ev.Status < firstServerError:
		done.Verdict = message.VerdictGood
	case s.failed(r, ev):
		done.Verdict, done.NotAtFault = blame(r, ev)
	}
	if ev.Outcome == event.AttemptAnswered && ev.Status < firstServerError {
		done.RunTime = ev.Elapsed
	}
	s.learn(r.Grant, done)
	return done
}

// learn applies what the end of an attempt, here or at another entry, says
// about its instance and about the run times of its service.
func (s *State) learn(g placement.Grant, done message.SlotRelease) {
	if done.RunTime > 0 {
		s.placement.ObserveRunTime(g, done.RunTime)
	}
	if done.NotAtFault != "" {
		s.forgive(done.NotAtFault)
	}
	it, ok := s.health.Get(done.Instance)
	if ok && s.apply(it, done.Verdict) {
		s.follow(it)
	}
}

// apply reports whether the verdict changed what is known of the instance.
func (s *State) apply(it *health.Instance, v message.Verdict) bool {
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

// failed reports whether the attempt's end is a failure of its instance.
func (s *State) failed(r *requests.Request, ev event.AttemptFinished) bool {
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

// blame says whether a failure counts against its instance. A request that
// breaks on several instances is at fault itself: none of them is blamed for
// it, and the one that was is forgiven.
func blame(r *requests.Request, ev event.AttemptFinished) (message.Verdict, fleet.InstanceID) {
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

func (s *State) forgive(id fleet.InstanceID) {
	it, ok := s.health.Get(id)
	if !ok {
		return
	}
	s.health.RevertFailure(it)
	s.follow(it)
}

// follow applies a change of an instance's health: its limit, the timer of its
// next probe, and a log line when its phase is another than before.
func (s *State) follow(it *health.Instance) {
	s.limit(it)
	changed, notable := it.TakePhaseChange()
	if changed {
		s.arm(it)
	}
	if notable {
		s.emit(effect.LogChange{
			Change: effect.ChangeHealth,
			Detail: string(it.ID) + " " + it.Phase.String(),
		})
	}
	s.grant(it.Pool)
}

func (s *State) arm(it *health.Instance) {
	switch it.Phase {
	case health.Paused, health.Ejected, health.Leaving:
		s.timers.Set(&it.Timer, s.now.Add(it.TimerDelay()), it)
	default:
		s.timers.Clear(&it.Timer)
	}
}

// onHealthDue probes an instance or ends its pause.
func (s *State) onHealthDue(it *health.Instance) {
	wait, probe := s.health.HandleTimer(it)
	if probe {
		s.emit(effect.Probe{Instance: it.ID, Address: it.Address()})
		s.timers.Set(&it.Timer, s.now.Add(wait), it)
		return
	}
	s.arm(it)
	s.follow(it)
}

func (s *State) onProbeFinished(ev event.ProbeFinished) {
	it, ok := s.health.Get(ev.Instance)
	if !ok || !it.Probing() {
		return
	}
	s.health.RecordProbe(it, ev.OK, ev.Leaving)
	s.arm(it)
	s.follow(it)
}

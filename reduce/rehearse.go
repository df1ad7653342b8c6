package reduce

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/health"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

// onForecastRequested replies with the forecast of the loss of a failure
// domain. It changes nothing.
func (s *State) onForecastRequested(ev event.ForecastRequested) {
	reply := effect.ReplyForecast{ID: ev.ID, Forecast: effect.Forecast{Domain: ev.Domain}}
	if s.control.Text != nil {
		reply.Forecast.Instances = s.instancesIn(ev.Domain)
		reply.Forecast.Services = s.control.ForecastLoss(ev.Domain, s.observedDemand(), s.unhealthy())
	}
	s.emit(reply)
}

func (s *State) instancesIn(d rehearsal.Domain) int {
	n := 0
	for i := range s.control.Text.Instances {
		if d.Contains(&s.control.Text.Instances[i]) {
			n++
		}
	}
	return n
}

// observedDemand returns the demand of the services that had requests, or
// nothing until the samples cover the whole long window.
func (s *State) observedDemand() planner.Demand {
	demand := make(planner.Demand)
	if s.control.Text == nil || !s.usage.CoversLongWindow(s.now) {
		return demand
	}
	for i := range s.control.Text.Services {
		name := s.control.Text.Services[i].Name
		if d := s.usage.Demand(name, s.now); d > 0 {
			demand[name] = d
		}
	}
	return demand
}

// failing returns the instances that get no requests because they are ejected
// or leaving, in the order of the text.
func (s *State) failing() []fleet.InstanceID {
	return slices.DeleteFunc(s.unhealthy(), func(id fleet.InstanceID) bool {
		it, ok := s.health.Get(id)
		return ok && it.Phase == health.Probation
	})
}

// unhealthy returns the instances that this entry does not use fully because
// they are ejected, on probation after an ejection, or leaving, in the order of
// the text.
func (s *State) unhealthy() []fleet.InstanceID {
	var ids []fleet.InstanceID
	if s.control.Text == nil {
		return ids
	}
	for i := range s.control.Text.Instances {
		id := s.control.Text.Instances[i].ID
		it, ok := s.health.Get(id)
		switch {
		case s.drains.IsLeaving(id, s.control.Offset):
			ids = append(ids, id)
		case ok && (it.Phase == health.Ejected || it.Phase == health.Probation || it.Phase == health.Leaving):
			ids = append(ids, id)
		}
	}
	return ids
}

// unavailable returns the instances that are out of service, on probation, or
// unhealthy.
func (s *State) unavailable() map[fleet.InstanceID]bool {
	out := make(map[fleet.InstanceID]bool)
	for _, id := range s.control.OutOfService() {
		out[id] = true
	}
	for _, id := range s.unhealthy() {
		out[id] = true
	}
	return out
}

// addObservations adds what this entry has observed to an operator's record
// about a rehearsal.
func (s *State) addObservations(body control.Body) control.Body {
	switch r := body.(type) {
	case control.StartRehearsal:
		r.Demand, r.Unhealthy = s.observedDemand(), s.unhealthy()
		return r
	case control.EndRehearsal:
		if active := s.control.Rehearsals.Active; active != nil && active.ID == r.Rehearsal {
			s.watchRehearsal()
			r.Watched, r.Observed = s.now.Sub(s.rehearsal.Since), s.observed()
		}
		return r
	default:
		return body
	}
}

// applyRehearsalRecord updates placement after a record about a rehearsal.
func (s *State) applyRehearsalRecord(body control.Body) {
	switch r := body.(type) {
	case control.StartRehearsal:
		active := s.control.Rehearsals.Active
		s.onRehearsalChanged(active, "started in "+r.Domain.String())
		s.watchRehearsal()
	case control.EndRehearsal:
		ended := s.control.Rehearsals.Ended
		last := ended[len(ended)-1]
		s.onRehearsalChanged(last, "ended: "+last.Reason.String()+" "+last.Detail)
	}
}

func (s *State) onRehearsalChanged(r *control.Rehearsal, change string) {
	s.emit(effect.LogChange{
		Change: effect.ChangeRehearsal, Version: s.control.Version,
		Detail: fmt.Sprintf("rehearsal %d %s", r.ID, change),
	})
	for _, id := range r.Instances {
		if _, known := s.control.Pools[id]; known {
			s.onPhaseChanged(id)
		}
	}
}

// watchRehearsal samples every service while a rehearsal is under way.
func (s *State) watchRehearsal() {
	r := s.control.Rehearsals.Active
	if r == nil {
		return
	}
	s.rehearsal.Track(r.ID, s.now)
	slots := s.availableSlots()
	for i := range s.control.Text.Services {
		svc := &s.control.Text.Services[i]
		total := s.usage.Total(svc.Name)
		s.rehearsal.Observe(svc.Name, rehearsal.Sample{
			Answered: total.Answered,
			Failed:   total.Failed,
			Slots:    slots[svc.Pool],
			Burn:     s.usage.BurnRate(svc, s.now).Long,
		})
	}
}

// availableSlots returns the slots of the available instances of each pool.
func (s *State) availableSlots() map[fleet.PoolName]int {
	slots := make(map[fleet.PoolName]int)
	out := s.unavailable()
	for i := range s.control.Text.Instances {
		id := s.control.Text.Instances[i].ID
		if pool, ok := s.control.Text.Pool(s.control.Pools[id]); ok && !out[id] {
			slots[pool.Name] += pool.Capacity()
		}
	}
	return slots
}

// observed returns the observations of each service, in the order of the text.
func (s *State) observed() []rehearsal.Observed {
	var all []rehearsal.Observed
	for i := range s.control.Text.Services {
		if o, ok := s.rehearsal.Observed(s.control.Text.Services[i].Name); ok {
			all = append(all, o)
		}
	}
	return all
}

// stepRehearsal proposes the end of the rehearsal when its duration has passed
// or a budget burns too fast. Any entry may propose it; the fold accepts one
// proposal.
func (s *State) stepRehearsal() {
	r := s.control.Rehearsals.Active
	if r == nil {
		return
	}
	s.rehearsal.Track(r.ID, s.now)
	reason, detail := s.rehearsalEnd(r)
	if reason == 0 || !s.isCurrent() {
		s.rehearsal.DueSince = time.Time{}
		return
	}
	w := &s.rehearsal
	if w.DueSince.IsZero() {
		w.DueSince = s.now
	}
	wait := time.Duration(s.peers.Rank(fmt.Sprintf("rehearsal-%d", r.ID))) * drains.ProposeStagger
	if s.now.Sub(w.DueSince) < wait || s.now.Sub(w.ProposedAt) < drains.ProposeRetry {
		return
	}
	w.ProposedAt = s.now
	s.watchRehearsal()
	s.emit(effect.Append{Record: control.Record{
		ID:     fleet.RecordID(fmt.Sprintf("end-rehearsal/%d/%s/%d", r.ID, reason, s.control.Offset)),
		Time:   s.now,
		Author: string(s.cfg.Entry),
		Body: control.EndRehearsal{
			Rehearsal: r.ID, Base: r.Epoch, Reason: reason, Detail: detail,
			Watched: s.now.Sub(w.Since), Observed: s.observed(),
		},
	}, Deadline: s.now.Add(drains.ProposeRetry)})
}

// rehearsalEnd returns why a rehearsal has to end now, or zero. The start time
// in the record is by another entry's clock; if that clock is ahead, the time
// at which this entry first saw the rehearsal replaces it.
func (s *State) rehearsalEnd(r *control.Rehearsal) (control.RehearsalEnd, string) {
	for i := range s.control.Text.Services {
		svc := &s.control.Text.Services[i]
		if s.usage.BurnsTooFast(svc, s.now) {
			burn := s.usage.BurnRate(svc, s.now)
			return control.EndBudget, fmt.Sprintf("%s burns its budget at %.0f times the allowed rate", svc.Name, burn.Long)
		}
	}
	started := r.Started
	if started.IsZero() || started.After(s.rehearsal.Since) {
		started = s.rehearsal.Since
	}
	if s.now.Sub(started) >= r.Duration {
		return control.EndDone, ""
	}
	return 0, ""
}

func (s *State) rehearsalStatuses() []effect.RehearsalStatus {
	var all []effect.RehearsalStatus
	for _, r := range s.control.Rehearsals.Ended {
		all = append(all, rehearsalStatus(r))
	}
	if r := s.control.Rehearsals.Active; r != nil {
		st := rehearsalStatus(r)
		st.Phase = "running"
		if s.rehearsal.ID == r.ID {
			st.Watched, st.Observed = s.now.Sub(s.rehearsal.Since), s.observed()
		}
		all = append(all, st)
	}
	return all
}

func rehearsalStatus(r *control.Rehearsal) effect.RehearsalStatus {
	st := effect.RehearsalStatus{
		ID: r.ID, Domain: r.Domain, Note: r.Note, Forced: r.Forced, Phase: "ended",
		Started: r.Started, Duration: r.Duration, Detail: r.Detail,
		Instances: r.Instances, Forecast: r.Forecast, Watched: r.Watched, Observed: r.Observed,
	}
	if r.Reason != 0 {
		st.Reason, st.Ended = r.Reason.String(), r.Ended
	}
	return st
}

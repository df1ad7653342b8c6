package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/rehearsal"
)

// maxEndedRehearsals is the number of ended rehearsals that are kept.
const maxEndedRehearsals = 8

// StartRehearsal drains all instances of a failure domain for a time, as a
// rehearsal of its loss.
type StartRehearsal struct {
	Domain   rehearsal.Domain
	Duration time.Duration
	// Note gives the reason for the rehearsal, for operators.
	Note string
	// Force starts the rehearsal even if a service is forecast to break.
	Force bool
	// Demand and Unhealthy are the demand and the unhealthy instances that the
	// proposing entry observes. The forecast is made from them and from the fold
	// at the record's offset.
	Demand    planner.Demand
	Unhealthy []fleet.InstanceID
}

// EndRehearsal ends a rehearsal and undrains the instances that it drained.
type EndRehearsal struct {
	// Base is the epoch of the rehearsal that the record is based on.
	Rehearsal, Base fleet.Offset
	Reason          RehearsalEnd
	Detail          string
	// Watched is how long the proposing entry has observed the rehearsal, and
	// Observed what it observed.
	Watched  time.Duration
	Observed []rehearsal.Observed
}

func (StartRehearsal) isRecord() {}
func (EndRehearsal) isRecord()   {}

// RehearsalEnd says why a rehearsal ended.
type RehearsalEnd uint8

// Reasons for the end of a rehearsal.
const (
	// EndDone means that the duration of the rehearsal had elapsed.
	EndDone RehearsalEnd = iota + 1
	// EndOperator means that an operator stopped the rehearsal.
	EndOperator
	// EndBudget means that a service burnt its availability budget too fast.
	EndBudget
	// EndConflict means that a new services text no longer listed any instance
	// of the rehearsal.
	EndConflict
)

var rehearsalEndNames = [...]string{
	EndDone:     "done",
	EndOperator: "operator",
	EndBudget:   "budget",
	EndConflict: "conflict",
}

// String returns the reason's name.
func (r RehearsalEnd) String() string { return nameOf(rehearsalEndNames[:], int(r)) }

// Rehearsal is the state of one rehearsal.
type Rehearsal struct {
	// ID is the offset of the StartRehearsal record, and Epoch that of the last
	// record that changed the rehearsal.
	ID, Epoch fleet.Offset
	Domain    rehearsal.Domain
	Note      string
	Forced    bool
	// Started and Ended are the times of the records that started and ended the
	// rehearsal, by their authors' clocks.
	Started, Ended time.Time
	Duration       time.Duration
	// Instances are the instances that the rehearsal drained.
	Instances []fleet.InstanceID
	Forecast  []rehearsal.Service
	// Reason is zero while the rehearsal runs.
	Reason   RehearsalEnd
	Detail   string
	Watched  time.Duration
	Observed []rehearsal.Observed
}

func (r *Rehearsal) clone() *Rehearsal {
	c := *r
	c.Instances = slices.Clone(r.Instances)
	c.Forecast = slices.Clone(r.Forecast)
	c.Observed = slices.Clone(r.Observed)
	return &c
}

// Rehearsals holds the rehearsal under way, if any, and the last ones that
// ended.
type Rehearsals struct {
	Active *Rehearsal
	Ended  []*Rehearsal
}

// clone returns a copy that shares nothing with r.
func (r *Rehearsals) clone() Rehearsals {
	var c Rehearsals
	if r.Active != nil {
		c.Active = r.Active.clone()
	}
	for _, e := range r.Ended {
		c.Ended = append(c.Ended, e.clone())
	}
	return c
}

func (s *State) startRehearsal(at fleet.Offset, r StartRehearsal) (Outcome, string) {
	if out, why := s.checkRehearsal(r); out != Accepted {
		return out, why
	}
	instances := s.openInstancesOf(r.Domain)
	if len(instances) == 0 {
		return Invalid, fmt.Sprintf("no instance of %s is in service", r.Domain)
	}
	if why := s.waveInPools(s.poolsOf(instances)); why != "" {
		return Conflict, why
	}
	forecast := s.ForecastLoss(r.Domain, r.Demand, r.Unhealthy)
	if broken := rehearsal.Broken(forecast); len(broken) > 0 && !r.Force {
		return Conflict, "forecast to break: " + rehearsal.Explain(broken)
	}
	for _, id := range instances {
		s.setMaintenance(id, Maintenance{Epoch: at, Phase: Draining, Reason: ReasonRehearsal, Purpose: PurposeHold})
	}
	s.Rehearsals.Active = &Rehearsal{
		ID: at, Epoch: at, Domain: r.Domain, Note: r.Note, Forced: r.Force,
		Started: s.time, Duration: r.Duration, Instances: instances, Forecast: forecast,
	}
	return Accepted, ""
}

func (s *State) checkRehearsal(r StartRehearsal) (Outcome, string) {
	switch active := s.Rehearsals.Active; {
	case s.Text == nil:
		return Invalid, "no services text is in force"
	case r.Domain.DataCentre == "":
		return Invalid, "the rehearsal names no data centre"
	case r.Duration <= 0:
		return Invalid, "the rehearsal has no duration"
	case active != nil:
		return Conflict, fmt.Sprintf("rehearsal %d of %s is under way", active.ID, active.Domain)
	default:
		return Accepted, ""
	}
}

// openInstancesOf returns the instances of a domain that take requests, in the
// order of the text.
func (s *State) openInstancesOf(d rehearsal.Domain) []fleet.InstanceID {
	var ids []fleet.InstanceID
	for i := range s.Text.Instances {
		in := &s.Text.Instances[i]
		if _, known := s.Pools[in.ID]; known && d.Contains(in) && !s.Drains[in.ID].IsClosed() {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

func (s *State) poolsOf(ids []fleet.InstanceID) map[fleet.PoolName]bool {
	pools := make(map[fleet.PoolName]bool)
	for _, id := range ids {
		pools[s.Pools[id]] = true
	}
	return pools
}

// waveInPools describes a wave that has pending or current instances in one of
// the pools; it returns an empty string if there is none.
func (s *State) waveInPools(pools map[fleet.PoolName]bool) string {
	for _, w := range s.Waves.Active {
		for _, id := range slices.Concat(w.Current, w.Pending) {
			if pools[s.Pools[id]] {
				return fmt.Sprintf("wave %d is %s in pool %s", w.ID, w.Phase, s.Pools[id])
			}
		}
	}
	return ""
}

// rehearsalInPools describes the rehearsal under way if it has drained an
// instance of one of the pools; it returns an empty string otherwise.
func (s *State) rehearsalInPools(pools map[fleet.PoolName]bool) string {
	r := s.Rehearsals.Active
	if r == nil {
		return ""
	}
	for _, id := range r.Instances {
		if pools[s.Pools[id]] {
			return fmt.Sprintf("rehearsal %d of %s is under way in pool %s", r.ID, r.Domain, s.Pools[id])
		}
	}
	return ""
}

// ForecastLoss forecasts the effect that losing a domain now would have on each
// service.
func (s *State) ForecastLoss(d rehearsal.Domain, demand planner.Demand, unhealthy []fleet.InstanceID) []rehearsal.Service {
	unavailable := s.disruptionInput().Unavailable
	for _, id := range unhealthy {
		unavailable[id] = true
	}
	return rehearsal.Forecast(rehearsal.Input{
		Text: s.Text, Pools: s.Pools, Unavailable: unavailable, Domain: d,
		Demand: planner.Merge(planner.Declared(s.Text), demand),
	})
}

func (s *State) endRehearsal(at fleet.Offset, r EndRehearsal) (Outcome, string) {
	active := s.Rehearsals.Active
	switch {
	case active == nil || active.ID != r.Rehearsal:
		return Conflict, fmt.Sprintf("there is no rehearsal %d under way", r.Rehearsal)
	case active.Epoch != r.Base:
		return Conflict, fmt.Sprintf("based on epoch %d of rehearsal %d, but it is at epoch %d", r.Base, r.Rehearsal, active.Epoch)
	case r.Reason == 0 || r.Reason > EndConflict:
		return Invalid, "the record gives no valid reason for the end of the rehearsal"
	}
	active.Watched, active.Observed = r.Watched, r.Observed
	s.closeRehearsal(at, r.Reason, r.Detail)
	return Accepted, ""
}

// closeRehearsal ends the rehearsal and undrains its instances, except those
// that an operator has drained or undrained since.
func (s *State) closeRehearsal(at fleet.Offset, reason RehearsalEnd, detail string) {
	r := s.Rehearsals.Active
	for _, id := range r.Instances {
		m := s.Drains[id]
		_, known := s.Pools[id]
		switch {
		case !known || m.Reason != ReasonRehearsal:
		case m.Phase == Draining:
			s.setPhase(id, at, InService)
		case m.Phase == Drained:
			s.setPhase(id, at, Probation)
		}
	}
	r.Epoch, r.Ended, r.Reason, r.Detail = at, s.time, reason, detail
	s.Rehearsals.Active = nil
	s.Rehearsals.Ended = append(s.Rehearsals.Ended, r)
	if extra := len(s.Rehearsals.Ended) - maxEndedRehearsals; extra > 0 {
		s.Rehearsals.Ended = slices.Delete(s.Rehearsals.Ended, 0, extra)
	}
}

// pruneRehearsal ends the rehearsal if a new text lists none of its instances.
func (s *State) pruneRehearsal(at fleet.Offset) {
	r := s.Rehearsals.Active
	if r == nil {
		return
	}
	for _, id := range r.Instances {
		if _, known := s.Pools[id]; known {
			return
		}
	}
	s.closeRehearsal(at, EndConflict, "the services text no longer lists its instances")
}

func (s *State) rehearsalEpochOr(base, id fleet.Offset) fleet.Offset {
	r := s.Rehearsals.Active
	if base != CurrentEpoch || r == nil || r.ID != id {
		return base
	}
	return r.Epoch
}

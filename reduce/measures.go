package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/planner"
)

// startRollOut starts to time the roll-out of a version. Versions that an entry
// reads while it replays the log are not timed, because the time of their
// publication is not known.
func (s *State) startRollOut(record fleet.RecordID) {
	if _, own := s.proposals[record]; own || s.drains.CaughtUp {
		s.measures.RecordPublished(s.control.Version, s.now)
		s.updateRollOuts()
	}
}

// updateRollOuts records which versions are in force at all live entries.
func (s *State) updateRollOuts() {
	oldest := s.control.Version
	for _, id := range s.peers.Alive() {
		if p, ok := s.peers.Get(id); ok {
			oldest = min(oldest, p.Version)
		}
	}
	s.measures.RecordInForce(oldest, s.now)
}

// reportMeasures emits the gauges.
func (s *State) reportMeasures() {
	buffer := s.measures.Buffer()
	s.emit(effect.Gauge{Name: effect.BufferInstances, Value: float64(buffer.Idle)})
	s.emit(effect.Gauge{Name: effect.BufferCost, Value: buffer.Cost})
	s.emit(effect.Gauge{Name: effect.RollOutSeconds, Value: s.measures.RollOuts().Last.Seconds()})
	if last, ok := s.lastWave(); ok {
		s.emit(effect.Gauge{Name: effect.WaveSeconds, Value: last.Ended.Sub(last.Started).Seconds()})
	}
	s.emit(effect.Gauge{Name: effect.Moves, Value: float64(s.control.Moves)})
	for _, svc := range s.serviceStatuses() {
		s.emit(effect.Gauge{Name: effect.ServiceDemand, Service: svc.Name, Value: svc.Demand})
		s.emit(effect.Gauge{Name: effect.BudgetBurnt, Service: svc.Name, Value: svc.Burnt})
		s.emit(effect.Gauge{Name: effect.BudgetBurnRate, Service: svc.Name, Value: svc.Burn})
	}
}

// lastWave returns the last wave that was completed.
func (s *State) lastWave() (*control.Wave, bool) {
	ended := s.control.Waves.Ended
	for i := len(ended) - 1; i >= 0; i-- {
		if ended[i].Phase == control.WaveDone {
			return ended[i], true
		}
	}
	return nil, false
}

func (s *State) measuresStatus() effect.Measures {
	return effect.Measures{Buffer: s.measures.Buffer(), RollOuts: s.measures.RollOuts(), Moves: s.control.Moves}
}

// serviceStatuses returns the demand and the budget of each service, in the
// order of the text.
func (s *State) serviceStatuses() []effect.ServiceStatus {
	if s.control.Text == nil {
		return nil
	}
	observed := s.observedDemand()
	demand := planner.Merge(planner.Declared(s.control.Text), observed)
	all := make([]effect.ServiceStatus, 0, len(s.control.Text.Services))
	for i := range s.control.Text.Services {
		svc := &s.control.Text.Services[i]
		total := s.usage.Total(svc.Name)
		_, seen := observed[svc.Name]
		burn := s.usage.BurnRate(svc, s.now)
		all = append(all, effect.ServiceStatus{
			Name: svc.Name, Pool: svc.Pool, Demand: demand[svc.Name], Observed: seen,
			Answered: total.Answered, Failed: total.Failed,
			Burn: burn.Long, BurnShort: burn.Short, Burnt: burnt(svc, total.Answered, total.Failed),
		})
	}
	return all
}

// burnt returns the failures so far as a share of the failures that the budget
// allows for the requests so far.
func burnt(svc *fleet.Service, answered, failed uint64) float64 {
	allowed := float64(answered+failed) * (1 - svc.Availability)
	if allowed <= 0 {
		return 0
	}
	return float64(failed) / allowed
}

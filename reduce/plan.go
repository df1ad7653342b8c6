package reduce

import (
	"fmt"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/planner"
	"github.com/banyanrail/banyanrail/reduce/usage"
)

// maxPlannedMoves is the number of moves under way, whoever ordered them, at
// which the planner orders no further move.
const maxPlannedMoves = 4

// planning holds the planner and the time of this entry's last proposal.
type planning struct {
	state      *planner.State
	proposedAt time.Time
}

func newPlanning() planning { return planning{state: planner.New()} }

// plan proposes a move that is due. Every entry tracks how long pools have been
// short, so that another entry can take over when the one that proposes has
// failed.
func (s *State) plan() {
	if s.control.Text == nil {
		return
	}
	if !s.isPlanning() {
		s.planning.state = planner.New()
	}
	in := s.planInput()
	needs := s.planning.state.Observe(in)
	s.measures.SampleIdle(s.now, needs, s.control.Text.Prices)
	if !s.isPlanning() || s.peers.Rank("planner") > 0 || s.stopping || !s.isCurrent() || !s.isPeerListComplete() {
		return
	}
	in.Frozen = s.control.PoolsWithoutAllowance()
	move, ok := s.planning.state.NextMove(in, needs)
	if !ok || len(in.Arriving) >= maxPlannedMoves || s.now.Sub(s.planning.proposedAt) < drains.ProposeRetry {
		return
	}
	s.planning.proposedAt = s.now
	s.emit(effect.Count{Name: effect.MovesProposed, N: 1})
	epoch := s.control.Drains[move.Instance].Epoch
	s.emit(effect.Append{Record: control.Record{
		ID:     fleet.RecordID(fmt.Sprintf("plan/%s/%d/%d", move.Instance, epoch, s.control.Offset)),
		Time:   s.now,
		Author: string(s.cfg.Entry),
		Body:   s.control.Rebase(control.Move{Instance: move.Instance, From: move.From, To: move.To, Base: epoch}),
	}, Deadline: s.now.Add(drains.ProposeRetry)})
}

// isPlanning reports whether the planner is on. Without prices in the text,
// moves are left to operators. Waves and rehearsals take instances out of
// service on purpose, so a shortage during them calls for no move.
func (s *State) isPlanning() bool {
	if s.control.Text.Prices == (fleet.Prices{}) || s.control.Rehearsals.Active != nil {
		return false
	}
	for _, w := range s.control.Waves.Active {
		if w.Phase == control.WaveRunning || len(w.Current) > 0 {
			return false
		}
	}
	return true
}

func (s *State) planInput() planner.Input {
	return planner.Input{
		Now:         s.now,
		Text:        s.control.Text,
		Pools:       s.control.Pools,
		Unavailable: s.unavailable(),
		Arriving:    s.control.Arriving(),
		Demand:      planner.Merge(planner.Declared(s.control.Text), s.observedDemand()),
		Peak:        s.peakDemand(),
	}
}

// peakDemand returns the demand of each service in its bursts, or nothing until
// the samples cover the whole long window.
func (s *State) peakDemand() planner.Demand {
	peak := make(planner.Demand)
	if !s.usage.CoversLongWindow(s.now) {
		return peak
	}
	for i := range s.control.Text.Services {
		svc := &s.control.Text.Services[i]
		peak[svc.Name] = s.usage.PeakDemand(svc.Name, s.now, min(svc.TimeLimit, usage.LongWindow))
	}
	return peak
}

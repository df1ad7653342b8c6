package reduce

import (
	"fmt"
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/drains"
	"github.com/banyanrail/banyanrail/reduce/effect"
)

// followWave brings placement in line with a record about a wave.
func (s *State) followWave(body control.Body) {
	switch r := body.(type) {
	case control.StartWave:
		active := s.control.Waves.Active
		s.waveChanged(active[len(active)-1].ID, "started")
	case control.StepWave:
		s.waveChanged(r.Wave, fmt.Sprintf("step drains %v", r.Instances))
		for _, id := range r.Instances {
			s.phaseChanged(id)
		}
	case control.PauseWave:
		s.waveChanged(r.Wave, "paused: "+r.Detail)
	case control.ResumeWave:
		s.waveChanged(r.Wave, "resumed")
	case control.AbortWave:
		s.waveChanged(r.Wave, "aborted")
	default:
		s.followRehearsal(body)
	}
}

func (s *State) waveChanged(id fleet.Offset, what string) {
	s.emit(effect.LogChange{
		Change: effect.ChangeWave, Version: s.control.Version,
		Detail: fmt.Sprintf("wave %d %s", id, what),
	})
}

// stepWaves proposes the next step of each wave that has none under way.
func (s *State) stepWaves() {
	active := make(map[fleet.Offset]bool, len(s.control.Waves.Active))
	for _, w := range s.control.Waves.Active {
		active[w.ID] = true
		s.stepWave(w)
	}
	s.drains.RetainWaves(active)
}

func (s *State) stepWave(w *control.Wave) {
	body, ok := s.nextOfWave(w)
	if !ok || !s.isCurrent() {
		s.drains.ForgetWave(w.ID)
		return
	}
	known := s.drains.Wave(w.ID, w.Epoch, s.now)
	wait := time.Duration(s.peers.Rank(fmt.Sprintf("wave-%d", w.ID))) * drains.ProposeStagger
	if s.now.Sub(known.DueSince) < wait {
		return
	}
	if !known.ProposedAt.IsZero() && s.now.Sub(known.ProposedAt) < drains.ProposeRetry {
		return
	}
	known.ProposedAt = s.now
	s.emit(effect.Append{Record: control.Record{
		ID:     fleet.RecordID(fmt.Sprintf("step/%d/%d/%d", w.ID, w.Epoch, s.control.Offset)),
		Time:   s.now,
		Author: string(s.cfg.Entry),
		Body:   body,
	}, Deadline: s.now.Add(drains.ProposeRetry)})
}

// maxBurn is the rate of a service's availability budget, over both windows,
// above which a wave starts no further step. At 1 the budget lasts its period.
const maxBurn = 2.0

// burning returns a service whose availability budget burns too fast.
func (s *State) burning() (fleet.ServiceName, bool) {
	if s.control.Text == nil {
		return "", false
	}
	for i := range s.control.Text.Services {
		svc := &s.control.Text.Services[i]
		if s.usage.BurnRate(svc, s.now).Exceeds(maxBurn) {
			return svc.Name, true
		}
	}
	return "", false
}

// nextOfWave returns the record that takes a wave further: its next step, or a
// pause when no instance can be spared and none is on its way back. A wave waits
// while a budget burns too fast, and while it is only for instances that fail on
// their own that none can be spared.
func (s *State) nextOfWave(w *control.Wave) (control.Body, bool) {
	if w.Phase != control.WaveRunning || len(w.Current) > 0 {
		return nil, false
	}
	if _, burning := s.burning(); burning {
		return nil, false
	}
	if step := s.control.NextStep(w, s.failing()); len(step) > 0 {
		return control.StepWave{Wave: w.ID, Base: w.Epoch, Instances: step}, true
	}
	if s.waitsForFailing(w) {
		return nil, false
	}
	for _, id := range s.control.OutOfService() {
		if s.control.Drains[id].IsReturning() {
			return nil, false
		}
	}
	return control.PauseWave{Wave: w.ID, Base: w.Epoch, Detail: "no pool can spare a pending instance"}, true
}

// waitsForFailing reports whether a wave would take a step if no instance failed
// on its own.
func (s *State) waitsForFailing(w *control.Wave) bool {
	failing := s.failing()
	return len(failing) > 0 && len(s.control.NextStep(w, failing)) == 0 && len(s.control.NextStep(w, nil)) > 0
}

func (s *State) waveStatuses() []effect.WaveStatus {
	var all []effect.WaveStatus
	for _, w := range s.control.Waves.Ended {
		all = append(all, waveStatus(w))
	}
	svc, burning := s.burning()
	for _, w := range s.control.Waves.Active {
		st := waveStatus(w)
		switch {
		case burning && w.Phase == control.WaveRunning:
			st.Detail = fmt.Sprintf("waits: the availability budget of %s burns too fast", svc)
		case s.waitsForFailing(w):
			st.Detail = "waits: no pool can spare an instance while others fail"
		}
		all = append(all, st)
	}
	return all
}

// waveStatus shares nothing with the state: its reader is another goroutine.
func waveStatus(w *control.Wave) effect.WaveStatus {
	return effect.WaveStatus{
		ID: w.ID, Phase: w.Phase.String(), Note: w.Note, Detail: w.Detail, Steps: w.Steps,
		Started: w.Started, Ended: w.Ended,
		Pending: len(w.Pending), Done: len(w.Done),
		Current: slices.Clone(w.Current), Failed: slices.Clone(w.Failed), Skipped: slices.Clone(w.Skipped),
	}
}

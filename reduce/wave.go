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

// applyWaveRecord updates placement after a record about a wave.
func (s *State) applyWaveRecord(body control.Body) {
	switch r := body.(type) {
	case control.StartWave:
		active := s.control.Waves.Active
		s.logWave(active[len(active)-1].ID, "started")
	case control.StepWave:
		s.logWave(r.Wave, fmt.Sprintf("step drains %v", r.Instances))
		for _, id := range r.Instances {
			s.onPhaseChanged(id)
		}
	case control.PauseWave:
		s.logWave(r.Wave, "paused: "+r.Detail)
	case control.ResumeWave:
		s.logWave(r.Wave, "resumed")
	case control.AbortWave:
		s.logWave(r.Wave, "aborted")
	default:
		s.applyRehearsalRecord(body)
	}
}

func (s *State) logWave(id fleet.Offset, change string) {
	s.emit(effect.LogChange{
		Change: effect.ChangeWave, Version: s.control.Version,
		Detail: fmt.Sprintf("wave %d %s", id, change),
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
	body, ok := s.nextWaveRecord(w)
	if !ok || !s.isCurrent() {
		s.drains.ForgetWave(w.ID)
		return
	}
	progress := s.drains.Wave(w.ID, w.Epoch, s.now)
	wait := time.Duration(s.peers.Rank(fmt.Sprintf("wave-%d", w.ID))) * drains.ProposeStagger
	if s.now.Sub(progress.DueSince) < wait {
		return
	}
	if !progress.ProposedAt.IsZero() && s.now.Sub(progress.ProposedAt) < drains.ProposeRetry {
		return
	}
	progress.ProposedAt = s.now
	s.emit(effect.Append{Record: control.Record{
		ID:     fleet.RecordID(fmt.Sprintf("step/%d/%d/%d", w.ID, w.Epoch, s.control.Offset)),
		Time:   s.now,
		Author: string(s.cfg.Entry),
		Body:   body,
	}, Deadline: s.now.Add(drains.ProposeRetry)})
}

// maxBurn is the burn rate of a service's availability budget, over both
// windows, above which a wave starts no further step. At a rate of 1 the budget
// lasts exactly for its period.
const maxBurn = 2.0

// burningService returns a service whose availability budget burns too fast.
func (s *State) burningService() (fleet.ServiceName, bool) {
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

// nextWaveRecord returns the record that advances a wave: its next step, or a
// pause if no instance can be spared and none is returning to service. A wave
// waits while a budget burns too fast, and while only instances that fail on
// their own keep others from being spared.
func (s *State) nextWaveRecord(w *control.Wave) (control.Body, bool) {
	if w.Phase != control.WaveRunning || len(w.Current) > 0 {
		return nil, false
	}
	if _, burning := s.burningService(); burning {
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
	svc, burning := s.burningService()
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

// waveStatus shares no memory with the state, because another goroutine reads
// the status.
func waveStatus(w *control.Wave) effect.WaveStatus {
	return effect.WaveStatus{
		ID: w.ID, Phase: w.Phase.String(), Note: w.Note, Detail: w.Detail, Steps: w.Steps,
		Started: w.Started, Ended: w.Ended,
		Pending: len(w.Pending), Done: len(w.Done),
		Current: slices.Clone(w.Current), Failed: slices.Clone(w.Failed), Skipped: slices.Clone(w.Skipped),
	}
}

package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/disruption"
)

const (
	// maxFailedInStep is the number of failures in one step that pauses a wave.
	maxFailedInStep = 2
	// maxFailedSteps is the number of consecutive steps with a failure that
	// pauses a wave.
	maxFailedSteps = 2
	// maxEndedWaves is the number of ended waves that are kept.
	maxEndedWaves = 16
)

// Scope selects the instances of a wave. Empty fields select everything.
type Scope struct {
	Pools      []fleet.PoolName
	DataCentre fleet.DataCentre
}

// StartWave reboots all instances of a scope, step by step.
type StartWave struct {
	Scope Scope
	// Note gives the reason for the wave, for operators.
	Note string
}

// StepWave drains the next instances of a wave.
type StepWave struct {
	Wave fleet.Offset
	// Base is the wave's epoch that the record is based on.
	Base      fleet.Offset
	Instances []fleet.InstanceID
}

// PauseWave stops a wave from starting further steps until it is resumed.
type PauseWave struct {
	Wave, Base fleet.Offset
	Detail     string
}

// ResumeWave continues a paused wave.
type ResumeWave struct{ Wave, Base fleet.Offset }

// AbortWave ends a wave. Instances that it has already drained still come back
// into service.
type AbortWave struct{ Wave, Base fleet.Offset }

func (StartWave) isRecord()  {}
func (StepWave) isRecord()   {}
func (PauseWave) isRecord()  {}
func (ResumeWave) isRecord() {}
func (AbortWave) isRecord()  {}

// WavePhase is the phase of a wave.
type WavePhase uint8

// Phases of a wave.
const (
	WaveRunning WavePhase = iota + 1
	WavePaused
	WaveAborted
	WaveDone
)

var wavePhaseNames = [...]string{
	WaveRunning: "running",
	WavePaused:  "paused",
	WaveAborted: "aborted",
	WaveDone:    "done",
}

// String returns the phase's name.
func (p WavePhase) String() string { return nameOf(wavePhaseNames[:], int(p)) }

// Wave is the state of one wave.
type Wave struct {
	// ID is the offset of the StartWave record.
	ID fleet.Offset
	// Epoch is the offset of the last record that changed the wave.
	Epoch fleet.Offset
	Phase WavePhase
	Note  string
	// Started and Ended are the times of the records that started and ended the
	// wave, by their authors' clocks.
	Started, Ended time.Time
	// Detail says why the wave is paused.
	Detail string
	// Steps counts the steps started.
	Steps int
	// Pending instances have not been drained yet; Current instances are in the
	// step under way.
	Pending, Current []fleet.InstanceID
	// Done instances passed their probation.
	Done []fleet.InstanceID
	// Failed instances did not come up after their reboot or failed their
	// probation. Skipped instances were drained or undrained by an operator,
	// removed by a new text, or still pending when the wave was aborted.
	Failed, Skipped []fleet.InstanceID

	// FailedInStep counts the failures in the step under way.
	FailedInStep int
	// FailedSteps counts the consecutive steps with a failure, up to the last
	// step that ended.
	FailedSteps int
}

// Waves holds the waves that have not ended and the last ones that have.
type Waves struct {
	// Active is in the order of the waves' ids.
	Active []*Wave
	// Ended is in the order in which the waves ended.
	Ended []*Wave
}

// clone returns a copy that shares nothing with w.
func (w *Waves) clone() Waves {
	return Waves{Active: cloneWaves(w.Active), Ended: cloneWaves(w.Ended)}
}

func cloneWaves(waves []*Wave) []*Wave {
	var out []*Wave
	for _, w := range waves {
		c := *w
		c.Pending, c.Current, c.Done = slices.Clone(w.Pending), slices.Clone(w.Current), slices.Clone(w.Done)
		c.Failed, c.Skipped = slices.Clone(w.Failed), slices.Clone(w.Skipped)
		out = append(out, &c)
	}
	return out
}

// Get returns a wave that has not ended.
func (w *Waves) Get(id fleet.Offset) (*Wave, bool) {
	for _, wave := range w.Active {
		if wave.ID == id {
			return wave, true
		}
	}
	return nil, false
}

func (s *State) startWave(at fleet.Offset, r StartWave) (Outcome, string) {
	if s.Text == nil {
		return Invalid, "no services text is in force"
	}
	pending := s.instancesIn(r.Scope)
	if len(pending) == 0 {
		return Invalid, "the wave selects no instance"
	}
	if why := s.rehearsalInPools(s.poolsOf(pending)); why != "" {
		return Conflict, why
	}
	for _, w := range s.Waves.Active {
		for _, id := range pending {
			if slices.Contains(w.Pending, id) || slices.Contains(w.Current, id) {
				return Conflict, fmt.Sprintf("%s is in wave %d already", id, w.ID)
			}
		}
	}
	s.Waves.Active = append(s.Waves.Active, &Wave{ID: at, Epoch: at, Phase: WaveRunning, Note: r.Note, Started: s.time, Pending: pending})
	return Accepted, ""
}

// instancesIn returns the instances of a scope, ordered by failure domain.
func (s *State) instancesIn(sc Scope) []fleet.InstanceID {
	var chosen []fleet.Instance
	for _, in := range s.Text.Instances {
		pool, known := s.Pools[in.ID]
		inPool := len(sc.Pools) == 0 || slices.Contains(sc.Pools, pool)
		inCentre := sc.DataCentre == "" || sc.DataCentre == in.DataCentre
		if known && inPool && inCentre {
			chosen = append(chosen, in)
		}
	}
	slices.SortFunc(chosen, byDomain)
	ids := make([]fleet.InstanceID, 0, len(chosen))
	for _, in := range chosen {
		ids = append(ids, in.ID)
	}
	return ids
}

func byDomain(a, b fleet.Instance) int {
	if c := strings.Compare(string(a.DataCentre), string(b.DataCentre)); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Rack), string(b.Rack)); c != 0 {
		return c
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

// stepWave starts a step. The pools' allowance is checked when the record is
// folded, so that waves and operators together never exceed it.
func (s *State) stepWave(at fleet.Offset, r StepWave) (Outcome, string) {
	w, out, why := s.expectWave(r.Wave, r.Base, WaveRunning)
	if out != Accepted {
		return out, why
	}
	if out, why := s.checkStep(w, r.Instances); out != Accepted {
		return out, why
	}
	for _, id := range r.Instances {
		s.setMaintenance(id, Maintenance{Epoch: at, Phase: Draining, Reason: ReasonWave, Purpose: PurposeReboot, Wave: w.ID})
	}
	w.Pending = slices.DeleteFunc(w.Pending, func(id fleet.InstanceID) bool { return slices.Contains(r.Instances, id) })
	w.Current = slices.Clone(r.Instances)
	w.Epoch = at
	w.Steps++
	w.FailedInStep = 0
	return Accepted, ""
}

func (s *State) checkStep(w *Wave, ids []fleet.InstanceID) (Outcome, string) {
	if len(ids) == 0 || len(ids) > max(1, s.Text.Maintenance.MaxStep) {
		return Invalid, fmt.Sprintf("invalid step size: %d instances", len(ids))
	}
	if len(w.Current) > 0 {
		return Conflict, fmt.Sprintf("step %d of wave %d is under way", w.Steps, w.ID)
	}
	left := s.allowance()
	seen := make(map[fleet.InstanceID]bool, len(ids))
	for _, id := range ids {
		if seen[id] || !slices.Contains(w.Pending, id) {
			return Conflict, fmt.Sprintf("%s is not pending in wave %d", id, w.ID)
		}
		seen[id] = true
		if phase := s.Drains[id].Phase; phase != InService {
			return Conflict, fmt.Sprintf("%s is %s", id, phase)
		}
		pool := s.Pools[id]
		left[pool]--
		if left[pool] < 0 {
			return Conflict, fmt.Sprintf("pool %s can't spare %s now", pool, id)
		}
	}
	return Accepted, ""
}

// NextStep returns the instances that a wave drains next, or none while a step
// is under way or the pools can't spare an instance. The unhealthy instances,
// which the caller has observed to fail, count as out of service.
func (s *State) NextStep(w *Wave, unhealthy []fleet.InstanceID) []fleet.InstanceID {
	if w.Phase != WaveRunning || len(w.Current) > 0 || s.Text == nil {
		return nil
	}
	in := s.disruptionInput()
	for _, id := range unhealthy {
		in.Unavailable[id] = true
	}
	return disruption.NextStep(in, w.Pending)
}

func (s *State) pauseWave(at fleet.Offset, r PauseWave) (Outcome, string) {
	w, out, why := s.expectWave(r.Wave, r.Base, WaveRunning)
	if out != Accepted {
		return out, why
	}
	w.Phase, w.Epoch, w.Detail = WavePaused, at, r.Detail
	return Accepted, ""
}

func (s *State) resumeWave(at fleet.Offset, r ResumeWave) (Outcome, string) {
	w, out, why := s.expectWave(r.Wave, r.Base, WavePaused)
	if out != Accepted {
		return out, why
	}
	w.Phase, w.Epoch, w.Detail = WaveRunning, at, ""
	w.FailedInStep, w.FailedSteps = 0, 0
	return Accepted, ""
}

func (s *State) abortWave(at fleet.Offset, r AbortWave) (Outcome, string) {
	w, out, why := s.expectWave(r.Wave, r.Base, WaveRunning, WavePaused)
	if out != Accepted {
		return out, why
	}
	w.Phase, w.Epoch = WaveAborted, at
	w.Skipped = append(w.Skipped, w.Pending...)
	w.Pending = nil
	s.finishStep(w)
	return Accepted, ""
}

func (s *State) expectWave(id, base fleet.Offset, phases ...WavePhase) (*Wave, Outcome, string) {
	w, ok := s.Waves.Get(id)
	if !ok {
		return nil, Conflict, fmt.Sprintf("there is no wave %d under way", id)
	}
	if w.Epoch != base {
		return nil, Conflict, fmt.Sprintf("based on epoch %d of wave %d, but it is at epoch %d", base, id, w.Epoch)
	}
	if !slices.Contains(phases, w.Phase) {
		return nil, Conflict, fmt.Sprintf("wave %d is %s", id, w.Phase)
	}
	return w, Accepted, ""
}

func (s *State) waveEpochOr(base, id fleet.Offset) fleet.Offset {
	w, ok := s.Waves.Get(id)
	if base != CurrentEpoch || !ok {
		return base
	}
	return w.Epoch
}

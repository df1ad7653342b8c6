package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// firstOffset is the offset of the first record of a stream.
const firstOffset fleet.Offset = 1

func (s *State) onStarted() {
	s.emit(effect.Read{From: firstOffset})
	s.startClaims()
	s.onUsageDue()
	s.onHeartbeatDue()
}

func (s *State) onRecordsRead(ev event.RecordsRead) {
	if s.logDown {
		s.logDown = false
		s.emit(effect.LogChange{Change: effect.ChangeLogUp})
	}
	s.updateGap(ev.Oldest)
	for _, p := range ev.Records {
		if !s.gap {
			s.fold(p)
			continue
		}
		if s.installSnapshot(p, ev.Oldest) {
			break
		}
	}
	s.isolation.lastRead = s.now
	s.setCatchUpTarget(ev)
	s.markCaughtUp(ev)
	s.updateReady()
	s.onFreshInput()
}

// updateGap detects that records that the fold needs have expired in the log.
// Peers may close the gap by relaying the records.
func (s *State) updateGap(oldest fleet.Offset) {
	gap := oldest > s.control.Offset+1
	switch {
	case gap && !s.gap:
		s.emit(effect.LogChange{
			Change:  effect.ChangeGap,
			Version: s.control.Version,
			Detail:  fmt.Sprintf("records %d to %d have expired", s.control.Offset+1, oldest-1),
		})
	case !gap && s.gap:
		s.emit(effect.Read{From: s.control.Offset + 1})
	}
	s.gap = gap
}

// installSnapshot closes a gap with a snapshot and continues to read after it.
// It reports whether the snapshot could be used.
func (s *State) installSnapshot(p control.Positioned, oldest fleet.Offset) bool {
	before := s.control.Version
	change, ok := s.control.InstallSnapshot(p, oldest)
	if !ok {
		return false
	}
	s.gap = false
	s.relay.Reset(s.control.Offset)
	s.emit(effect.LogChange{
		Change:  effect.ChangeSnapshot,
		Version: s.control.Version,
		Record:  p.Record.ID,
		Detail:  fmt.Sprintf("folds records up to %d", s.control.Offset),
	})
	s.emit(effect.Read{From: s.control.Offset + 1})
	s.applyDelta(change)
	s.onTextChanged(before, p.Record.ID)
	s.applyAllPhases()
	return true
}

// updateReady makes the entry ready once a services text is in force and the
// fold has caught up with the log.
func (s *State) updateReady() {
	s.updateCatchUp()
	if s.ready || s.stopping || s.gap || s.control.Text == nil || !s.catchUp.done {
		return
	}
	s.ready = true
	s.emit(effect.SetReady{Ready: true})
	s.updateHolders()
	s.emit(effect.LogChange{Change: effect.ChangeReady, Version: s.control.Version})
}

func (s *State) fold(p control.Positioned) {
	before := s.control.Version
	res := s.control.Apply(p)
	if res.Outcome == control.Gap {
		return
	}
	s.relay.Add(p)
	s.scheduleEarlyHeartbeat()
	if s.control.Version != before {
		s.applyDelta(res.Change)
	}
	s.onTextChanged(before, p.Record.ID)
	s.applyRecord(p, res)
	s.scheduleSnapshot()
	s.replyFolded(res)
	if v, ok := p.Record.Body.(control.Void); ok && res.Outcome == control.Accepted {
		s.replyFolded(control.Result{Record: v.Record, Outcome: control.Voided, Offset: p.Offset, Version: res.Version})
	}
}

// onTextChanged logs a text that came into force, and grants the slots that it
// allows.
func (s *State) onTextChanged(before fleet.Version, record fleet.RecordID) {
	if s.control.Version == before {
		return
	}
	s.startRollOut(record)
	s.emit(effect.LogChange{Change: effect.ChangeText, Version: s.control.Version, Record: record})
	s.grantAll()
}

func (s *State) onReadFailed(ev event.ReadFailed) {
	s.drains.CaughtUp = false
	if s.logDown {
		return
	}
	s.logDown = true
	s.emit(effect.LogChange{Change: effect.ChangeLogDown, Detail: fmt.Sprint(ev.Err)})
	s.updateReady()
	s.releaseCommands()
}

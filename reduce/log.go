package reduce

import (
	"fmt"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

// firstOffset is where a stream begins.
const firstOffset fleet.Offset = 1

func (s *State) onStarted() {
	s.emit(effect.Read{From: firstOffset})
	s.onHeartbeatDue()
}

func (s *State) onRecordsRead(ev event.RecordsRead) {
	if s.logDown {
		s.logDown = false
		s.emit(effect.LogChange{Change: effect.ChangeLogUp})
	}
	for _, p := range ev.Records {
		s.fold(p)
	}
	s.reachedEnd(ev)
	if !s.ready && !s.stopping && s.control.Text != nil {
		s.ready = true
		s.emit(effect.SetReady{Ready: true})
		s.emit(effect.LogChange{Change: effect.ChangeReady, Version: s.control.Version})
	}
}

func (s *State) fold(p control.Positioned) {
	before := s.control.Version
	res := s.control.Apply(p)
	if s.control.Version != before {
		s.placement.Configure(s.control.Text, s.control.Pools)
		s.emit(effect.LogChange{Change: effect.ChangeText, Version: s.control.Version, Record: p.Record.ID})
		for _, pool := range s.placement.Pools() {
			s.grant(pool)
		}
	}
	s.followMaintenance(p, res)
	s.settle(res)
}

func (s *State) onReadFailed(ev event.ReadFailed) {
	s.drains.Current = false
	if s.logDown {
		return
	}
	s.logDown = true
	s.emit(effect.LogChange{Change: effect.ChangeLogDown, Detail: fmt.Sprint(ev.Err)})
}

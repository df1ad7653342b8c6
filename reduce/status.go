package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

func (s *State) onStatusRequested(ev event.StatusRequested) {
	st := effect.Status{
		Entry:    s.cfg.Entry,
		Ready:    s.ready,
		Stopping: s.stopping,
		Gap:      s.gap,
		LogDown:  s.logDown,
		Version:  s.control.Version,
		Offset:   s.control.Offset,
		Requests: s.requests.Len(),
		Queued:   s.placement.Queued(),
		Peers:    s.peers.Alive(),
		Versions: s.versions(),
		Claims:   s.claimStatus(),
		Pools:    make(map[fleet.PoolName]int),
		Totals: map[string]uint64{
			"answered": s.totals.answered,
			"refused":  s.totals.refused,
			"retried":  s.totals.retried,
			"late":     s.totals.late,
		},
	}
	st.Holds = s.holders.HeldPools()
	for _, l := range s.placement.Loads() {
		l.Running -= s.holders.LeasedSlots(l.Instance)
		st.Running += l.Running
		st.Pools[l.Pool]++
		st.Instances = append(st.Instances, s.instanceStatus(l))
	}
	st.Waves = s.waveStatuses()
	st.Services = s.serviceStatuses()
	st.Measures = s.measuresStatus()
	st.Rehearsals = s.rehearsalStatuses()
	s.emit(effect.ReplyStatus{ID: ev.ID, Status: st})
}

// versions returns the version in force at each live entry.
func (s *State) versions() map[fleet.EntryID]fleet.Version {
	all := map[fleet.EntryID]fleet.Version{s.cfg.Entry: s.control.Version}
	for _, id := range s.peers.Alive() {
		if p, ok := s.peers.Get(id); ok {
			all[id] = p.Version
		}
	}
	return all
}

func (s *State) onTextRequested(ev event.TextRequested) {
	s.emit(effect.ReplyText{ID: ev.ID, Version: s.control.Version, Text: s.control.Text})
}

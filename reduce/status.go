package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
)

func (s *State) onStatusAsked(ev event.StatusAsked) {
	st := effect.Status{
		Entry:    s.cfg.Entry,
		Ready:    s.ready,
		Stopping: s.stopping,
		Version:  s.control.Version,
		Offset:   s.control.Offset,
		Requests: s.requests.Len(),
		Queued:   s.placement.Queued(),
		Peers:    s.peers.Alive(s.now),
		Pools:    make(map[fleet.PoolName]int),
		Totals: map[string]uint64{
			"answered": s.totals.answered,
			"refused":  s.totals.refused,
			"retried":  s.totals.retried,
			"late":     s.totals.late,
		},
	}
	for _, l := range s.placement.Loads() {
		st.Running += l.Running
		st.Pools[l.Pool]++
		st.Instances = append(st.Instances, s.instanceStatus(l))
	}
	st.Waves = s.waveStatuses()
	s.emit(effect.ReplyStatus{ID: ev.ID, Status: st})
}

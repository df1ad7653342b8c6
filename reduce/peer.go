package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// onEntriesListed follows the platform's list of entries, a hint that lags.
func (s *State) onEntriesListed(ev event.EntriesListed) {
	listed := make(map[fleet.EntryID]bool, len(ev.Entries))
	for _, e := range ev.Entries {
		listed[e.ID] = true
		if e.ID == s.cfg.Entry && s.drains.Listed.IsZero() {
			s.drains.Listed = s.now
		}
		s.peers.Learn(e.ID, e.Address)
	}
	for _, p := range s.peers.All() {
		silent := s.now.Sub(p.Heard) >= peers.SuspectAfter
		if !listed[p.ID] && silent {
			s.peers.Forget(p.ID)
		}
	}
}

// onPeerReceived handles a message of another entry.
func (s *State) onPeerReceived(ev event.PeerReceived) {
	p, ok := s.peers.Hear(ev.From, ev.Incarnation, s.now)
	if !ok {
		return
	}
	switch m := ev.Message.(type) {
	case message.Heartbeat:
		p.Offset, p.Version, p.Stopping = m.Offset, m.Version, m.Stopping
	case message.DrainAcks:
		s.onDrainAcks(p, m)
	}
}

// onHeartbeatDue sends a heartbeat to every peer.
func (s *State) onHeartbeatDue() {
	beat := message.Heartbeat{Offset: s.control.Offset, Version: s.control.Version, Stopping: s.stopping}
	for _, p := range s.peers.All() {
		s.send(p, beat)
	}
	s.timers.Set(&s.peers.Tick, s.now.Add(peers.HeartbeatInterval), s.peers)
}

func (s *State) send(p *peers.Peer, m message.Message) {
	if p.Address == "" {
		return
	}
	s.emit(effect.SendPeer{To: p.ID, Address: p.Address, Message: m})
}

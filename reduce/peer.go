package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// newsDelay is how long a heartbeat with a new offset may wait for more.
const newsDelay = 20 * time.Millisecond

// onEntriesListed follows the platform's list of entries, a hint that lags: a
// listed entry is not alive for that, and one that is heard stays although it
// is not listed.
func (s *State) onEntriesListed(ev event.EntriesListed) {
	listed := make(map[fleet.EntryID]bool, len(ev.Entries))
	for _, e := range ev.Entries {
		listed[e.ID] = true
		if e.ID == s.cfg.Entry && s.drains.ListedSince.IsZero() {
			s.drains.ListedSince = s.now
		}
		_, known := s.peers.Get(e.ID)
		s.peers.SetAddress(e.ID, e.Address, s.now)
		if p, ok := s.peers.Get(e.ID); ok && !known {
			s.send(p, s.heartbeat())
		}
	}
	for _, p := range s.peers.All() {
		gone := p.Status == peers.Unheard || p.Status == peers.Dead
		if !listed[p.ID] && gone {
			s.peers.Forget(p.ID)
		}
	}
	s.emit(effect.KeepPeers{Addresses: s.peerAddresses()})
}

func (s *State) peerAddresses() []string {
	var addresses []string
	for _, p := range s.peers.All() {
		if p.Address != "" {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// onPeerReceived handles a message of another entry.
func (s *State) onPeerReceived(ev event.PeerReceived) {
	_, known := s.peers.Get(ev.From)
	p, how := s.peers.Receive(ev.From, ev.Incarnation, ev.Sequence, s.now)
	if how == peers.Stale {
		s.emit(effect.Count{Name: effect.StalePeerMessages, N: 1})
		return
	}
	s.peers.SetAddress(p.ID, ev.Address, s.now)
	if !known {
		// The list has news, and may name other entries that started too.
		s.emit(effect.RefreshList{})
	}
	switch how {
	case peers.First:
		s.send(p, s.heartbeat())
		s.dropEntry(p.ID)
		s.exchangeSlotsReports(p)
	case peers.Gap:
		s.exchangeSlotsReports(p)
	case peers.Next, peers.Stale:
	}
	s.onPeerMessage(p, ev.Message)
	s.hearNews()
}

func (s *State) onPeerMessage(p *peers.Peer, m message.Message) {
	switch m := m.(type) {
	case message.Heartbeat:
		s.onHeartbeat(p, m)
	case message.RecordsRequest:
		s.onRecordsAsked(p, m)
	case message.Records:
		s.onPeerRecords(p, m)
	case message.Snapshot:
		s.onPeerSnapshot(p, m)
	case message.Totals:
		s.usage.UpdatePeer(p.ID, p.Incarnation, m.Services)
	case message.SlotRequests:
		s.onSlotRequests(p, m)
	case message.SlotsGranted:
		s.onSlotsGranted(p, m)
	case message.SlotsReport:
		s.onSlotsReport(p, m)
	case message.ReportRequest:
		s.onReportRequest(p)
	case message.ReportAck:
		s.onReportAck(p, m)
	case message.DrainAcks:
		s.onDrainAcks(p, m)
	}
}

// onHeartbeatDue sends heartbeats and judges who is alive.
func (s *State) onHeartbeatDue() {
	for _, p := range s.peers.UpdateStatuses(s.now) {
		s.logPeer(p)
		if p.Status == peers.Dead {
			s.dropEntry(p.ID)
		}
	}
	s.updateHolders()
	s.checkHolders()
	s.followIsolation()
	beat := s.heartbeat()
	for _, p := range s.peers.Due() {
		s.send(p, beat)
	}
	s.timers.Set(&s.peers.Tick, s.now.Add(peers.HeartbeatInterval), s.peers)
}

// hastenHeartbeat tells peers soon that the fold has gone on.
func (s *State) hastenHeartbeat() {
	soon := s.now.Add(newsDelay)
	if s.peers.Tick.IsSet() && s.peers.Tick.At().After(soon) {
		s.timers.Set(&s.peers.Tick, soon, s.peers)
	}
}

func (s *State) heartbeat() message.Heartbeat {
	beat := message.Heartbeat{
		Offset:   s.control.Offset,
		Digest:   s.digest(),
		Stopping: s.stopping,
	}
	// Peers take an entry without a version for one that can't hold pools yet.
	if s.logEnd.reached {
		beat.Version = s.control.Version
	}
	return beat
}

func (s *State) logPeer(p *peers.Peer) {
	switch p.Status {
	case peers.Suspect:
		s.emit(effect.LogChange{Change: effect.ChangePeerSuspect, Detail: string(p.ID)})
	case peers.Dead:
		s.emit(effect.LogChange{Change: effect.ChangePeerDead, Detail: string(p.ID)})
	case peers.Unheard, peers.Alive:
	}
}

func (s *State) send(p *peers.Peer, m message.Message) {
	if p.Address == "" {
		return
	}
	s.emit(effect.SendPeer{To: p.ID, Address: p.Address, Sequence: p.NextSequence(), Message: m})
}

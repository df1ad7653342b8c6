package reduce

import (
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// heartbeatCoalesceDelay is how long a heartbeat with a new offset is delayed
// to include records that follow shortly.
const heartbeatCoalesceDelay = 20 * time.Millisecond

// onEntriesListed updates the peers from the platform's list of entries. The
// list lags: a listed entry may be down, and a peer that still sends messages
// is kept although it is not listed.
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
		silent := p.Status == peers.Unheard || p.Status == peers.Dead
		if !listed[p.ID] && silent {
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

// onPeerReceived handles a message from another entry.
func (s *State) onPeerReceived(ev event.PeerReceived) {
	_, known := s.peers.Get(ev.From)
	p, reception := s.peers.Receive(ev.From, ev.Incarnation, ev.Sequence, s.now)
	if reception == peers.Stale {
		s.emit(effect.Count{Name: effect.StalePeerMessages, N: 1})
		return
	}
	s.peers.SetAddress(p.ID, ev.Address, s.now)
	if !known {
		// The platform's list may name this peer and other new entries by now.
		s.emit(effect.RefreshList{})
	}
	switch reception {
	case peers.First:
		s.send(p, s.heartbeat())
		s.dropEntry(p.ID)
		s.exchangeSlotsReports(p)
	case peers.Gap:
		s.exchangeSlotsReports(p)
	case peers.Next, peers.Stale:
	}
	s.onPeerMessage(p, ev.Message)
	s.onFreshInput()
}

func (s *State) onPeerMessage(p *peers.Peer, m message.Message) {
	switch m := m.(type) {
	case message.Heartbeat:
		s.onHeartbeat(p, m)
	case message.RecordsRequest:
		s.onRecordsRequest(p, m)
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

// onHeartbeatDue updates which peers are alive and sends heartbeats.
func (s *State) onHeartbeatDue() {
	for _, p := range s.peers.UpdateStatuses(s.now) {
		s.logPeerStatus(p)
		if p.Status == peers.Dead {
			s.dropEntry(p.ID)
		}
	}
	s.updateHolders()
	s.checkHolders()
	s.updateIsolation()
	heartbeat := s.heartbeat()
	for _, p := range s.peers.Due() {
		s.send(p, heartbeat)
	}
	s.timers.Set(&s.peers.Tick, s.now.Add(peers.HeartbeatInterval), s.peers)
}

// scheduleEarlyHeartbeat brings the next heartbeat forward, so that peers soon
// learn of a new offset or of the stop of this entry.
func (s *State) scheduleEarlyHeartbeat() {
	soon := s.now.Add(heartbeatCoalesceDelay)
	if s.peers.Tick.IsSet() && s.peers.Tick.At().After(soon) {
		s.timers.Set(&s.peers.Tick, soon, s.peers)
	}
}

func (s *State) heartbeat() message.Heartbeat {
	heartbeat := message.Heartbeat{
		Offset:   s.control.Offset,
		Digest:   s.digest(),
		Stopping: s.stopping,
	}
	// Peers do not choose an entry without a version as a holder.
	if s.catchUp.done {
		heartbeat.Version = s.control.Version
	}
	return heartbeat
}

func (s *State) logPeerStatus(p *peers.Peer) {
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

package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/control"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
)

// onHeartbeat compares a peer's fold with this entry's own, and asks for the
// records that this entry lacks.
func (s *State) onHeartbeat(p *peers.Peer, m message.Heartbeat) {
	before := mayHoldPools(p)
	p.Offset, p.Version, p.Digest, p.Stopping = m.Offset, m.Version, m.Digest, m.Stopping
	s.updateRollOuts()
	if mayHoldPools(p) != before {
		s.updateHolders()
	}
	switch {
	case m.Offset > s.control.Offset:
		if s.relay.ShouldRequest(p.ID, s.logDown, s.now) {
			s.send(p, message.RecordsRequest{After: s.control.Offset})
		}
	case m.Offset == s.control.Offset:
		s.relay.MarkCaughtUp()
		s.compareDigest(p)
	}
}

// compareDigest reports once when a peer's fold differs from this entry's fold
// of the same records.
func (s *State) compareDigest(p *peers.Peer) {
	differs := p.Digest != s.digest()
	if differs == p.Diverged {
		return
	}
	p.Diverged = differs
	if !differs {
		return
	}
	s.emit(effect.Count{Name: effect.DigestMismatches, N: 1})
	s.emit(effect.LogChange{Change: effect.ChangeDigestMismatch, Version: s.control.Version, Detail: "peer " + string(p.ID)})
}

// digest returns the digest of the fold, computed once for each offset.
func (s *State) digest() uint64 {
	if s.digestOffset != s.control.Offset {
		s.digestOffset, s.digestValue = s.control.Offset, s.control.Digest()
	}
	return s.digestValue
}

// onRecordsRequest relays records to a peer that is behind, or a snapshot if
// this entry no longer keeps the records.
func (s *State) onRecordsRequest(p *peers.Peer, m message.RecordsRequest) {
	before, records, ok := s.relay.After(m.After)
	if !ok && m.After < s.control.Offset && s.control.Text != nil {
		s.send(p, message.Snapshot{Fold: s.control.Snapshot()})
		return
	}
	if len(records) == 0 {
		return
	}
	s.send(p, message.Records{After: before, Records: records})
}

// onPeerSnapshot installs the snapshot of a peer if it is newer than this
// entry's fold.
func (s *State) onPeerSnapshot(p *peers.Peer, m message.Snapshot) {
	s.relay.MarkAnswered(p.ID)
	record := control.Record{ID: fleet.RecordID("fold of " + p.ID), Body: m.Fold}
	if s.installSnapshot(control.Positioned{Offset: m.Fold.Offset + 1, Record: record}, firstOffset) {
		s.scheduleEarlyHeartbeat()
		s.updateReady()
	}
}

// onPeerRecords folds records that a peer relayed. A page that begins after a
// gap is ignored, because the fold never skips a record.
func (s *State) onPeerRecords(p *peers.Peer, m message.Records) {
	s.relay.MarkAnswered(p.ID)
	if m.After > s.control.Offset {
		return
	}
	for _, r := range m.Records {
		if r.Offset > s.control.Offset {
			s.fold(r)
			s.emit(effect.Count{Name: effect.RecordsRelayed, N: 1})
		}
	}
	s.updateReady()
	if s.control.Offset < p.Offset && s.relay.ShouldRequest(p.ID, s.logDown, s.now) {
		s.send(p, message.RecordsRequest{After: s.control.Offset})
	}
}

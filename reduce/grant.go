package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/event"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/requests"
)

// Placement selects which entry grants slots.
type Placement string

// Placements.
const (
	// PlacementLocal lets each entry grant slots by its own view.
	PlacementLocal Placement = "local"
	// PlacementHolder lets one entry for each pool grant slots to all entries.
	PlacementHolder Placement = "holder"
)

func (s *State) mayGrant(pool fleet.PoolName) bool {
	if s.isolation.holdsGrants {
		return false
	}
	return s.cfg.Placement != PlacementHolder || s.holders.Link(pool).MayGrant()
}

// remoteHolder returns the holder of a pool, if that is another entry.
func (s *State) remoteHolder(pool fleet.PoolName) (*peers.Peer, bool) {
	if s.cfg.Placement != PlacementHolder {
		return nil, false
	}
	l := s.holders.Link(pool)
	if !l.IsRemote() {
		return nil, false
	}
	return s.peers.Get(l.Holder)
}

// updateHolders chooses the holder of each pool again after entries joined,
// failed or began to stop, or after pools changed.
func (s *State) updateHolders() {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	alive := s.holderCandidates()
	s.holders.SetAlive(alive)
	for _, pool := range s.placement.Pools() {
		l := s.holders.Link(pool)
		chosen := holder.Choose(pool, alive)
		if chosen == "" {
			chosen = s.cfg.Entry
		}
		if chosen != l.Holder || s.incarnationOf(chosen) != l.Incarnation {
			s.changeHolder(l, chosen)
		}
	}
	s.dropLinks()
}

// dropLinks removes the holders of pools that no longer exist.
func (s *State) dropLinks() {
	for _, l := range s.holders.Links() {
		if !s.placement.HasPool(l.Pool) {
			s.leaveHolder(l)
			s.holders.Drop(l.Pool)
		}
	}
}

// holderCandidates returns the entries that may hold pools, in order: those
// that are alive, have a services text and are not stopping.
func (s *State) holderCandidates() []fleet.EntryID {
	var ids []fleet.EntryID
	for _, id := range s.peers.Alive() {
		if id == s.cfg.Entry {
			if s.ready && !s.stopping {
				ids = append(ids, id)
			}
			continue
		}
		if p, ok := s.peers.Get(id); ok && mayHoldPools(p) {
			ids = append(ids, id)
		}
	}
	return ids
}

func mayHoldPools(p *peers.Peer) bool { return p.Version > 0 && !p.Stopping }

func (s *State) incarnationOf(id fleet.EntryID) uint64 {
	if p, ok := s.peers.Get(id); ok {
		return p.Incarnation
	}
	return 0
}

// changeHolder replaces the holder of a pool.
func (s *State) changeHolder(l *holder.Link, to fleet.EntryID) {
	started := l.Holder == ""
	s.leaveHolder(l)
	l.Holder, l.Incarnation = to, s.incarnationOf(to)
	s.emit(effect.Count{Name: effect.HoldersChanged, N: 1})
	if to == s.cfg.Entry {
		s.startHolding(l, started)
		return
	}
	s.sendSlotsReport(l)
	if l.Phase == holder.Fallback {
		return // the fallback lasts until the new holder answers
	}
	l.Phase = holder.Reporting
	s.timers.Set(&l.Timer, s.now.Add(holder.ReportTimeout), l)
}

func (s *State) leaveHolder(l *holder.Link) {
	s.timers.Clear(&l.Timer)
	if l.Holder == s.cfg.Entry {
		s.dropRemote(l.Pool, "")
		return
	}
	if p, ok := s.peers.Get(l.Holder); ok && l.IsRemote() {
		s.send(p, message.SlotsReport{Pool: l.Pool, LastReceived: p.Received()})
	}
}

// startHolding makes this entry the holder of a pool. It grants slots only
// after the other entries have reported which slots they use. The list of peers
// of an entry that has just started may be incomplete, so that entry waits even
// if the list is empty.
func (s *State) startHolding(l *holder.Link, started bool) {
	s.setShare(l.Pool, false)
	var others []fleet.EntryID
	for _, id := range s.holders.Alive() {
		if id != s.cfg.Entry {
			others = append(others, id)
		}
	}
	if len(others) == 0 && !started {
		l.Phase = holder.Holding
		s.grant(l.Pool)
		return
	}
	l.Phase = holder.Collecting
	l.AwaitReports(others)
	s.timers.Set(&l.Timer, s.now.Add(holder.CollectTimeout), l)
	for _, id := range others {
		if p, ok := s.peers.Get(id); ok {
			s.send(p, message.ReportRequest{})
		}
	}
}

// onHolderTimer ends a holder phase whose time limit has passed.
func (s *State) onHolderTimer(l *holder.Link) {
	switch l.Phase {
	case holder.Collecting:
		l.Phase = holder.Holding
		s.grant(l.Pool)
	case holder.Reporting:
		s.fallBack(l)
	case holder.Unset, holder.Holding, holder.Following, holder.Fallback:
	}
}

// fallBack lets this entry use its share of the slots without grants. All
// entries together then use at most the slots of an instance, or one slot each
// where there are more entries than slots, besides the slots that they used
// before.
func (s *State) fallBack(l *holder.Link) {
	if l.Phase == holder.Fallback {
		return
	}
	l.Phase = holder.Fallback
	s.setShare(l.Pool, true)
	s.emit(effect.Count{Name: effect.HolderFallbacks, N: 1})
	s.grant(l.Pool)
}

// onPeerUnreachable falls back from a holder that accepts no messages, earlier
// than its missing heartbeats would cause it.
func (s *State) onPeerUnreachable(ev event.PeerUnreachable) {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	for _, l := range s.holders.Links() {
		if l.Holder == ev.Peer && l.IsRemote() {
			s.timers.Clear(&l.Timer)
			s.fallBack(l)
		}
	}
}

// setShare gives this entry all slots of a pool, or its share.
func (s *State) setShare(pool fleet.PoolName, shared bool) {
	entries := 1
	if shared {
		entries = s.peers.Present()
	}
	s.placement.DivideSlots(pool, entries)
}

// updateShares updates this entry's shares of pools whose holder does not
// answer, after the number of entries may have changed.
func (s *State) updateShares() {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	for _, l := range s.holders.Links() {
		if l.Phase == holder.Fallback {
			s.setShare(l.Pool, true)
		}
	}
}

// checkHolders falls back from holders whose heartbeats are missing, and sends
// another report to holders that did not answer.
func (s *State) checkHolders() {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	for _, l := range s.holders.Links() {
		p, ok := s.peers.Get(l.Holder)
		if !l.IsRemote() || !ok {
			continue
		}
		if l.Phase == holder.Following && s.now.Sub(p.LastHeard) >= holder.HeartbeatTimeout {
			s.fallBack(l)
		}
		if l.Phase == holder.Fallback {
			s.setShare(l.Pool, true) // entries may have joined or failed
			s.sendSlotsReport(l)
		}
	}
	s.repeatSlotRequests()
}

// sendSlotsReport sends the holder of a pool all requests and slots that this
// entry has in the pool.
func (s *State) sendSlotsReport(l *holder.Link) {
	p, ok := s.peers.Get(l.Holder)
	if !ok {
		return
	}
	m := message.SlotsReport{Pool: l.Pool, LastReceived: p.Received()}
	for _, r := range s.requests.All() {
		if r.Service.Pool != l.Pool {
			continue
		}
		switch r.Phase {
		case requests.Queued:
			m.Waiting = append(m.Waiting, s.slotRequest(r))
		case requests.Running, requests.Expiring, requests.Abandoned:
			m.Running = append(m.Running, message.HeldSlot{Request: s.slotRequest(r), Instance: r.Instance})
		case requests.Claiming:
		}
	}
	s.send(p, m)
}

func (s *State) slotRequest(r *requests.Request) message.SlotRequest {
	return message.SlotRequest{
		ID:        r.ID,
		Service:   r.Service.Name,
		Member:    r.Member,
		Size:      r.Size,
		Remaining: r.Deadline.Sub(s.now),
		Tried:     r.Tried,
		Requeued:  r.Attempts > 0,
	}
}

// requestSlot asks the holder for a slot, if another entry holds the pool. A
// request that was granted a slot before is marked as requeued.
func (s *State) requestSlot(r *requests.Request, requeued bool) {
	if p, ok := s.remoteHolder(r.Service.Pool); ok {
		a := s.slotRequest(r)
		a.Requeued = requeued
		out := s.outbox.slotRequestsTo(p.ID)
		out.Requests = append(out.Requests, a)
	}
}

// withdrawSlotRequest informs the holder that a request no longer waits.
func (s *State) withdrawSlotRequest(r *requests.Request) {
	if p, ok := s.remoteHolder(r.Service.Pool); ok {
		out := s.outbox.slotRequestsTo(p.ID)
		out.Withdrawn = append(out.Withdrawn, r.ID)
	}
}

// returnSlot returns the slot of an attempt that ended to the holder.
func (s *State) returnSlot(r *requests.Request, release message.SlotRelease) {
	if p, ok := s.remoteHolder(r.Grant.Request.Pool); ok {
		out := s.outbox.slotRequestsTo(p.ID)
		out.Releases = append(out.Releases, release)
	}
}

// onSlotsGranted dispatches the requests that got a slot, and refuses those
// that were denied one.
func (s *State) onSlotsGranted(p *peers.Peer, m message.SlotsGranted) {
	for _, g := range m.Grants {
		s.useGrant(p, g)
	}
	for _, d := range m.Denied {
		r, ok := s.requests.Get(d.Request)
		if ok && r.Phase == requests.Queued {
			s.placement.Remove(r.ID)
			s.refuse(refusalAfter(r, d.Reason, d.RetryAfter), r.Service.Name)
			s.removeRequest(r)
		}
	}
}

// useGrant dispatches a request on the slot that it was granted. It returns the
// slot if the request has ended or waits at another holder by now, or if the
// instance takes no new requests according to this entry's state.
func (s *State) useGrant(p *peers.Peer, g message.Slot) {
	r, ok := s.requests.Get(g.Request)
	if ok && r.Phase == requests.Queued && s.holders.Link(r.Service.Pool).Holder == p.ID {
		if grant, taken := s.placement.ApplyRemoteGrant(r.ID, g.Instance); taken {
			s.dispatch(r, grant)
			return
		}
		s.requestAgain = append(s.requestAgain, r.ID)
	}
	s.emit(effect.Count{Name: effect.GrantsReturned, N: 1})
	out := s.outbox.slotRequestsTo(p.ID)
	out.Releases = append(out.Releases, message.SlotRelease{Slot: g})
}

// repeatSlotRequests asks for slots for the requests whose grants could not be
// used. It runs with the heartbeat only: a holder that has not read the record
// of a drain yet would otherwise grant the same slot repeatedly.
func (s *State) repeatSlotRequests() {
	for _, id := range s.requestAgain {
		if r, ok := s.requests.Get(id); ok && r.Phase == requests.Queued {
			s.requestSlot(r, true)
		}
	}
	s.requestAgain = s.requestAgain[:0]
}

// onReportAck handles the holder's acknowledgement of a report.
func (s *State) onReportAck(p *peers.Peer, m message.ReportAck) {
	l := s.holders.Link(m.Pool)
	if l.Holder != p.ID || !l.IsRemote() {
		return
	}
	s.timers.Clear(&l.Timer)
	switch {
	case !m.Holding:
		s.fallBack(l)
	case l.Phase == holder.Fallback:
		l.Phase = holder.Following
		s.sendSlotsReport(l) // requests may have started while the last report was in flight
	default:
		l.Phase = holder.Following
	}
}

// exchangeSlotsReports restores the state after lost messages: the peer sends
// its reports to this entry, and this entry sends its reports to the peer.
func (s *State) exchangeSlotsReports(p *peers.Peer) {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	s.send(p, message.ReportRequest{})
	s.onReportRequest(p)
}

func (s *State) onReportRequest(p *peers.Peer) {
	for _, l := range s.holders.Links() {
		if l.IsRemote() && l.Holder == p.ID {
			s.sendSlotsReport(l)
		}
	}
}

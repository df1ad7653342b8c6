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

// Placement says who grants slots.
type Placement string

// Placements.
const (
	// PlacementLocal lets each entry grant slots by its own view.
	PlacementLocal Placement = "local"
	// PlacementHolder lets one entry a pool grant slots for all.
	PlacementHolder Placement = "holder"
)

func (s *State) mayGrant(pool fleet.PoolName) bool {
	if s.isolation.holding {
		return false
	}
	return s.cfg.Placement != PlacementHolder || s.holders.Link(pool).MayGrant()
}

// remote returns the entry that holds a pool, when it is another one.
func (s *State) remote(pool fleet.PoolName) (*peers.Peer, bool) {
	if s.cfg.Placement != PlacementHolder {
		return nil, false
	}
	l := s.holders.Link(pool)
	if !l.IsRemote() {
		return nil, false
	}
	return s.peers.Get(l.Holder)
}

// followHolders chooses the holder of each pool anew after entries came, went
// or began to stop, or after pools changed.
func (s *State) followHolders() {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	alive := s.candidates()
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

// dropLinks forgets the holders of pools that are gone.
func (s *State) dropLinks() {
	for _, l := range s.holders.Links() {
		if !s.placement.HasPool(l.Pool) {
			s.leaveHolder(l)
			s.holders.Drop(l.Pool)
		}
	}
}

// candidates returns the entries that may hold pools, in order: those that are
// alive, have a services text and are not stopping.
func (s *State) candidates() []fleet.EntryID {
	var ids []fleet.EntryID
	for _, id := range s.peers.Alive() {
		if id == s.cfg.Entry {
			if s.ready && !s.stopping {
				ids = append(ids, id)
			}
			continue
		}
		if p, ok := s.peers.Get(id); ok && mayHold(p) {
			ids = append(ids, id)
		}
	}
	return ids
}

func mayHold(p *peers.Peer) bool { return p.Version > 0 && !p.Stopping }

func (s *State) incarnationOf(id fleet.EntryID) uint64 {
	if p, ok := s.peers.Get(id); ok {
		return p.Incarnation
	}
	return 0
}

// changeHolder leaves the holder of a pool for another one.
func (s *State) changeHolder(l *holder.Link, to fleet.EntryID) {
	started := l.Holder == ""
	s.leaveHolder(l)
	l.Holder, l.Incarnation = to, s.incarnationOf(to)
	s.emit(effect.Count{Name: effect.HoldersChanged, N: 1})
	if to == s.cfg.Entry {
		s.startHolding(l, started)
		return
	}
	s.report(l)
	if l.Phase == holder.Fallback {
		return // until the new holder answers
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

// startHolding begins to grant a pool, after the reports of the other entries:
// until then it is not known which slots they use. An entry that has just
// started may not know the others yet, and waits for them.
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

// onHolderTimer ends a phase that took too long.
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

// fallBack lets this entry use its share of the slots. All entries together
// then use at most the slots of an instance, or one slot each where there are
// more entries than slots, besides what they had before.
func (s *State) fallBack(l *holder.Link) {
	if l.Phase == holder.Fallback {
		return
	}
	l.Phase = holder.Fallback
	s.setShare(l.Pool, true)
	s.emit(effect.Count{Name: effect.HolderFallbacks, N: 1})
	s.grant(l.Pool)
}

// onPeerUnreachable falls back from a holder that takes no messages. Its silence
// would tell the same, but later.
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

// updateShares follows the number of entries that divide the slots of pools
// whose holder does not answer.
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

// checkHolders falls back from holders that are silent, and reports to those
// that did not answer.
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
			s.setShare(l.Pool, true) // entries may have come or died
			s.report(l)
		}
	}
	s.askAgain()
}

// report tells the holder of a pool all that this entry has there.
func (s *State) report(l *holder.Link) {
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
			m.Waiting = append(m.Waiting, s.askOf(r))
		case requests.Running, requests.Expiring, requests.Abandoned:
			m.Running = append(m.Running, message.HeldSlot{Request: s.askOf(r), Instance: r.Instance})
		case requests.Claiming:
		}
	}
	s.send(p, m)
}

func (s *State) askOf(r *requests.Request) message.SlotRequest {
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

// ask asks the holder for a slot, when another entry holds the pool. A request
// that was granted one before asks again.
func (s *State) ask(r *requests.Request, again bool) {
	if p, ok := s.remote(r.Service.Pool); ok {
		a := s.askOf(r)
		a.Requeued = again
		out := s.outbox.to(p.ID)
		out.Requests = append(out.Requests, a)
	}
}

// withdrawAsk tells the holder that a request no longer waits.
func (s *State) withdrawAsk(r *requests.Request) {
	if p, ok := s.remote(r.Service.Pool); ok {
		out := s.outbox.to(p.ID)
		out.Withdrawn = append(out.Withdrawn, r.ID)
	}
}

// giveBack returns the slot of an attempt that ended to the holder.
func (s *State) giveBack(r *requests.Request, done message.SlotRelease) {
	if p, ok := s.remote(r.Grant.Request.Pool); ok {
		out := s.outbox.to(p.ID)
		out.Releases = append(out.Releases, done)
	}
}

// onSlotsGranted starts the requests that got a slot.
func (s *State) onSlotsGranted(p *peers.Peer, m message.SlotsGranted) {
	for _, g := range m.Grants {
		s.takeGrant(p, g)
	}
	for _, d := range m.Denied {
		r, ok := s.requests.Get(d.Request)
		if ok && r.Phase == requests.Queued {
			s.placement.Remove(r.ID)
			s.refuse(refusalAfter(r, d.Reason, d.RetryAfter), r.Service.Name)
			s.forget(r)
		}
	}
}

// takeGrant uses a slot, or returns it when its request has ended, waits at
// another holder by now, or the instance takes no new work, as this entry knows.
func (s *State) takeGrant(p *peers.Peer, g message.Slot) {
	r, ok := s.requests.Get(g.Request)
	if ok && r.Phase == requests.Queued && s.holders.Link(r.Service.Pool).Holder == p.ID {
		if grant, taken := s.placement.ApplyRemoteGrant(r.ID, g.Instance); taken {
			s.dispatch(r, grant)
			return
		}
		s.reask = append(s.reask, r.ID)
	}
	s.emit(effect.Count{Name: effect.GrantsReturned, N: 1})
	out := s.outbox.to(p.ID)
	out.Releases = append(out.Releases, message.SlotRelease{Slot: g})
}

// askAgain asks for the requests whose grants could not be used. It waits for
// a heartbeat, so that a holder that does not know of a drain yet does not
// grant the same slot again and again.
func (s *State) askAgain() {
	for _, id := range s.reask {
		if r, ok := s.requests.Get(id); ok && r.Phase == requests.Queued {
			s.ask(r, true)
		}
	}
	s.reask = s.reask[:0]
}

// onReportTaken follows the holder's answer to a report.
func (s *State) onReportTaken(p *peers.Peer, m message.ReportAck) {
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
		s.report(l) // some requests started while the last one was on its way
	default:
		l.Phase = holder.Following
	}
}

// resync restores what lost messages carried: the peer reports to this entry,
// and this entry to the peer.
func (s *State) resync(p *peers.Peer) {
	if s.cfg.Placement != PlacementHolder {
		return
	}
	s.send(p, message.ReportRequest{})
	s.onReportWanted(p)
}

func (s *State) onReportWanted(p *peers.Peer) {
	for _, l := range s.holders.Links() {
		if l.IsRemote() && l.Holder == p.ID {
			s.report(l)
		}
	}
}

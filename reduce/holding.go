package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/placement"
)

// onSlotsAsked serves an entry whose pools this entry holds.
func (s *State) onSlotsAsked(p *peers.Peer, m message.SlotsAsked) {
	touched := make(map[fleet.PoolName]bool, 1)
	for _, f := range m.Finished {
		key := holder.Key{Entry: p.ID, Request: f.Request}
		if l, ok := s.holders.Lease(key); ok && l.Instance == f.Instance {
			s.endLease(l)
			touched[l.Pool] = true
		}
	}
	for _, id := range m.Withdrawn {
		s.dropWaiting(holder.Key{Entry: p.ID, Request: id})
	}
	for _, a := range m.Asks {
		touched[s.queueRemote(p, a)] = true
	}
	for _, pool := range s.placement.Pools() {
		if touched[pool] {
			s.grant(pool)
		}
	}
}

// queueRemote queues a request of another entry and returns its pool, or the
// empty name when it was not queued.
func (s *State) queueRemote(p *peers.Peer, a message.Ask) fleet.PoolName {
	if s.control.Text == nil {
		return ""
	}
	svc, ok := s.control.Text.Service(a.Service)
	if !ok {
		s.deny(p, a.Request, fleet.ReasonUnknownService)
		return ""
	}
	l := s.holders.Link(svc.Pool)
	if l.Phase != holder.Holding && l.Phase != holder.Collecting {
		return ""
	}
	id, fresh := s.holders.Wait(holder.Key{Entry: p.ID, Request: a.Request}, svc.Pool)
	if !fresh {
		return ""
	}
	ask := placement.Ask{
		Request: id, Pool: svc.Pool, Service: a.Service, Member: a.Member, Urgent: svc.Urgent,
	}
	if len(a.Tried) > 0 {
		ask.Avoid = a.Tried[len(a.Tried)-1]
	}
	if !s.placement.Add(ask) {
		s.holders.Withdraw(holder.Key{Entry: p.ID, Request: a.Request})
		s.deny(p, a.Request, fleet.ReasonNoCapacity)
		return ""
	}
	return svc.Pool
}

func (s *State) deny(p *peers.Peer, id fleet.RequestID, reason fleet.Reason) {
	out := s.outbox.grantsTo(p.ID)
	out.Denied = append(out.Denied, message.Denied{Request: id, Reason: reason})
}

// lease gives a slot to a request of another entry.
func (s *State) lease(g placement.Grant) {
	key, ok := s.holders.Waiting(g.Ask.Request)
	if !ok {
		s.placement.Release(g.Instance)
		return
	}
	s.holders.Withdraw(key)
	s.holders.Grant(holder.Lease{Key: key, Pool: g.Ask.Pool, Instance: g.Instance})
	out := s.outbox.grantsTo(key.Entry)
	out.Grants = append(out.Grants, message.Slot{Request: key.Request, Instance: g.Instance})
	s.emit(effect.Count{Name: effect.SlotsLeased, N: 1})
}

func (s *State) endLease(l holder.Lease) {
	s.holders.End(l)
	s.placement.Release(l.Instance)
}

func (s *State) dropWaiting(key holder.Key) {
	if id, ok := s.holders.Withdraw(key); ok {
		s.placement.Remove(id)
	}
}

// dropRemote forgets what an entry has in a pool, or what all have with the
// empty id.
func (s *State) dropRemote(pool fleet.PoolName, entry fleet.EntryID) {
	for _, key := range s.holders.Waits(pool, entry) {
		s.dropWaiting(key)
	}
	for _, l := range s.holders.Leases(pool, entry) {
		s.endLease(l)
	}
}

// dropEntry forgets an entry that died or started anew.
func (s *State) dropEntry(id fleet.EntryID) {
	for _, l := range s.holders.Links() {
		if l.Holder != s.cfg.Entry {
			continue
		}
		s.dropRemote(l.Pool, id)
		s.grant(l.Pool)
	}
}

// onSlotsReport takes in what an entry has in a pool that this entry holds.
func (s *State) onSlotsReport(p *peers.Peer, m message.SlotsReport) {
	l := s.holders.Link(m.Pool)
	holds := l.Phase == holder.Holding || l.Phase == holder.Collecting
	s.send(p, message.ReportTaken{Pool: m.Pool, Holding: holds})
	if !holds {
		return
	}
	s.reconcileLeases(p, m)
	s.reconcileWaiting(p, m)
	if l.Phase == holder.Collecting && l.Reported(p.ID) {
		s.timers.Clear(&l.Timer)
		l.Phase = holder.Holding
	}
	s.grant(l.Pool)
}

// reconcileLeases adopts slots that the entry uses, and takes back those that
// it does not use, but for grants that are still on their way.
func (s *State) reconcileLeases(p *peers.Peer, m message.SlotsReport) {
	running := make(map[fleet.RequestID]fleet.InstanceID, len(m.Running))
	for _, slot := range m.Running {
		running[slot.Request] = slot.Instance
	}
	for _, l := range s.holders.Leases(m.Pool, p.ID) {
		on, uses := running[l.Key.Request]
		switch {
		case uses && on == l.Instance:
			delete(running, l.Key.Request)
		case !uses && l.Sequence > m.Seen:
		default:
			s.endLease(l)
			s.emit(effect.Count{Name: effect.LeasesReclaimed, N: 1})
		}
	}
	for _, slot := range m.Running {
		_, missing := running[slot.Request]
		if missing && s.placement.Hold(slot.Instance) {
			key := holder.Key{Entry: p.ID, Request: slot.Request}
			s.holders.Grant(holder.Lease{Key: key, Pool: m.Pool, Instance: slot.Instance})
		}
	}
}

// reconcileWaiting queues the requests that wait at the entry, and drops those
// that no longer do.
func (s *State) reconcileWaiting(p *peers.Peer, m message.SlotsReport) {
	asked := make(map[fleet.RequestID]bool, len(m.Asks))
	for _, a := range m.Asks {
		asked[a.Request] = true
	}
	for _, key := range s.holders.Waits(m.Pool, p.ID) {
		if !asked[key.Request] {
			s.dropWaiting(key)
		}
	}
	for _, a := range m.Asks {
		if _, granted := s.holders.Lease(holder.Key{Entry: p.ID, Request: a.Request}); !granted {
			s.queueRemote(p, a)
		}
	}
}

package reduce

import (
	"slices"
	"time"

	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/effect"
	"github.com/banyanrail/banyanrail/reduce/holder"
	"github.com/banyanrail/banyanrail/reduce/message"
	"github.com/banyanrail/banyanrail/reduce/peers"
	"github.com/banyanrail/banyanrail/reduce/placement"
)

// onSlotsAsked serves an entry whose pools this entry holds.
func (s *State) onSlotsAsked(p *peers.Peer, m message.SlotRequests) {
	touched := s.touched[:0]
	for _, f := range m.Releases {
		key := holder.RequestKey{Entry: p.ID, Request: f.Request}
		if l, ok := s.holders.Lease(key); ok && l.Grant.Instance == f.Instance {
			s.endLease(l, f.HeldFor)
			s.learn(l.Grant, f)
			touched = append(touched, l.Grant.Request.Pool)
		}
	}
	for _, id := range m.Withdrawn {
		s.dropWaiting(holder.RequestKey{Entry: p.ID, Request: id})
	}
	for _, a := range m.Requests {
		touched = append(touched, s.queueRemote(p, a, !a.Requeued))
	}
	for i, pool := range touched {
		if pool != "" && !slices.Contains(touched[:i], pool) {
			s.grant(pool)
		}
	}
	s.touched = touched
	s.grantUnblocked()
}

// queueRemote queues a request of another entry and returns its pool, or the
// empty name when it was not queued. A new request is refused early, like the
// entry's own.
func (s *State) queueRemote(p *peers.Peer, a message.SlotRequest, isNew bool) fleet.PoolName {
	if s.control.Text == nil {
		return ""
	}
	svc, ok := s.control.Text.Service(a.Service)
	if !ok {
		s.deny(p.ID, message.SlotDenial{Request: a.ID, Reason: fleet.ReasonUnknownService})
		return ""
	}
	if l := s.holders.Link(svc.Pool); !l.Holds() {
		return ""
	}
	key := holder.RequestKey{Entry: p.ID, Request: a.ID}
	id, fresh := s.holders.Enqueue(key, svc.Pool)
	if !fresh {
		return ""
	}
	ask := remoteAsk(id, svc, a)
	if reason, wait := s.overloaded(ask, svc.MaxQueue, a.Remaining); isNew && reason != fleet.ReasonNone {
		s.holders.Dequeue(key)
		s.deny(p.ID, message.SlotDenial{Request: a.ID, Reason: reason, RetryAfter: wait})
		return ""
	}
	if !s.placement.Add(ask) {
		s.holders.Dequeue(key)
		s.deny(p.ID, message.SlotDenial{Request: a.ID, Reason: fleet.ReasonNoCapacity, RetryAfter: retryAfter})
		return ""
	}
	return svc.Pool
}

func remoteAsk(id fleet.RequestID, svc *fleet.Service, a message.SlotRequest) placement.Request {
	return placement.Request{
		ID:       id,
		Pool:     svc.Pool,
		Service:  a.Service,
		Member:   a.Member,
		Urgent:   svc.Urgent,
		Size:     a.Size,
		Requeued: a.Requeued,
		Tried:    a.Tried,
	}
}

func (s *State) deny(entry fleet.EntryID, d message.SlotDenial) {
	out := s.outbox.grantsTo(entry)
	out.Denied = append(out.Denied, d)
}

// denyOrphan refuses a request of another entry whose pool is gone.
func (s *State) denyOrphan(id fleet.RequestID) {
	key, ok := s.holders.WaitingRequest(id)
	if !ok {
		return
	}
	s.holders.Dequeue(key)
	s.deny(key.Entry, message.SlotDenial{Request: key.Request, Reason: fleet.ReasonNoCapacity, RetryAfter: retryAfter})
}

// lease gives a slot to a request of another entry.
func (s *State) lease(g placement.Grant) {
	key, ok := s.holders.WaitingRequest(g.Request.ID)
	if !ok {
		s.placement.Finish(g, 0)
		return
	}
	s.holders.Dequeue(key)
	s.holders.AddLease(holder.Lease{Key: key, Grant: g})
	out := s.outbox.grantsTo(key.Entry)
	out.Grants = append(out.Grants, message.Slot{Request: key.Request, Instance: g.Instance})
	s.emit(effect.Count{Name: effect.SlotsLeased, N: 1})
}

func (s *State) endLease(l holder.Lease, held time.Duration) {
	s.holders.EndLease(l)
	s.placement.Finish(l.Grant, held)
}

func (s *State) dropWaiting(key holder.RequestKey) {
	if id, ok := s.holders.Dequeue(key); ok {
		s.placement.Remove(id)
	}
}

// dropRemote forgets what an entry has in a pool, or what all have with the
// empty id.
func (s *State) dropRemote(pool fleet.PoolName, entry fleet.EntryID) {
	for _, key := range s.holders.WaitingRequests(pool, entry) {
		s.dropWaiting(key)
	}
	for _, l := range s.holders.Leases(pool, entry) {
		s.endLease(l, l.Grant.Cost)
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
	s.grantUnblocked()
}

// onSlotsReport takes in what an entry has in a pool that this entry holds.
func (s *State) onSlotsReport(p *peers.Peer, m message.SlotsReport) {
	l := s.holders.Link(m.Pool)
	s.send(p, message.ReportAck{Pool: m.Pool, Holding: l.Holds()})
	if !l.Holds() {
		return
	}
	s.reconcileLeases(p, m)
	s.reconcileWaiting(p, m)
	if l.Phase == holder.Collecting && l.ReportReceived(p.ID) {
		s.timers.Clear(&l.Timer)
		l.Phase = holder.Holding
	}
	s.grant(l.Pool)
}

// reconcileLeases adopts slots that the entry uses, and takes back those that
// it does not use, but for grants that are still on their way.
func (s *State) reconcileLeases(p *peers.Peer, m message.SlotsReport) {
	running := make(map[fleet.RequestID]fleet.InstanceID, len(m.Running))
	for _, h := range m.Running {
		running[h.Request.ID] = h.Instance
	}
	for _, l := range s.holders.Leases(m.Pool, p.ID) {
		on, uses := running[l.Key.Request]
		switch {
		case uses && on == l.Grant.Instance:
			delete(running, l.Key.Request)
		case !uses && l.Sequence > m.LastReceived:
		default:
			s.endLease(l, l.Grant.Cost)
			s.emit(effect.Count{Name: effect.LeasesReclaimed, N: 1})
		}
	}
	for _, h := range m.Running {
		if _, missing := running[h.Request.ID]; missing {
			s.adopt(p, m.Pool, h)
		}
	}
}

// adopt counts a slot that an entry uses and that this holder did not grant.
func (s *State) adopt(p *peers.Peer, pool fleet.PoolName, h message.HeldSlot) {
	ask := placement.Request{Pool: pool, Service: h.Request.Service, Member: h.Request.Member, Size: h.Request.Size}
	if g, ok := s.placement.AdoptGrant(ask, h.Instance); ok {
		s.holders.AddLease(holder.Lease{Key: holder.RequestKey{Entry: p.ID, Request: h.Request.ID}, Grant: g})
	}
}

// reconcileWaiting queues the requests that wait at the entry, and drops those
// that no longer do.
func (s *State) reconcileWaiting(p *peers.Peer, m message.SlotsReport) {
	asked := make(map[fleet.RequestID]bool, len(m.Waiting))
	for _, a := range m.Waiting {
		asked[a.ID] = true
	}
	for _, key := range s.holders.WaitingRequests(m.Pool, p.ID) {
		if !asked[key.Request] {
			s.dropWaiting(key)
		}
	}
	for _, a := range m.Waiting {
		if _, granted := s.holders.Lease(holder.RequestKey{Entry: p.ID, Request: a.ID}); !granted {
			s.queueRemote(p, a, false)
		}
	}
}

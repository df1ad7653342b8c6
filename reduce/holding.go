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

// onSlotRequests handles the message of an entry about slots in pools that this
// entry holds: slots no longer used, withdrawn requests and new requests.
func (s *State) onSlotRequests(p *peers.Peer, m message.SlotRequests) {
	pools := s.scratchPools[:0]
	for _, f := range m.Releases {
		key := holder.RequestKey{Entry: p.ID, Request: f.Request}
		if l, ok := s.holders.Lease(key); ok && l.Grant.Instance == f.Instance {
			s.endLease(l, f.HeldFor)
			s.applyOutcome(l.Grant, f)
			pools = append(pools, l.Grant.Request.Pool)
		}
	}
	for _, id := range m.Withdrawn {
		s.dropQueuedRemote(holder.RequestKey{Entry: p.ID, Request: id})
	}
	for _, a := range m.Requests {
		pools = append(pools, s.queueRemote(p, a, !a.Requeued))
	}
	for i, pool := range pools {
		if pool != "" && !slices.Contains(pools[:i], pool) {
			s.grant(pool)
		}
	}
	s.scratchPools = pools
	s.grantUnblocked()
}

// queueRemote queues a request of another entry and returns its pool, or the
// empty name if it was not queued. A new request is refused early, like this
// entry's own requests.
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
	id, added := s.holders.Enqueue(key, svc.Pool)
	if !added {
		return ""
	}
	req := remotePlacementRequest(id, svc, a)
	if reason, wait := s.overloaded(req, svc.MaxQueue, a.Remaining); isNew && reason != fleet.ReasonNone {
		s.holders.Dequeue(key)
		s.deny(p.ID, message.SlotDenial{Request: a.ID, Reason: reason, RetryAfter: wait})
		return ""
	}
	if !s.placement.Add(req) {
		s.holders.Dequeue(key)
		s.deny(p.ID, message.SlotDenial{Request: a.ID, Reason: fleet.ReasonNoCapacity, RetryAfter: retryAfter})
		return ""
	}
	return svc.Pool
}

func remotePlacementRequest(id fleet.RequestID, svc *fleet.Service, a message.SlotRequest) placement.Request {
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

// denyForRemovedPool denies a request of another entry whose pool no longer
// exists.
func (s *State) denyForRemovedPool(id fleet.RequestID) {
	key, ok := s.holders.WaitingRequest(id)
	if !ok {
		return
	}
	s.holders.Dequeue(key)
	s.deny(key.Entry, message.SlotDenial{Request: key.Request, Reason: fleet.ReasonNoCapacity, RetryAfter: retryAfter})
}

// grantLease leases a slot to a request of another entry.
func (s *State) grantLease(g placement.Grant) {
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

func (s *State) dropQueuedRemote(key holder.RequestKey) {
	if id, ok := s.holders.Dequeue(key); ok {
		s.placement.Remove(id)
	}
}

// dropRemote drops the queued requests and the leases of an entry in a pool, or
// those of all entries if the id is empty.
func (s *State) dropRemote(pool fleet.PoolName, entry fleet.EntryID) {
	for _, key := range s.holders.WaitingRequests(pool, entry) {
		s.dropQueuedRemote(key)
	}
	for _, l := range s.holders.Leases(pool, entry) {
		s.endLease(l, l.Grant.Cost)
	}
}

// dropEntry drops the queued requests and the leases of an entry that failed or
// restarted.
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

// onSlotsReport reconciles the leases and the queue that this entry keeps, as
// the holder of a pool, with the report of another entry.
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

// reconcileLeases adopts slots that the entry uses, and ends the leases of
// slots that it does not use, except for grants that are still in flight.
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
			s.adoptLease(p, m.Pool, h)
		}
	}
}

// adoptLease counts a slot that an entry uses and that this holder did not
// grant.
func (s *State) adoptLease(p *peers.Peer, pool fleet.PoolName, h message.HeldSlot) {
	req := placement.Request{Pool: pool, Service: h.Request.Service, Member: h.Request.Member, Size: h.Request.Size}
	if g, ok := s.placement.AdoptGrant(req, h.Instance); ok {
		s.holders.AddLease(holder.Lease{Key: holder.RequestKey{Entry: p.ID, Request: h.Request.ID}, Grant: g})
	}
}

// reconcileWaiting queues the requests that wait at the entry, and drops those
// that no longer wait there.
func (s *State) reconcileWaiting(p *peers.Peer, m message.SlotsReport) {
	waiting := make(map[fleet.RequestID]bool, len(m.Waiting))
	for _, a := range m.Waiting {
		waiting[a.ID] = true
	}
	for _, key := range s.holders.WaitingRequests(m.Pool, p.ID) {
		if !waiting[key.Request] {
			s.dropQueuedRemote(key)
		}
	}
	for _, a := range m.Waiting {
		if _, granted := s.holders.Lease(holder.RequestKey{Entry: p.ID, Request: a.ID}); !granted {
			s.queueRemote(p, a, false)
		}
	}
}

package reduce

import (
	"github.com/banyanrail/banyanrail/fleet"
	"github.com/banyanrail/banyanrail/reduce/message"
)

// outbox collects the slot messages of one event, so that each peer gets at
// most one message of each kind per event.
type outbox struct {
	slotRequests []slotRequestsItem
	slotGrants   []slotsGrantedItem
}

type slotRequestsItem struct {
	to      fleet.EntryID
	message message.SlotRequests
}

type slotsGrantedItem struct {
	to      fleet.EntryID
	message message.SlotsGranted
}

// slotRequestsTo returns the collected message for a holder.
func (o *outbox) slotRequestsTo(id fleet.EntryID) *message.SlotRequests {
	for i := range o.slotRequests {
		if o.slotRequests[i].to == id {
			return &o.slotRequests[i].message
		}
	}
	o.slotRequests = append(o.slotRequests, slotRequestsItem{to: id})
	return &o.slotRequests[len(o.slotRequests)-1].message
}

// grantsTo returns the collected grants for an entry.
func (o *outbox) grantsTo(id fleet.EntryID) *message.SlotsGranted {
	for i := range o.slotGrants {
		if o.slotGrants[i].to == id {
			return &o.slotGrants[i].message
		}
	}
	o.slotGrants = append(o.slotGrants, slotsGrantedItem{to: id})
	return &o.slotGrants[len(o.slotGrants)-1].message
}

// flushOutbox sends the collected messages.
func (s *State) flushOutbox() {
	for _, item := range s.outbox.slotRequests {
		if p, ok := s.peers.Get(item.to); ok {
			s.send(p, item.message)
		}
	}
	for _, item := range s.outbox.slotGrants {
		p, ok := s.peers.Get(item.to)
		if !ok {
			continue
		}
		s.send(p, item.message)
		for _, g := range item.message.Grants {
			s.holders.SetLeaseSequence(item.to, g.Request, p.LastSent())
		}
	}
	s.outbox.slotRequests, s.outbox.slotGrants = s.outbox.slotRequests[:0], s.outbox.slotGrants[:0]
}
